"""What all decoders of bytes from other programs have in common.

JSON has integers of any length and is nested to any depth. What is decoded here is sent to other
hosts and stored as MessagePack, which has integers of 64 bits.
"""

from typing import Annotated

import msgspec

MAX_INTEGER = 2**63 - 1
MIN_INTEGER = -(2**63)
# About 32 years. Timers, sockets and arithmetic with times take this without an overflow.
MAX_DURATION_S = 1e9
MAX_PORT = 65_535

# Type of a field of a decoded message.
Integer = Annotated[int, msgspec.Meta(ge=MIN_INTEGER, le=MAX_INTEGER)]

# What decoders raise for malformed input. Input that is nested too deeply exceeds the
# interpreter's limit of recursion.
MALFORMED_INPUT = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)

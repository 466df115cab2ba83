"""Checks of endpoints' reports, whichever format they arrived in.

A report may come from another writer. It names an endpoint only if all of its values are
possible ones; otherwise nothing of it is used.
"""

import math
from ipaddress import ip_address

from greengagerock.assignment.reports import KEY_COUNT, EndpointReport
from greengagerock.core import GreengageError
from greengagerock.core.decoding import MAX_INTEGER, MAX_PORT

# 9999-12-31, the end of the range that calendars agree on.
MAX_STARTED_MS = 253_402_300_799_999
MAX_SLOTS = 1_000_000
# Far longer than any warm-up.
MAX_COLD_S = 86_400.0
MAX_NAME_CHARACTERS = 200
# Tokens are returned in responses of at most 4 KiB, which ``ResponseRoom`` measures.
MAX_TOKEN_CHARACTERS = 64
# Bounds the time that a report takes. An endpoint lists each of its keys once; it may have
# released a key several times since its last acknowledged report.
MAX_REPORTED_KEYS = 4 * KEY_COUNT


def check_report(message):
    """Refuse a report with an impossible value.

    Args:
        message: An ``EndpointReport`` or ``EndpointLeaving``.

    Raises:
        GreengageError: ``bad-report`` with the value.
    """
    _check_text("endpoint", message.endpoint)
    _check_integer("start", message.started_ms, 0, MAX_STARTED_MS)
    if not isinstance(message, EndpointReport):
        return
    _check_text("service", message.service)
    _check_text("zone", message.zone)
    _check_address(message.address)
    _check_integer("sequence", message.sequence, 0, MAX_INTEGER)
    _check_integer("slots", message.slots, 1, MAX_SLOTS)
    if not (math.isfinite(message.cold_s) and 0 <= message.cold_s <= MAX_COLD_S):
        _reject(f"cold time {message.cold_s} s is not between 0 and {MAX_COLD_S:g} s")
    _check_ranges("held", message.holds)
    _check_ranges("released", message.freed)
    for held_range in message.holds:
        _check_integer("fence", held_range.fence, 0, MAX_INTEGER)
    for freed_range in message.freed:
        if len(freed_range.handover_token) > MAX_TOKEN_CHARACTERS:
            _reject(f"handover token has more than {MAX_TOKEN_CHARACTERS} characters")


def _reject(detail):
    raise GreengageError("bad-report", detail)


def _check_integer(what, value, lowest, highest):
    if not lowest <= value <= highest:
        _reject(f"{what} is not between {lowest} and {highest}")


def _check_text(what, text):
    """Check a name, which is sent in headers and appears in log lines."""
    if not 0 < len(text) <= MAX_NAME_CHARACTERS or not text.isprintable():
        _reject(f"{what} is not a name of 1 to {MAX_NAME_CHARACTERS} printable characters")


def _check_address(address):
    ip, _, port = address.rpartition(":")
    try:
        has_host = not ip_address(ip.removeprefix("[").removesuffix("]")).is_unspecified
    except ValueError:
        has_host = False
    is_port = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not (has_host and is_port and 1 <= int(port) <= MAX_PORT):
        _reject(f"address {address[:MAX_NAME_CHARACTERS]!r} is not IP:PORT")


def _check_ranges(what, ranges):
    key_count = 0
    for key_range in ranges:
        if not 0 <= key_range.first <= key_range.last < KEY_COUNT:
            _reject(f"{what} keys {key_range.first} to {key_range.last} are not a valid range")
        key_count += key_range.last - key_range.first + 1
        if key_count > MAX_REPORTED_KEYS:
            _reject(f"more than {MAX_REPORTED_KEYS} {what} keys are listed")

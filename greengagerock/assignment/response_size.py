"""Size of the responses to endpoints' reports.

A longer response is no acknowledgement: the endpoint takes none of its keys and reports again.
"""

import msgspec

# Largest size of a response that an endpoint takes: 4 KiB in the infrastructure's protocol.
MAX_TAKEN_BYTES = 4096
# Upper bound of the head of a response.
HEAD_BYTES = 256
# Upper bound of what a body has beside the rows, in both formats.
ENVELOPE_BYTES = 96
MAX_ROWS_BYTES = MAX_TAKEN_BYTES - HEAD_BYTES - ENVELOPE_BYTES

_encoder = msgspec.json.Encoder()


def row_bytes(row):
    """Return the size of a ``GrantRow`` in a body, with its separator, in bytes.

    Examples:
        >>> from greengagerock.assignment.reports import GrantRow
        >>> row_bytes(GrantRow(0, 7, 3)), len('[0,7,3,""],')
        (11, 11)
    """
    return len(_encoder.encode(row)) + 1


def rows_bytes(rows):
    """Return the size of all rows of a body in bytes."""
    return len(_encoder.encode(rows))

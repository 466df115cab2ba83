"""Responses whose fields are valid or malformed."""

BODY = b"hello"

# Field lines that are read, with the value of ``X-A`` that a caller gets.
VALID_FIELDS = {
    b"X-A: b": b"b",
    b"X-A:b": b"b",
    b"X-A:": b"",
    b"X-A: b\tc": b"b\tc",
    b"X-A: b:c": b"b:c",
    b"X-A: \x80\xff": b"\x80\xff",
    b"X-A: b\x01c": b"b\x01c",
    b"X-A: b\x0bc\x0cd\x85e": b"b\x0bc\x0cd\x85e",
}
MALFORMED_FIELDS = (
    b"X-A b",
    b"garbage",
    b": b",
    b"X A: b",
    b"X\tA: b",
    b"X-A : b",
    b"X-A\t: b",
    b"X\x00A: b",
    b"X\x01A: b",
    b"X\x0bA: b",
    b"X\x7fA: b",
    b"X\xc3A: b",
    b"X(A): b",
    b"X@A: b",
    b"X[A]: b",
    b"X/A: b",
    b'X"A": b',
    b"From somewhere: b",
    b"From somewhere",
    b"X-A: b\x00c",
    b"X-A: b\rc",
    b"X-A: b\r\rX: c",
    b"X-A: b\r\r",
    b"X-A: b\r",
    b"\rX-A: b",
    b"\r",
    b"X-A: b\r\n c\x00",
    b"X-A: b\r\n c\rd",
)


def response(status_line=b"HTTP/1.1 200 OK", fields=()):
    """Return a response with a length, the given lines and ``BODY``."""
    lines = [status_line, *fields, b"Content-Length: %d" % len(BODY), b"", BODY]
    return b"\r\n".join(lines)

"""Heads of messages whose status line or fields are valid, repairable or malformed."""

import string

from hypothesis import strategies

BODY = b"hello"

# Status lines that are read, with the status and the reason phrase that a caller gets.
VALID_STATUS_LINES = {
    b"HTTP/1.1 200 OK": (200, b"OK"),
    b"HTTP/1.1 200 All is\twell": (200, b"All is\twell"),
    b"HTTP/1.1 200 Gr\xc3\xbcn": (200, b"Gr\xc3\xbcn"),
    b"HTTP/1.1 200 ": (200, b"OK"),
    b"HTTP/1.1 200": (200, b"OK"),
    b"HTTP/1.1 299 Odd": (299, b"Odd"),
    b"HTTP/1.1 599 Odd": (599, b"Odd"),
    b"HTTP/1.0 200 OK": (200, b"OK"),
    b"HTTP/1.2 200 OK": (200, b"OK"),
}
MALFORMED_STATUS_LINES = (
    b"",
    b"HTTP/1.1",
    b"HTTP/1.1 ",
    b"HTTP/1.1 000 OK",
    b"HTTP/1.1 00 OK",
    b"HTTP/1.1 0 OK",
    b"HTTP/1.1 099 OK",
    b"HTTP/1.1 20 OK",
    b"HTTP/1.1 2000 OK",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/1.1 600 OK",
    b"HTTP/1.1 999 OK",
    b"HTTP/1.1 +200 OK",
    b"HTTP/1.1 -200 OK",
    b"HTTP/1.1 2_0 OK",
    b"HTTP/1.1 2e2 OK",
    b"HTTP/1.1 \xb2\xb2\xb2 OK",
    b"HTTP/1.1 OK 200",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1\t200 OK",
    b"HTTP/1.1 200\tOK",
    b"HTTP/1.1 \t200 OK",
    b" HTTP/1.1 200 OK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 O\x01K",
    b"HTTP/1.1 200 O\x0bK",
    b"HTTP/1.1 200 O\x7fK",
    b"HTTP/1.1 200 OK\rX-A: b",
    b"HTTP/1.1 200 OK\r",
    b"HTTP/0.9 200 OK",
    b"HTTP/1.x 200 OK",
    b"HTTP/1.10 200 OK",
    b"HTTP/2.0 200 OK",
    b"HTTP/1 200 OK",
    b"http/1.1 200 OK",
    b"ICY 200 OK",
    b"garbage",
)

# Field lines that are read, with the value of ``X-A`` that a caller gets.
VALID_FIELDS = {
    b"X-A: b": b"b",
    b"X-A:b": b"b",
    b"X-A: \t b \t": b"b",
    b"X-A:": b"",
    b"X-A: b\tc": b"b\tc",
    b"X-A: b:c": b"b:c",
    b"X-A: \x80\xff": b"\x80\xff",
    b"X-A: b\x01c": b"b\x01c",
    b"X-A: b\x0bc\x0cd\x85e": b"b\x0bc\x0cd\x85e",
    b"X-A: b\r\n c": b"b c",
    b"X-A: b\r\n\t  c\r\n d": b"b c d",
    b"X-A:\r\n b": b"b",
    b"X-A: b\r\n \t ": b"b",
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

# Bodies in chunks, of ``BODY``.
VALID_CHUNKS = (
    b"5\r\nhello\r\n0\r\n\r\n",
    b"05\r\nhello\r\n000\r\n\r\n",
    b"5;a=b\r\nhello\r\n0;c\r\n\r\n",
    b"5 ;a\r\nhello\r\n0\r\n\r\n",
    b"2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    b"5\r\nhello\r\n0\r\nX-A: b\r\n\r\n",
)
MALFORMED_CHUNKS = (
    b"5\r\nhelloXY0\r\n\r\n",
    b"5\r\nhello\n\n0\r\n\r\n",
    b"4\r\nhello\r\n0\r\n\r\n",
    b"6\r\nhello\r\n0\r\n\r\n",
    b"+5\r\nhello\r\n0\r\n\r\n",
    b"-5\r\nhello\r\n0\r\n\r\n",
    b"0x5\r\nhello\r\n0\r\n\r\n",
    b"0_5\r\nhello\r\n0\r\n\r\n",
    b" 5\r\nhello\r\n0\r\n\r\n",
    b"5\x0b\r\nhello\r\n0\r\n\r\n",
    b"5\r\nhello\r\n+0\r\n\r\n",
    b"5\r\nhello\r\n-0\r\n\r\n",
    b"5\r\nhello\r\n\r\n0\r\n\r\n",
)

TOKEN_CHARACTERS = "!#$%&'*+-.^_`|~" + string.digits + string.ascii_letters
# The framing depends on these, and the connection on the third one.
NAMES_WITH_MEANING = ("content-length", "transfer-encoding", "connection", "keep-alive")
_VALUE_BYTES = bytes(sorted(set(range(256)) - set(b"\x00\r\n")))


def response(status_line=b"HTTP/1.1 200 OK", fields=()):
    """Return a response with a length, the given lines and ``BODY``."""
    lines = [status_line, *fields, b"Content-Length: %d" % len(BODY), b"", BODY]
    return b"\r\n".join(lines)


def names():
    """Draw the name of a field that says nothing about the length of the response."""
    drawn = strategies.text(TOKEN_CHARACTERS, min_size=1, max_size=8)
    return drawn.filter(lambda name: name.lower() not in NAMES_WITH_MEANING).map(str.encode)


def values():
    """Draw a value without whitespace around it."""
    return (
        strategies.lists(strategies.sampled_from(_VALUE_BYTES), max_size=12)
        .map(bytes)
        .map(lambda value: value.strip(b" \t"))
    )


@strategies.composite
def valid_fields(draw):
    """Draw a field line, possibly on several lines, and the name and value that it has."""
    name, parts = draw(names()), draw(strategies.lists(values(), min_size=1, max_size=3))
    whitespace = strategies.sampled_from([b"", b" ", b"\t", b" \t "])
    line = name + b":" + draw(whitespace) + parts[0] + draw(whitespace)
    for part in parts[1:]:
        line += b"\r\n" + draw(strategies.sampled_from([b" ", b"\t", b"  "])) + part
    return line, (name, b" ".join(parts).strip(b" \t"))


@strategies.composite
def malformed_fields(draw):
    """Draw a line that is no field line and continues none."""
    name, value = draw(names()), draw(values())
    position = draw(strategies.integers(0, len(name)))
    other = draw(
        strategies.sampled_from(sorted(set(range(256)) - set(TOKEN_CHARACTERS.encode()) - {10}))
    )
    dangerous = draw(strategies.sampled_from([b"\x00", b"\r"]))
    kind = draw(strategies.sampled_from(["name", "value", "no colon", "no name"]))
    match kind:
        case "name":
            # A colon ends the name, and whitespace in front of a line continues the one before.
            position = max(position, 1)
            other = other if other != ord(":") else ord("/")
            return name[:position] + bytes([other]) + name[position:] + b": " + value
        case "value":
            return name + b": " + value + dangerous + b"x" + value
        case "no colon":
            return name
        case "no name":
            return b":" + value

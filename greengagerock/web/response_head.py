"""Field lines of responses: which are read, repaired or refused.

What a line is decides where the body begins. The parser of the standard library, which was made
for mail, takes a carriage return for the end of a line, so it gets lines that have been checked.

References:
    RFC 9110, HTTP Semantics, sections 5.1, 5.5 and 5.6.2; RFC 9112, HTTP/1.1, sections 2.2
    and 5.
"""

import re
from http.client import HTTPException

# Control characters other than NUL, CR and LF are passed on, which section 5.5 allows.
_FIELD_LINE = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\x00\r\n]*)")
_CONTINUATION = re.compile(rb"[ \t][^\x00\r\n]*")
_WHITESPACE = b" \t"
END_OF_HEAD = b"\r\n"


class MalformedResponseError(HTTPException):
    """A response that is no response of HTTP/1; its text names the fault without its bytes."""


def read_field_lines(file):
    r"""Read the field lines of a head up to the empty line, which is included.

    Whitespace around a value is removed, and a value on several lines is joined.

    Args:
        file: A file with complete lines.

    Returns:
        A list of lines.

    Raises:
        MalformedResponseError: If a line is no field line and continues none.

    Examples:
        >>> import io
        >>> read_field_lines(io.BytesIO(b"A:b\r\nC: d\r\n e\r\n\r\n"))
        [b'A: b\r\n', b'C: d e\r\n', b'\r\n']
    """
    fields = []
    while line := strip_line_end(file.readline()):
        if _CONTINUATION.fullmatch(line):
            if not fields:
                raise MalformedResponseError("whitespace before the first field line")
            fields[-1][1] += b" " + line.strip(_WHITESPACE)
            continue
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            raise MalformedResponseError("malformed field line")
        fields.append([match[1], match[2].strip(_WHITESPACE)])
    lines = [b"%s: %s\r\n" % (name, value.strip(_WHITESPACE)) for name, value in fields]
    return [*lines, END_OF_HEAD]


def strip_line_end(line):
    r"""Return a line without its end, a line feed that may follow a carriage return.

    Examples:
        >>> strip_line_end(b"A: b\r\n"), strip_line_end(b"A: b\n"), strip_line_end(b"A: b\r\r\n")
        (b'A: b', b'A: b', b'A: b\r')
    """
    return line.removesuffix(b"\n").removesuffix(b"\r")

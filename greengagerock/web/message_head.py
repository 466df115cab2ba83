"""Lines of requests and responses: which are read, repaired or refused.

What a line is decides where the body begins. The parser of the standard library, which was made
for mail, takes a carriage return for the end of a line, so it gets lines that have been checked.

References:
    RFC 9110, HTTP Semantics, sections 5.1, 5.5, 5.6.2, 9.1 and 15; RFC 9112, HTTP/1.1, sections
    2.2, 3 to 5 and 7.1.
"""

import re
from http.client import HTTPException

# A higher minor version is read as the highest known one (RFC 9110, section 2.5). The space after
# the status may be missing if there is no reason phrase.
_STATUS_LINE = re.compile(rb"(HTTP/1\.[0-9]) ([1-5][0-9]{2})(?: ([\t\x20-\x7e\x80-\xff]*))?")
_INTERIM_HEADS = re.compile(rb"\A(?:HTTP/1\.[0-9] 1[^\n]*\r?\n(?:[^\r\n][^\n]*\n)*(?:\r?\n|\Z))+")
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_METHOD = re.compile(_TOKEN)
# A target is passed on as it came, so it may have any visible character.
_TARGET = re.compile(rb"[\x21-\x7e]+")
# Control characters other than NUL, CR and LF are passed on, which section 5.5 allows.
_FIELD_LINE = re.compile(rb"(%s):([^\x00\r\n]*)" % _TOKEN)
# Extensions of a chunk are ignored. Whitespace may stand in front of them.
_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\x00\r\n]*)?")
_CONTINUATION = re.compile(rb"[ \t][^\x00\r\n]*")
_WHITESPACE = b" \t"
END_OF_HEAD = b"\r\n"


class MalformedResponseError(HTTPException):
    """A response that is no response of HTTP/1; its text names the fault without its bytes."""


def parse_status_line(line):
    r"""Return version, status and reason phrase of a status line.

    Args:
        line: The line with its end.

    Raises:
        MalformedResponseError: If it is no status line of HTTP/1.

    Examples:
        >>> parse_status_line(b"HTTP/1.1 200 OK\r\n")
        ('HTTP/1.1', 200, 'OK')
    """
    match = _STATUS_LINE.fullmatch(strip_line_end(line))
    if match is None:
        raise MalformedResponseError("malformed status line")
    version, status, reason = match.groups(b"")
    return version.decode(), int(status), reason.decode("latin-1")


def has_final_head(data):
    r"""Return whether the bytes of a connection have more than interim responses.

    Args:
        data: The first bytes that the other side has sent after a request.

    Examples:
        >>> has_final_head(b"HTTP/1.1 100 Continue\r\n\r\n")
        False
        >>> has_final_head(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 413 Content Too Large\r\n")
        True
    """
    return bool(_INTERIM_HEADS.sub(b"", data))


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
        name_and_value = parse_field_line(line)
        if name_and_value is None:
            raise MalformedResponseError("malformed field line")
        fields.append([*name_and_value])
    lines = [b"%s: %s\r\n" % (name, value.strip(_WHITESPACE)) for name, value in fields]
    return [*lines, END_OF_HEAD]


def parse_field_line(line):
    r"""Return name and value of a field line without its end, ``None`` if it is none.

    Examples:
        >>> parse_field_line(b"A: b "), parse_field_line(b"A : b")
        ((b'A', b'b'), None)
    """
    match = _FIELD_LINE.fullmatch(line)
    return None if match is None else (match[1], match[2].strip(_WHITESPACE))


def parse_chunk_size(line):
    r"""Return the number of bytes of a chunk.

    Args:
        line: The line before the chunk, with its end.

    Raises:
        MalformedResponseError: If it does not begin with a hexadecimal number.

    Examples:
        >>> parse_chunk_size(b"1f;name=value\r\n")
        31
    """
    match = _CHUNK_SIZE.fullmatch(strip_line_end(line))
    if match is None:
        raise MalformedResponseError("malformed size of a chunk")
    return int(match[1], 16)


def has_valid_characters(method, target):
    r"""Return whether the characters of a request's method and target are allowed there.

    Args:
        method: The method, as bytes.
        target: Path and query, still encoded, as bytes.

    Examples:
        >>> has_valid_characters(b"GET", b"/a?b"), has_valid_characters(b"G(T", b"/a")
        (True, False)
        >>> has_valid_characters(b"GET", b"/a\x00")
        False
    """
    return bool(_METHOD.fullmatch(method) and _TARGET.fullmatch(target))


def strip_line_end(line):
    r"""Return a line without its end, a line feed that may follow a carriage return.

    Examples:
        >>> strip_line_end(b"A: b\r\n"), strip_line_end(b"A: b\n"), strip_line_end(b"A: b\r\r\n")
        (b'A: b', b'A: b', b'A: b\r')
    """
    return line.removesuffix(b"\n").removesuffix(b"\r")

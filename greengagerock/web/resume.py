"""Resuming an answer that broke off midway."""

import re

import msgspec

_CONTENT_RANGE = re.compile(r"bytes (\d+)-(\d+)/(\d+|\*)")


class Span(msgspec.Struct, frozen=True):
    """The part of a representation that an answer carries.

    Attributes:
        first: Position of its first byte.
        last: Position of its last byte.
        validator: Strong entity tag, or date of the last change.
    """

    first: int
    last: int
    validator: str

    def rest_headers(self, passed_bytes):
        """Return the headers that ask for what has not been passed on yet.

        Examples:
            >>> Span(10, 99, '"v1"').rest_headers(5)
            {'range': 'bytes=15-99', 'if-range': '"v1"'}

        References:
            RFC 9110, HTTP Semantics, sections 13.1.5 and 14.2.
        """
        return {
            "range": f"bytes={self.first + passed_bytes}-{self.last}",
            "if-range": self.validator,
        }

    def is_continued_by(self, response, passed_bytes):
        """Return whether a response carries exactly the rest of this span."""
        if response.status != 206:
            return False
        match = _CONTENT_RANGE.fullmatch(response.headers.get("Content-Range", ""))
        if match is None or read_validator(response) not in ("", self.validator):
            return False
        return (int(match[1]), int(match[2])) == (self.first + passed_bytes, self.last)


def read_span(method, response):
    """Return the ``Span`` of an answer, or ``None`` if it cannot be resumed.

    Args:
        method: HTTP method of the request.
        response: The response whose body is about to be passed on.
    """
    validator = read_validator(response)
    length = response.headers.get("Content-Length", "")
    if method != "GET" or not validator or not length.isdigit():
        return None
    if response.status == 200 and response.headers.get("Accept-Ranges") == "bytes":
        return Span(0, int(length) - 1, validator)
    match = _CONTENT_RANGE.fullmatch(response.headers.get("Content-Range", ""))
    if response.status == 206 and match is not None:
        return Span(int(match[1]), int(match[2]), validator)
    return None


def read_validator(response):
    """Return the strong entity tag of a response, else its date, else the empty string."""
    tag = response.headers.get("ETag", "")
    if tag and not tag.startswith("W/"):
        return tag
    return response.headers.get("Last-Modified", "")

"""Resumes interrupted responses with range requests."""

import re

import msgspec

_CONTENT_RANGE = re.compile(r"bytes (\d+)-(\d+)/(\d+|\*)")


class ByteRange(msgspec.Struct, frozen=True):
    """The byte range of a representation that a response carries.

    Attributes:
        first: Position of the first byte.
        last: Position of the last byte, included.
        validator: Strong entity tag, or value of ``Last-Modified``.
    """

    first: int
    last: int
    validator: str

    @property
    def length(self):
        """Number of bytes of the range."""
        return self.last - self.first + 1

    def remainder_headers(self, relayed_bytes):
        """Return the headers that request the bytes which have not been relayed yet.

        Examples:
            >>> ByteRange(10, 99, '"v1"').remainder_headers(5)
            {'range': 'bytes=15-99', 'if-range': '"v1"'}

        References:
            RFC 9110, HTTP Semantics, sections 13.1.5 and 14.2.
        """
        return {
            "range": f"bytes={self.first + relayed_bytes}-{self.last}",
            "if-range": self.validator,
        }

    def is_continued_by(self, response, relayed_bytes):
        """Return whether a response carries exactly the bytes that have not been relayed yet."""
        if response.status != 206:
            return False
        match = _CONTENT_RANGE.fullmatch(response.headers.get("Content-Range", ""))
        if match is None or read_validator(response) not in ("", self.validator):
            return False
        missing_bytes = self.length - relayed_bytes
        if response.headers.get("Content-Length", str(missing_bytes)) != str(missing_bytes):
            return False
        return (int(match[1]), int(match[2])) == (self.first + relayed_bytes, self.last)


def read_byte_range(method, response):
    """Return the ``ByteRange`` of a response, or ``None`` if it cannot be resumed.

    Args:
        method: HTTP method of the request.
        response: The endpoint's response.
    """
    validator = read_validator(response)
    length = response.headers.get("Content-Length", "")
    if method != "GET" or not validator or not length.isdigit():
        return None
    if response.status == 200 and response.headers.get("Accept-Ranges") == "bytes":
        return ByteRange(0, int(length) - 1, validator)
    match = _CONTENT_RANGE.fullmatch(response.headers.get("Content-Range", ""))
    if response.status == 206 and match is not None:
        return ByteRange(int(match[1]), int(match[2]), validator)
    return None


def read_validator(response):
    """Return the strong ``ETag`` of a response, else ``Last-Modified``, else an empty string."""
    tag = response.headers.get("ETag", "")
    if tag and not tag.startswith("W/"):
        return tag
    return response.headers.get("Last-Modified", "")

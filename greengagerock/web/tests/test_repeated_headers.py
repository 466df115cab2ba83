"""Headers that come twice are forwarded with all of their values."""

import io

from greengagerock.web.server import StrictHeaderReader


def test_values_of_repeated_headers_are_joined():
    """Of a header that the library does not know as a list, only the last value was forwarded."""
    lines = (
        b"Cookie: a=1\r\nX-Other: 1\r\nCookie: b=2\r\nX-Other: 2\r\nX-Other: 2\r\n"
        b"Accept: a\r\nAccept: b\r\nHost: h\r\n\r\n"
    )
    headers = StrictHeaderReader()(io.BytesIO(lines))
    assert headers == {
        b"Cookie": b"a=1; b=2",
        b"X-Other": b"1, 2, 2",
        b"Accept": b"a, b",
        b"Host": b"h",
    }

"""Decodes and encodes JSON bodies in CherryPy handlers."""

import cherrypy
import msgspec

from greengagerock.core.decoding import MALFORMED_INPUT

# Longest body; the limit of the server is that of the bodies which routers pass on.
MAX_BODY_BYTES = 8 * 1024 * 1024


def read_json(message_type):
    """Decode the body of the current request.

    Args:
        message_type: Type of the message.

    Returns:
        A pair of the message and the empty string, or ``None`` and the error text.
    """
    data = cherrypy.request.body.read(MAX_BODY_BYTES + 1)
    if len(data) > MAX_BODY_BYTES:
        return None, f"body is longer than {MAX_BODY_BYTES} bytes"
    try:
        return msgspec.json.decode(data, type=message_type), ""
    except MALFORMED_INPUT as error:
        return None, str(error)


def write_json(value, status=200):
    """Set status and content type of the response; return the message encoded as JSON."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(value)

"""Decodes and encodes JSON bodies in CherryPy handlers."""

import cherrypy
import msgspec

from greengagerock.core.decoding import MALFORMED_INPUT


def read_json(message_type):
    """Decode the body of the current request.

    Args:
        message_type: Type of the message.

    Returns:
        A pair of the message and the empty string, or ``None`` and the error text.
    """
    try:
        return msgspec.json.decode(cherrypy.request.body.read(), type=message_type), ""
    except MALFORMED_INPUT as error:
        return None, str(error)


def write_json(value, status=200):
    """Set status and content type of the response; return the message encoded as JSON."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(value)

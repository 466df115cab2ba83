"""JSON bodies in CherryPy handlers."""

import cherrypy
import msgspec


def read_json(kind):
    """Read the request body as a message.

    Args:
        kind: The type to read.

    Returns:
        A pair of the message and the empty string, or ``None`` and the fault.
    """
    try:
        return msgspec.json.decode(cherrypy.request.body.read(), type=kind), ""
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        return None, str(error)


def write_json(value, status=200):
    """Return a message as the JSON body of the response."""
    cherrypy.response.status = status
    cherrypy.response.headers["Content-Type"] = "application/json"
    return msgspec.json.encode(value)

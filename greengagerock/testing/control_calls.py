"""Calls to the control application of a controller whose decisions a test gives."""

import io

from greengagerock.web.control_application import ControlApplication


class FakeBridge:
    """Keeps the events that are passed to the decision core, and returns one result.

    Args:
        result: The result.

    Attributes:
        events: The events.
    """

    def __init__(self, result):
        self.result = result
        self.events = []

    def new_token(self):
        """Return a token."""
        return 1

    def post_and_wait(self, token, event, timeout_s):
        """Keep the event and return the result."""
        self.events.append(event)
        return self.result


def post_without_body(dialect, path, result, descriptor=None):
    """Send a POST request.

    Args:
        dialect: Dialect of the application.
        path: Path of the request.
        result: Result of the decision core.
        descriptor: Descriptor of the sender's socket, or ``None``.

    Returns:
        The status line, and the events that were passed to the decision core.
    """
    bridge, statuses = FakeBridge(result), []
    application = ControlApplication(bridge, lambda event, **fields: None, dialect)
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": path,
        "wsgi.input": io.BytesIO(),
        "greengage.descriptor": descriptor,
    }
    application(environ, lambda status, headers: statuses.append(status))
    return statuses[0], bridge.events


def post_body(path, stream, length, application=None):
    """Send a POST request with a body to a controller that decides nothing.

    Args:
        path: Path of the request.
        stream: File with the body; one in chunks if ``length`` is ``None``.
        length: Value of ``Content-Length``.
        application: The ``ControlApplication``, or ``None`` for a new one.

    Returns:
        The status line, and whether the connection is closed after the response.
    """
    statuses, closings = [], []
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": path,
        "wsgi.input": stream,
        "wsgi.input_terminated": length is None,
        "greengage.close_connection": lambda: closings.append(True),
    }
    if length is not None:
        environ["CONTENT_LENGTH"] = length
    application = application or ControlApplication(FakeBridge(None), lambda event, **fields: None)
    application(environ, lambda status, headers: statuses.append(status))
    return statuses[0], bool(closings)

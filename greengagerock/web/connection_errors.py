"""Reasons of failed attempts, from the exceptions of the HTTP client."""

from http.client import RemoteDisconnected

from urllib3.exceptions import ConnectTimeoutError, NewConnectionError
from urllib3.exceptions import TimeoutError as UrllibTimeoutError

from greengagerock.routing.failures import (
    REASON_CONNECT,
    REASON_CONNECT_TIMEOUT,
    REASON_CONNECTION_LOST,
    REASON_RESET,
    REASON_TIMEOUT,
)
from greengagerock.web.message_head import MalformedResponseError


def reason_of(error, is_cancelled):
    """Return the reason of a failed attempt.

    Args:
        error: The exception that ended it.
        is_cancelled: Whether this host closed the connection.

    Examples:
        >>> from urllib3.exceptions import ProtocolError
        >>> reset = ProtocolError("aborted", ConnectionResetError(104, "reset"))
        >>> reason_of(reset, False), reason_of(reset, True)
        ('reset', 'lost')
        >>> reason_of(ProtocolError("aborted", RemoteDisconnected("closed")), False)
        'lost'
    """
    # The first class is a subclass of the second one, which is a subclass of the third one.
    if isinstance(error, NewConnectionError):
        return REASON_CONNECT
    if isinstance(error, ConnectTimeoutError):
        return REASON_CONNECT_TIMEOUT
    if isinstance(error, UrllibTimeoutError):
        return REASON_TIMEOUT
    if not is_cancelled and _is_reset(error):
        return REASON_RESET
    return REASON_CONNECTION_LOST


def fault_of(error):
    """Return what is malformed in a response, or an empty string if the connection failed.

    Args:
        error: The exception that ended the attempt or the response.

    Examples:
        >>> from urllib3.exceptions import ProtocolError
        >>> fault_of(ProtocolError("aborted", MalformedResponseError("malformed field line")))
        'malformed field line'
        >>> fault_of(ProtocolError("aborted", ConnectionResetError(104, "reset")))
        ''
    """
    faults = (cause for cause in (error, *error.args) if isinstance(cause, MalformedResponseError))
    return next(map(str, faults), "")


def _is_reset(error):
    """Return whether the other side reset a connection, rather than closed it."""
    return any(
        isinstance(cause, ConnectionResetError | BrokenPipeError)
        and not isinstance(cause, RemoteDisconnected)
        for cause in (error, *error.args)
    )

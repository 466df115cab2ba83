"""Reasons for failed attempts, and whether the request may have run."""

from greengagerock.core import OUTCOME_NOT_RUN, OUTCOME_UNKNOWN

# The endpoint refused or reset a new connection.
REASON_CONNECT = "connect"
# A new connection was not accepted in time: the endpoint is busy, or the path to it is lost.
REASON_CONNECT_TIMEOUT = "connect-timeout"
REASON_REFUSED = "refused"
REASON_CONNECTION_LOST = "lost"
# The endpoint reset the connection before any byte of its response: it is full, or has crashed.
REASON_RESET = "reset"
REASON_TIMEOUT = "timeout"
REASON_NOT_OWNER = "not-owner"
# The caller's request body was cut off or is malformed.
REASON_CALLER = "caller"

# The relay took no request, or its connection broke; the endpoint is not to blame.
REASON_RELAY = "relay"
# A long response uses the link of the relay, so it forwards no request for another one.
REASON_LINK_BUSY = "link-busy"
# The relay has lost its own paths to the group of the endpoint.
REASON_PATH_LOST = "path-lost"
# A connection to the relay did not open in time.
REASON_RELAY_LATE = "relay-late"

# Number of failures to connect after which a call is sent through relays only, or refused.
MAX_CONNECT_FAILURES = 2

CODE_BY_REASON = {
    REASON_CONNECT: "connect-failed",
    REASON_CONNECT_TIMEOUT: "connect-failed",
    REASON_REFUSED: "endpoint-refused",
    REASON_CONNECTION_LOST: "answer-lost",
    REASON_RESET: "answer-lost",
    REASON_TIMEOUT: "deadline-exceeded",
    REASON_CALLER: "bad-request",
    REASON_LINK_BUSY: "connect-failed",
    REASON_PATH_LOST: "connect-failed",
    REASON_RELAY: "relay-unavailable",
    REASON_RELAY_LATE: "relay-unavailable",
}


def is_certainly_not_run(event):
    """Return whether a failed attempt certainly did not run the request.

    Args:
        event: An ``AttemptFailed`` event.

    Examples:
        >>> from greengagerock.core.interface import AttemptFailed
        >>> is_certainly_not_run(AttemptFailed(1, "connect", False, False))
        True
        >>> is_certainly_not_run(AttemptFailed(1, "lost", True, False))
        False
    """
    return event.reason in (REASON_REFUSED, REASON_NOT_OWNER) or not event.has_sent_bytes


def abandoned_result(call, event):
    """Return the error code and the outcome of a call whose caller has disconnected.

    Args:
        call: The ``Call``.
        event: The ``AttemptFailed`` event of its last attempt.
    """
    if call.may_have_run or not is_certainly_not_run(event):
        return "caller-gone-unsure", OUTCOME_UNKNOWN
    return "caller-gone", OUTCOME_NOT_RUN

"""Choice of the connect timeout of an attempt.

It answers load under which endpoints accept new connections late: giving up early then fails a
request that no other endpoint may run, and opens one more connection.
"""

from greengagerock.routing.failures import MAX_CONNECT_FAILURES

# Longest connect timeout. A trial on a site of 68 routers with 1 s for all requests reduced
# connect failures from 1,026 to 78.
MAX_CONNECT_TIMEOUT_S = 1.0
# Largest share of the remaining time that one connect timeout takes, so that time is left for a
# second one and for the response.
MAX_TIME_SHARE = 0.3


def connect_timeout_s(call, has_alternative, is_suspect, now_s):
    """Return the connect timeout of an attempt in seconds, or ``None`` for the configured one.

    The configured timeout is short. On links that were nearly full, a longer one for all requests
    lost more requests than it gained, so it applies only where nothing else can be done.

    Args:
        call: The ``Call``.
        has_alternative: Whether another endpoint may run the request.
        is_suspect: Whether the endpoint or a group of it may be lost.
        now_s: Monotonic time in seconds.

    Examples:
        >>> from types import SimpleNamespace
        >>> call = SimpleNamespace(deadline_s=4.0)
        >>> connect_timeout_s(call, False, False, 0.0), connect_timeout_s(call, False, False, 3.0)
        (1.0, 0.3)
        >>> connect_timeout_s(call, True, False, 0.0), connect_timeout_s(call, False, True, 0.0)
        (None, None)
    """
    if has_alternative or is_suspect:
        return None
    return longest_connect_timeout_s(call.deadline_s - now_s)


def longest_connect_timeout_s(left_s):
    """Return the connect timeout where nothing is known to be lost, in seconds.

    It also holds for connections to relays: such a connection is late because a network link is
    full, whatever became of the endpoint behind the relay.

    Args:
        left_s: Time until the deadline of the request in seconds.
    """
    return min(MAX_CONNECT_TIMEOUT_S, MAX_TIME_SHARE * left_s)


def has_alternative(call, names):
    """Return whether another endpoint of a service without keys may run a call.

    Args:
        call: The ``Call``, with the endpoint of the current attempt.
        names: Names of the endpoints of its service, or none if only one may run it.
    """
    if len(call.unreached_endpoints) + 1 >= MAX_CONNECT_FAILURES:
        return False
    tried = {*call.tried_endpoints, *call.unreached_endpoints, call.endpoint}
    return any(name not in tried for name in names)

"""Reads from response headers which further requests an endpoint accepts."""

from greengagerock.core.interface import EndpointNoticed

# Longer texts are cut off in the log.
MAX_LOGGED_CHARACTERS = 40
# A pause is limited to this time here, so that no calculation with it can overflow.
MAX_READ_PAUSE_S = 86_400.0


def parse_pause_s(text):
    """Return a pause in seconds, or ``None`` if the text is not a number of at least 0.

    Examples:
        >>> parse_pause_s("1.5"), parse_pause_s("1e300"), parse_pause_s("-1")
        (1.5, 86400.0, None)
        >>> parse_pause_s("Fri, 04 Dec 2026 08:00:00 GMT") is None
        True
    """
    try:
        pause_s = float(text)
    except ValueError:
        return None
    return min(pause_s, MAX_READ_PAUSE_S) if pause_s >= 0 else None


def make_notice(token, is_leaving, pause_text):
    """Return the ``EndpointNoticed`` event of a response, or ``None`` if it has no notice.

    Args:
        token: Token of the request.
        is_leaving: Whether the endpoint says that it leaves.
        pause_text: The time for which it wants no requests, or ``None``.
    """
    if pause_text is None:
        return EndpointNoticed(token, True) if is_leaving else None
    pause_s = parse_pause_s(pause_text)
    if pause_s is None:
        return EndpointNoticed(token, is_leaving, 0.0, pause_text[:MAX_LOGGED_CHARACTERS])
    return EndpointNoticed(token, is_leaving, pause_s)

"""Reads from response headers which further requests an endpoint accepts, and its load."""

import re

from greengagerock.core.interface import EndpointNoticed, LoadNotice

# Longer texts are cut off in the log.
MAX_LOGGED_CHARACTERS = 40
# A pause is limited to this time here, so that no calculation with it can overflow.
MAX_READ_PAUSE_S = 86_400.0
# Largest limit that has the number of digits that are read.
MAX_READ_LIMIT_PER_S = 1e9
# Longest text that is read as a load, and the largest numbers in it. The pace is at least 1, so
# that no work seems to take no time.
MAX_LOAD_CHARACTERS = 64
MAX_LOAD_COUNT = 1_000_000
MAX_PACE_PERCENT = 100_000
USUAL_PACE_PERCENT = 100
_LOAD = re.compile(r"([0-9]{1,7}) *, *([0-9]{1,7}) *, *([0-9]{1,7})(?: *, *([0-9]{1,6}))?")
_DECIMAL_NUMBER = re.compile(r"(?=\.?[0-9])[0-9]{0,9}(\.[0-9]{0,9})?")


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


def parse_limit_per_s(text):
    """Return a limit in requests per second, or ``None`` if the text is no decimal number.

    Examples:
        >>> parse_limit_per_s("5.6"), parse_limit_per_s("0"), parse_limit_per_s("-1")
        (5.6, 0.0, None)
        >>> [parse_limit_per_s(text) for text in ("nan", "1e9", "5.6, 5.6", "", ".")]
        [None, None, None, None, None]
    """
    text = text.strip()
    return float(text) if _DECIMAL_NUMBER.fullmatch(text) else None


def parse_load(text):
    """Return a ``LoadNotice``, or ``None`` if the text is not a load within the bounds.

    Args:
        text: ``RUNNING,WAITING,SLOTS`` or ``RUNNING,WAITING,SLOTS,PACE``, as integers.

    Examples:
        >>> parse_load("2,5,2,140")
        LoadNotice(running=2, waiting=5, slots=2, pace_percent=140)
        >>> parse_load("0,0,3").pace_percent
        100
        >>> [parse_load(text) for text in ("-1,0,2", "1,0", "1,0,2,0", "1.5,0,2", "1000001,0,2")]
        [None, None, None, None, None]
    """
    if len(text) > MAX_LOAD_CHARACTERS:
        return None
    match = _LOAD.fullmatch(text.strip())
    if match is None:
        return None
    running, waiting, slots = (int(digits) for digits in match.groups()[:3])
    pace_percent = USUAL_PACE_PERCENT if match[4] is None else int(match[4])
    is_within_bounds = max(running, waiting, slots) <= MAX_LOAD_COUNT
    if not is_within_bounds or not 1 <= pace_percent <= MAX_PACE_PERCENT:
        return None
    return LoadNotice(running, waiting, slots, pace_percent)


def make_notice(token, is_leaving, pause_text, limit_text=None, was_limited=False, load_text=None):
    """Return the ``EndpointNoticed`` event of a response, or ``None`` if it has no notice.

    Args:
        token: Token of the request.
        is_leaving: Whether the endpoint says that it leaves.
        pause_text: The time for which it wants no requests, or ``None``.
        limit_text: The requests per second that it takes from all hosts together, or ``None``.
        was_limited: Whether the endpoint had a limit when the request was sent.
        load_text: The load of the endpoint, or ``None``.
    """
    pause_s = 0.0 if pause_text is None else parse_pause_s(pause_text)
    limit_per_s = None if limit_text is None else parse_limit_per_s(limit_text)
    ends_limit = was_limited and limit_text is None
    has_text = not (pause_text is None and limit_text is None and load_text is None)
    if not (is_leaving or ends_limit or has_text):
        return None
    load = None if load_text is None else parse_load(load_text)
    return EndpointNoticed(
        token,
        is_leaving,
        pause_s or 0.0,
        pause_text[:MAX_LOGGED_CHARACTERS] if pause_s is None else "",
        limit_per_s,
        ends_limit,
        limit_text[:MAX_LOGGED_CHARACTERS] if limit_text and limit_per_s is None else "",
        load,
        load_text[:MAX_LOGGED_CHARACTERS] if load_text and load is None else "",
    )

"""Durations in the platform's format: a number with its unit."""

import re

from greengagerock.core import GreengageError
from greengagerock.core.decoding import MAX_DURATION_S

_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0}


def parse_duration(text):
    """Parse a duration; return seconds.

    Raises:
        GreengageError: ``invalid-value`` if the text is not a number followed by ``ms`` or ``s``,
            or the duration is above ``MAX_DURATION_S``.

    Examples:
        >>> parse_duration("1500ms"), parse_duration("2.5s")
        (1.5, 2.5)
    """
    match = _PATTERN.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise GreengageError(
            "invalid-value", f"{text!r} is not a duration such as '1500ms' or '2s'"
        )
    seconds = float(match[1]) * _SECONDS_PER_UNIT[match[2]]
    if seconds > MAX_DURATION_S:
        raise GreengageError("invalid-value", f"a duration is above {MAX_DURATION_S:g} s")
    return round(seconds, 9)


def format_duration(seconds):
    """Format a duration given in seconds as milliseconds with the unit.

    Examples:
        >>> format_duration(1.5), format_duration(0.0005)
        ('1500ms', '0.5ms')
    """
    milliseconds = round(seconds * 1000, 6)
    return f"{milliseconds:g}ms" if milliseconds < 1e5 else f"{round(milliseconds)}ms"

"""Durations in the platform's format: a number with its unit."""

import re
from decimal import Decimal

from greengagerock.core import GreengageError
from greengagerock.core.decoding import MAX_DURATION_S

_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_SECONDS_PER_UNIT = {"ms": 0.001, "s": 1.0}
# Durations are kept with this many decimals of a second.
_SECOND_DECIMALS = 9
# From here on, a conversion between milliseconds and seconds changes the last decimal kept.
_MAX_CONVERTED_S = 1e6


def parse_duration(text):
    """Parse a duration; return seconds, in whole nanoseconds.

    A positive duration below a nanosecond becomes a nanosecond, since zero has other meanings.

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
    if match[1].strip("0."):
        return round(seconds, _SECOND_DECIMALS) or 10.0**-_SECOND_DECIMALS
    return 0.0


def format_duration(seconds):
    """Format a duration given in seconds so that ``parse_duration`` returns the same number.

    Examples:
        >>> format_duration(1.5), format_duration(0.0005), format_duration(1.234567)
        ('1500ms', '0.5ms', '1234.567ms')
    """
    exact_s = Decimal(repr(float(seconds)))
    if seconds >= _MAX_CONVERTED_S:
        return f"{_format_plain(exact_s)}s"
    return f"{_format_plain(exact_s.scaleb(3))}ms"


def format_promised_duration(seconds):
    """Format a duration for which a promise holds, rounded down to whole milliseconds.

    Examples:
        >>> format_promised_duration(4.1), format_promised_duration(8.9999999)
        ('4100ms', '8999ms')
    """
    return f"{int(Decimal(repr(float(seconds))).scaleb(3))}ms"


def _format_plain(number):
    """Format a decimal number without an exponent and without zeros at the end."""
    text = f"{number:f}"
    return text.rstrip("0").rstrip(".") if "." in text else text

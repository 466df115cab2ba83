"""Structured logs: one line of ``key=value`` pairs for each event."""

import sys

from loguru import logger

_WARNING_EVENTS = frozenset({"bad-message", "request-failed", "endpoint-lost", "bad-http"})
_ERROR_EVENTS = frozenset({"disk-failed", "fatal", "internal-error"})


def configure_logs(settings):
    """Write logs to the file given in the settings, or else to standard error."""
    logger.remove()
    sink = settings.log.file or sys.stderr
    logger.add(
        sink,
        level=settings.log.level.upper(),
        format="time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level.name} {message}",
        enqueue=False,
        backtrace=False,
    )


def format_pairs(pairs):
    """Format ``key=value`` pairs as one line; values are quoted where needed.

    Examples:
        >>> format_pairs({"event": "started", "detail": "two words"})
        'event=started detail="two words"'
    """
    return " ".join(f"{key}={_quote(value)}" for key, value in pairs.items())


def _quote(value):
    text = str(value)
    if text and not any(character in text for character in ' "=\n\r\t'):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r").replace("\t", "\\t")
    return f'"{escaped}"'


def make_event_log(settings):
    """Return a function that logs an event with this host's name, zone and roles."""
    common_fields = {
        "host": settings.host,
        "zone": settings.availability_zone,
        "role": "+".join(settings.roles),
    }

    def log(event, **fields):
        line = format_pairs({"event": event, **common_fields, **fields})
        logger.opt(raw=False).log(_level_of(event), "{}", line)

    return log


def _level_of(event):
    if event in _ERROR_EVENTS:
        return "ERROR"
    return "WARNING" if event in _WARNING_EVENTS else "INFO"

"""Finds what the logs of all hosts say about one request."""

import re
from datetime import timedelta

import msgspec

from greengagerock.core import GreengageError

# Changes of belief so long before the request may explain its fate.
CONTEXT = timedelta(seconds=10)
MAX_CONTEXT_LINES = 40

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_TIME = re.compile(r"time=(\d\d):(\d\d):(\d\d)\.(\d{3}) ")
# Events that change what a host believes, as opposed to what becomes of a request.
_BELIEFS = frozenset(
    {
        "disk-refused",
        "disk-regained",
        "ended",
        "endpoint-changed",
        "endpoint-ended",
        "endpoint-joined",
        "endpoint-leaving",
        "items-changed",
        "keys-all-held",
        "keys-without-holder",
        "leader-begins",
        "leader-elected",
        "leader-found",
        "leader-lost",
        "leader-settled",
        "leader-stepped-down",
        "reloaded",
        "request-banned",
        "started",
        "stopping",
        "voters-changed",
    }
)


class LogLine(msgspec.Struct, frozen=True):
    """One line of a log.

    Attributes:
        at: Time of day.
        event: Name of the event.
        fields: All fields.
        text: The line.
    """

    at: timedelta
    event: str
    fields: dict[str, str]
    text: str


def read_log_line(text):
    """Return a ``LogLine``, or ``None`` if the text is not one.

    Examples:
        >>> line = read_log_line('time=08:04:22.643 event=request-failed code=no-room')
        >>> line.event, line.fields["code"], line.at.seconds
        ('request-failed', 'no-room', 29062)
        >>> read_log_line("Traceback (most recent call last):") is None
        True
    """
    match = _TIME.search(text)
    if match is None:
        return None
    hours, minutes, seconds, milliseconds = map(int, match.groups())
    at = timedelta(hours=hours, minutes=minutes, seconds=seconds, milliseconds=milliseconds)
    fields = {name: value.strip('"') for name, value in _PAIR.findall(text)}
    return LogLine(at, fields.get("event", ""), fields, text.strip())


def explain_request(request_id, lines):
    """Return what became of a request, and what was believed shortly before.

    Args:
        request_id: Id of the request.
        lines: ``LogLine`` objects of all hosts, in any order.

    Returns:
        A pair of lists of ``LogLine`` objects: those of the request, and changes of
        belief that concern its host, its endpoints or the leader.

    Raises:
        GreengageError: ``unknown-name`` if no line names the request.
    """
    lines = sorted(lines, key=lambda line: line.at)
    own = [line for line in lines if line.fields.get("request_id") == request_id]
    if not own:
        raise GreengageError("unknown-name", f"no line names request {request_id!r}")
    hosts = {line.fields.get("host") for line in own}
    endpoints = {line.fields.get("endpoint", "") for line in own}
    for line in own:
        endpoints.update(line.fields.get("tried", "").split(","))
    endpoints.discard("")
    context = [
        line
        for line in lines
        if line.event in _BELIEFS
        and own[0].at - CONTEXT <= line.at <= own[-1].at
        and (
            line.fields.get("host") in hosts
            or line.fields.get("endpoint") in endpoints
            or line.event.startswith(("keys", "leader", "voters"))
        )
    ]
    return own, context[-MAX_CONTEXT_LINES:]

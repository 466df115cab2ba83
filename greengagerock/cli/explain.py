"""Finds the log lines of all hosts that explain the outcome of one request."""

import re
from datetime import timedelta

import msgspec

from greengagerock.core import GreengageError

# Period before the first line of a request in which state changes may explain its outcome.
CONTEXT_DURATION = timedelta(seconds=10)
MAX_CONTEXT_LINES = 40

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_TIME = re.compile(r"time=(\d\d):(\d\d):(\d\d)\.(\d{3}) ")
# Events that change the state of a host or of its view of other processes, as opposed to events
# of a single request.
_STATE_EVENTS = frozenset(
    {
        "bad-load",
        "ban-ended",
        "disk-refused",
        "disk-regained",
        "ended",
        "endpoint-changed",
        "endpoint-cold",
        "endpoint-ended",
        "endpoint-joined",
        "endpoint-leaving",
        "endpoint-limit",
        "endpoint-paused",
        "endpoint-reached",
        "endpoint-says-leaving",
        "endpoint-unreachable",
        "endpoint-warm",
        "endpoints-withdrawn",
        "evacuation-acknowledged",
        "evacuation-keys-left",
        "evacuation-keys-moving",
        "evacuation-refused",
        "evacuations-changed",
        "items-changed",
        "keys-all-held",
        "keys-without-holder",
        "leave-acknowledged",
        "leave-identified",
        "leader-begins",
        "leader-elected",
        "leader-found",
        "leader-lost",
        "leader-settled",
        "leader-stepped-down",
        "partition-begins",
        "partition-ends",
        "reloaded",
        "request-banned",
        "started",
        "stopping",
        "voters-changed",
    }
)


class LogLine(msgspec.Struct, frozen=True):
    """A parsed log line.

    Attributes:
        at: Time of day.
        event: Name of the event.
        fields: All fields by name.
        text: The line itself.
    """

    at: timedelta
    event: str
    fields: dict[str, str]
    text: str


def read_log_line(text):
    """Parse a line of text; return a ``LogLine``, or ``None`` if it is not a log line.

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
    """Select the log lines of a request, and the state changes shortly before and during it.

    Args:
        request_id: Id of the request.
        lines: ``LogLine`` objects of all hosts, in any order.

    Returns:
        A pair of lists of ``LogLine`` objects: the lines of the request, and the state changes
        of its hosts, its endpoints, the keys, the leader or the voters.

    Raises:
        GreengageError: ``unknown-name`` if no line contains the request id.
    """
    lines = sorted(lines, key=lambda line: line.at)
    request_lines = [line for line in lines if line.fields.get("request_id") == request_id]
    if not request_lines:
        raise GreengageError("unknown-name", f"no log line contains request id {request_id!r}")
    hosts = {line.fields.get("host") for line in request_lines}
    endpoints = {line.fields.get("endpoint", "") for line in request_lines}
    for line in request_lines:
        endpoints.update(line.fields.get("tried", "").split(","))
    endpoints.discard("")
    context_lines = [
        line
        for line in lines
        if line.event in _STATE_EVENTS
        and request_lines[0].at - CONTEXT_DURATION <= line.at <= request_lines[-1].at
        and (
            line.fields.get("host") in hosts
            or line.fields.get("endpoint") in endpoints
            or line.event.startswith(("evacuation", "keys", "leader", "voters"))
        )
    ]
    return request_lines, context_lines[-MAX_CONTEXT_LINES:]

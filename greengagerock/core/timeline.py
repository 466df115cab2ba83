"""The timeline: a bounded buffer of typed events in each process."""

from collections import deque

import msgspec

from greengagerock.core.hlc import HybridClock, Timestamp

TIMELINE_CAPACITY = 4096


class TimelineEvent(msgspec.Struct, frozen=True):
    """An event in one process.

    Attributes:
        at: Hybrid logical timestamp.
        host: Host that recorded the event.
        zone: Availability zone of that host.
        kind: Kind of event, for example ``slot-granted``.
        endpoint: Endpoint concerned, or the empty string.
        key: Key or slot concerned, or the empty string.
        detail: Further data as ``key=value`` pairs.
    """

    at: Timestamp
    host: str
    zone: str
    kind: str
    endpoint: str = ""
    key: str = ""
    detail: str = ""


class TimelineFilter(msgspec.Struct, frozen=True):
    """A filter of events; empty fields match all events.

    Attributes:
        key: Key or slot.
        endpoint: Endpoint name.
        zone: Availability zone.
        since_us: Earliest wall-clock time in microseconds.
        until_us: Latest wall-clock time in microseconds.
    """

    key: str = ""
    endpoint: str = ""
    zone: str = ""
    since_us: int = 0
    until_us: int = 0

    def matches(self, event):
        """Return whether the filter accepts ``event``."""
        wall_us = event.at.wall_us
        return (
            (not self.key or event.key == self.key)
            and (not self.endpoint or event.endpoint == self.endpoint)
            and (not self.zone or event.zone == self.zone)
            and wall_us >= self.since_us
            and (not self.until_us or wall_us <= self.until_us)
        )


class Timeline:
    """A process's bounded record of events.

    Args:
        host: Name of this host.
        zone: Availability zone of this host.
        wall_clock_us: Callable that returns the wall clock in microseconds.
    """

    def __init__(self, host, zone, wall_clock_us):
        self.host = host
        self.zone = zone
        self.clock = HybridClock()
        self.wall_clock_us = wall_clock_us
        self.events = deque(maxlen=TIMELINE_CAPACITY)

    def stamp(self):
        """Return the timestamp for a message that is about to be sent."""
        return self.clock.tick(self.wall_clock_us())

    def observe(self, remote):
        """Advance the clock past the timestamp of a received message."""
        self.clock.merge(remote, self.wall_clock_us())

    def record(self, kind, endpoint="", key="", detail=""):
        """Append an event and return it."""
        event = TimelineEvent(self.stamp(), self.host, self.zone, kind, endpoint, key, detail)
        self.events.append(event)
        return event

    def select(self, event_filter):
        """Return the events that ``event_filter`` accepts, oldest first."""
        return tuple(event for event in self.events if event_filter.matches(event))


def merge_timelines(parts):
    """Merge the events of several processes into one ordered sequence.

    Args:
        parts: Iterable of event sequences, one for each process.

    Returns:
        A tuple of events, ordered by timestamp and then by host.
    """
    merged = [event for part in parts for event in part]
    return tuple(sorted(merged, key=lambda event: (event.at, event.host)))

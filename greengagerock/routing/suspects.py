"""Requests that are suspected of crashing the endpoints that run them."""

from collections import OrderedDict

import msgspec
import xxhash

ANSWERED_KEPT = 2048
CRASHES_UNTIL_BAN = 3
CRASH_WINDOW_S = 600.0
BAN_S = 600.0
MOST_SUSPECTS = 1024


class CrashReport(msgspec.Struct, frozen=True, tag="crash-report"):
    """A router tells the leader that an endpoint broke off while it ran a request.

    Attributes:
        fingerprint: Which request.
        service: Its service.
        request: Method and path, for people.
        endpoint: The endpoint.
        incarnation: Its incarnation.
        answered: Whether this router has lately seen the same request answered.
    """

    fingerprint: str
    service: str
    request: str
    endpoint: str
    incarnation: str
    answered: bool


def fingerprint_request(event):
    """Return a short digest of what a request asks for.

    Args:
        event: A ``RequestArrived`` event.

    Resends of a request have the same digest, whatever entry host they reach. The body
    is not known when the decision is made; its length stands for it.
    """
    length = event.headers.get("content-length", "")
    text = f"{event.service}\0{event.method}\0{event.path}\0{event.query}\0{length}"
    return xxhash.xxh3_64_hexdigest(text.encode())


def fingerprint_call(event, route):
    """Return a short digest of what a call asks for.

    Args:
        event: A ``CallArrived`` event.
        route: Its ``RouteItem``.
    """
    text = f"{route.name}\0{event.method}\0{event.target}\0{event.body_digest}"
    return xxhash.xxh3_64_hexdigest(text.encode())


class AnsweredRequests:
    """The digests of requests that were answered lately, in bounded space."""

    __slots__ = ("fingerprints",)

    def __init__(self):
        self.fingerprints = OrderedDict()

    def note(self, fingerprint):
        """Record an answered request."""
        self.fingerprints[fingerprint] = True
        self.fingerprints.move_to_end(fingerprint)
        if len(self.fingerprints) > ANSWERED_KEPT:
            self.fingerprints.popitem(last=False)

    def __contains__(self, fingerprint):
        return fingerprint in self.fingerprints


class Suspect:
    """What the leader knows of one suspected request.

    Attributes:
        crashes: Time of the report by endpoint and incarnation.
        cleared: Whether some router has seen it answered.
    """

    __slots__ = ("cleared", "crashes")

    def __init__(self):
        self.crashes = {}
        self.cleared = False


class CrashBook:
    """Counts the endpoints that each suspected request crashed.

    Requests in flight beside the guilty one are reported too. They are not banned,
    because they succeed elsewhere, and the guilty one never does.

    Examples:
        >>> book = CrashBook()
        >>> reports = [CrashReport("f", "s", "GET /x", f"e{n}", "i", False) for n in range(3)]
        >>> [book.take(report, 0.0) for report in reports]
        [False, False, True]
    """

    __slots__ = ("suspects",)

    def __init__(self):
        self.suspects = OrderedDict()

    def take(self, report, now_s):
        """Take in a report and return whether the request shall be banned now."""
        suspect = self.suspects.setdefault(report.fingerprint, Suspect())
        self.suspects.move_to_end(report.fingerprint)
        if len(self.suspects) > MOST_SUSPECTS:
            self.suspects.popitem(last=False)
        suspect.cleared = suspect.cleared or report.answered
        suspect.crashes[(report.endpoint, report.incarnation)] = now_s
        recent = [at_s for at_s in suspect.crashes.values() if now_s - at_s < CRASH_WINDOW_S]
        return not suspect.cleared and len(recent) >= CRASHES_UNTIL_BAN

    def forget(self, fingerprint):
        """Start anew with a request whose ban has ended."""
        self.suspects.pop(fingerprint, None)

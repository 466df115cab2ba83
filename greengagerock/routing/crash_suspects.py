"""Requests that are suspected of crashing the endpoints that run them."""

from collections import OrderedDict

import msgspec
import xxhash

# Number of fingerprints of requests with a response that a router stores.
MAX_KEPT_RESPONSES = 2048
# Number of endpoint incarnations that a request must have crashed to be banned.
CRASHES_UNTIL_BAN = 3
# Time after which a reported crash no longer counts.
CRASH_WINDOW_S = 600.0
# Length of a ban.
BAN_S = 600.0
# Time after a reset connection from which on a report of the endpoint shows that it has not
# crashed; an earlier one may have been sent before.
REPORT_MARGIN_S = 0.3
# Number of suspected requests that the leader stores.
MAX_SUSPECTS = 1024


class CrashReport(msgspec.Struct, frozen=True, tag="crash-report"):
    """Report of a router to the leader: a connection was lost while an endpoint ran a request.

    Attributes:
        fingerprint: Digest of the request.
        service: Service of the request.
        request: Description of the request for operators.
        endpoint: Name of the endpoint.
        incarnation: Incarnation of the endpoint.
        answered: Whether the reporting router has recently got a response to the same request.
        is_reset: Whether the endpoint reset the connection before any byte of its response, as a
            full endpoint does.
    """

    fingerprint: str
    service: str
    request: str
    endpoint: str
    incarnation: str
    answered: bool
    is_reset: bool = False


def fingerprint_request(event):
    """Return a short digest of a request.

    Resends of a request have the same digest on all entry hosts. The body is not yet read when
    the digest is needed, so its length is used instead.

    Args:
        event: A ``RequestArrived`` event.
    """
    length = event.headers.get("content-length", "")
    text = f"{event.service}\0{event.method}\0{event.path}\0{event.query}\0{length}"
    return xxhash.xxh3_64_hexdigest(text.encode())


def fingerprint_call(event, route):
    """Return a short digest of a call.

    Args:
        event: A ``CallArrived`` event.
        route: Its ``RouteItem``.
    """
    text = f"{route.name}\0{event.method}\0{event.target}\0{event.body_digest}"
    return xxhash.xxh3_64_hexdigest(text.encode())


class RecentResponses:
    """Fingerprints of requests that recently got a response, limited in number."""

    __slots__ = ("fingerprints",)

    def __init__(self):
        self.fingerprints = OrderedDict()

    def note(self, fingerprint):
        """Add a request that got a response."""
        self.fingerprints[fingerprint] = True
        self.fingerprints.move_to_end(fingerprint)
        if len(self.fingerprints) > MAX_KEPT_RESPONSES:
            self.fingerprints.popitem(last=False)

    def __contains__(self, fingerprint):
        return fingerprint in self.fingerprints


class Suspect:
    """A suspected request, as stored by the leader.

    Attributes:
        crash_times: Time of the newest report by endpoint and incarnation.
        was_answered: Whether a router has reported a response to the request.
    """

    __slots__ = ("crash_times", "was_answered")

    def __init__(self):
        self.crash_times = {}
        self.was_answered = False


class CrashCounter:
    """Counts the endpoints that each suspected request crashed.

    Other requests that were in flight at a crashed endpoint are reported, too. They are not
    banned, because some endpoint responds to them; none responds to the request that causes the
    crashes. A reset connection counts until the endpoint instance reports again: one that is full
    goes on reporting, one that has crashed does not.

    Attributes:
        suspects: ``Suspect`` objects by fingerprint.
        resets: Times of reset connections by fingerprint, by endpoint and incarnation.

    Examples:
        >>> counter = CrashCounter()
        >>> reports = [CrashReport("f", "s", "GET /x", f"e{n}", "i", False) for n in range(3)]
        >>> [counter.add_report(report, 0.0) for report in reports]
        [False, False, True]
        >>> counter.add_report(CrashReport("g", "s", "GET /x", "e7", "i", False, True), 1.0)
        False
        >>> counter.note_alive("e7", "i", 2.0), counter.suspects["g"].crash_times
        ([], {})
    """

    __slots__ = ("resets", "suspects")

    def __init__(self):
        self.suspects = OrderedDict()
        self.resets = {}

    def add_report(self, report, now_s):
        """Process a report and return whether the request is to be banned now."""
        suspect = self.suspects.setdefault(report.fingerprint, Suspect())
        self.suspects.move_to_end(report.fingerprint)
        if len(self.suspects) > MAX_SUSPECTS:
            self.suspects.popitem(last=False)
        instance = (report.endpoint, report.incarnation)
        if report.is_reset:
            self.resets.setdefault(instance, {})[report.fingerprint] = now_s
            if len(self.resets) > MAX_SUSPECTS:
                del self.resets[next(iter(self.resets))]
        else:
            self.resets.get(instance, {}).pop(report.fingerprint, None)
        suspect.was_answered = suspect.was_answered or report.answered
        suspect.crash_times[instance] = now_s
        return self._is_to_be_banned(suspect, now_s)

    def note_alive(self, endpoint, incarnation, now_s):
        """Process a report of an endpoint instance, which shows that it has not crashed.

        Returns:
            Fingerprints of requests that are no longer to be banned.
        """
        instance = (endpoint, incarnation)
        resets = self.resets.get(instance)
        if not resets:
            return []
        cleared = []
        for fingerprint, reset_s in list(resets.items()):
            if now_s - reset_s < REPORT_MARGIN_S:
                continue
            del resets[fingerprint]
            suspect = self.suspects.get(fingerprint)
            if suspect is not None:
                was_banned = self._is_to_be_banned(suspect, now_s)
                suspect.crash_times.pop(instance, None)
                if was_banned and not self._is_to_be_banned(suspect, now_s):
                    cleared.append(fingerprint)
        if not resets:
            del self.resets[instance]
        return cleared

    def _is_to_be_banned(self, suspect, now_s):
        recent = [at_s for at_s in suspect.crash_times.values() if now_s - at_s < CRASH_WINDOW_S]
        return not suspect.was_answered and len(recent) >= CRASHES_UNTIL_BAN

    def forget(self, fingerprint):
        """Drop a request whose ban has ended, so that its crashes are counted anew."""
        self.suspects.pop(fingerprint, None)

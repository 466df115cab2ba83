"""Division of endpoints' limits among routers, by their demand."""

from greengagerock.control.cold_shares import ColdShares
from greengagerock.control.limit_state import LimitState
from greengagerock.view import LimitShare

# A limit that has lasted this long is taken into account when keys are assigned.
LASTING_S = 1.0
# A new leader sends shares after this time, when all routers have found it.
SETTLING_S = 1.5
# A limit that no response has named for this long has ended, and the end of a limit is sent to
# routers for this long.
LIMIT_VALIDITY_S = 20.0
END_RETENTION_S = 5.0


class LimitShares:
    """The limits of all endpoints in one leader's term.

    Args:
        began_s: Start of the term, in monotonic seconds.
        term: The leader's term.

    Attributes:
        limits: ``LimitState`` objects by endpoint name.
        cold: The ``ColdShares`` of endpoints that are cold.

    Examples:
        >>> from greengagerock.view import LimitReport
        >>> shares = LimitShares(0.0)
        >>> for now_s in (10.0, 11.0, 12.0):
        ...     _ = shares.on_reports("r1", {"e1": LimitReport(1000, 9, 0.1, 5.0)}, now_s)
        ...     _ = shares.on_reports("r2", {"e1": LimitReport(1000, 1, None, None)}, now_s)
        >>> [round(shares.shares_for(r, 2, 12.0)[0].share, 1) for r in ("r1", "r2")]
        [0.8, 0.2]
    """

    __slots__ = ("began_s", "cold", "limits")

    def __init__(self, began_s, term=0):
        self.began_s = began_s
        self.limits = {}
        self.cold = ColdShares(term)

    def note_cold(self, endpoint, started_ms, requests_per_s, left_s, now_s, expected_per_s=None):
        """Record that an endpoint instance is cold.

        Args:
            endpoint: Name of the endpoint.
            started_ms: Start of the instance, in milliseconds since 1970.
            requests_per_s: Requests per second that it takes from all routers.
            left_s: Time for which it stays cold, in seconds.
            now_s: Monotonic time in seconds.
            expected_per_s: Requests per second that are expected for it, or ``None`` if unknown.

        Returns:
            Whether routers should be sent it at once.
        """
        return self.cold.note_cold(
            endpoint, started_ms, requests_per_s, now_s + left_s, now_s, expected_per_s
        )

    def note_warm(self, endpoint, started_ms, now_s):
        """Record that an instance is warm; return whether it was cold."""
        return self.cold.note_warm(endpoint, started_ms, now_s)

    def cold_shares_for(self, router, router_count, since, now_s):
        """Return the packed changes of cold endpoints that a router lacks, or ``None``.

        Args:
            router: Link address of the router.
            router_count: Number of routers.
            since: Number up to which the router has the changes.
            now_s: Monotonic time in seconds.
        """
        is_settled = now_s - self.began_s >= SETTLING_S
        return self.cold.packed_for(router, router_count, since, is_settled, now_s)

    def on_reports(self, router, reports, now_s):
        """Process the ``LimitReport`` objects of a router's poll, by endpoint name.

        Returns:
            Whether routers should be sent a change at once.
        """
        has_changed = False
        for name, report in reports.items():
            state = self.limits.get(name)
            if state is None or state.started_ms < report.started_ms:
                state = self.limits[name] = LimitState(report.started_ms, now_s)
            if state.started_ms != report.started_ms:
                continue
            state.add_demand(router, report.requests, now_s)
            if report.age_s is not None:
                observed_s = now_s - report.age_s
                has_changed |= state.observe(report.limit_per_s, observed_s, now_s)
        return has_changed

    def shares_for(self, router, router_count, now_s):
        """Return the ``LimitShare`` objects to send to a router.

        Args:
            router: Link address of the router.
            router_count: Number of routers.
            now_s: Monotonic time in seconds.
        """
        self._drop_outdated(now_s)
        is_settled = now_s - self.began_s >= SETTLING_S
        return tuple(
            LimitShare(
                name,
                state.started_ms,
                now_s - state.observed_s,
                state.limit_per_s,
                state.share_of(router, router_count, now_s) if is_settled else None,
                state.demand_per_s(now_s) if is_settled else None,
            )
            for name, state in self.limits.items()
            if state.observed_s > float("-inf")
        )

    def lasting_limit(self, endpoint, started_ms, now_s):
        """Return the ``LimitState`` of an instance whose limit has lasted, or ``None``.

        Args:
            endpoint: Name of the endpoint.
            started_ms: Start of the instance, in milliseconds since 1970.
            now_s: Monotonic time in seconds.
        """
        state = self.limits.get(endpoint)
        if state is None or state.started_ms != started_ms or state.limit_per_s is None:
            return None
        return state if now_s - state.since_s >= LASTING_S else None

    def _drop_outdated(self, now_s):
        for name, state in list(self.limits.items()):
            retention_s = END_RETENTION_S if state.limit_per_s is None else LIMIT_VALIDITY_S
            newest_s = max(state.observed_s, state.since_s)
            if now_s - newest_s > retention_s:
                del self.limits[name]

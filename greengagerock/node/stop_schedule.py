"""When a router that is stopped refuses requests, ends them, and ends itself.

It answers callers that the load balancer still sends, and requests whose endpoints are at work,
within the grace period, whose end the process does not survive. That period begins with the signal
and not when the decision core handles it, which is later if the process is held up.
"""

# The load balancer checks once per second and removes a host after two failed checks; the
# next response on each open connection closes it. Requests that arrive later are refused.
UNREADY_PERIOD_S = 3.0
# Calls are ended this long before the end of the grace period.
STOP_MARGIN_S = 0.6
# The least such time. It applies if the signal may be so much younger than its earliest time that
# calls would be ended before the last sixth of its grace period.
LATE_STOP_MARGIN_S = 0.3
LAST_SHARE = 1 / 6
# The process ends this long before the end of the grace period, or earlier.
END_MARGIN_S = 0.1
# Time that the HTTP servers get to answer what they have read, and at least, if the event loop was
# late.
MIN_DRAIN_S = 0.3
LATE_DRAIN_S = 0.2
# Part of ``MIN_DRAIN_S`` in which responses that have begun to arrive may still become complete.
ARRIVAL_S = 0.15
# The ports are closed this long before the process has to end, so that requests on the connections
# accepted last can still arrive.
LAST_ARRIVAL_S = 1.0


class StopSchedule:
    """Times of a planned stop, in monotonic seconds.

    Args:
        since_s: Latest time at which the stop had certainly not been requested yet.
        taken_s: When the decision core handles it, and reports the host unready from then on.
        grace_s: Time from the request to the end of the process, in seconds.

    Attributes:
        since_s: As above.
        refuses_s: When requests begin to be refused.
        may_end_s: When the process may end if it has no request. The load balancer sends callers
            until it has found the host unready; a response serves them better than a closed port.
        ends_calls_s: When the calls in progress whose endpoint has sent nothing get an error.
        ends_responses_s: When the others get one of which the caller has got nothing.
        closes_ports_s: When the ports close.
        ends_s: When the process ends, with the connections that are still open.

    Examples:
        >>> schedule = StopSchedule(100.0, 100.25, 6.0)
        >>> schedule.refuses_s, schedule.may_end_s, schedule.ends_calls_s
        (103.0, 103.25, 105.4)
        >>> round(schedule.drain_s(105.0), 3), schedule.drain_s(106.0)
        (0.7, 0.2)
        >>> round(StopSchedule(100.0, 100.6, 6.0).ends_calls_s, 3)
        105.6
    """

    __slots__ = (
        "closes_ports_s",
        "ends_calls_s",
        "ends_responses_s",
        "ends_s",
        "may_end_s",
        "refuses_s",
        "since_s",
    )

    def __init__(self, since_s, taken_s, grace_s):
        self.since_s = since_s
        kill_s = since_s + grace_s
        tolerated_s = max(0.0, LAST_SHARE * grace_s - STOP_MARGIN_S)
        later_s = max(0.0, taken_s - since_s - tolerated_s)
        self.ends_calls_s = min(kill_s - STOP_MARGIN_S + later_s, kill_s - LATE_STOP_MARGIN_S)
        self.ends_responses_s = self.ends_calls_s + ARRIVAL_S
        self.ends_s = min(self.ends_calls_s + MIN_DRAIN_S, kill_s - END_MARGIN_S)
        self.refuses_s = min(since_s + UNREADY_PERIOD_S, self.ends_calls_s)
        self.may_end_s = min(taken_s + UNREADY_PERIOD_S, self.ends_calls_s)
        self.closes_ports_s = self.ends_s - LAST_ARRIVAL_S

    def drain_s(self, now_s):
        """Return how long the HTTP servers may still answer, in seconds."""
        return max(LATE_DRAIN_S, self.ends_s - now_s)

    def age_ms(self, now_s):
        """Return the longest time for which the stop may have been requested, in milliseconds."""
        return round(1000 * (now_s - self.since_s))

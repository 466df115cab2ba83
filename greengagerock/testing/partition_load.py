"""Load on a simulated site some of whose routers are partitioned from endpoints."""

from greengagerock.core.interface import RespondWithError

# Time from the begin of a partition after which callers of its routers are to be served.
CONTACT_S = 3.0
# Share of the others' rate of service below which callers count as served far worse, and failures
# that are allowed in addition: a number, and a share of all requests.
LEAST_RELATIVE_RATE = 2 / 3
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1 / 50
# Time after its deadline by which each request has a final response.
FINAL_RESPONSE_S = 0.5

ROUTES = (("balance", "GET"), ("charge", "POST"), ("prices", "GET"))


class FirstTry:
    """One caller's first try.

    Attributes:
        router: Name of the router that it was sent to.
        sent_s: When it was sent.
        deadline_s: When the caller gives up.
        is_safe: Whether it may run more than once.
    """

    __slots__ = ("deadline_s", "is_safe", "router", "sent_s", "token")

    def __init__(self, token, router, sent_s, deadline_s, is_safe):
        self.token = token
        self.router = router
        self.sent_s = sent_s
        self.deadline_s = deadline_s
        self.is_safe = is_safe


class PartitionLoad:
    """Callers' first tries at all routers of a site, evenly over routers, routes and keys.

    Args:
        site: The ``FakeSite``.
        budget_s: Time that callers wait.

    Attributes:
        tries: All ``FirstTry`` objects.
    """

    def __init__(self, site, budget_s=0.8):
        self.site = site
        self.budget_s = budget_s
        self.tries = []
        self.routers = [name for name, host in site.hosts.items() if host.disk is None]

    def offer(self, per_s, duration_s):
        """Send ``per_s`` requests a second for some seconds, and run the site meanwhile."""
        random = self.site.random
        for _ in range(int(per_s * duration_s)):
            self.site.at(random.uniform(0, duration_s), self._call)
        self.site.run_for(duration_s)

    def _call(self):
        site = self.site
        router = site.random.choice(self.routers)
        if site.hosts[router].node is None or site.hosts[router].paused_events is not None:
            return
        route, method = site.random.choice(ROUTES)
        key = None if route == "prices" else site.random.randrange(65_536)
        token = site.call(router, route, key, method, self.budget_s)
        is_safe = method == "GET"
        deadline_s = site.now_s + self.budget_s
        self.tries.append(FirstTry(token, router, site.now_s, deadline_s, is_safe))

    def served_and_sent(self, routers, since_s, until_s):
        """Return how many tries at some routers were served in time, and how many there were."""
        tries = [t for t in self.tries if t.router in routers and since_s <= t.sent_s < until_s]
        return sum(self._is_served(t) for t in tries), len(tries)

    def _is_served(self, first_try):
        is_ok = self.site.request_results.get(first_try.token) == "ok"
        return is_ok and self.site.responded_at_s[first_try.token] <= first_try.deadline_s

    def is_far_worse(self, routers, since_s, until_s):
        """Return whether callers of some routers are served far worse than those of the others."""
        others = [router for router in self.routers if router not in routers]
        served, sent = self.served_and_sent(routers, since_s, until_s)
        other_served, other_sent = self.served_and_sent(others, since_s, until_s)
        is_rare = served * other_sent < LEAST_RELATIVE_RATE * other_served * sent
        return is_rare and sent - served > ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * sent

    def broken_invariants(self):
        """Return descriptions of requests that ran too often, or got a false or no response."""
        run_counts, request_ids = {}, {}
        for endpoint in self.site.reporting_endpoints.values():
            for request_id, _, _ in endpoint.runs:
                run_counts[request_id] = run_counts.get(request_id, 0) + 1
        found = []
        for first_try in self.tries:
            request_id = request_ids[first_try.token] = f"r{first_try.token}"
            runs = run_counts.get(request_id, 0)
            result = self.site.request_results.get(first_try.token)
            if runs > 1 and not first_try.is_safe:
                found.append(f"{request_id} ran {runs} times")
            is_refusal = isinstance(result, RespondWithError) and result.outcome == "not-run"
            if is_refusal and runs:
                found.append(f"{request_id} ran, but its caller got {result.code}")
            end_s = self._end_s(first_try)
            if end_s > first_try.deadline_s + FINAL_RESPONSE_S:
                found.append(f"{request_id} had no response at {end_s:.3f} s")
        return found

    def _end_s(self, first_try):
        """Return when a caller got a response, or its connection ended with the router's process.

        Without either, that is the present time.
        """
        end_s = self.site.responded_at_s.get(first_try.token, self.site.now_s)
        crash_times_s = self.site.hosts[first_try.router].crash_times_s
        return min([end_s, *(s for s in crash_times_s if s >= first_try.sent_s)])

    def excess_arrivals(self, ratio, slack):
        """Return by how many arrivals beyond the first of each request the budget is exceeded."""
        arrivals = sum(len(e.arrivals) for e in self.site.reporting_endpoints.values())
        first_arrivals = len(
            {r for e in self.site.reporting_endpoints.values() for r, _, _ in e.runs}
        )
        return arrivals - first_arrivals - (ratio * len(self.tries) + slack)

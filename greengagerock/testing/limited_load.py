"""Load on a simulated site one of whose endpoints names a limit, and what callers get."""

from greengagerock.assignment.units import KEYS_PER_UNIT
from greengagerock.core.interface import RespondWithError

# Time from the first response with a limit until it holds, and from a router's first such
# response until the router's requests count.
ADJUST_S = 3.0
NOTICE_S = 0.5
WINDOW_S = 4.0


class LimitedLoad:
    """Offers requests for one endpoint's keys, or for a service without keys.

    Args:
        site: The ``FakeSite``.
        endpoint: The ``FakeReportingEndpoint`` that names a limit.
        weights: Share of the requests by router name.

    Attributes:
        tokens: Tokens of the requests with the times at which they were sent.
    """

    def __init__(self, site, endpoint, weights):
        self.site = site
        self.endpoint = endpoint
        self.weights = weights
        self.tokens = []
        self.keys = [unit * KEYS_PER_UNIT for unit in list(endpoint.holds)[::40]]

    def offer(self, per_s, duration_s):
        """Send ``per_s`` requests a second for some seconds, and run the site meanwhile."""
        routers, shares = list(self.weights), list(self.weights.values())
        random = self.site.random
        for _ in range(int(per_s * duration_s)):
            router = random.choices(routers, shares)[0]
            self.site.at(random.uniform(0, duration_s), lambda r=router: self._call(r))
        self.site.run_for(duration_s)

    def _call(self, router):
        if self.site.hosts[router].node is None:
            return
        if self.keys:
            token = self.site.call(router, key=self.site.random.choice(self.keys))
        else:
            token = self.site.call(router, "prices")
        self.tokens.append((self.site.now_s, token))

    def excess(self, since_s):
        """Return by how many requests the endpoint's limit was exceeded in the worst window."""
        return self.endpoint.count_over_limit(WINDOW_S, NOTICE_S, since_s)

    def arrivals_per_s(self, since_s):
        """Return the mean rate of requests at the endpoint since a time."""
        count = sum(time_s >= since_s for time_s, _ in self.endpoint.arrivals)
        return count / (self.site.now_s - since_s)

    def refusals(self, since_s):
        """Return the error responses to requests sent since a time, with their waits."""
        results = [
            (self.site.request_results.get(token), self.site.responded_at_s.get(token), sent_s)
            for sent_s, token in self.tokens
            if sent_s >= since_s
        ]
        return [
            (result, responded_s - sent_s)
            for result, responded_s, sent_s in results
            if isinstance(result, RespondWithError)
        ]

    def served_share(self, since_s):
        """Return which share of the requests sent since a time was served."""
        tokens = [token for sent_s, token in self.tokens if sent_s >= since_s]
        results = [self.site.request_results.get(token) for token in tokens]
        return results.count("ok") / len(results)

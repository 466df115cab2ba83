"""Load on a simulated site some of whose endpoints are cold, and what these get."""

from greengagerock.assignment.units import KEYS_PER_UNIT
from greengagerock.items import EndpointWarmUp
from greengagerock.testing.fake_reporting_endpoint import FakeReportingEndpoint
from greengagerock.testing.fake_site import build_fake_site
from greengagerock.testing.item_builders import build_first_patch
from greengagerock.testing.limited_load import LimitedLoad

# Requests per second of a cold endpoint, and how many it may get in any one second:
# 3.5 x 1.5 + 8.
RATE_PER_S = 3.5
BOUND = 13.25
WARM_UP = EndpointWarmUp(3.0, RATE_PER_S, "3s")
# Time from a report of a cold endpoint until all routers in contact know of it.
ADJUST_S = 0.3


class ColdLoad(LimitedLoad):
    """Offers requests for the keys of some endpoints, or for a service without keys.

    Args:
        site: The ``FakeSite``.
        endpoints: The ``FakeReportingEndpoint`` objects that become cold.
        routers: Names of the routers that get requests.
        route: Route of the requests.

    Attributes:
        tokens_by_route: Times and tokens of the requests of ``offer_mixed``, by route.
    """

    def __init__(self, site, endpoints, routers, route="balance"):
        super().__init__(site, endpoints[0], dict.fromkeys(routers, 1.0))
        self.endpoints = endpoints
        self.route = route
        self.tokens_by_route = {}
        self.hold_all()

    def hold_all(self):
        """Send requests for keys that the endpoints hold now."""
        held = [unit for endpoint in self.endpoints for unit in list(endpoint.holds)[::40]]
        self.keys = [unit * KEYS_PER_UNIT for unit in held]

    def _call(self, router):
        if self.site.hosts[router].node is None:
            return
        key = self.site.random.choice(self.keys) if self.keys else None
        self.tokens.append((self.site.now_s, self.site.call(router, self.route, key=key)))

    def offer_mixed(self, rates, duration_s):
        """Send requests of several routes for some seconds.

        Args:
            rates: Requests per second by route.
            duration_s: Duration in seconds.
        """
        random, routers = self.site.random, list(self.weights)
        for route, per_s in rates.items():
            for _ in range(int(per_s * duration_s)):
                router = random.choice(routers)
                self.site.at(
                    random.uniform(0, duration_s),
                    lambda name=router, to=route: self._call_route(name, to),
                )
        self.site.run_for(duration_s)

    def _call_route(self, router, route):
        token = self.site.call(router, route)
        self.tokens_by_route.setdefault(route, []).append((self.site.now_s, token))

    def served_share_of(self, route, since_s):
        """Return which share of a route's requests sent since a time was served."""
        tokens = [token for sent_s, token in self.tokens_by_route[route] if sent_s >= since_s]
        results = [self.site.request_results.get(token) for token in tokens]
        return results.count("ok") / len(results)

    def become_cold(self, duration_s):
        """Make the endpoints cold for some seconds."""
        for endpoint in self.endpoints:
            endpoint.become_cold(self.site.now_s + duration_s)

    def worst_second(self):
        """Return the most requests that one of the endpoints got in any second while cold."""
        return max(worst_cold_second(endpoint) for endpoint in self.endpoints)


def worst_cold_second(endpoint):
    """Return the most requests that an endpoint got in any second of its last cold phase."""
    if endpoint.cold_reported_s is None:
        return 0
    since_s = endpoint.cold_reported_s + ADJUST_S
    times = [t for t, _ in endpoint.arrivals if since_s <= t < endpoint.cold_until_s]
    return max((sum(u - 1.0 < t <= u for t in times) for u in times), default=0)


def build_cold_load(
    routers, seed=1, names=("till-1",), warm_up=WARM_UP, route="balance", **options
):
    """Return a ``ColdLoad`` on a settled site."""
    site = build_fake_site(
        seed, routers=routers, first_patch=build_first_patch(warm_up), **options
    )
    edges = [f"edge-{number}" for number in range(1, routers + 1)]
    return ColdLoad(site, [site.reporting_endpoints[name] for name in names], edges, route)


def restart_cold(site, name, number, service, warm_up_s=3.0, started_ms=9000):
    """Start an endpoint anew, cold; its previous instance has ended."""
    endpoint = FakeReportingEndpoint(name, number, service, started_ms=started_ms)
    endpoint.become_cold(site.now_s + warm_up_s)
    site.reporting_endpoints[name].is_up = False
    return site.add_reporting_endpoint(endpoint)

"""Load on a simulated site one of whose availability zones is evacuated."""

from greengagerock.core.interface import MessageReceived, RespondWithError
from greengagerock.items import EvacuationOrder, Patch
from greengagerock.platform.wire_reports import encode_report_response
from greengagerock.testing.fake_reporting_endpoint import FakeReportingEndpoint
from greengagerock.testing.fake_site import build_fake_site

# Time from the acknowledgement of an order until no request reaches the zone.
EVACUATE_S = 5.0
# Time from the order until all keys have left the zone.
KEYS_LEFT_S = 3.5
# Time that a request needs from a router to an endpoint.
TRAVEL_S = 0.01
CALLS_PER_S = 120


def build_zoned_site(seed=1, routers=3, till_zones=(1, 1, 2, 2, 3, 3), **options):
    """Return a settled site whose endpoints are in several zones.

    Args:
        seed: Seed of the site.
        routers: Number of routers.
        till_zones: Number of the zone of each endpoint of the keyed service ``till``; the service
            ``docs`` without keys has endpoints in the same zones and in zone 1.
        **options: Options of ``FakeSite``.
    """
    site = build_fake_site(seed, routers=routers, reporting_endpoints=0, **options)
    for number, zone in enumerate(till_zones, 1):
        endpoint = FakeReportingEndpoint(f"till-{number}", number, zone=f"zone-{zone}")
        site.add_reporting_endpoint(endpoint)
    for zone in sorted({*till_zones} - {1}):
        name = f"docs-z{zone}"
        endpoint = FakeReportingEndpoint(name, 200 + zone, "docs", f"zone-{zone}")
        site.add_reporting_endpoint(endpoint)
    site.run_for(6.0)
    return site


def make_order(zone="zone-1", is_active=True):
    """Return a patch with one evacuation order."""
    return Patch(evacuations=(EvacuationOrder(zone, is_active),))


def order(site, zone="zone-1", is_active=True, limit_s=10.0):
    """Send an order to the controllers in turn until it is acknowledged.

    Returns:
        The time of the acknowledgement.

    Raises:
        AssertionError: If it is not acknowledged within ``limit_s``.
    """
    end_s = site.now_s + limit_s
    while site.now_s < end_s:
        if site.patch_until_replied(make_order(zone, is_active), limit_s).code == "":
            return site.now_s
        site.run_for(0.2)
    raise AssertionError("the order was not acknowledged")


def watch_view_sizes(site, router):
    """Return a list to which the size of each delta of endpoints that a router gets is added."""
    node = site.hosts[router].node
    handle, sizes = node.handle, []

    def watch(event, now_s):
        if isinstance(event, MessageReceived) and event.message.endpoints:
            sizes.append(len(event.message.endpoints))
        return handle(event, now_s)

    node.handle = watch
    return sizes


def watch_body_sizes(site):
    """Return a list to which the size of the body of each response to a report is added."""
    sizes = []
    for endpoint in site.reporting_endpoints.values():

        def apply_response(response, sent_s, now_s, apply=endpoint.apply_response):
            sizes.append(len(encode_report_response(response)))
            apply(response, sent_s, now_s)

        endpoint.apply_response = apply_response
    return sizes


class EvacuationLoad:
    """Callers at all routers of a site, and a check of which endpoints their requests reach.

    Args:
        site: The ``FakeSite``.
        zone: The zone that is evacuated.

    Attributes:
        tokens: Tokens of the requests with the times at which they were sent.
    """

    def __init__(self, site, zone="zone-1"):
        self.site = site
        self.zone = zone
        self.tokens = []
        self.routers = [name for name, host in site.hosts.items() if host.disk is None]

    def begin(self, duration_s, per_s=CALLS_PER_S):
        """Schedule requests over some seconds, evenly over routers, routes and keys."""
        for _ in range(int(per_s * duration_s)):
            self.site.at(self.site.random.uniform(0, duration_s), self._call)

    def _call(self):
        site = self.site
        router = site.random.choice(self.routers)
        if site.hosts[router].node is None or site.hosts[router].paused_events is not None:
            return
        route, method = site.random.choice(
            (("balance", "GET"), ("charge", "POST"), ("prices", "GET"))
        )
        key = None if route == "prices" else site.random.randrange(65_536)
        self.tokens.append((site.now_s, site.call(router, route, key, method)))

    def endpoints(self):
        """Return the endpoints of the zone."""
        endpoints = self.site.reporting_endpoints.values()
        return [e for e in endpoints if e.zone == self.zone]

    def arrivals(self, since_s, until_s=float("inf")):
        """Return (time, endpoint, router) of requests that reached the zone's endpoints."""
        return [
            (time_s, endpoint.name, router)
            for endpoint in self.endpoints()
            for time_s, router in endpoint.arrivals
            if since_s <= time_s < until_s
        ]

    def held_units(self):
        """Return the number of units that the zone's endpoints hold."""
        for endpoint in self.endpoints():
            endpoint.expire(self.site.now_s)
        return sum(len(endpoint.holds) for endpoint in self.endpoints())

    def refusals(self, since_s=0.0):
        """Return the error responses to requests sent since a time."""
        results = [self.site.request_results.get(t) for s, t in self.tokens if s >= since_s]
        return [result for result in results if isinstance(result, RespondWithError)]

    def served_share(self, since_s, until_s):
        """Return which share of the requests sent in a period was served."""
        tokens = [t for sent_s, t in self.tokens if since_s <= sent_s < until_s]
        return sum(self.site.request_results.get(t) == "ok" for t in tokens) / len(tokens)

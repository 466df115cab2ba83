"""A simulated site whose endpoints state their load, and callers of routes of three priorities."""

from greengagerock.core.interface import RespondWithError
from greengagerock.items import Patch
from greengagerock.testing.fake_loaded_endpoint import FakeLoadedEndpoint
from greengagerock.testing.fake_site import FakeSite
from greengagerock.testing.item_builders import build_limits, build_route, build_service

# A tenth of a deployment with 84, 50 and 11 endpoints: requests per second, time that a caller
# waits, and the latency objective by route.
RATES_PER_S = {"lookup": 48.0, "book": 22.0, "export": 7.6}
BUDGETS_S = {"lookup": 3.9, "book": 5.4, "export": 5.4}
OBJECTIVES_S = {"lookup": 1.03, "book": 1.08, "export": 2.7}
METHODS = {"lookup": "GET", "book": "POST", "export": "GET"}
ENDPOINTS = (("slots", 8, 0.16), ("booking", 5, 0.21), ("exports", 1, 0.13))
PACES = (0.6, 1.0, 1.4)


def build_loaded_patch():
    """Return items: the least urgent route also goes to the services of the two others."""
    shares = (("exports", 1.0), ("slots", 1.0), ("booking", 1.0))
    targets = {"lookup": (("slots", 1.0),), "book": (("booking", 1.0),), "export": shares}
    routes = tuple(
        build_route(
            name,
            weighted_services=targets[name],
            priority=priority,
            kind="unsafe" if METHODS[name] == "POST" else "safe",
            timeout_s=BUDGETS_S[name],
            objective_s=OBJECTIVES_S[name],
        )
        for priority, name in enumerate(("lookup", "book", "export"))
    )
    services = (
        build_service("slots"),
        build_service("booking", keyed=False),
        build_service("exports", keyed=False),
    )
    return Patch(routes, services, build_limits())


def build_loaded_site(seed=1, routers=7, states_load=True, admits_by_load=True, **options):
    """Return a settled site of loaded endpoints, with routers in three zones."""
    site = FakeSite(seed, admits_by_load=admits_by_load, **options)
    names = [f"core-{number}" for number in range(1, 4)]
    seeds = [site.address_of(name) for name in names]
    for number, name in enumerate(names, 1):
        site.add_site_host(name, f"zone-{number}", seeds)
    for number in range(routers):
        site.add_site_host(f"edge-{number}", f"zone-{number % 3 + 1}", seeds, role="router")
    site.run_for(2.0)
    result = site.patch_until_replied(build_loaded_patch())
    assert result.code == "", result
    number = 0
    for service, count, work_s in ENDPOINTS:
        for index in range(count):
            number += 1
            endpoint = FakeLoadedEndpoint(
                f"{service}-{index}",
                number,
                work_s=work_s,
                service=service,
                zone=f"zone-{index % 3 + 1}",
            )
            endpoint.pace = PACES[index % 3]
            endpoint.states_load = states_load
            site.add_reporting_endpoint(endpoint)
    site.run_for(5.0)
    return site


class KindCounts:
    """What the callers of one route got.

    Attributes:
        sent: Number of callers.
        in_time: Callers that were served within the objective, from their first request on.
        late: Callers that were served later.
        refused_once: Callers that were refused at least once.
        failed: Callers that were never served.
    """

    __slots__ = ("failed", "in_time", "late", "refused_once", "sent")

    def __init__(self):
        self.sent = 0
        self.in_time = 0
        self.late = 0
        self.refused_once = 0
        self.failed = 0


class Caller:
    """One caller, who sends its request again after the time that a refusal names.

    Args:
        load: The ``PriorityLoad``.
        route: Name of the route.
        router: Name of the router that it uses.
    """

    def __init__(self, load, route, router):
        self.load = load
        self.route = route
        self.router = router
        self.started_s = load.site.now_s
        self.deadline_s = self.started_s + BUDGETS_S[route]
        self.key = None if route != "lookup" else load.site.random.randrange(65_536)
        self.refusals = []
        self.tokens = []
        self.served_s = None

    def send(self):
        """Send the request, unless there is no time left."""
        site = self.load.site
        left_s = self.deadline_s - site.now_s
        if left_s <= 0 or site.hosts[self.router].node is None:
            return
        token = site.call(self.router, self.route, self.key, METHODS[self.route], left_s)
        self.tokens.append(token)
        self.load.callers_by_token[token] = self
        if token in site.request_results:
            # It was refused at once.
            self.on_result(token, site.request_results[token])

    def on_result(self, token, result):
        """Process the response to one of its requests."""
        site = self.load.site
        if result == "ok":
            self.served_s = site.now_s
        elif isinstance(result, RespondWithError) and result.outcome == "not-run":
            self.refusals.append((site.now_s, result, self.deadline_s - site.now_s))
            if result.retry_after_s is not None:
                site.at(result.retry_after_s, self.send)


class PriorityLoad:
    """Callers of all routes of a loaded site, who come back once after each refusal.

    Args:
        site: The ``FakeSite`` of ``build_loaded_site``.

    Attributes:
        callers: All ``Caller`` objects.
        callers_by_token: Callers by the token of each request.
        factors: Factor of the request rate by route.
    """

    def __init__(self, site):
        self.site = site
        self.callers = []
        self.callers_by_token = {}
        self.factors = dict.fromkeys(RATES_PER_S, 1.0)
        self.routers = [name for name, host in site.hosts.items() if host.disk is None]
        record_response = site._record_response

        def record_and_notify(token, result):
            record_response(token, result)
            caller = self.callers_by_token.get(token)
            if caller is not None:
                caller.on_result(token, result)

        site._record_response = record_and_notify

    def offer(self, duration_s, factors=None):
        """Send requests for some seconds, and run the site meanwhile.

        Args:
            duration_s: Duration in seconds.
            factors: Factor of the usual request rate by route, where it is not 1.
        """
        random = self.site.random
        for route, per_s in RATES_PER_S.items():
            for _ in range(int(per_s * (factors or {}).get(route, 1.0) * duration_s)):
                self.site.at(random.uniform(0, duration_s), lambda r=route: self._begin(r))
        self.site.run_for(duration_s)

    def _begin(self, route):
        caller = Caller(self, route, self.site.random.choice(self.routers))
        self.callers.append(caller)
        caller.send()

    def counts(self, since_s=0.0):
        """Return ``KindCounts`` by route, of the callers that began after a time."""
        counts = {route: KindCounts() for route in RATES_PER_S}
        for caller in self.callers:
            if caller.started_s < since_s:
                continue
            kind = counts[caller.route]
            kind.sent += 1
            kind.refused_once += bool(caller.refusals)
            if caller.served_s is None:
                kind.failed += 1
            elif caller.served_s - caller.started_s <= OBJECTIVES_S[caller.route]:
                kind.in_time += 1
            else:
                kind.late += 1
        return counts

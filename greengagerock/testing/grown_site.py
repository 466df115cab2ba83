"""Load on a simulated site of 60 routers whose links are about 40% full of long responses."""

from greengagerock.testing.fake_site import build_fake_site
from greengagerock.testing.item_builders import build_first_patch
from greengagerock.testing.partition_load import PartitionLoad

ROUTERS = 60
KEYED_ENDPOINTS = 140
UNKEYED_ENDPOINTS = 30
RATE_PER_S = 450
LINK_BYTES_PER_S = 312_500
# Mean sizes of responses; two thirds of the requests are for services with keys.
SHORT_BODY_BYTES = 1_000
LONG_BODY_BYTES = 46_000
WORK_S = 0.2
# Time that callers wait, and that routes allow.
BUDGET_S = 2.0
OBJECTIVE_S = 1.0
# Share of idle connections that endpoints close each second.
CLOSED_SHARE = 0.1


class GrownLoad:
    """First tries at all routers of the site.

    Args:
        seed: Seed of the site.

    Attributes:
        load: The ``PartitionLoad``.
        site: The ``FakeSite``.
    """

    def __init__(self, seed):
        self.site = build_fake_site(
            seed=seed,
            controllers=4,
            routers=ROUTERS,
            reporting_endpoints=KEYED_ENDPOINTS,
            unkeyed_endpoints=UNKEYED_ENDPOINTS,
            link_bytes_per_s=LINK_BYTES_PER_S,
            first_patch=build_first_patch(timeout_s=BUDGET_S, objective_s=OBJECTIVE_S),
        )
        for endpoint in self.site.reporting_endpoints.values():
            endpoint.processing_time_s = WORK_S
            is_long = endpoint.service == "docs"
            endpoint.mean_body_bytes = LONG_BODY_BYTES if is_long else SHORT_BODY_BYTES
        self.load = PartitionLoad(self.site, budget_s=BUDGET_S)

    def offer(self, seconds):
        """Send requests for some seconds, while endpoints close some of the idle connections."""
        paths = self.site.paths
        for _ in range(seconds):
            for path in list(paths.idle_connections):
                is_closed = self.site.random.random() < CLOSED_SHARE
                if path[1] in self.site.reporting_endpoints and is_closed:
                    del paths.idle_connections[path]
            self.load.offer(RATE_PER_S, 1.0)

    def cut(self, routers, fault, services=("till", "docs")):
        """Let routers lose the endpoints of services; return the time."""
        names = [e.name for e in self.site.reporting_endpoints.values() if e.service in services]
        self.site.paths.cut(routers, names, fault)
        return self.site.now_s

"""Load on a simulated site that makes some keys hot, and what their callers and others get."""

from greengagerock.assignment.units import KEYS_PER_UNIT
from greengagerock.testing.fake_site import REPORT_INTERVAL_S, build_fake_site, find_leader_name

KEY_COUNT = 65_536
# Work time of an endpoint of usual speed; with 3 slots it serves 30 requests per second.
WORK_S = 0.1
# Factors by which the work of half of the endpoints, and of the other half, takes longer.
SPEED_FACTORS = (0.7, 1.7)
# Requests that wait at an endpoint before it refuses others.
QUEUE_LIMIT = 12
SETTLE_S = 8.0
TWO_INTERVALS_S = 2 * REPORT_INTERVAL_S


class HotLoad:
    """Offers requests to a keyed service, some of them for hot keys.

    Args:
        site: The ``FakeSite``.
        routers: Number of routers that callers use.

    Attributes:
        calls: Tuples of time, key and token of the requests.
        watched_key: A hot key, or ``None``.
        tokens_beside: Tokens of requests for other keys of the endpoint that held the watched
            key when they were sent.
        owner_changes: Tuples of time, unit and endpoint name of each grant of the leaders.
    """

    def __init__(self, site, routers):
        self.site = site
        self.routers = [f"edge-{number}" for number in range(1, routers + 1)]
        self.calls = []
        self.watched_key = None
        self.tokens_beside = set()
        self.owner_changes = []

    def offer(self, seconds, base_per_s, hot_keys=(), hot_per_s=0.0, base_keys=None):
        """Send requests for all keys, or for ``base_keys``, and for hot keys, and run the site."""
        random = self.site.random
        base_keys = base_keys or range(KEY_COUNT)
        for keys, per_s in ((base_keys, base_per_s), (hot_keys, hot_per_s)):
            for _ in range(int(per_s * seconds)):
                key = random.choice(keys)
                self.site.at(random.uniform(0.0, seconds), lambda k=key: self._call(k))
        self.record_owners()
        self.site.run_for(seconds)

    def record_owners(self):
        """Record the grants of the present leader from now on."""
        leader = find_leader_name(self.site)
        if leader is None:
            return
        assignments = self.site.hosts[leader].node.site_leader.assignments_by_service["till"]
        if hasattr(assignments.on_owner_changed, "is_recording"):
            return
        inner = assignments.on_owner_changed

        def record(unit, endpoint):
            if endpoint:
                self.owner_changes.append((self.site.now_s, unit, endpoint))
            inner(unit, endpoint)

        record.is_recording = True
        assignments.on_owner_changed = record

    def served_share(self, since_s, until_s, keys):
        """Return which share of the requests for some keys in a period was served.

        Requests for keys beside the watched one count as well. Call it once all have ended.
        """
        results = [
            self.site.request_results.get(token)
            for sent_s, key, token in self.calls
            if since_s <= sent_s < until_s and (key in keys or token in self.tokens_beside)
        ]
        return results.count("ok") / len(results)

    def moved_units(self, since_s):
        """Return the number of grants of units since a time."""
        return sum(time_s >= since_s for time_s, _, _ in self.owner_changes)

    def holder(self, key):
        """Return the endpoint that holds a key, or ``None``."""
        return self.site.find_endpoint_holding("till", key)

    def neighbours(self, key):
        """Return the keys of other units that the holder of a key holds, as a set."""
        return {
            unit * KEYS_PER_UNIT + number
            for unit in self.holder(key).holds
            if unit != key // KEYS_PER_UNIT
            for number in range(KEYS_PER_UNIT)
        }

    def _call(self, key):
        token = self.site.call(self.site.random.choice(self.routers), key=key)
        self.calls.append((self.site.now_s, key, token))
        if self.watched_key is not None and key != self.watched_key:
            holder = self.holder(self.watched_key)
            if holder is not None and holder.holds_key(key, self.site.now_s):
                self.tokens_beside.add(token)


def build_hot_load(
    seed=1, endpoints=40, routers=4, base_per_s=300.0, settle_s=SETTLE_S, factors=SPEED_FACTORS
):
    """Return a load on a site of endpoints of some speeds that has settled under base load."""
    site = build_fake_site(seed=seed, routers=routers, reporting_endpoints=endpoints)
    for number, endpoint in enumerate(site.reporting_endpoints.values()):
        endpoint.processing_time_s = WORK_S * factors[number % len(factors)]
        endpoint.queue_limit = QUEUE_LIMIT
    load = HotLoad(site, routers)
    load.offer(settle_s, base_per_s)
    return load

"""Metrics in the Prometheus text format."""

import threading
from itertools import accumulate

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.exposition import CONTENT_TYPE_LATEST

from greengagerock.control.queries import slot_imbalance
from greengagerock.routing.path_report import CONNECT_BOUNDS_S

LATENCY_BUCKETS_S = (0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.5, 1, 2, 5)


class Metrics:
    """The metrics of one daemon.

    Most counters are kept in the decision core; collectors read them at each scrape.
    """

    content_type = CONTENT_TYPE_LATEST

    def __init__(self):
        self.registry = CollectorRegistry()
        self.response_head_histogram = Histogram(
            "greengage_answer_head_seconds",
            "Time from the arrival of a request to the head of its answer.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.control_refusals = Counter(
            "greengage_control_refusals",
            "Calls of endpoints and operators that were refused, by code.",
            ["code"],
            registry=self.registry,
        )
        self.overlong_responses = Counter(
            "greengage_overlong_report_responses",
            "Responses to reports that were too long for an endpoint to take.",
            registry=self.registry,
        )
        self.up = Gauge("greengage_up", "1 while the daemon runs.", registry=self.registry)
        self.up.set(1)
        self._histograms = {}

    def time_response_head(self, service):
        """Return a context manager that measures the time until the response head."""
        histogram = self._histograms.get(service)
        if histogram is None:
            # Unknown service names share the empty label, so that callers cannot create series.
            is_known = service in self.service_names()
            histogram = self.response_head_histogram.labels(service if is_known else "")
            if is_known:
                self._histograms[service] = histogram
        return histogram.time()

    def service_names(self):
        """Return the names of existing services; replaced by ``register_node``."""
        return ()

    def register_node(self, node, links):
        """Export the counters of a node and its links from now on."""
        self.service_names = lambda: node.history.routes.services
        self.registry.register(NodeCollector(node, links))

    def render(self):
        """Return all metrics in the text format."""
        return generate_latest(self.registry)


class NodeCollector:
    """Collects the counters of a ``Node``.

    Args:
        node: The ``Node``.
        links: The ``Links`` of its host.
    """

    def __init__(self, node, links):
        self.node = node
        self.links = links

    def collect(self):
        """Yield metric families."""
        yield from self._requests()
        yield from self._routes()
        yield from collect_link_metrics(self.links.stats)
        yield from self._controller()

    def _requests(self):
        router = self.node.router
        outcomes = CounterMetricFamily(
            "greengage_requests", "Finished requests.", labels=["service", "outcome"]
        )
        for (service, outcome), count in list(router.stats.outcomes.items()):
            outcomes.add_metric([service, outcome], count)
        yield outcomes
        yield CounterMetricFamily(
            "greengage_retries", "Further attempts.", value=router.stats.retries
        )
        yield CounterMetricFamily(
            "greengage_sheds", "Requests refused at a full queue.", value=router.stats.sheds
        )
        unavailable = CounterMetricFamily(
            "greengage_unavailable_seconds",
            "Time without an answer, summed over the units of a service.",
            labels=["service"],
        )
        for service, seconds in list(router.stats.unavailable_s.items()):
            unavailable.add_metric([service], seconds)
        yield unavailable
        yield GaugeMetricFamily(
            "greengage_in_flight", "Requests in flight.", value=len(router.registry)
        )

    def _routes(self):
        node = self.node
        yield GaugeMetricFamily(
            "greengage_route_version", "Version of the routes.", value=node.history.version
        )
        age_s = node.lease_manager_client.lease.contact_age_s(node.timers.now_s)
        yield GaugeMetricFamily(
            "greengage_lease_age_seconds",
            "Seconds since the zone's last certain contact with the leader.",
            value=min(age_s, 1e9),
        )

    def _controller(self):
        controller = self.node.controller
        if controller is None:
            return
        yield GaugeMetricFamily(
            "greengage_leader", "1 if this voter leads.", value=int(controller.voter.is_leader)
        )
        state = controller.state
        yield CounterMetricFamily("greengage_moves", "Units that moved.", value=state.move_count)
        yield self._imbalance(state)

    def _imbalance(self, state):
        family = GaugeMetricFamily(
            "greengage_imbalance_max_over_mean",
            "Units of the fullest endpoint over the mean.",
            labels=["service"],
        )
        for name, service in list(state.routes.services.items()):
            if service.keyed:
                measure = slot_imbalance(state.routes, name)
                family.add_metric([name], measure.max_over_mean)
        return family


class SiteCollector:
    """Collects the counters of a site's node.

    Args:
        node: A ``RouterNode`` or ``ControllerNode``.
        links: The ``Links`` of its host.
        loop: The ``EventLoop`` of its host.
    """

    def __init__(self, node, links, loop):
        self.node = node
        self.links = links
        self.loop = loop

    def collect(self):
        """Yield metric families."""
        yield CounterMetricFamily(
            "greengage_internal_errors",
            "Events and effects that raised an unexpected exception.",
            value=self.loop.internal_error_count,
        )
        outcomes = CounterMetricFamily(
            "greengage_requests", "Finished requests.", labels=["service", "outcome"]
        )
        for (service, outcome), count in list(self.node.stats.outcomes.items()):
            outcomes.add_metric([service, outcome], count)
        yield outcomes
        yield CounterMetricFamily(
            "greengage_retries", "Further attempts.", value=self.node.stats.retries
        )
        yield from self._link_turns()
        yield from self._limits()
        yield from self._paths()
        yield self._evacuations()
        yield from self._loads()
        yield from self._hot_keys()
        yield from collect_link_metrics(self.links.stats)
        yield GaugeMetricFamily("greengage_threads", "Threads.", value=threading.active_count())

    def _link_turns(self):
        """Yield how many long responses use and await a router's slow link."""
        dispatcher = getattr(self.node, "dispatcher", None)
        if dispatcher is None:
            return
        schedule = dispatcher.sender.link_schedule
        for name, description, count in (
            ("turns", "Long responses on the slow link.", len(schedule.running)),
            ("waiting", "Long responses that wait for the link.", len(schedule.waiting)),
        ):
            yield GaugeMetricFamily(f"greengage_link_{name}", description, value=count)

    def _limits(self):
        """Yield how many endpoints limit the requests that they take."""
        dispatcher = getattr(self.node, "dispatcher", None)
        if dispatcher is not None:
            yield GaugeMetricFamily(
                "greengage_limited_endpoints",
                "Endpoints that limit the requests that they take.",
                value=len(dispatcher.limits.by_endpoint),
            )
            cold = GaugeMetricFamily(
                "greengage_cold_endpoints",
                "Endpoints that are cold, so that their requests are limited.",
                labels=["service"],
            )
            for service, count in self.node.cold_endpoints.count_by_service().items():
                cold.add_metric([service], count)
            yield cold

    def _evacuations(self):
        """Return how many availability zones are evacuated, as this host knows."""
        dispatcher = getattr(self.node, "dispatcher", None)
        if dispatcher is not None:
            zones = dispatcher.zone_evacuations.learnt_s
        else:
            zones = self.node.store.items.evacuations
        return GaugeMetricFamily(
            "greengage_evacuated_zones", "Evacuated availability zones.", value=len(zones)
        )

    def _paths(self):
        """Yield how many endpoints a router cannot reach, and what it sends through others."""
        dispatcher = getattr(self.node, "dispatcher", None)
        if dispatcher is not None:
            yield GaugeMetricFamily(
                "greengage_unreachable_endpoints",
                "Endpoints to which the last attempt to connect failed.",
                value=dispatcher.observations.unreachable_count(),
            )
            yield GaugeMetricFamily(
                "greengage_lost_groups",
                "Services and zones whose endpoints count as lost.",
                value=len(dispatcher.paths.detector.lost_groups),
            )
            yield CounterMetricFamily(
                "greengage_late_connections",
                "Connect timeouts of endpoints that count as busy, not as lost.",
                value=dispatcher.path_failures.late_count,
            )
            yield CounterMetricFamily(
                "greengage_reset_connections",
                "Connections that endpoints reset before any byte of a response.",
                value=dispatcher.connection_losses.reset_count,
            )
            yield CounterMetricFamily(
                "greengage_relayed",
                "Requests sent to endpoints through other routers.",
                value=dispatcher.paths.relays.sent_count,
            )
            yield GaugeMetricFamily(
                "greengage_usable_relays",
                "Routers through which requests may be sent now.",
                value=dispatcher.paths.relays.usable_count(),
            )
            yield from collect_path_metrics(dispatcher.path_report)

    def _loads(self):
        """Yield what a router knows of the load of endpoints, and what it holds back for it."""
        dispatcher = getattr(self.node, "dispatcher", None)
        if dispatcher is None:
            return
        admission = dispatcher.sender.admission
        ages_s = dispatcher.observations.loads.ages_s(self.node.timers.now_s)
        for name, description, value in (
            ("known_loads", "Endpoints whose load is known.", len(ages_s)),
            ("load_age_seconds", "Mean age of known loads.", sum(ages_s) / max(1, len(ages_s))),
            ("waiting_calls", "Calls that wait for a free slot.", len(admission.waiting)),
        ):
            yield GaugeMetricFamily(f"greengage_{name}", description, value=value)
        for name, description, value in (
            ("waits", "Calls that have waited for a free slot.", admission.wait_count),
            ("wait_seconds", "Time that calls have waited.", admission.wait_sum_s),
        ):
            yield CounterMetricFamily(f"greengage_{name}", description, value=value)
        refusals = CounterMetricFamily(
            "greengage_load_refusals", "Calls refused for load, by cause.", labels=["cause"]
        )
        for cause, count in list(admission.refusals.items()):
            refusals.add_metric([cause], count)
        yield refusals

    def _hot_keys(self):
        """Yield what a leader has moved because of hot keys, by service."""
        leader = getattr(self.node, "site_leader", None)
        if leader is None:
            return
        families = [
            GaugeMetricFamily(f"greengage_{name}", description, labels=["service"])
            for name, description in (
                ("hot_blocks", "Blocks of neighbouring keys that are hot."),
                ("isolated_endpoints", "Endpoints that gave up keys because of a hot one."),
                ("temporarily_moved_units", "Units that return after their keys have cooled."),
            )
        ]
        moved = CounterMetricFamily(
            "greengage_moved_units", "Units moved in this term.", labels=["service"]
        )
        for service, assignments in list(leader.assignments_by_service.items()):
            planner = assignments.hot_units
            for family, values in zip(
                families,
                (planner.hot_blocks, planner.isolations, planner.temporary_moves),
                strict=True,
            ):
                family.add_metric([service], len(values))
            moved.add_metric([service], assignments.moved_unit_count)
        yield from families
        yield moved


def collect_path_metrics(report):
    """Yield metric families of the ``PathReport`` of a router."""
    first_tries = CounterMetricFamily(
        "greengage_first_tries", "First attempts of calls.", labels=["way", "end"]
    )
    for (way, end), count in list(report.first_tries.items()):
        first_tries.add_metric([way, end], count)
    yield first_tries
    connect_times = HistogramMetricFamily(
        "greengage_connect_seconds",
        "Time to open a connection to an endpoint or a relay, failed ones included.",
        labels=["way"],
    )
    for way, times in report.connect_times.items():
        bounds = [str(bound_s) for bound_s in CONNECT_BOUNDS_S] + ["+Inf"]
        buckets = list(zip(bounds, accumulate(times.counts), strict=True))
        connect_times.add_metric([way], buckets, times.sum_s)
    yield connect_times
    yield CounterMetricFamily(
        "greengage_body_bytes",
        "Bodies of responses, which pass the link once in each direction.",
        value=report.body_bytes,
    )
    yield GaugeMetricFamily(
        "greengage_slow_link_bytes_per_second",
        "Speed of the network link, 0 if it is no bottleneck.",
        value=report.link_bytes_per_s or 0.0,
    )


def collect_link_metrics(stats):
    """Yield metric families of the ``LinkStats`` of a host."""
    by_kind = CounterMetricFamily(
        "greengage_link_sent_bytes_by_kind", "Links: sent bytes by kind.", labels=["kind"]
    )
    for kind, size in list(stats.sent_bytes_by_kind.items()):
        by_kind.add_metric([kind], size)
    yield by_kind
    for name in stats.COUNTERS:
        yield CounterMetricFamily(
            f"greengage_link_{name}", f"Links: {name}.", value=getattr(stats, name)
        )

"""Configuration of the nodes of a site."""

import msgspec

from greengagerock.routing.endpoint_picker import DEFAULT_ZONE_PREFERENCE
from greengagerock.routing.zone_evacuations import DEFAULT_EVACUATE_S


class SiteConfig(msgspec.Struct, frozen=True):
    """Configuration of the decision core of one host of a site.

    Attributes:
        host: Name of the host.
        zone: Its availability zone.
        address: Its link address.
        seeds: Link addresses of some controllers, at which the host starts discovery.
        may_bootstrap: Whether this is the first start of the site, so that its controllers
            may bootstrap the voter group.
        seed: Seed of the node's random number generator.
        report_interval_s: Usual time between two reports of an endpoint.
        hold_s: Time after a report for which an endpoint holds its keys.
        retry_ratio: Retries allowed per request, over all routers.
        retry_slack: Retries allowed in addition, over all routers.
        retry_window_s: Time window over which both limits are counted.
        stop_grace_s: Time from the stop request until the process is killed.
        link_bytes_per_s: Speed of the host's network link if it is slow, else ``None``.
        zone_preference: Share of a route's latency objective that an endpoint of another zone
            has to save to be preferred to those of the own zone.
        relay_address: Where a router takes requests of other routers, or empty.
        evacuate_s: Time from an acknowledged order until no request reaches an endpoint of an
            evacuated zone.
        warm_up_rate_factor: Multiple of a service's warm-up rate that a cold endpoint may get in
            any one second from all routers.
        warm_up_rate_slack: Number of requests that it may get in addition.
        admits_by_load: Whether a router holds back and refuses calls by the load of endpoints.
    """

    host: str
    zone: str
    address: str
    seeds: tuple[str, ...]
    may_bootstrap: bool = False
    seed: int = 0
    report_interval_s: float = 1.0
    hold_s: float = 9.0
    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    retry_window_s: float = 10.0
    stop_grace_s: float = 6.0
    link_bytes_per_s: float | None = None
    zone_preference: float = DEFAULT_ZONE_PREFERENCE
    relay_address: str = ""
    evacuate_s: float = DEFAULT_EVACUATE_S
    warm_up_rate_factor: float = 1.5
    warm_up_rate_slack: float = 8.0
    admits_by_load: bool = False

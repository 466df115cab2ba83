"""Settings of a host in a site, whose hosts discover each other through seed addresses."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from greengagerock.routing.endpoint_picker import DEFAULT_ZONE_PREFERENCE
from greengagerock.routing.zone_evacuations import DEFAULT_EVACUATE_S
from greengagerock.settings.schema import Address, LimitSettings, LogSettings, Name

Seconds = Annotated[float, Meta(gt=0, le=3_600)]


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on retries of requests, over all hosts.

    Attributes:
        ratio: Number of retries allowed for each request of a service.
        slack: Number of retries allowed in addition.
        window_s: Length of the time window in which requests and retries are counted.
    """

    ratio: Annotated[float, Meta(ge=0, le=10)] = 0.2
    slack: Annotated[float, Meta(ge=0)] = 60.0
    window_s: Seconds = 10.0


class WarmUpSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How many requests a cold endpoint may get in any one second, over all hosts.

    Attributes:
        rate_factor: Multiple of the rate that the service's item gives.
        rate_slack: Number of requests allowed in addition.
    """

    rate_factor: Annotated[float, Meta(ge=0, le=100)] = 1.5
    rate_slack: Annotated[float, Meta(ge=0)] = 8.0


class SiteSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of one daemon in a site.

    Attributes:
        host: Unique name of this host.
        availability_zone: Its availability zone.
        role: ``router`` serves callers, ``controller`` serves endpoints and operators.
        link_address: Link address at which the site's other hosts reach it.
        link_listen: Link address that it listens on if the other hosts reach it through a
            relay, else empty.
        seeds: Link addresses of up to three controllers.
        callers: Address on which a router listens for callers, or empty.
        readiness: Address on which a router listens for the load balancer, or empty.
        control: Address on which a controller listens for endpoints and operators, or empty.
        relay: Address on which a router takes requests of other routers that cannot reach an
            endpoint, or empty.
        metrics: Address on which metrics are served, or empty.
        data_folder: Folder of a controller's state.
        may_found: Whether this host may bootstrap the voter group, because the site starts
            for the first time.
        report_interval_s: Usual time between two reports of an endpoint.
        hold_s: Time for which an endpoint holds its keys after a report.
        stop_grace_s: Time from the stop request until the process is killed.
        link_mbit_s: Speed of the host's network link in megabits per second.
        zone_preference: Share of a route's latency objective that an endpoint of another zone
            has to save to be preferred to those of the own zone; 0 treats all zones alike.
        admits_by_load: Whether a router holds back less urgent calls while endpoints are busy, and
            refuses calls that would be late. On a large site values are too old for it:
            docs/design/endpoint-load.md.
        evacuate_s: Time from an acknowledged order until no request reaches an endpoint of an
            evacuated availability zone.
        retries: Limits on retries.
        warm_up: Limits on requests to cold endpoints.
        limits: Limits of the HTTP servers and client.
        log: Settings of the log.
    """

    host: Name
    availability_zone: Name
    role: Literal["router", "controller"]
    link_address: Address
    seeds: tuple[Address, ...]
    link_listen: str = ""
    callers: str = ""
    readiness: str = ""
    control: str = ""
    relay: str = ""
    metrics: str = ""
    data_folder: str = ""
    may_found: bool = False
    report_interval_s: Seconds = 1.0
    hold_s: Seconds = 9.0
    stop_grace_s: Seconds = 6.0
    link_mbit_s: Annotated[float, Meta(gt=0, le=1_000_000)] = 1000.0
    zone_preference: Annotated[float, Meta(ge=0, le=1)] = DEFAULT_ZONE_PREFERENCE
    evacuate_s: Seconds = DEFAULT_EVACUATE_S
    admits_by_load: bool = False
    retries: RetrySettings = msgspec.field(default_factory=RetrySettings)
    warm_up: WarmUpSettings = msgspec.field(default_factory=WarmUpSettings)
    limits: LimitSettings = msgspec.field(default_factory=LimitSettings)
    log: LogSettings = msgspec.field(default_factory=LogSettings)

    @property
    def roles(self):
        """The roles of this host, in the form in which they are logged."""
        return (self.role,)


def split_address(address):
    """Return the IP address and the port of ``IP:PORT``.

    Examples:
        >>> split_address("10.0.0.1:80")
        ('10.0.0.1', 80)
    """
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)

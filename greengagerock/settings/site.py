"""Settings of a host in a system whose hosts find each other from seeds."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from greengagerock.settings.schema import Address, LimitSettings, LogSettings, Name

Seconds = Annotated[float, Meta(gt=0, le=3_600)]


class RetrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How often requests may be sent to endpoints once more, over all hosts.

    Attributes:
        ratio: Retries for each request of a service.
        slack: Retries allowed besides.
        window_s: Length of the window that both count in.
    """

    ratio: Annotated[float, Meta(ge=0, le=10)] = 0.2
    slack: Annotated[float, Meta(ge=0)] = 60.0
    window_s: Seconds = 10.0


class SiteSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of one daemon.

    Attributes:
        host: Unique name of this host.
        availability_zone: Its availability zone.
        role: ``router`` serves callers, ``controller`` endpoints and operators.
        link_address: Where the system's other hosts reach it.
        link_listen: Where it listens for them if they reach it through a relay, else empty.
        seeds: Link addresses of up to three controllers.
        callers: Where a router listens for callers, or empty.
        readiness: Where a router listens for the balancer, or empty.
        control: Where a controller listens for endpoints and operators, or empty.
        metrics: Where metrics are served, or empty.
        data_folder: Where a controller keeps its state.
        may_found: Whether the system starts for the first time.
        report_interval_s: Usual time between two reports of an endpoint.
        hold_s: How long an endpoint holds keys after a report.
        stop_grace_s: Time from the request to stop until the process is killed.
        retries: Bounds on retries.
        limits: Limits of the HTTP servers.
        log: What is logged.
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
    metrics: str = ""
    data_folder: str = ""
    may_found: bool = False
    report_interval_s: Seconds = 1.0
    hold_s: Seconds = 9.0
    stop_grace_s: Seconds = 6.0
    retries: RetrySettings = msgspec.field(default_factory=RetrySettings)
    limits: LimitSettings = msgspec.field(default_factory=LimitSettings)
    log: LogSettings = msgspec.field(default_factory=LogSettings)

    @property
    def roles(self):
        """The roles of this host, as they appear in its logs."""
        return (self.role,)


def split_address(address):
    """Return IP number and port of ``IP:PORT``.

    Examples:
        >>> split_address("10.0.0.1:80")
        ('10.0.0.1', 80)
    """
    ip, _, port = address.rpartition(":")
    return ip.strip("[]"), int(port)

"""What the nodes of a system with discovered hosts are told when they are created."""

import msgspec


class SiteConfig(msgspec.Struct, frozen=True):
    """Configuration of the decision core of one host.

    Attributes:
        host: Name of the host.
        zone: Its availability zone.
        address: Its link address.
        seeds: Link addresses of some controllers.
        may_found: Whether the system starts for the first time.
        seed: Seed of the node's source of chance.
        report_interval_s: Usual time between two reports of an endpoint.
        hold_s: How long an endpoint holds keys after a report.
        retry_ratio: Retries allowed for each request, over all routers.
        retry_slack: Retries allowed besides, over all routers.
        retry_window_s: Window of the two.
        stop_grace_s: Time from the request to stop until the process is killed.
    """

    host: str
    zone: str
    address: str
    seeds: tuple[str, ...]
    may_found: bool = False
    seed: int = 0
    report_interval_s: float = 1.0
    hold_s: float = 9.0
    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    retry_window_s: float = 10.0
    stop_grace_s: float = 6.0

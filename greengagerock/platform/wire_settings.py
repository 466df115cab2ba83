"""The platform's settings file and its conversion to ``SiteSettings``."""

import msgspec

from greengagerock.core import GreengageError
from greengagerock.core.decoding import MALFORMED_INPUT
from greengagerock.platform.durations import parse_duration
from greengagerock.routing.zone_evacuations import DEFAULT_EVACUATE_S
from greengagerock.settings.schema import LimitSettings
from greengagerock.settings.site import RetrySettings, SiteSettings, WarmUpSettings, split_address

# Each request of a caller in progress occupies a thread. A third of the file descriptors is left
# for connections to endpoints.
CALLER_THREADS = 96
QUEUED_CONNECTIONS = 512
# Latency between zones is a few milliseconds; an endpoint that does not accept a connection in
# this time is unreachable or at its connection limit.
CONNECT_TIMEOUT_S = 0.15
# Hold time unless the settings set a lower maximum: docs/decisions/0009-length-of-holds.md.
DEFAULT_HOLD_S = 9.0
DEFAULT_REPORT_INTERVAL = "1s"


class WireListen(msgspec.Struct):
    """Addresses to listen on.

    Attributes:
        front: Address for callers.
        ready: Address for the load balancer's readiness check.
        control: Address for endpoints and operators.
    """

    front: str = ""
    ready: str = ""
    control: str = ""


class WireMachine(msgspec.Struct, rename="kebab"):
    """Resources of the host; other fields are ignored.

    Attributes:
        link_mbps: Speed of its network link in megabits per second.
    """

    link_mbps: float = 1000.0


class WireSettings(msgspec.Struct, rename="kebab"):
    """The fields of the settings file that are used; other fields are ignored.

    Attributes:
        node_name: Name of the host.
        ip: IP address of the host.
        zone: Availability zone of the host.
        listen: Addresses to listen on.
        internal_ports: First and last port for links between the system's processes.
        seeds: ``control`` addresses of some controllers.
        bootstrap: Whether this host may bootstrap the voter group, because the whole system
            starts for the first time.
        data_dir: Data folder on the host's disk, if it has a disk.
        limits: Resources of the host.
        heartbeat: Usual interval between two reports of an endpoint.
        bounds: Bounds as ``name=value``, as a list or separated by commas.
    """

    node_name: str
    ip: str
    zone: str
    listen: WireListen
    internal_ports: tuple[int, int]
    seeds: list[str] = []
    bootstrap: bool = False
    data_dir: str | None = None
    limits: WireMachine = msgspec.field(default_factory=WireMachine)
    heartbeat: str = DEFAULT_REPORT_INTERVAL
    bounds: list[str] | str = []


def decode_settings(data, metrics_port):
    """Decode the settings file; return the ``SiteSettings``.

    Args:
        data: Contents of the settings file.
        metrics_port: Port on which the metrics are served.

    Raises:
        GreengageError: ``bad-settings`` if a field is missing or malformed.
    """
    try:
        wire = msgspec.json.decode(data, type=WireSettings)
    except MALFORMED_INPUT as error:
        raise GreengageError("bad-settings", str(error)) from error
    try:
        return _convert(wire, metrics_port)
    except (GreengageError, ValueError) as error:
        raise GreengageError("bad-settings", str(error)) from error


def _convert(wire, metrics_port):
    bounds = read_bounds(wire.bounds)
    link_port, last_port = wire.internal_ports
    role = "controller" if wire.listen.control else "router"
    takes_relayed = role == "router" and last_port > link_port
    hold_s = min(DEFAULT_HOLD_S, _read_bound_s(bounds, "hold-max", DEFAULT_HOLD_S))
    return SiteSettings(
        wire.node_name,
        wire.zone,
        role,
        f"{wire.ip}:{link_port}",
        # A controller's link address differs from its control address by the port only.
        tuple(f"{split_address(seed)[0]}:{link_port}" for seed in wire.seeds),
        callers=wire.listen.front,
        readiness=wire.listen.ready,
        control=wire.listen.control,
        relay=f"{wire.ip}:{link_port + 1}" if takes_relayed else "",
        metrics=f"{wire.ip}:{metrics_port}",
        data_folder=wire.data_dir or "",
        may_found=wire.bootstrap,
        report_interval_s=parse_duration(wire.heartbeat or DEFAULT_REPORT_INTERVAL),
        hold_s=hold_s,
        stop_grace_s=_read_bound_s(bounds, "grace", 6.0),
        link_mbit_s=wire.limits.link_mbps if wire.limits.link_mbps > 0 else 1000.0,
        evacuate_s=_read_bound_s(bounds, "evacuate", DEFAULT_EVACUATE_S),
        retries=RetrySettings(
            float(bounds.get("retry-budget-ratio", 0.2)),
            float(bounds.get("retry-budget-slack", 60)),
            _read_bound_s(bounds, "retry-window", 10.0),
        ),
        warm_up=WarmUpSettings(
            float(bounds.get("warmup-overage", 1.5)), float(bounds.get("warmup-slack", 8))
        ),
        limits=LimitSettings(
            caller_threads=CALLER_THREADS,
            queued_connections=QUEUED_CONNECTIONS,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        ),
    )


def read_bounds(bounds):
    """Return the values of the bounds by name.

    Args:
        bounds: List of ``name=value``, or one string of them separated by commas.

    Examples:
        >>> read_bounds(["drain=2000ms", "retry-budget-ratio=0.2"])
        {'drain': '2000ms', 'retry-budget-ratio': '0.2'}
    """
    entries = bounds.split(",") if isinstance(bounds, str) else bounds
    pairs = (entry.partition("=") for entry in entries)
    return {name.strip(): value.strip() for name, _, value in pairs}


def _read_bound_s(bounds, name, default_s):
    return parse_duration(bounds[name]) if name in bounds else default_s

"""Writes the example settings under ``examples/``.

The files are committed. Run this module again after a change of a layout:
``python -m greengagerock.testing.example_files``.
"""

from pathlib import Path

import msgspec
import yaml

CALLER_PORT = 8080
OPERATOR_PORT = 8081
ENDPOINT_PORT = 8082
LINK_PORT = 8083
FIRST_STAND_IN_PORT = 9000


class ServiceLayout(msgspec.Struct, frozen=True):
    """One service of an example system and its endpoints.

    Attributes:
        name: Service name.
        endpoints: Number of endpoints, spread over the zones in turn.
        statement: Command that creates the service.
    """

    name: str
    endpoints: int
    statement: str


class SystemLayout(msgspec.Struct, frozen=True):
    """Hosts and services of an example system.

    Attributes:
        name: Name of its folder.
        network: First two bytes of its loopback addresses, as ``127.1``.
        region: Region of all its hosts.
        zones: Names of its availability zones.
        hosts_per_zone: Number of hosts in each zone.
        voters: Number of voters, spread over the zones in turn.
        services: Its services.
    """

    name: str
    network: str
    region: str
    zones: tuple[str, ...]
    hosts_per_zone: int
    voters: int
    services: tuple[ServiceLayout, ...]


LAYOUTS = (
    SystemLayout(
        "zones",
        "127.3",
        "local",
        ("zone-1", "zone-2", "zone-3"),
        2,
        3,
        (
            ServiceLayout("till", 6, "create service till keyed by path segment 2 slots 256"),
            ServiceLayout("documents", 6, "create service documents without key"),
        ),
    ),
    SystemLayout(
        "nakhleh",
        "127.1",
        "jordan",
        ("amman", "irbid", "zarqa", "aqaba"),
        3,
        5,
        (
            ServiceLayout(
                "till",
                25,
                "create service till keyed by path segment 2 slots 1024 "
                "set cut_hold_s 2500 ms, churn_weight 0.2",
            ),
            ServiceLayout("documents", 8, "create service documents without key"),
        ),
    ),
    SystemLayout(
        "valiyaveettil",
        "127.2",
        "kerala",
        ("kochi-1", "kochi-2", "kochi-3"),
        4,
        5,
        (
            ServiceLayout(
                "trade-desk",
                30,
                "create service trade-desk keyed by path segment 2 slots 1024 "
                "set cut_hold_s 60 s, churn_weight 0.8",
            ),
            ServiceLayout("board", 6, "create service board without key"),
        ),
    ),
)


class HostLayout(msgspec.Struct, frozen=True):
    """Name, zone and IP address of one host of an example."""

    name: str
    zone: str
    ip: str


def lay_out_hosts(layout):
    """Return the hosts of a layout, ordered so that successive ones are in different zones."""
    return [
        HostLayout(f"{zone}-{number}", zone, f"{layout.network}.{position}.{number}")
        for number in range(1, layout.hosts_per_zone + 1)
        for position, zone in enumerate(layout.zones, 1)
    ]


def host_settings(layout, host_layout, host_layouts):
    """Return the settings of one host as a dictionary for YAML."""
    voters = host_layouts[: layout.voters]
    settings = {
        "host": host_layout.name,
        "availability_zone": host_layout.zone,
        "region": layout.region,
        "roles": ["router", "voter"] if host_layout in voters else ["router"],
        "listen": {
            "ip": host_layout.ip,
            "caller_port": CALLER_PORT,
            "operator_port": OPERATOR_PORT,
            "endpoint_port": ENDPOINT_PORT,
            "link_port": LINK_PORT,
        },
        "voters": [{"host": voter.name, "address": f"{voter.ip}:{LINK_PORT}"} for voter in voters],
    }
    if host_layout in voters:
        settings["data_folder"] = f"var/{layout.name}/{host_layout.name}"
    return settings


def stand_in_plans(layout, host_layouts):
    """Return the stand-in endpoints of an example as dictionaries for YAML."""
    endpoint_plans = []
    for service in layout.services:
        for number in range(service.endpoints):
            position = number % len(layout.zones)
            zone = layout.zones[position]
            entry_addresses = [
                f"{entry.ip}:{ENDPOINT_PORT}" for entry in host_layouts if entry.zone == zone
            ]
            endpoint_plans.append(
                {
                    "name": f"{service.name}-{number + 1}",
                    "service": service.name,
                    "availability_zone": zone,
                    "ip": f"{layout.network}.{position + 1}.100",
                    "port": FIRST_STAND_IN_PORT + len(endpoint_plans),
                    "entry_addresses": entry_addresses,
                }
            )
    return endpoint_plans


def write_layout(layout, folder):
    """Write the settings and the plan of one example into ``folder``."""
    target = Path(folder) / layout.name
    target.mkdir(parents=True, exist_ok=True)
    host_layouts = lay_out_hosts(layout)
    for host_layout in host_layouts:
        write_yaml(
            target / f"{host_layout.name}.yaml", host_settings(layout, host_layout, host_layouts)
        )
    plan = {
        "hosts": [f"{host_layout.name}.yaml" for host_layout in host_layouts],
        "operator_address": f"{host_layouts[0].ip}:{OPERATOR_PORT}",
        "changes": [service.statement for service in layout.services],
        "stand_ins": stand_in_plans(layout, host_layouts),
    }
    write_yaml(target / "system.yaml", plan)


def write_yaml(path, data):
    """Write ``data`` as YAML and keep the order of its fields."""
    text = yaml.safe_dump(data, sort_keys=False, default_flow_style=None, width=96)
    path.write_text(text)


if __name__ == "__main__":
    for example_layout in LAYOUTS:
        write_layout(example_layout, "examples")

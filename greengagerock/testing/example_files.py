"""Writes the example settings under ``examples/``.

The files are committed; run this module again after changing a layout:
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
    """Endpoints of one service in an example.

    Attributes:
        name: Service name.
        endpoints: Number of endpoints, spread over the zones in turn.
        statement: Command that creates the service.
    """

    name: str
    endpoints: int
    statement: str


class SystemLayout(msgspec.Struct, frozen=True):
    """An example system.

    Attributes:
        name: Folder name.
        network: First two bytes of its loopback addresses.
        region: Region.
        zones: Names of its availability zones.
        hosts_per_zone: Entry hosts in each zone.
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


class Place(msgspec.Struct, frozen=True):
    """One host of an example: name, zone and IP number."""

    name: str
    zone: str
    ip: str


def place_hosts(layout):
    """Return the hosts of a layout, one of each zone in turn."""
    return [
        Place(f"{zone}-{number}", zone, f"{layout.network}.{position}.{number}")
        for number in range(1, layout.hosts_per_zone + 1)
        for position, zone in enumerate(layout.zones, 1)
    ]


def host_settings(layout, place, places):
    """Return the settings of one host as a dictionary."""
    voters = places[: layout.voters]
    settings = {
        "host": place.name,
        "availability_zone": place.zone,
        "region": layout.region,
        "roles": ["router", "voter"] if place in voters else ["router"],
        "listen": {
            "ip": place.ip,
            "caller_port": CALLER_PORT,
            "operator_port": OPERATOR_PORT,
            "endpoint_port": ENDPOINT_PORT,
            "link_port": LINK_PORT,
        },
        "voters": [{"host": v.name, "address": f"{v.ip}:{LINK_PORT}"} for v in voters],
    }
    if place in voters:
        settings["data_folder"] = f"var/{layout.name}/{place.name}"
    return settings


def stand_in_plans(layout, places):
    """Return the endpoints of an example as dictionaries."""
    plans = []
    for service in layout.services:
        for number in range(service.endpoints):
            position = number % len(layout.zones)
            zone = layout.zones[position]
            entries = [f"{p.ip}:{ENDPOINT_PORT}" for p in places if p.zone == zone]
            plans.append(
                {
                    "name": f"{service.name}-{number + 1}",
                    "service": service.name,
                    "availability_zone": zone,
                    "ip": f"{layout.network}.{position + 1}.100",
                    "port": FIRST_STAND_IN_PORT + len(plans),
                    "entry_addresses": entries,
                }
            )
    return plans


def write_layout(layout, folder):
    """Write all files of one example."""
    target = Path(folder) / layout.name
    target.mkdir(parents=True, exist_ok=True)
    places = place_hosts(layout)
    for place in places:
        write_yaml(target / f"{place.name}.yaml", host_settings(layout, place, places))
    plan = {
        "hosts": [f"{place.name}.yaml" for place in places],
        "operator_address": f"{places[0].ip}:{OPERATOR_PORT}",
        "changes": [service.statement for service in layout.services],
        "stand_ins": stand_in_plans(layout, places),
    }
    write_yaml(target / "system.yaml", plan)


def write_yaml(path, data):
    """Write one YAML file in the order of its fields."""
    text = yaml.safe_dump(data, sort_keys=False, default_flow_style=None, width=96)
    path.write_text(text)


if __name__ == "__main__":
    for chosen in LAYOUTS:
        write_layout(chosen, "examples")

"""Plan of an example system: its processes and its initial configuration."""

from pathlib import Path

import msgspec
import yaml


class StandInPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One stand-in endpoint.

    Attributes:
        name: Unique name.
        service: Service it belongs to.
        availability_zone: Availability zone.
        ip: IP address to listen on.
        port: Port to listen on.
        entry_addresses: ``IP:PORT`` of the endpoint ports of the zone's entry hosts.
        concurrency: Number of requests that it runs at once.
        checks_orders: Whether it refuses requests with an outdated fence.
    """

    name: str
    service: str
    availability_zone: str
    ip: str
    port: int
    entry_addresses: tuple[str, ...]
    concurrency: int = 3
    checks_orders: bool = True


class SystemPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Processes and initial changes of an example system.

    Attributes:
        hosts: Settings files of its daemons, relative to the plan.
        stand_ins: Its stand-in endpoints.
        changes: Statements to send when all processes are started.
        operator_address: ``IP:PORT`` of the operator port that receives them.
    """

    hosts: tuple[str, ...]
    stand_ins: tuple[StandInPlan, ...]
    changes: tuple[str, ...]
    operator_address: str


def load_plan(folder):
    """Read the plan of a folder.

    Args:
        folder: Folder that holds ``system.yaml``.

    Raises:
        msgspec.ValidationError: If the plan is malformed.
    """
    text = (Path(folder) / "system.yaml").read_text()
    return msgspec.convert(yaml.safe_load(text), SystemPlan)

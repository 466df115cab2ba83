"""The plan of an example system: which processes to start and what to set up."""

from pathlib import Path

import msgspec
import yaml


class StandInPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One stand-in endpoint.

    Attributes:
        name: Unique name.
        service: Its service.
        availability_zone: Its zone.
        ip: IP number.
        port: Port.
        entry_addresses: Endpoint ports of the zone's entry hosts.
        concurrency: Requests it runs at once.
        checks_orders: Whether it refuses outdated orders.
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
    """An example system.

    Attributes:
        hosts: Settings files of its daemons, relative to the plan.
        stand_ins: Its endpoints.
        changes: Statements to carry out once it runs.
        operator_address: Operator port to send them to.
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

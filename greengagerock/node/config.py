"""What a node is told about itself when it is created."""

import msgspec

from greengagerock.control.commands import HostRecord


class NodeConfig(msgspec.Struct, frozen=True):
    """Configuration of the decision core of one host.

    Attributes:
        host: The host's record; its incarnation differs after each restart.
        voters: Link addresses of the voters, in the order of the settings.
        initial_voters: Link addresses by host name of the voters that found the group.
        seed: Seed of the node's source of chance.
    """

    host: HostRecord
    voters: tuple[str, ...]
    initial_voters: dict[str, str]
    seed: int = 0

"""Configuration of a node."""

import msgspec

from greengagerock.control.commands import HostRecord


class NodeConfig(msgspec.Struct, frozen=True):
    """Configuration of the decision core of one host.

    Attributes:
        host: The host's record, with a new incarnation after each restart.
        voters: Link addresses of the voters, in the order of the settings.
        initial_voters: Link addresses, by host name, of the voters that bootstrap the group.
        seed: Seed of the node's random number generator.
    """

    host: HostRecord
    voters: tuple[str, ...]
    initial_voters: dict[str, str]
    seed: int = 0

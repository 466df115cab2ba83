"""Messages by which controllers find each other. Each tolerates loss and repetition."""

import msgspec

from greengagerock.replication import Member


class ControllerHello(msgspec.Struct, frozen=True, tag="controller-hello"):
    """A controller introduces itself to seeds and other controllers.

    Attributes:
        member: Its identity and link address.
        zone: Its availability zone.
        leaving: Whether it is about to stop.
    """

    member: Member
    zone: str
    leaving: bool = False


class ControllerWelcome(msgspec.Struct, frozen=True, tag="controller-welcome"):
    """The answer to a ``ControllerHello``.

    Attributes:
        leader: Link address of the leader, or empty if none is known.
        controllers: Link addresses of all controllers that the sender knows.
    """

    leader: str
    controllers: tuple[str, ...]

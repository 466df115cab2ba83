"""Messages for the discovery of controllers, which may be lost or duplicated."""

import msgspec

from greengagerock.replication import Member


class ControllerHello(msgspec.Struct, frozen=True, tag="controller-hello"):
    """Periodic message of a controller to the leader, or to seeds and other controllers.

    Attributes:
        member: Identity and link address of the sender.
        zone: Availability zone of the sender.
        leaving: Whether the sender is stopping.
        protocol: ``PROTOCOL_VERSION`` of the sender, 0 for builds that do not send it.
    """

    member: Member
    zone: str
    leaving: bool = False
    protocol: int = 0


class ControllerHelloReply(msgspec.Struct, frozen=True, tag="controller-welcome"):
    """The reply to a ``ControllerHello``.

    Attributes:
        leader: Link address of the leader, or an empty string if there is no known leader.
        controllers: Link addresses of all controllers that the sender has, its own included.
    """

    leader: str
    controllers: tuple[str, ...]

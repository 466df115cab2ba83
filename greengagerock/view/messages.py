"""Messages between routers and controllers. Each tolerates loss and repetition."""

import msgspec

from greengagerock.items import CallerLimits, Removal, RouteItem, ServiceItem


class EndpointRecord(msgspec.Struct, frozen=True, array_like=True):
    """What a router has to know of an endpoint.

    Attributes:
        name: Name of the endpoint.
        address: ``IP:PORT`` where it takes requests.
        service: Its service.
        zone: Its availability zone.
        slots: Requests that it works on at once.
        leaving: Whether it takes no new work, but for keys that it still holds.
        born_ms: Start of its life.
        cold_s: How much longer it was slow when this was sent.
    """

    name: str
    address: str
    service: str
    zone: str
    slots: int
    leaving: bool = False
    born_ms: int = 0
    cold_s: float = 0.0


class HeldUnits(msgspec.Struct, frozen=True, array_like=True):
    """Units that one endpoint holds.

    Full views go to all routers after a change of leader, over links that callers share, so
    that ranges are written as small numbers.

    Attributes:
        endpoint: Name of the holder, or empty if nobody holds them.
        gaps_and_counts: For each range of units, in order, how many units lie between it and
            the range before it, and its number of units.
    """

    endpoint: str
    gaps_and_counts: tuple[int, ...]

    def ranges(self):
        """Yield first unit and number of units of each range.

        Examples:
            >>> list(HeldUnits("e1", (3, 2, 10, 1)).ranges())
            [(3, 2), (15, 1)]
        """
        at = 0
        for gap, count in zip(self.gaps_and_counts[::2], self.gaps_and_counts[1::2], strict=True):
            yield at + gap, count
            at += gap + count


class ItemsDelta(msgspec.Struct, frozen=True, array_like=True):
    """Items that changed.

    Attributes:
        since: Log index after which changes are listed; it fits only a router that knows
            everything up to there.
        revision: Log index up to which this goes.
        complete: Whether what is not listed does not exist.
        routes: Routes that were set.
        services: Services that were set.
        limits: The limits, if they were set.
        removed_routes: Routes that were removed.
        removed_services: Services that were removed.
    """

    since: int
    revision: int
    complete: bool
    routes: tuple[RouteItem, ...] = ()
    services: tuple[ServiceItem, ...] = ()
    limits: CallerLimits | None = None
    removed_routes: tuple[Removal, ...] = ()
    removed_services: tuple[Removal, ...] = ()


class LiveDelta(msgspec.Struct, frozen=True, array_like=True):
    """Endpoints and holders that changed.

    Attributes:
        epoch: Term of the leader.
        since: Change after which changes are listed; it fits only a router that knows
            everything up to there.
        revision: Number of the leader's last change in that term.
        complete: Whether what is not listed does not exist.
        endpoints: Endpoints that were set.
        removed: Names of endpoints that are gone.
        owners: Units whose holder changed, by service.
    """

    epoch: int
    since: int
    revision: int
    complete: bool
    endpoints: tuple[EndpointRecord, ...] = ()
    removed: tuple[str, ...] = ()
    owners: dict[str, tuple[HeldUnits, ...]] = {}


class EndpointTimes(msgspec.Struct, frozen=True, array_like=True):
    """How long answers take, as all routers together have seen it.

    Attributes:
        number: Number of this message.
        services: Mean time in milliseconds by service.
        endpoints: The same of endpoints that differ much from their service.
    """

    number: int
    services: dict[str, int]
    endpoints: dict[str, int]


class ViewPoll(msgspec.Struct, frozen=True, tag="view-poll"):
    """A router asks for what it does not know yet.

    Attributes:
        items_revision: Log index up to which it knows items.
        epoch: Term of the leader that it has endpoints from.
        live_revision: That leader's last change that it knows.
        answers: Number of answers and their mean time in seconds, since the last poll, of
            each endpoint that answered.
        demand: Number of requests since the last poll, by service and block of keys.
        times_number: Number of the newest ``EndpointTimes`` that it knows.
    """

    items_revision: int
    epoch: int
    live_revision: int
    answers: dict[str, tuple[int, float]] = {}
    demand: dict[str, dict[int, int]] = {}
    times_number: int = 0


class ViewDelta(msgspec.Struct, frozen=True, tag="view-delta"):
    """The leader's answer, and what it sends unasked after a change.

    Attributes:
        items: A packed ``ItemsDelta``, or ``None``.
        live: A packed ``LiveDelta``, or ``None``.
        controllers: Link addresses of all controllers.
        routers: Number of routers that the leader hears.
        bans: Fingerprints of requests that crashed several endpoints.
        times: Packed ``EndpointTimes``, or ``None`` if the router knows the newest.
    """

    items: bytes | None
    live: bytes | None
    controllers: tuple[str, ...]
    routers: int
    bans: tuple[str, ...] = ()
    times: bytes | None = None


class NotLeading(msgspec.Struct, frozen=True, tag="not-leading"):
    """A controller that does not lead answers a poll.

    Attributes:
        leader: Link address of the leader, or empty.
        controllers: Link addresses of all controllers that it knows.
    """

    leader: str
    controllers: tuple[str, ...]

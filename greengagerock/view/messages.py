"""Messages between routers and controllers; each may be lost or delivered twice."""

import msgspec
import xxhash

from greengagerock.items import CallerLimits, Removal, RouteItem, ServiceItem


class EndpointRecord(msgspec.Struct, frozen=True, array_like=True):
    """The data of an endpoint that routers need.

    Attributes:
        name: Name of the endpoint.
        address: ``IP:PORT`` where it accepts requests.
        service: Its service.
        zone: Its availability zone.
        slots: Number of requests that it processes concurrently.
        leaving: Whether it accepts requests only for keys that it still owns.
        started_ms: Start of this endpoint instance, in milliseconds.
        warm_up_left_s: Remaining warm-up time, in seconds, when the record was sent.
    """

    name: str
    address: str
    service: str
    zone: str
    slots: int
    leaving: bool = False
    started_ms: int = 0
    warm_up_left_s: float = 0.0


class OwnedUnitRanges(msgspec.Struct, frozen=True, array_like=True):
    """Units that one endpoint owns.

    After a change of leader, full views are sent to all routers over links that also carry
    callers' traffic. Ranges are therefore encoded as small numbers.

    Attributes:
        endpoint: Name of the owner, or empty if the units have none.
        gaps_and_counts: For each range of units, in ascending order, the number of units
            between the previous range and this one, and the number of units in the range.
    """

    endpoint: str
    gaps_and_counts: tuple[int, ...]

    def ranges(self):
        """Yield the first unit and the number of units of each range.

        Examples:
            >>> list(OwnedUnitRanges("e1", (3, 2, 10, 1)).ranges())
            [(3, 2), (15, 1)]
        """
        end = 0
        for gap, count in zip(self.gaps_and_counts[::2], self.gaps_and_counts[1::2], strict=True):
            yield end + gap, count
            end += gap + count


class ItemsDelta(msgspec.Struct, frozen=True, array_like=True):
    """Configuration items that changed.

    Attributes:
        since: Log index that the delta starts from. Only a router that has all changes up to
            this index may apply the delta.
        revision: Log index of the last change in the delta.
        complete: Whether the delta lists all items, so that unlisted ones do not exist.
        routes: New or changed routes.
        services: New or changed services.
        limits: The limits if they changed, else ``None``.
        removed_routes: Removed routes.
        removed_services: Removed services.
        evacuated_zones: All evacuated availability zones, or ``None`` from a leader of an older
            build, which does not know.
    """

    since: int
    revision: int
    complete: bool
    routes: tuple[RouteItem, ...] = ()
    services: tuple[ServiceItem, ...] = ()
    limits: CallerLimits | None = None
    removed_routes: tuple[Removal, ...] = ()
    removed_services: tuple[Removal, ...] = ()
    evacuated_zones: tuple[str, ...] | None = None


class EndpointsDelta(msgspec.Struct, frozen=True, array_like=True):
    """Endpoints and unit owners that changed.

    Attributes:
        epoch: Term of the leader.
        since: Revision that the delta starts from. Only a router that has all changes up to
            this revision may apply the delta.
        revision: Revision of the leader's last change in its term.
        complete: Whether the delta lists everything, so that unlisted endpoints do not exist.
        endpoints: New or changed endpoints.
        removed: Names of removed endpoints.
        owners: Units whose owner changed, by service.
        left: Endpoints whose leave was acknowledged and that the leader does not list: the start
            of the instance in milliseconds since 1970, or 0 if the leader lacks it, by name.
    """

    epoch: int
    since: int
    revision: int
    complete: bool
    endpoints: tuple[EndpointRecord, ...] = ()
    removed: tuple[str, ...] = ()
    owners: dict[str, tuple[OwnedUnitRanges, ...]] = {}
    left: dict[str, int] = {}


class EndpointResponseTimes(msgspec.Struct, frozen=True, array_like=True):
    """Mean response times of endpoints, measured over all routers.

    Attributes:
        number: Sequence number of this message.
        services: Mean response time in milliseconds, by service.
        endpoints: Mean response time in milliseconds of endpoints whose mean differs much
            from that of their service, by endpoint.
    """

    number: int
    services: dict[str, int]
    endpoints: dict[str, int]


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """A router's report on an endpoint's limit on the requests of all routers.

    Attributes:
        started_ms: Start of the endpoint instance, in milliseconds since 1970.
        requests: Requests for the endpoint since the last poll, also refused ones.
        age_s: Time since the newest response to this router, in seconds, or ``None`` if it has
            the limit from the leader only.
        limit_per_s: Requests per second that this response named, ``None`` for no limit.
    """

    started_ms: int
    requests: int
    age_s: float | None
    limit_per_s: float | None


class LimitShare(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint's limit, and a router's share of it.

    Attributes:
        endpoint: Name of the endpoint.
        started_ms: Start of the endpoint instance, in milliseconds since 1970.
        age_s: Time since the newest response to any router, in seconds.
        limit_per_s: Requests per second that it named, ``None`` if the limit has ended.
        share: Share of the router that gets this message, from 0 to 1, or ``None`` if not all
            routers may have found the leader yet.
        demand_per_s: Requests per second that all routers have for the endpoint, or ``None`` if
            not all routers may have found the leader yet.
        left_s: Time for which the endpoint stays cold, 0 if it is warm, or ``None`` if it names
            the limit itself.
    """

    endpoint: str
    started_ms: int
    age_s: float
    limit_per_s: float | None
    share: float | None
    demand_per_s: float | None
    left_s: float | None = None


class ViewPoll(msgspec.Struct, frozen=True, tag="view-poll", omit_defaults=True):
    """A router's request for the changes that it does not have.

    Attributes:
        items_revision: Log index up to which the router has the items.
        epoch: Term of the leader that its endpoints and owners come from.
        endpoints_revision: Last revision of that leader that the router has.
        response_times: Number of responses and their mean time in seconds, since the last poll, of
            each endpoint that responded.
        demand: Number of requests since the last poll, by service and block of keys.
        response_times_number: Number of the newest ``EndpointResponseTimes`` that the router has.
        limits: Reports on endpoints' limits, by endpoint name.
        relay_address: ``IP:PORT`` where the router takes requests of other routers, or empty.
        unreachable: Number of endpoints that the router cannot reach itself.
        relays_digest: Digest of the addresses of the relays that the router has.
        protocol: ``PROTOCOL_VERSION`` of the router, 0 for builds that do not send it.
        loads: Packed loads of endpoints that responded since the last poll, or ``None``.
        cold_requests: Requests for cold endpoints since the last poll, by endpoint name.
        cold_number: Number up to which the router has the leader's changes of cold endpoints.
    """

    items_revision: int
    epoch: int
    endpoints_revision: int = msgspec.field(name="live_revision")
    response_times: dict[str, tuple[int, float]] = msgspec.field(default={}, name="answers")
    demand: dict[str, dict[int, int]] = {}
    response_times_number: int = msgspec.field(default=0, name="times_number")
    limits: dict[str, LimitReport] = {}
    relay_address: str = ""
    unreachable: int = 0
    relays_digest: int = 0
    protocol: int = 0
    loads: bytes | None = None
    cold_requests: dict[str, LimitReport] = msgspec.field(default={}, name="cold")
    cold_number: int = msgspec.field(default=0, name="cold_n")


class ViewDelta(msgspec.Struct, frozen=True, tag="view-delta", omit_defaults=True):
    """The leader's reply to a ``ViewPoll``, also sent without a poll after a change.

    Attributes:
        items: A packed ``ItemsDelta``, or ``None`` if the router has all items.
        endpoints: A packed ``EndpointsDelta``, or ``None`` if the router has all endpoints and
            owners.
        controllers: Link addresses of all controllers.
        routers: Number of routers that the leader receives polls from.
        bans: Fingerprints of requests that crashed several endpoints.
        response_times: Packed ``EndpointResponseTimes``, or ``None`` if the router has the
            newest ones.
        limits: Limits of endpoints, with the router's shares.
        relays: Addresses of other routers that forward requests of this one, or ``None`` if the
            router has the newest ones.
        loads: Packed loads of the busiest endpoints, or ``None`` if none is busy.
        cold_limits: Packed ``LimitShare`` objects of the changes of cold endpoints since
            ``cold_since``, or ``None`` if there are none.
        cold_number: Number of the newest of these changes, or 0 from an older build.
        cold_since: Number that the changes start from. Only a router that has all changes up to
            this number may apply them.
    """

    items: bytes | None
    endpoints: bytes | None = msgspec.field(name="live")
    controllers: tuple[str, ...]
    routers: int
    bans: tuple[str, ...] = ()
    response_times: bytes | None = msgspec.field(default=None, name="times")
    limits: tuple[LimitShare, ...] = ()
    relays: tuple[str, ...] | None = None
    loads: bytes | None = None
    cold_limits: bytes | None = msgspec.field(default=None, name="cold")
    cold_number: int = msgspec.field(default=0, name="cold_n")
    cold_since: int = msgspec.field(default=0, name="cold_s")


class LeavingObserved(msgspec.Struct, frozen=True, tag="leaving-observed"):
    """A router's report to the leader that an endpoint said in a response that it leaves.

    Attributes:
        endpoint: Name of the endpoint.
        started_ms: Start of the endpoint instance, in milliseconds since 1970.
    """

    endpoint: str
    started_ms: int


def digest_relays(relays):
    """Return the digest of relay addresses that is compared with a ``ViewPoll``.

    Examples:
        >>> digest_relays(())
        0
    """
    return xxhash.xxh32_intdigest(",".join(relays).encode()) if relays else 0


class NotLeading(msgspec.Struct, frozen=True, tag="not-leading"):
    """The reply to a ``ViewPoll`` of a controller that is not the leader.

    Attributes:
        leader: Link address of the leader, or empty if unknown.
        controllers: Link addresses of all known controllers.
    """

    leader: str
    controllers: tuple[str, ...]

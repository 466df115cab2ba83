"""Compact encoding of the loads of endpoints in messages between routers and the leader.

Loads are sent twice a second, to every router, over links that also carry callers' traffic. A row
takes eight bytes: a digest of the endpoint instance instead of its name and start, and one byte
each for running and waiting requests, pace and age.
"""

import struct

import msgspec
import xxhash

from greengagerock.core import GreengageError

# Digest, running requests, waiting requests, pace and age.
_ROW = struct.Struct(">IBBBB")
_HEAD = struct.Struct(">Q")
MAX_BYTE = 255
# Units of pace and age. The largest pace is 1,020 % and the largest age 2.55 s; loads are not
# used for longer than two seconds.
PACE_UNIT_PERCENT = 4
AGE_UNIT_MS = 10
# Largest number of endpoints in a message.
MAX_PACKED_LOADS = 64


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """The load of an endpoint instance as a message gives it.

    Attributes:
        started_ms: Start of the instance, in milliseconds since 1970.
        running: Number of requests that it runs.
        waiting: Number of requests that wait there for a slot.
        pace_percent: How long work takes there, in percent of the usual time.
        age_ms: Time since the endpoint stated the load, in milliseconds.
    """

    started_ms: int
    running: int
    waiting: int
    pace_percent: int
    age_ms: int


class EndpointLoadReports(msgspec.Struct, frozen=True):
    """The loads of endpoints in one message.

    Attributes:
        number: Sequence number of the message; a router ignores one that is not newer.
        loads: ``LoadReport`` objects by endpoint name.
    """

    number: int
    loads: dict[str, LoadReport]


def digest_instance(endpoint, started_ms):
    """Return the digest that stands for an endpoint instance in a message.

    Two of 400 instances have the same digest with a probability of 2e-5. The load of one is then
    taken for that of the other until the values expire.

    Args:
        endpoint: Name of the endpoint.
        started_ms: Start of the instance, in milliseconds since 1970.
    """
    return xxhash.xxh32_intdigest(f"{endpoint}/{started_ms}".encode())


def pack_loads(reports):
    """Return encoded ``EndpointLoadReports``; numbers that do not fit into a byte are cut off.

    Examples:
        >>> reports = EndpointLoadReports(7, {"e1": LoadReport(1000, 2, 300, 140, 260)})
        >>> packed = pack_loads(reports)
        >>> len(packed)
        16
        >>> unpack_loads(packed, {digest_instance("e1", 1000): ("e1", 1000)}).loads["e1"]
        LoadReport(started_ms=1000, running=2, waiting=255, pace_percent=140, age_ms=260)
    """
    rows = [_HEAD.pack(reports.number)]
    rows += [
        _ROW.pack(
            digest_instance(name, load.started_ms),
            min(load.running, MAX_BYTE),
            min(load.waiting, MAX_BYTE),
            min(max(1, round(load.pace_percent / PACE_UNIT_PERCENT)), MAX_BYTE),
            min(round(load.age_ms / AGE_UNIT_MS), MAX_BYTE),
        )
        for name, load in reports.loads.items()
    ]
    return b"".join(rows)


def unpack_loads(data, instances):
    """Return the ``EndpointLoadReports`` of a message; unknown instances are left out.

    Args:
        data: The encoded loads.
        instances: Pairs of name and start of the instance, by ``digest_instance``.

    Raises:
        GreengageError: ``bad-message`` if ``data`` has no possible length, or a pace of 0.
    """
    row_count, rest = divmod(len(data) - _HEAD.size, _ROW.size)
    if not 0 <= row_count <= MAX_PACKED_LOADS or rest:
        raise GreengageError("bad-message", f"{len(data)} bytes of loads")
    loads = {}
    for digest, running, waiting, pace, age in _ROW.iter_unpack(data[_HEAD.size :]):
        if not pace:
            raise GreengageError("bad-message", "a load has no pace")
        if digest in instances:
            name, started_ms = instances[digest]
            loads[name] = LoadReport(
                started_ms, running, waiting, pace * PACE_UNIT_PERCENT, age * AGE_UNIT_MS
            )
    return EndpointLoadReports(_HEAD.unpack_from(data)[0], loads)


class InstanceDigests:
    """Digests of the endpoint instances that a host knows.

    Attributes:
        instances: Pairs of name and start of the instance, by digest.

    Examples:
        >>> digests = InstanceDigests()
        >>> digests.note("e1", 1000)
        >>> digests.note("e1", 2000)
        >>> list(digests.instances.values())
        [('e1', 2000)]
        >>> digests.forget("e1")
        >>> digests.instances
        {}
    """

    __slots__ = ("_digest_by_name", "instances")

    def __init__(self):
        self.instances = {}
        self._digest_by_name = {}

    def note(self, endpoint, started_ms):
        """Record an endpoint instance, which replaces an earlier one of the same name."""
        self.forget(endpoint)
        digest = digest_instance(endpoint, started_ms)
        self._digest_by_name[endpoint] = digest
        self.instances[digest] = (endpoint, started_ms)

    def forget(self, endpoint):
        """Drop an endpoint that has ended."""
        digest = self._digest_by_name.pop(endpoint, None)
        self.instances.pop(digest, None)

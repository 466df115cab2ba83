"""Exchange of the loads of endpoints between a router and the leader, with polls and deltas."""

from greengagerock.view import (
    EndpointLoadReports,
    digest_instance,
    pack_loads,
    unpack_loads,
)


class LoadExchange:
    """Packs the loads that a router has observed, and applies those that the leader sends.

    Args:
        replica: The ``ViewReplica``, which gives the endpoint instances.
        loads: The ``EndpointLoads``.

    Examples:
        >>> from greengagerock.routing.endpoint_loads import EndpointLoads
        >>> from greengagerock.view import ViewReplica
        >>> exchange = LoadExchange(ViewReplica(), EndpointLoads())
        >>> exchange.pack(1.0) is None
        True
    """

    __slots__ = ("_instances", "_revision", "loads", "replica")

    def __init__(self, replica, loads):
        self.replica = replica
        self.loads = loads
        self._instances = {}
        self._revision = None

    def pack(self, now_s):
        """Return the packed loads for a poll, or ``None`` if no endpoint has stated any."""
        collected = self.loads.collect(now_s)
        return pack_loads(EndpointLoadReports(0, collected)) if collected else None

    def apply(self, data, now_s):
        """Apply the packed loads of a leader's delta.

        Raises:
            GreengageError: ``bad-message`` if they cannot be decoded.
        """
        self.loads.apply(unpack_loads(data, self._current_instances()), now_s)

    def _current_instances(self):
        """Return the endpoint instances by digest, computed once for each revision."""
        replica = self.replica
        revision = (replica.epoch, replica.endpoints_revision)
        if revision != self._revision:
            self._revision = revision
            self._instances = {
                digest_instance(name, record.started_ms): (name, record.started_ms)
                for name, record in replica.endpoints.items()
            }
        return self._instances

"""Evacuated availability zones as one router knows them."""

# Time from an acknowledged order until no request reaches the zone's endpoints, unless the
# settings give another.
DEFAULT_EVACUATE_S = 5.0
# Share of that time for which a router still uses endpoints for the keys that they hold. The rest
# covers the time until the router has the order and the requests that are on their way.
HANDOVER_SHARE = 0.7
# A router without a message of a leader for longer may learn of an order long after its
# acknowledgement; routers poll every 0.5 s. With the default, 1 s and the time for held keys are
# below the time in which a zone is evacuated.
MAX_CONTACT_GAP_S = 1.0


class ZoneEvacuations:
    """Decides whether endpoints of evacuated zones get requests.

    Requests that other endpoints can run leave the zone at once. Those for a key go to its holder
    until ``handover_s`` after the router learnt of the order, since the keys of a zone need some
    seconds to move.

    Args:
        handover_s: Time for which endpoints are used for the keys that they hold, in seconds.

    Attributes:
        learnt_s: When this router learnt of the evacuation, by availability zone.

    Examples:
        >>> from greengagerock.view import EndpointRecord
        >>> record = EndpointRecord("e1", "10.0.0.1:80", "till", "zone-1", 3)
        >>> evacuations = ZoneEvacuations(3.5)
        >>> evacuations.update(frozenset({"zone-1"}), 10.0)
        >>> evacuations.accepts_new(record)
        False
        >>> evacuations.accepts_held(record, 13.4), evacuations.accepts_held(record, 13.5)
        (True, False)
        >>> evacuations.update(frozenset(), 20.0)
        >>> evacuations.accepts_new(record)
        True
    """

    __slots__ = ("handover_s", "learnt_s")

    def __init__(self, handover_s):
        self.handover_s = handover_s
        self.learnt_s = {}

    def update(self, zones, now_s):
        """Replace the evacuated zones.

        Args:
            zones: Names of all evacuated zones.
            now_s: When the router learnt of them, in monotonic seconds.
        """
        self.learnt_s = {zone: self.learnt_s.get(zone, now_s) for zone in zones}

    def accepts_new(self, record):
        """Return whether an endpoint gets requests that other endpoints can run as well."""
        return record.zone not in self.learnt_s

    def without_evacuated(self, records):
        """Return the endpoints that get requests that other endpoints can run as well."""
        return [r for r in records if self.accepts_new(r)] if self.learnt_s else records

    def accepts_held(self, record, now_s):
        """Return whether an endpoint gets requests for keys that it holds."""
        learnt_s = self.learnt_s.get(record.zone)
        return learnt_s is None or now_s < learnt_s + self.handover_s

    def are_all_evacuated(self, records):
        """Return whether there are endpoints and all of them are in evacuated zones."""
        return bool(self.learnt_s and records) and not self.without_evacuated(records)


def learning_time_s(contact_s, now_s):
    """Return the time from which a router counts that it has known of an order.

    Args:
        contact_s: When a leader last sent it something before this message, in monotonic seconds.
        now_s: Monotonic time in seconds.

    Examples:
        >>> learning_time_s(9.6, 10.0), learning_time_s(2.0, 10.0)
        (10.0, 2.0)
    """
    return now_s if now_s - contact_s <= MAX_CONTACT_GAP_S else contact_s

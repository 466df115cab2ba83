"""Log lines about services whose keys have no holder."""


class HolderGaps:
    """Logs when the first units of a service lose their holder, and when all have one again.

    Args:
        outbox: Receives effects.

    Attributes:
        unit_counts: Number of units without a holder at the last tick, by service.
    """

    __slots__ = ("outbox", "unit_counts")

    def __init__(self, outbox):
        self.outbox = outbox
        self.unit_counts = {}

    def note(self, service, unit_count):
        """Record the number of units of a service that have no holder."""
        previous_count = self.unit_counts.get(service, 0)
        self.unit_counts[service] = unit_count
        if bool(previous_count) != bool(unit_count):
            event = "keys-without-holder" if unit_count else "keys-all-held"
            self.outbox.log(event, service=service, units=unit_count or previous_count)

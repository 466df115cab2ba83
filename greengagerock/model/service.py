"""Services with the rules that operators set."""

import msgspec

from greengagerock.model.keys import KeyRule, NoKey

DEFAULT_SLOTS = 1024
MAX_SLOTS = 65_536
DEFAULT_CUT_HOLD_S = 10.0
DEFAULT_TIMEOUT_S = 10.0
DEFAULT_CHURN_WEIGHT = 0.5
DEFAULT_MAX_LOAD_PERCENT = 100.0
DEFAULT_MOVES_PER_HOUR = 600


class Service(msgspec.Struct, frozen=True):
    """A service and its rules.

    Attributes:
        name: First path segment of its requests.
        key_rule: Where requests carry the key.
        slots: Number of slots that its keys hash to; 0 for a service without keys.
        cut_hold_s: Seconds for which a zone that is cut off from the leader keeps the keys
            that its own endpoints hold.
        timeout_s: Longest duration of a request, in seconds.
        churn_weight: Weight of few moves against even load, from 0 (only even load counts)
            to 1 (only few moves count).
        max_load_percent: Maximum load of one endpoint, in percent of its capacity.
        moves_per_hour: Maximum number of slots moved for balance, per hour.
        earlier_cut_hold_s: Longest ``cut_hold_s`` that zones may still apply if they have
            not acknowledged version ``cut_hold_since``.
        cut_hold_since: Version at which ``cut_hold_s`` was last shortened.
    """

    name: str
    key_rule: KeyRule = NoKey()
    slots: int = 0
    cut_hold_s: float = DEFAULT_CUT_HOLD_S
    timeout_s: float = DEFAULT_TIMEOUT_S
    churn_weight: float = DEFAULT_CHURN_WEIGHT
    max_load_percent: float = DEFAULT_MAX_LOAD_PERCENT
    moves_per_hour: int = DEFAULT_MOVES_PER_HOUR
    earlier_cut_hold_s: float = 0.0
    cut_hold_since: int = 0

    def longest_cut_hold_s(self, acknowledged):
        """Return the longest ``cut_hold_s`` that a zone may still apply.

        Args:
            acknowledged: Version that the zone has acknowledged.

        Examples:
            >>> till = Service("till", cut_hold_s=5, earlier_cut_hold_s=60, cut_hold_since=9)
            >>> till.longest_cut_hold_s(8), till.longest_cut_hold_s(9)
            (60, 5)
        """
        if acknowledged >= self.cut_hold_since:
            return self.cut_hold_s
        return max(self.cut_hold_s, self.earlier_cut_hold_s)

    @property
    def keyed(self):
        """Whether the service has keys, which are divided among its endpoints."""
        return self.slots > 0

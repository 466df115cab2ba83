"""What a new leader knows only from reports that may have been sent before its term.

A report may arrive seconds late, and then be the first one that a new leader gets from an
endpoint. The keys that it lists may have moved on since, to an endpoint that has not reported to
this leader yet. A listed key counts as a claim until a report of the same endpoint is proven to
have been sent in this term: from then on no earlier leader can have moved the key.
"""


class Probe:
    """A grant of one unit with a new fence to the endpoint that claims it.

    Attributes:
        unit: The unit.
        fence: The new fence.
    """

    __slots__ = ("fence", "unit")

    def __init__(self, unit, fence):
        self.unit = unit
        self.fence = fence


class TakeoverClaims:
    """Units that endpoints claim, and proofs that reports were sent in this term.

    A report is proven to be of this term if it lists a unit with the fence of a grant of this
    leader. An endpoint that only has claims gets one of its units with a new fence, a probe, so
    that its next report is such a proof.

    Attributes:
        units: Units whose recorded owner is only claimed.
        granted_fences: Fence of each unit that this leader has granted.
        probes: The ``Probe`` that is sent to each instance.

    Examples:
        >>> claims = TakeoverClaims()
        >>> claims.add(7)
        >>> claims.set_probe("e1", 7, 90)
        >>> claims.is_proven("e1", {7: 5}, {7})
        False
        >>> claims.is_proven("e1", {7: 90}, {7})
        True
    """

    __slots__ = ("granted_fences", "probes", "units")

    def __init__(self):
        self.units = set()
        self.granted_fences = {}
        self.probes = {}

    def add(self, unit):
        """Note that the owner of a unit is claimed by a report."""
        self.units.add(unit)
        self.granted_fences.pop(unit, None)

    def note_granted(self, unit, fence):
        """Note that this leader has granted a unit."""
        self.units.discard(unit)
        self.granted_fences[unit] = fence

    def discard(self, unit):
        """Note that a unit has no owner any more."""
        self.units.discard(unit)
        self.granted_fences.pop(unit, None)

    def set_probe(self, instance, unit, fence):
        """Choose the unit and fence that are sent to an instance as its probe."""
        self.probes[instance] = Probe(unit, fence)

    def probed_unit(self, instance):
        """Return the unit of the probe that is sent to an instance, or ``None``."""
        probe = self.probes.get(instance)
        return None if probe is None else probe.unit

    def is_proven(self, instance, reported, held):
        """Return whether a report was certainly sent in this term.

        Args:
            instance: The instance that has reported.
            reported: The fence of each unit that it lists.
            held: Units that it holds by the leader's record.
        """
        probe = self.probes.get(instance)
        if probe is not None and reported.get(probe.unit) == probe.fence:
            return True
        granted = self.granted_fences
        return any(
            unit in granted and granted[unit] == fence and unit in held
            for unit, fence in reported.items()
        )

"""Builders of endpoint pickers for tests."""

from random import Random

from greengagerock.core import TimerService
from greengagerock.core.interface import Outbox
from greengagerock.routing.endpoint_notices import EndpointNotices
from greengagerock.routing.endpoint_paths import EndpointPaths
from greengagerock.routing.endpoint_picker import EndpointPicker
from greengagerock.routing.health import EndpointHealth
from greengagerock.routing.observations import EndpointObservations
from greengagerock.view import EndpointRecord, ViewReplica


def build_picker(zones):
    """Return a picker in zone ``a`` and one endpoint in each of ``zones``."""
    records = [EndpointRecord(f"e{n}", "x:1", "docs", zone, 3) for n, zone in enumerate(zones)]
    observations = EndpointObservations()
    health, timers, random = EndpointHealth(), TimerService(0.0), Random(1)
    paths = EndpointPaths(
        ViewReplica(), observations, health, timers, Outbox(), random, lambda message: None
    )
    picker = EndpointPicker("a", observations, health, EndpointNotices(), paths, random)
    return picker, records, observations

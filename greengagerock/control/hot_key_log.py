"""Log lines about hot keys: which endpoints give up units because of them, and what returns."""

from greengagerock.assignment.units import KEYS_PER_UNIT


def log_hot_units(service, hot_units, outbox, now_s):
    """Log what has moved because of hot keys since the last call.

    Args:
        service: Name of the service.
        hot_units: Its ``HotUnitPlanner``.
        outbox: Receives the lines.
        now_s: Monotonic time in seconds.
    """
    for source, (targets, count) in hot_units.pop_moved().items():
        outbox.log(
            "hot-keys-spread",
            service=service,
            endpoint=source.name,
            units=count,
            takers=",".join(sorted(targets)),
        )
    for instance, isolation in hot_units.pop_begun():
        load = hot_units.loads.get(instance)
        outbox.log(
            "hot-key-isolated",
            service=service,
            endpoint=instance.name,
            key=isolation.unit * KEYS_PER_UNIT,
            per_s=round(isolation.rate, 1),
            capacity_per_s=round(hot_units.levels.full * load.weight, 1) if load else None,
            age_ms=round((now_s - hot_units.compared_s) * 1000),
        )
    for instance, isolation in hot_units.pop_ended():
        outbox.log(
            "hot-key-cooled",
            service=service,
            endpoint=instance.name,
            key=isolation.unit * KEYS_PER_UNIT,
            units=isolation.moved_units,
            after_s=round(now_s - isolation.since_s, 1),
        )

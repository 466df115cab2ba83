"""Faults of a soak, and the seeded plan of when they are injected."""

from random import Random

import msgspec

from greengagerock.testing.soak.proxy import FROM_TARGET, TO_TARGET

# No fault is injected before this time, so that callers are served first.
FIRST_FAULT_S = 1.0
MAX_FAULT_S = 4.0
# An endpoint that drains serves for some seconds before it ends.
LONGEST_ENDPOINT_FAULT_S = MAX_FAULT_S + 4.0
RESPONSE_FAULTS = ("torn", "extra", "late-extra", "close", "full", "slow")
ENDLESS_FAULTS = (
    "endless-line",
    "endless-headers",
    "endless-interim",
    "endless-short-body",
    "endless-chunk-size",
    "endless-chunks",
    "endless-garbage",
    "endless-refusal",
)
# Limits that rise, fall and are unreadable.
LIMITS = ("0", "0.5", "2", "5.6", "20", "1000000", "-1", "nan", "5,6")


class Kill(msgspec.Struct, frozen=True):
    """A process is killed, and restarted after ``for_s``."""

    process: str
    for_s: float


class Freeze(msgspec.Struct, frozen=True):
    """A process is suspended for ``for_s``."""

    process: str
    for_s: float


class Stop(msgspec.Struct, frozen=True):
    """A process receives SIGTERM, and is restarted ``for_s`` after it has ended."""

    process: str
    for_s: float


class Reload(msgspec.Struct, frozen=True):
    """A process receives SIGHUP, on which it reloads its settings."""

    process: str


class FullDisk(msgspec.Struct, frozen=True):
    """Every write of a process to a file fails for ``for_s``."""

    process: str
    for_s: float


class Silence(msgspec.Struct, frozen=True):
    """A proxy passes no data in one or both directions for ``for_s``, on new connections too."""

    proxy: str
    directions: tuple[str, ...]
    for_s: float


class Slow(msgspec.Struct, frozen=True):
    """A proxy delays data by ``delay_s`` for ``for_s``."""

    proxy: str
    delay_s: float
    for_s: float


class Refuse(msgspec.Struct, frozen=True):
    """A proxy resets its open connections, and for ``for_s`` each new one."""

    proxy: str
    for_s: float


class Reset(msgspec.Struct, frozen=True):
    """A proxy resets its open connections."""

    proxy: str


class Misbehave(msgspec.Struct, frozen=True):
    """An endpoint sends faulty or late responses for ``for_s``."""

    endpoint: str
    response_fault: str
    for_s: float


class Crash(msgspec.Struct, frozen=True):
    """An endpoint instance ends, and a new one starts after ``for_s``."""

    endpoint: str
    for_s: float


class Drain(msgspec.Struct, frozen=True):
    """An endpoint instance reports that it drains, then ends; a new one starts after ``for_s``."""

    endpoint: str
    for_s: float


class NameLimits(msgspec.Struct, frozen=True):
    """An endpoint names limits on its requests, one after the other, each for ``for_s``."""

    endpoint: str
    limits: tuple[str, ...]
    for_s: float


class PlannedFault(msgspec.Struct, frozen=True):
    """A fault and its time of injection, in seconds from the start of the callers."""

    at_s: float
    fault: object


def plan_faults(seed, seconds, processes, proxies, endpoints):
    """Return the faults of a soak; some follow each other so closely that they overlap.

    Args:
        seed: Seed of the plan.
        seconds: Duration of the callers' traffic.
        processes: Names of the processes; names of controllers begin with ``core``.
        proxies: Names of the proxies.
        endpoints: Names of the endpoints.

    Returns:
        ``PlannedFault`` objects in order of time.

    Examples:
        >>> plan = plan_faults(1, 10.0, ["core-1", "edge-1"], ["p"], ["e"])
        >>> plan == plan_faults(1, 10.0, ["core-1", "edge-1"], ["p"], ["e"])
        True
        >>> all(1.0 <= planned.at_s <= 10.0 for planned in plan)
        True
    """
    random = Random(seed)
    plan = []
    at_s = FIRST_FAULT_S
    while at_s < seconds:
        fault_count = random.choice((1, 1, 2, 3))
        interval_s = random.choice((0.0, 0.05, 0.4, 1.0))
        for number in range(fault_count):
            inject_s = min(at_s + number * interval_s, seconds)
            plan.append(PlannedFault(inject_s, draw_fault(random, processes, proxies, endpoints)))
        at_s += random.uniform(0.3, 3.0)
    plan += plan_endpoint_faults(seed, seconds, endpoints, plan)
    return sorted(plan, key=lambda entry: entry.at_s)


def plan_endpoint_faults(seed, seconds, endpoints, others):
    """Return limits and responses without end, drawn apart so that the other faults stay.

    Args:
        seed: Seed of the plan.
        seconds: Duration of the callers' traffic.
        endpoints: Names of the endpoints.
        others: The other ``PlannedFault`` objects; an endpoint has none of them meanwhile.
    """
    random = Random(f"endpoints-{seed}")
    plan = []
    at_s = FIRST_FAULT_S
    while at_s < seconds:
        endpoint = random.choice(endpoints)
        for_s = round(random.uniform(0.2, MAX_FAULT_S), 2)
        limits = tuple(random.choices(LIMITS, k=random.randint(1, 4)))
        fault = random.choice(
            (
                NameLimits(endpoint, limits, for_s),
                NameLimits(endpoint, limits, for_s),
                Misbehave(endpoint, random.choice(ENDLESS_FAULTS), for_s),
            )
        )
        until_s = at_s + for_s * len(limits)
        if not any(
            getattr(other.fault, "endpoint", "") == endpoint
            and at_s - LONGEST_ENDPOINT_FAULT_S < other.at_s < until_s
            for other in others
        ):
            plan.append(PlannedFault(at_s, fault))
        at_s += random.uniform(0.5, 4.0)
    return plan


def draw_fault(random, processes, proxies, endpoints):
    """Return one random fault."""
    for_s = round(random.uniform(0.2, MAX_FAULT_S), 2)
    process = random.choice(processes)
    proxy = random.choice(proxies)
    endpoint = random.choice(endpoints)
    controllers = [name for name in processes if name.startswith("core")]
    directions = random.choice(((TO_TARGET,), (FROM_TARGET,), (TO_TARGET, FROM_TARGET)))
    return random.choice(
        (
            Kill(process, for_s),
            Freeze(process, for_s),
            Stop(process, for_s),
            Reload(process),
            FullDisk(random.choice(controllers), for_s),
            Silence(proxy, directions, for_s),
            Slow(proxy, round(random.uniform(0.01, 0.3), 3), for_s),
            Refuse(proxy, for_s),
            Reset(proxy),
            Misbehave(endpoint, random.choice(RESPONSE_FAULTS), for_s),
            Crash(endpoint, for_s),
            Drain(endpoint, for_s),
        )
    )

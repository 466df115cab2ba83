"""Faults of a soak, and the seeded plan of when they strike."""

from random import Random

import msgspec

from greengagerock.testing.soak.proxy import BACK, FORTH

# The first faults strike once callers have been served for a while.
QUIET_START_S = 1.0
LONGEST_S = 4.0
BEHAVIOURS = ("torn", "extra", "late-extra", "close", "full", "slow")


class Kill(msgspec.Struct, frozen=True):
    """A process is killed, and started again after a while."""

    process: str
    for_s: float


class Freeze(msgspec.Struct, frozen=True):
    """A process stands still for a while."""

    process: str
    for_s: float


class Stop(msgspec.Struct, frozen=True):
    """A process is told to stop, and started again after it has ended."""

    process: str
    for_s: float


class Reload(msgspec.Struct, frozen=True):
    """A process is told to read its settings again."""

    process: str


class FullDisk(msgspec.Struct, frozen=True):
    """A process can write no more bytes to files for a while."""

    process: str
    for_s: float


class Silence(msgspec.Struct, frozen=True):
    """Connections through a proxy go silent in one or both directions, and new ones hang."""

    proxy: str
    directions: tuple[str, ...]
    for_s: float


class Slow(msgspec.Struct, frozen=True):
    """Data through a proxy is late."""

    proxy: str
    delay_s: float
    for_s: float


class Refuse(msgspec.Struct, frozen=True):
    """New connections through a proxy are reset, open ones too."""

    proxy: str
    for_s: float


class Reset(msgspec.Struct, frozen=True):
    """Open connections through a proxy are reset."""

    proxy: str


class Misbehave(msgspec.Struct, frozen=True):
    """An endpoint spoils its answers."""

    endpoint: str
    behaviour: str
    for_s: float


class Crash(msgspec.Struct, frozen=True):
    """An endpoint ends, and begins a new life after a while."""

    endpoint: str
    for_s: float


class Drain(msgspec.Struct, frozen=True):
    """An endpoint says that it leaves, leaves, and begins a new life after a while."""

    endpoint: str
    for_s: float


class Planned(msgspec.Struct, frozen=True):
    """A fault with its moment, in seconds from the start of the callers."""

    at_s: float
    fault: object


def plan_faults(seed, seconds, processes, proxies, endpoints):
    """Return the faults of a soak: series that overlap.

    Args:
        seed: Seed of the plan.
        seconds: How long callers send requests.
        processes: Names of the processes; those of controllers begin with ``core``.
        proxies: Names of the proxies.
        endpoints: Names of the endpoints.

    Returns:
        ``Planned`` objects in order of time.

    Examples:
        >>> plan = plan_faults(1, 10.0, ["core-1", "edge-1"], ["p"], ["e"])
        >>> plan == plan_faults(1, 10.0, ["core-1", "edge-1"], ["p"], ["e"])
        True
        >>> all(1.0 <= planned.at_s <= 10.0 for planned in plan)
        True
    """
    random = Random(seed)
    planned = []
    at_s = QUIET_START_S
    while at_s < seconds:
        series = random.choice((1, 1, 2, 3))
        gap_s = random.choice((0.0, 0.05, 0.4, 1.0))
        for number in range(series):
            moment_s = min(at_s + number * gap_s, seconds)
            planned.append(Planned(moment_s, draw_fault(random, processes, proxies, endpoints)))
        at_s += random.uniform(0.3, 3.0)
    return sorted(planned, key=lambda entry: entry.at_s)


def draw_fault(random, processes, proxies, endpoints):
    """Return one fault."""
    for_s = round(random.uniform(0.2, LONGEST_S), 2)
    process = random.choice(processes)
    proxy = random.choice(proxies)
    endpoint = random.choice(endpoints)
    controllers = [name for name in processes if name.startswith("core")]
    directions = random.choice(((FORTH,), (BACK,), (FORTH, BACK)))
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
            Misbehave(endpoint, random.choice(BEHAVIOURS), for_s),
            Crash(endpoint, for_s),
            Drain(endpoint, for_s),
        )
    )

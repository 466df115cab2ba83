"""Refusal of calls that the limits of endpoints exclude."""

import msgspec

# Largest number of endpoints that the detail of a refusal describes.
MAX_DESCRIBED_ENDPOINTS = 4


class LimitRefusal(msgspec.Struct, frozen=True):
    """Why a call is refused, and when it will be accepted.

    Attributes:
        code: ``endpoint-cold`` if a cold endpoint would have taken it when warm, else
            ``endpoint-limited``.
        detail: The limits that exclude it, with their inputs.
        retry_after_s: When its caller should come back, in seconds.
    """

    code: str
    detail: str
    retry_after_s: float


def refuse_by_limits(limits, records, pause_s, now_s):
    """Return the ``LimitRefusal`` of a call that the limits of some endpoints exclude.

    Args:
        limits: The ``EndpointLimits``.
        records: The ``EndpointRecord`` objects of these endpoints.
        pause_s: When another endpoint of the service accepts requests again, or ``None``.
        now_s: Monotonic time in seconds.
    """
    waits_s = [limits.retry_after_s(record, now_s) for record in records]
    if pause_s is not None:
        waits_s.append(pause_s)
    is_cold = any(limits.cold.current(record, now_s) is not None for record in records)
    described = [
        describe_limit(limits, record, now_s) for record in records[:MAX_DESCRIBED_ENDPOINTS]
    ]
    if len(records) > MAX_DESCRIBED_ENDPOINTS:
        described.append(f"{len(records) - MAX_DESCRIBED_ENDPOINTS} more")
    return LimitRefusal(
        "endpoint-cold" if is_cold else "endpoint-limited", "; ".join(described), min(waits_s)
    )


def describe_limit(limits, record, now_s):
    """Return the limit of an endpoint in words, with the inputs of the decision and their age."""
    cold = limits.cold.current(record, now_s)
    if cold is None:
        return f"limit of endpoint {record.name}"
    demand = "unknown" if cold.demand_per_s is None else f"{cold.demand_per_s:.1f}/s"
    age_s = now_s - limits.cold.confirmed_s
    age = "never" if age_s == float("inf") else f"{age_s:.1f} s ago"
    return (
        f"endpoint {record.name} is cold for {cold.until_s - now_s:.1f} s,"
        f" {cold.limit_per_s:g}/s over {limits.cold.router_count} routers,"
        f" demand {demand}, last message of the leader {age}"
    )

"""Which network links are so slow that responses have to be scheduled on them."""

# Faster links are no bottleneck for a host that serves callers.
SLOW_LINK_MBIT_S = 100.0
BITS_PER_MEGABIT = 1_000_000
BITS_PER_BYTE = 8


def slow_link_bytes_per_s(link_mbit_s):
    """Return the speed of a slow link in bytes per second, or ``None`` for a fast one.

    Args:
        link_mbit_s: Speed of the link in megabits per second.

    Examples:
        >>> slow_link_bytes_per_s(2.0), slow_link_bytes_per_s(1000.0)
        (250000.0, None)
    """
    if link_mbit_s >= SLOW_LINK_MBIT_S:
        return None
    return link_mbit_s * BITS_PER_MEGABIT / BITS_PER_BYTE

"""Time limits that follow from the speed of a host's own network link.

On a slow link, a packet waits behind the responses that the host relays at the same time. This
wait must not be taken for an unreachable peer.
"""

# Size of a response that others have to wait for, such as a scanned document.
LONG_RESPONSE_BYTES = 128 * 1024
# Number of such responses that a packet may have to wait for.
LONG_RESPONSES_AHEAD = 2


def link_delay_s(link_mbit_s):
    """Return how long a packet may wait for the host's link, in seconds.

    Args:
        link_mbit_s: Speed of the link in megabits per second.

    Examples:
        >>> round(link_delay_s(2.5), 2), round(link_delay_s(1000), 3)
        (0.84, 0.002)
    """
    return LONG_RESPONSES_AHEAD * LONG_RESPONSE_BYTES * 8 / (link_mbit_s * 1e6)

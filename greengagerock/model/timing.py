"""Durations of leases, heartbeats and elections, all in seconds.

The guarantee that a unit has at most one owner depends on these values.
"""

ANNOUNCE_INTERVAL_S = 0.4
ENDPOINT_LEASE_S = 1.5
ROUTER_HEARTBEAT_INTERVAL_S = 0.3
ROUTER_LEASE_S = 1.2
LEASE_MANAGER_HEARTBEAT_INTERVAL_S = 0.25
REMOTE_ZONE_LEASE_S = 2.0
LEASE_MANAGER_SILENCE_LIMIT_S = 1.0
LEADER_TICK_INTERVAL_S = 0.1
VOTER_HEARTBEAT_INTERVAL_S = 0.1
ELECTION_TIMEOUT_MIN_S = 0.5
ELECTION_TIMEOUT_MAX_S = 1.0
HELLO_INTERVAL_S = 0.5
BOOTSTRAP_INTERVAL_S = 0.2
OPERATOR_RELAY_TIMEOUT_S = 5.0

# Safety margin of a lease: the clocks of two hosts may drift apart by one part in a hundred
# of its duration, and a process may pause between checking the lease and acting on it.
MAX_CLOCK_DRIFT_RATIO = 0.01
PAUSE_ALLOWANCE_S = 0.05


def lessor_duration(lease_s):
    """Return how long the lessor must wait until a lease has certainly expired.

    Args:
        lease_s: Granted lease duration, in seconds.

    Examples:
        >>> round(lessor_duration(1.0), 3)
        1.06
    """
    return lease_s * (1 + MAX_CLOCK_DRIFT_RATIO) + PAUSE_ALLOWANCE_S

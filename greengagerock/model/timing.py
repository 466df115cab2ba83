"""Durations of leases, heartbeats and elections, all in seconds.

The guarantee that a unit has at most one owner depends on these values.
"""

ANNOUNCE_INTERVAL_S = 0.4
ENDPOINT_LEASE_S = 1.5
ROUTER_BEAT_INTERVAL_S = 0.3
ROUTER_LEASE_S = 1.2
KEEPER_BEAT_INTERVAL_S = 0.25
FOREIGN_LEASE_S = 2.0
KEEPER_SILENCE_LIMIT_S = 1.0
LEADER_TICK_INTERVAL_S = 0.1
VOTER_HEARTBEAT_INTERVAL_S = 0.1
ELECTION_TIMEOUT_MIN_S = 0.5
ELECTION_TIMEOUT_MAX_S = 1.0
HELLO_INTERVAL_S = 0.5
FOUNDING_INTERVAL_S = 0.2
OPERATOR_RELAY_TIMEOUT_S = 5.0

# Safety margin of a lease: the clocks of two hosts may drift apart by one part in a hundred
# of its duration, and a process may pause between checking the lease and acting on it.
DRIFT_SHARE = 0.01
PAUSE_ALLOWANCE_S = 0.05


def lender_duration(lease_s):
    """Return how long the lessor must wait until a lease has certainly expired.

    Args:
        lease_s: Granted lease duration, in seconds.

    Examples:
        >>> round(lender_duration(1.0), 3)
        1.06
    """
    return lease_s * (1 + DRIFT_SHARE) + PAUSE_ALLOWANCE_S

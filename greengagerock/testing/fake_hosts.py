"""Simulated disks, hosts and endpoints of ``FakeSystem``."""

from greengagerock.agent.grant_table import GrantTable
from greengagerock.replication import DurableState


class FakeDisk:
    """Stable storage of one voter; records that are not synced are lost in a crash.

    Args:
        identity: Identity of the stored data.

    Attributes:
        synced: Records that survive a crash.
        has_write_errors: Whether writes fail.
    """

    def __init__(self, identity):
        self.identity = identity
        self.synced = []
        self.has_write_errors = False

    def read(self):
        """Return the durable state that a restarted voter reads."""
        durable_state = DurableState(self.identity)
        for record in self.synced:
            durable_state.apply(record)
        return durable_state


class FakeHost:
    """One host and the node of its running process.

    Attributes:
        config: The node's configuration.
        node: The node, or ``None`` while the process is down.
        disk: The fake disk of a voter, or ``None``.
        paused_events: Events that arrived while the process is paused; ``None`` while it runs.
        run_number: Incremented by each start and crash, so that effects of an earlier run of
            the process are dropped.
        crash_times_s: When its process crashed, which ends the connections of its callers.
    """

    def __init__(self, config, disk):
        self.config = config
        self.crash_times_s = []
        self.disk = disk
        self.node = None
        self.paused_events = None
        self.run_number = 0


class FakeEndpoint:
    """An endpoint that announces itself, holds grants and records the requests that it ran.

    Attributes:
        announcement: Template of its announcements.
        grant_table: Its grants, with their expiry.
        is_up: Whether its process runs.
        frozen: Whether it neither runs requests nor announces itself, but keeps its state.
        processing_time_s: Time that it takes to run a request.
        runs: Completed requests: tuples of unit label, request id, start time and end time.
        deferred_actions: Calls to make when it is unfrozen.
        drops_answers: Whether it closes the connection after running a request, without a
            response.
    """

    def __init__(self, announcement, processing_time_s=0.0):
        self.announcement = announcement
        self.grant_table = GrantTable()
        self.is_up = True
        self.frozen = False
        self.processing_time_s = processing_time_s
        self.runs = []
        self.deferred_actions = []
        self.drops_answers = False

    @property
    def name(self):
        """The endpoint's name."""
        return self.announcement.name

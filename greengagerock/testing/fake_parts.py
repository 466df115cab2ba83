"""Fake disks, hosts and endpoints for ``FakeSystem``."""

from greengagerock.agent import GrantBook
from greengagerock.replication import DurableState


class FakeDisk:
    """Records of one voter; those not yet synced are lost in a crash.

    Attributes:
        synced: Records that last.
        fails: Whether writes fail.
    """

    def __init__(self, identity):
        self.identity = identity
        self.synced = []
        self.fails = False

    def read(self):
        """Return what a restarted voter finds."""
        durable = DurableState(self.identity)
        for record in self.synced:
            durable.apply(record)
        return durable


class FakeHost:
    """One host with its node.

    Attributes:
        config: The node's configuration.
        node: The node, or ``None`` while the process is down.
        disk: The fake disk of a voter, or ``None``.
        paused_events: Events kept back while the process is paused, or ``None``.
        life: Rises with each start, so that effects of an earlier life are dropped.
    """

    def __init__(self, config, disk):
        self.config = config
        self.disk = disk
        self.node = None
        self.paused_events = None
        self.life = 0


class FakeEndpoint:
    """An endpoint that holds grants and records its runs.

    Attributes:
        announcement: Template of its announcements.
        book: Its grants.
        up: Whether the process lives.
        frozen: Whether it neither runs nor announces, keeping its state.
        service_s: Time that a request takes.
        runs: Tuples of unit label, request id, start and end time.
        drops_answers: Whether it runs requests and closes the connection instead of
            answering.
    """

    def __init__(self, announcement, service_s=0.0):
        self.announcement = announcement
        self.book = GrantBook()
        self.up = True
        self.frozen = False
        self.service_s = service_s
        self.runs = []
        self.held = []
        self.drops_answers = False

    @property
    def name(self):
        """Its name."""
        return self.announcement.name

"""A simulated endpoint with slots and a queue that states its load in responses."""

import msgspec

from greengagerock.core.interface import LoadNotice
from greengagerock.testing.fake_reporting_endpoint import FakeReportingEndpoint


class FakeLoadedEndpoint(FakeReportingEndpoint):
    """An endpoint that runs a few requests at once, in order of arrival.

    Args:
        name: Name of the endpoint.
        number: Last byte of its address.
        slots: Number of requests that it runs at once.
        work_s: Usual time that it takes to run a request.
        queue_limit: Requests that may wait for a slot; others are refused as not run.
        **fields: Further arguments of ``FakeReportingEndpoint``.

    Attributes:
        states_load: Whether its responses state its load.
        false_load: A ``LoadNotice`` that it states instead of its load, or ``None``.
        pace: Factor by which work takes longer than usual.
        spans_s: Start and end of each accepted request that has not ended.
    """

    def __init__(self, name, number, slots=2, work_s=0.1, queue_limit=12, **fields):
        super().__init__(name, number, **fields)
        self.slots = slots
        self.work_s = work_s
        self.queue_limit = queue_limit
        self.states_load = True
        self.false_load = None
        self.pace = 1.0
        self.spans_s = []
        self._busy_until_s = [0.0] * slots

    def enqueue_request(self, now_s):
        """Accept a request unless the queue is full.

        Returns:
            Seconds until it is completed, or ``None`` if the queue is full.
        """
        if self.count_requests(now_s)[1] >= self.queue_limit:
            return None
        slot = self._busy_until_s.index(min(self._busy_until_s))
        start_s = max(now_s, self._busy_until_s[slot])
        end_s = self._busy_until_s[slot] = start_s + self.pace * self.work_s
        self.spans_s.append((start_s, end_s))
        return end_s - now_s

    def count_requests(self, now_s):
        """Return the number of running and of waiting requests."""
        self.spans_s = [span for span in self.spans_s if span[1] > now_s]
        running = sum(start_s <= now_s for start_s, _ in self.spans_s)
        return running, len(self.spans_s) - running

    def restart(self):
        """Begin a new instance without requests; responses of the earlier one still arrive."""
        self.started_ms += 5000
        self.sequence = 0
        self.spans_s = []
        self._busy_until_s = [0.0] * self.slots

    def load_notice(self, now_s):
        """Return the ``LoadNotice`` of a response, or ``None`` if it states no load."""
        if not self.states_load:
            return None
        if self.false_load is not None:
            return self.false_load
        running, waiting = self.count_requests(now_s)
        return LoadNotice(running, waiting, self.slots, round(100 * self.pace))

    def report(self, now_s=0.0):
        """Return the endpoint's next report."""
        return msgspec.structs.replace(super().report(now_s), slots=self.slots)

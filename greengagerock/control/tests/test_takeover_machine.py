"""Hypothesis state machine over reports and changes of leader.

It guards against two holders of a key, fences that do not rise, and keys that are granted while
their holder is at work on them.
"""

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from greengagerock.testing.takeover_model import ZONES, TakeoverModel

MODES = ("late", "unanswered", "doubled")
MAX_ENDPOINTS = 12


class TakeoverMachine(RuleBasedStateMachine):
    """Endpoints whose reports are late, doubled, lost, or of an earlier run; leaders that end."""

    @initialize(count=st.integers(1, 3), seconds=st.sampled_from([2.0, 7.0]), drains=st.booleans())
    def build(self, count, seconds, drains):
        """Start with a report on its way and keys that have moved since."""
        self.model = TakeoverModel(count)
        self.model.run_for(8.0)
        self.keys_move_while_a_report_is_late(0, drains, seconds)

    def running(self):
        """Return the endpoints that run."""
        return [endpoint for endpoint in self.model.endpoints if endpoint.is_up]

    def choose(self, number):
        """Return one of the running endpoints; start one if all have left."""
        running = self.running() or [self.model.join()]
        return running[number % len(running)]

    @rule(seconds=st.sampled_from([0.1, 0.3, 1.1, 2.5]))
    def run_on(self, seconds):
        self.model.run_for(seconds)

    @rule(seconds=st.sampled_from([0.0, 0.1, 0.6, 1.3]))
    def change_leader(self, seconds):
        self.model.change_leader()
        self.model.run_for(seconds)

    @rule(number=st.integers(0, 11), mode=st.sampled_from(MODES), is_next=st.booleans())
    def disturb_report(self, number, mode, is_next):
        endpoint = self.choose(number)
        endpoint.mode = mode
        if is_next:
            endpoint.next_report_s = self.model.now_s

    @precondition(lambda self: self.model.late_reports)
    @rule(number=st.integers(0, 11))
    def deliver_late(self, number):
        self.model.deliver_late(number % len(self.model.late_reports))

    @precondition(lambda self: self.model.late_reports)
    @rule(number=st.integers(0, 11), seconds=st.sampled_from([0.0, 0.2, 1.5]))
    def deliver_late_to_a_new_leader(self, number, seconds):
        self.model.change_leader()
        self.model.run_for(seconds)
        self.model.deliver_late(number % len(self.model.late_reports))
        self.model.run_for(1.3)

    @precondition(lambda self: len(self.model.endpoints) < MAX_ENDPOINTS)
    @rule(number=st.integers(0, 11), drains=st.booleans(), seconds=st.sampled_from([1.5, 7.0]))
    def keys_move_while_a_report_is_late(self, number, drains, seconds):
        endpoint = self.choose(number)
        endpoint.mode = "late"
        endpoint.next_report_s = self.model.now_s
        was_draining, endpoint.draining = endpoint.draining, endpoint.draining or drains
        self.model.run_for(0.1)
        endpoint.draining = was_draining
        self.model.join()
        self.model.run_for(seconds)

    @precondition(lambda self: len(self.model.endpoints) < MAX_ENDPOINTS)
    @rule()
    def join(self):
        self.model.join()

    @precondition(lambda self: len(self.model.endpoints) < MAX_ENDPOINTS)
    @rule(number=st.integers(0, 11), keeps_name=st.booleans())
    def restart(self, number, keeps_name):
        self.model.restart(self.choose(number), keeps_name)

    @precondition(lambda self: len(self.running()) > 1)
    @rule(number=st.integers(0, 11))
    def crash(self, number):
        self.model.crash(self.choose(number))

    @precondition(lambda self: len(self.running()) > 1)
    @rule(number=st.integers(0, 11))
    def drain(self, number):
        self.model.drain(self.choose(number))

    @precondition(lambda self: len(self.running()) > 1)
    @rule(number=st.integers(0, 11))
    def leave(self, number):
        endpoint = self.choose(number)
        if endpoint.ends_s is None:
            self.model.leave(endpoint)

    @rule(
        number=st.integers(0, 11),
        count=st.sampled_from([1, 30]),
        seconds=st.sampled_from([0.5, 2.0, 8.0]),
    )
    def work(self, number, count, seconds):
        self.model.work(self.choose(number), count, seconds)

    @rule(zone=st.sampled_from(ZONES), is_active=st.booleans())
    def evacuate(self, zone, is_active):
        self.model.evacuate(zone, is_active)

    @invariant()
    def each_key_has_one_holder(self):
        assert not hasattr(self, "model") or self.model.problems == []


TestTakeover = TakeoverMachine.TestCase
TestTakeover.settings = settings(
    max_examples=40,
    stateful_step_count=12,
    derandomize=True,
    deadline=None,
    # Examples take a second each, too long to shrink them.
    phases=[Phase.explicit, Phase.generate],
)

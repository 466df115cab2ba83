"""Endpoints and a sequence of leaders, with reports that are late, doubled or lost.

The leaders are real ``SiteLeader`` objects on a log that commits at once. The model checks the
promises on keys from what the endpoints see.
"""

from types import SimpleNamespace

import msgspec

from greengagerock.assignment import EndpointLeaving, EndpointReport, FreedRange, HeldRange
from greengagerock.assignment.units import KEYS_PER_UNIT
from greengagerock.control.relay_messages import ReportRelay
from greengagerock.control.site_leader import SiteLeader
from greengagerock.core import TimerService
from greengagerock.core.interface import Outbox
from greengagerock.items import ItemStore
from greengagerock.items.store import encode_patch
from greengagerock.node.site_config import SiteConfig
from greengagerock.replication import Entry
from greengagerock.testing.item_builders import build_first_patch

REPORT_INTERVAL_S = 1.0
ACK_TIMEOUT_S = 1.0
RELEASE_REPORT_S = 0.1
TICK_S = 0.1
HOLD_S = 6.0
# An endpoint's clock may run 2 % slow.
CLOCK_DRIFT_FACTOR = 1.02
ZONES = ("zone-1", "zone-2", "zone-3")


class CommittedLog:
    """The part of a voter that a leader uses; proposals are committed when ``commit`` is called.

    Attributes:
        term: Term of the present leader.
        entries: All entries.
    """

    def __init__(self, store):
        self.store = store
        self.term = 1
        self.entries = []
        self.applied = 0
        self.identity = "voter-1"
        self.membership = SimpleNamespace(voters=())
        self.log = SimpleNamespace(
            entry_at=self._entry_at, snapshot=SimpleNamespace(data=b"", index=0)
        )

    def _entry_at(self, index):
        # The first leader appends entry 2 in term 1.
        return Entry(index, 1, b"")

    def is_ready_to_serve(self):
        """Return that the leader has applied all entries of earlier terms."""
        return True

    def has_lease(self):
        """Return that no other leader can exist."""
        return True

    def propose(self, payload):
        """Append an entry; return its index."""
        self.entries.append(Entry(len(self.entries) + 3, self.term, payload))
        return self.entries[-1].index

    def commit(self):
        """Apply the appended entries."""
        while self.applied < len(self.entries):
            self.applied += 1
            self.store.apply(self.entries[self.applied - 1])


class ModelEndpoint:
    """One run of an endpoint, which holds keys as the reports' protocol says.

    Attributes:
        holds: Fence and end of the hold by unit, by its own slow clock.
        working: End of the work by unit, for units on which it is at work.
        promised_until_s: End of the newest hold of each unit that it was granted.
        seen: Highest fence that it has received, by unit.
        freed: Units released since its last acknowledged report.
        next_report_s: When it sends its next report.
        mode: What happens to its next report: ``prompt``, ``late``, ``unanswered`` or ``doubled``.
        ends_s: When it exits after its leave, or ``None``.
    """

    def __init__(self, name, address, zone, started_ms, now_s):
        self.name = name
        self.address = address
        self.zone = zone
        self.started_ms = started_ms
        self.sequence = 0
        self.draining = False
        self.is_up = True
        self.holds = {}
        self.working = {}
        self.promised_until_s = {}
        self.seen = {}
        self.freed = []
        self.next_report_s = now_s
        self.mode = "prompt"
        self.ends_s = None

    def expire(self, now_s):
        """Drop holds that have run out, and end work that is done or outlasts its hold."""
        for unit in [u for u, (_, until_s) in self.holds.items() if until_s <= now_s]:
            del self.holds[unit]
        for unit in [
            u
            for u, (_, end_s) in self.working.items()
            if end_s <= now_s or self.promised_until_s.get(u, 0.0) <= now_s
        ]:
            del self.working[unit]
            if unit not in self.holds and self.promised_until_s.get(unit, 0.0) > now_s:
                self.freed.append(unit)

    def report(self):
        """Return its next report."""
        self.sequence += 1
        listed = {unit: fence for unit, (fence, _) in self.working.items()}
        listed |= {unit: fence for unit, (fence, _) in self.holds.items()}
        return EndpointReport(
            self.name,
            self.started_ms,
            self.sequence,
            self.address,
            "till",
            self.zone,
            3,
            self.draining,
            0.0,
            tuple(HeldRange(*key_range(run), fence) for run, fence in runs_of(listed)),
            tuple(FreedRange(*key_range((u, u)), f"token-{u}") for u in dict.fromkeys(self.freed)),
        )

    def apply(self, response, sent_s, freed_count):
        """Apply the response to a report; return the units that it takes, with their fences."""
        self.freed = self.freed[freed_count:]
        if response.grants is None:
            return {}
        until_s = sent_s + response.hold_s * CLOCK_DRIFT_FACTOR
        granted = {
            unit: row.fence
            for row in response.grants
            for unit in range(row.first // KEYS_PER_UNIT, row.last // KEYS_PER_UNIT + 1)
            if row.fence >= self.seen.get(unit, 0)
        }
        for unit in [u for u in self.holds if u not in granted]:
            del self.holds[unit]
            if unit not in self.working:
                self.freed.append(unit)
        taken = {unit: fence for unit, fence in granted.items() if unit not in self.holds}
        for unit, fence in granted.items():
            self.seen[unit] = fence
            self.holds[unit] = (fence, until_s)
            self.promised_until_s[unit] = until_s
        return taken


class TakeoverModel:
    """Endpoints of one service with keys, and the leaders that they report to.

    Attributes:
        now_s: Virtual time in seconds.
        endpoints: All endpoints, also those that have ended.
        late_reports: Reports that are still on their way.
        problems: Broken promises.
    """

    def __init__(self, endpoint_count=4):
        self.now_s = 0.0
        self.store = ItemStore()
        self.voter = CommittedLog(self.store)
        self.endpoints = []
        self.late_reports = []
        self.problems = []
        self.fences = {}
        self._token = 0
        self.leader = None
        self.voter.propose(encode_patch(build_first_patch()))
        self._start_leader()
        self.voter.commit()
        for _ in range(endpoint_count):
            self.join()

    # --- Actions ---------------------------------------------------------------------

    def join(self, name="", address="", zone=""):
        """Start an endpoint."""
        number = len(self.endpoints) + 1
        endpoint = ModelEndpoint(
            name or f"till-{number}",
            address or f"10.0.9.{number}:80",
            zone or ZONES[number % len(ZONES)],
            1000 + round(self.now_s * 1000) + number,
            self.now_s + 0.13 * (number % 7),
        )
        self.endpoints.append(endpoint)
        return endpoint

    def change_leader(self):
        """End the leader; the next one starts with the replicated state only."""
        self.voter.term += 1
        self._start_leader()

    def crash(self, endpoint):
        """End an endpoint without a message."""
        endpoint.is_up = False
        endpoint.holds, endpoint.working = {}, {}

    def restart(self, endpoint, keeps_name):
        """Start another run at the address of an endpoint, under the same or another name."""
        self.crash(endpoint)
        name = endpoint.name if keeps_name else ""
        return self.join(name, endpoint.address, endpoint.zone)

    def drain(self, endpoint):
        """Let an endpoint report that it drains."""
        endpoint.draining = True
        endpoint.next_report_s = self.now_s

    def leave(self, endpoint):
        """Let an endpoint send its leave message; it exits two seconds later."""
        self._request(EndpointLeaving(endpoint.name, endpoint.started_ms))
        endpoint.ends_s = self.now_s + 2.0

    def work(self, endpoint, count, seconds):
        """Let an endpoint begin work on some of its units."""
        endpoint.expire(self.now_s)
        for unit in sorted(endpoint.holds)[:count]:
            endpoint.working[unit] = (endpoint.holds[unit][0], self.now_s + seconds)

    def evacuate(self, zone, is_active):
        """Start or end the evacuation of a zone."""
        evacuations = {zone: 1} if is_active else {}
        self.store.items = msgspec.structs.replace(self.store.items, evacuations=evacuations)

    def deliver_late(self, index):
        """Deliver one of the reports that are on their way; nobody waits for its response."""
        self._request(self.late_reports.pop(index))

    def run_for(self, seconds):
        """Advance the time."""
        end_s = self.now_s + seconds
        while self.now_s < end_s - 1e-9:
            self.now_s += TICK_S
            self.timers.advance(self.now_s)
            for endpoint in [e for e in self.endpoints if e.is_up]:
                endpoint.expire(self.now_s)
                if endpoint.ends_s is not None and endpoint.ends_s <= self.now_s:
                    self.crash(endpoint)
                elif endpoint.next_report_s <= self.now_s:
                    self._report(endpoint)
            self.leader.tick()
            self.voter.commit()
            self.leader.outbox.drain()

    # --- Observations ------------------------------------------------------------------

    def held_by(self, endpoint):
        """Return the units that an endpoint holds now."""
        endpoint.expire(self.now_s)
        return set(endpoint.holds)

    def unheld_count(self):
        """Return the number of units that no running endpoint holds."""
        held = set()
        for endpoint in self.endpoints:
            held |= self.held_by(endpoint)
        return 8192 - len(held)

    def _start_leader(self):
        self.timers = TimerService(self.now_s)
        config = SiteConfig("core-1", "zone-1", "10.0.0.1:1", (), hold_s=HOLD_S)
        self.leader = SiteLeader(config, self.voter, self.store, self.timers, Outbox())
        self.leader.start_term()

    def _report(self, endpoint):
        report = endpoint.report()
        freed_count = len(endpoint.freed)
        mode, endpoint.mode = endpoint.mode, "prompt"
        if mode == "late":
            self.late_reports.append(report)
            endpoint.next_report_s = self.now_s + ACK_TIMEOUT_S
            return
        response = self._request(report)
        if mode == "doubled":
            self._request(report)
        if response is None or response.code or mode == "unanswered":
            endpoint.next_report_s = self.now_s + ACK_TIMEOUT_S
            return
        held_before = set(endpoint.holds)
        taken = endpoint.apply(response, self.now_s, freed_count)
        self._check(endpoint, taken)
        has_released = bool(held_before - set(endpoint.holds))
        is_working = any(unit not in endpoint.holds for unit in endpoint.working)
        is_quick = has_released or is_working
        endpoint.next_report_s = self.now_s + (RELEASE_REPORT_S if is_quick else REPORT_INTERVAL_S)

    def _request(self, message):
        self._token += 1
        replies = []
        self.leader.process_request(ReportRelay(self._token, message), replies.append)
        self.voter.commit()
        return replies[0].report if replies else None

    def _check(self, endpoint, taken):
        others = [e for e in self.endpoints if e is not endpoint and e.is_up]
        for other in others:
            other.expire(self.now_s)
        for unit, fence in taken.items():
            holder, highest = self.fences.get(unit, (endpoint, 0))
            if holder is not endpoint and fence <= highest:
                self._note(f"{endpoint.name} takes unit {unit} with fence {fence} <= {highest}")
            self.fences[unit] = (endpoint, max(fence, highest))
            for other in others:
                if unit in other.holds:
                    self._note(f"{endpoint.name} takes unit {unit}, which {other.name} holds")
                elif unit in other.working:
                    self._note(f"{endpoint.name} takes unit {unit}, at work at {other.name}")

    def _note(self, problem):
        self.problems.append(f"{self.now_s:.1f} s, term {self.voter.term}: {problem}")


def runs_of(fences):
    """Return pairs of the first and last unit, and the fence, of runs of neighbouring units."""
    runs = []
    for unit in sorted(fences):
        if runs and runs[-1][0][1] == unit - 1 and runs[-1][1] == fences[unit]:
            runs[-1] = ((runs[-1][0][0], unit), fences[unit])
        else:
            runs.append(((unit, unit), fences[unit]))
    return runs


def key_range(run):
    """Return the first and last key of a run of units."""
    return run[0] * KEYS_PER_UNIT, run[1] * KEYS_PER_UNIT + KEYS_PER_UNIT - 1

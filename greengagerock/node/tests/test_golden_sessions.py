"""Golden files of sessions in virtual time: a cut and recovery, and concurrent changes."""

from greengagerock.core import TimelineFilter, merge_timelines
from greengagerock.model import slot_of_key
from greengagerock.testing.invariants import InvariantChecker
from greengagerock.testing.system_builders import (
    build_fake_system,
    find_leader,
    leader_state,
    run_until_settled,
)

SLOTS = 16


class Transcript:
    """Records requests, changes and events, with times relative to the start."""

    def __init__(self, system):
        self.system = system
        self.start_s = system.now_s
        self.lines = []

    def note(self, text):
        """Add one line."""
        self.lines.append(f"{self.system.now_s - self.start_s:8.2f} s  {text}")

    def request(self, host, key):
        """Send a request and add its outcome."""
        state = leader_state(self.system)
        name = state.routes.owners["till"][slot_of_key(key, SLOTS)].endpoint if state else "?"
        outcome = self.system.request_and_wait(host, "till", f"/cards/{key}")
        self.note(f"{host} asks for {key} of {name}: {outcome}")

    def change(self, host, text, request_id, base=None):
        """Make a change and add the response."""
        response = self.system.send_statement_and_wait(host, text, request_id, base)
        self.response(host, text, response)

    def response(self, host, text, response):
        """Add the response to a change."""
        shown = response.code or f"accepted, in force: {response.in_force}"
        waiting = f", waiting for {' '.join(response.waiting)}" if response.waiting else ""
        self.note(f"{host}: {text!r}: {shown}{waiting}")

    def query(self, host, text):
        """Send a query and add the rows of its result."""
        table = self.system.send_statement_and_wait(host, text).table
        self.note(f"{host}: {text!r}")
        self.lines += [
            f"{'':12}{dict(zip(table.columns, row, strict=True))}" for row in table.rows
        ]

    def events(self):
        """Add the merged timeline of all hosts since the start."""
        nodes = [host.node for host in self.system.hosts.values() if host.node]
        since = TimelineFilter(since_us=int(self.start_s * 1e6))
        for event in merge_timelines(node.timeline.select(since) for node in nodes):
            at_s = event.at.wall_us / 1e6 - self.start_s
            self.lines.append(f"{at_s:8.2f} s  [{event.host}] {event.kind} {event.endpoint}")

    def text(self):
        """Return the whole transcript."""
        return "\n".join(self.lines) + "\n"


def test_cut_and_heal(snapshot):
    system = build_fake_system(
        hosts_per_zone=3, voters=5, seed=7, rules="set cut_hold_s 10, timeout_s 1"
    )
    InvariantChecker(system)
    leader = find_leader(system).config.host
    zone = next(z for z in ("zone-1", "zone-2", "zone-3") if z != leader.zone)
    routes = leader_state(system).routes
    keys = [f"card-{n}" for n in range(40)]

    def zone_of_key(key):
        return routes.endpoints[routes.owners["till"][slot_of_key(key, SLOTS)].endpoint].zone

    inside_key = next(k for k in keys if zone_of_key(k) == zone)
    outside_key = next(k for k in keys if zone_of_key(k) == leader.zone)
    inside_host, outside_host = f"host-{zone[5:]}-2", f"host-{leader.zone[5:]}-2"
    transcript = Transcript(system)
    transcript.note(f"cut {zone}")
    system.cuts_requests = True
    system.isolate_zone(zone)
    for pause_s in (1.0, 3.0, 10.0):
        system.run_for(pause_s)
        for host in (inside_host, outside_host):
            for key in (inside_key, outside_key):
                transcript.request(host, key)
    transcript.change(outside_host, "alter service till set timeout_s 2", "during-the-cut")
    transcript.query(outside_host, "show zones")
    transcript.query(outside_host, "show churn")
    transcript.note("heal")
    system.heal()
    run_until_settled(system)
    transcript.note("settled")
    transcript.request(inside_host, inside_key)
    transcript.request(inside_host, outside_key)
    transcript.change(outside_host, "alter service till set timeout_s 2", "during-the-cut")
    transcript.query(inside_host, "show zones")
    transcript.events()
    assert transcript.text() == snapshot


def test_operator_race(snapshot):
    system = build_fake_system(seed=11)
    InvariantChecker(system)
    transcript = Transcript(system)
    base = leader_state(system).config_version
    hosts = ("host-1-2", "host-2-2", "host-3-2")
    texts = [f"alter service till set timeout_s {number}" for number in (3, 4, 5)]
    tokens = [
        system.send_statement(host, text, f"race-{host}", base)
        for host, text in zip(hosts, texts, strict=True)
    ]
    system.run_for(2.0)
    for host, text, token in zip(hosts, texts, tokens, strict=True):
        transcript.response(host, text, system.operator_responses[token])
    transcript.note("every operator resends")
    for host, text in zip(hosts, texts, strict=True):
        transcript.change(host, text, f"race-{host}", base)
    transcript.note("the leader is lost, every operator resends")
    system.crash_host(find_leader(system).config.host.name)
    system.run_until(lambda: find_leader(system) is not None, 10.0)
    for host, text in zip(hosts, texts, strict=True):
        transcript.change(host, text, f"race-{host}", base)
    transcript.change("host-2-2", "alter service till set timeout_s 9", "race-host-1-2", base)
    transcript.query("host-3-2", "show changes")
    assert transcript.text() == snapshot

"""Callers that send charges and resend them, while endpoints misbehave."""

import itertools
from random import Random

import msgspec

from greengagerock.core.seam import Answer

CALLER_PATIENCE_S = 2.5
RESENDS = 3
RESEND_PAUSE_S = 0.3


class ChargeCount(msgspec.Struct, frozen=True):
    """What became of the charges.

    Attributes:
        charges: Charges that callers wanted.
        answered: Charges whose caller got an endpoint's answer.
        doubled: Charges that ran more than once.
        false_not_run: Attempts reported as not run that ran.
        slowest_s: Longest time until a caller had any answer to an attempt.
    """

    charges: int
    answered: int
    doubled: int
    false_not_run: int
    slowest_s: float


class Charge:
    """One charge of one caller.

    Attributes:
        key: Its idempotency key.
        tokens: Its attempts.
        done: Whether the caller has stopped asking.
        answered: Whether an endpoint's answer came.
    """

    def __init__(self, key):
        self.key = key
        self.tokens = []
        self.done = False
        self.answered = False


class ChargeSchedule:
    """Sends charges while endpoints freeze, die, and lose answers.

    Args:
        system: A ``FakeSystem``.
        seed: Seed of the schedule, the same for every policy.
    """

    def __init__(self, system, seed):
        self.system = system
        self.random = Random(seed)
        self.numbers = itertools.count(1)
        self.charges = []

    def run(self, seconds):
        """Run the schedule and return the ``ChargeCount``."""
        end_s = self.system.now_s + seconds
        while self.system.now_s < end_s:
            self._start_charge()
            if self.random.random() < 0.2:
                self._cause_fault()
            self.system.run_for(self.random.uniform(0.02, 0.1))
        self._end_faults()
        self.system.run_for(10.0)
        return self._count()

    def _start_charge(self):
        charge = Charge(f"charge-{next(self.numbers)}")
        self.charges.append(charge)
        self._send(charge)

    def _send(self, charge):
        alive = [n for n, h in self.system.hosts.items() if h.node is not None]
        number = len(charge.tokens)
        token = self.system.request(
            self.random.choice(alive),
            "till",
            f"/cards/{charge.key}",
            "POST",
            {"idempotency-key": charge.key},
            f"{charge.key}.{number}",
        )
        charge.tokens.append(token)
        self.system.at(CALLER_PATIENCE_S, lambda: self._look(charge, token))
        self._poll(charge, token)

    def _poll(self, charge, token):
        if token in self.system.answers:
            self._look(charge, token)
        elif not charge.done:
            self.system.at(0.05, lambda: self._poll(charge, token))

    def _look(self, charge, token):
        """Let the caller read an answer, or lose patience, and perhaps resend."""
        if charge.done or charge.tokens[-1] != token:
            return
        if self.system.answers.get(token) == "ok":
            charge.done = charge.answered = True
        elif len(charge.tokens) > RESENDS:
            charge.done = True
        else:
            self.system.at(RESEND_PAUSE_S, lambda: self._resend(charge, token))

    def _resend(self, charge, token):
        if not charge.done and charge.tokens[-1] == token:
            self._send(charge)

    def _cause_fault(self):
        endpoint = self.random.choice(list(self.system.endpoints.values()))
        kind = self.random.choice(["freeze", "thaw", "drop", "keep", "slow", "host"])
        if kind == "freeze" and endpoint.up:
            endpoint.frozen = True
        elif kind == "thaw" and endpoint.frozen:
            self.system.thaw(endpoint.name)
        elif kind == "slow":
            endpoint.service_s = self.random.choice([0.01, 0.4])
        elif kind == "host":
            self._restart_a_host()
        else:
            endpoint.drops_answers = kind == "drop"

    def _restart_a_host(self):
        down = [n for n, h in self.system.hosts.items() if h.node is None]
        if down:
            self.system.start_host(down[0])
            return
        self.system.crash_host(self.random.choice(list(self.system.hosts)))

    def _end_faults(self):
        for name, host in self.system.hosts.items():
            if host.node is None:
                self.system.start_host(name)
        for endpoint in self.system.endpoints.values():
            endpoint.drops_answers = False
            if endpoint.frozen:
                self.system.thaw(endpoint.name)

    def _count(self):
        runs = [run[1] for e in self.system.endpoints.values() for run in e.runs]
        by_key = {}
        for request_id in runs:
            key = request_id.split(".")[0]
            by_key[key] = by_key.get(key, 0) + 1
        ran = set(runs)
        false_not_run = 0
        for charge in self.charges:
            for number, token in enumerate(charge.tokens):
                answer = self.system.answers.get(token)
                not_run = isinstance(answer, Answer) and answer.outcome == "not-run"
                false_not_run += not_run and f"{charge.key}.{number}" in ran
        waits = [
            self.system.answer_times[t] - self.system.request_times[t]
            for c in self.charges
            for t in c.tokens
            if t in self.system.answer_times
        ]
        return ChargeCount(
            len(self.charges),
            sum(charge.answered for charge in self.charges),
            sum(1 for count in by_key.values() if count > 1),
            false_not_run,
            round(max(waits), 2),
        )

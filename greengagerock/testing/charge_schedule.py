"""Simulated callers that send and resend charges while faults are injected."""

import itertools
from random import Random

import msgspec

from greengagerock.core.interface import RespondWithError

CALLER_TIMEOUT_S = 2.5
MAX_RESENDS = 3
RESEND_DELAY_S = 0.3


class ChargeTotals(msgspec.Struct, frozen=True):
    """Totals over all charges of a run.

    Attributes:
        charges: Number of charges; a resent charge is not counted again.
        answered: Number of charges whose caller received an endpoint's response.
        doubled: Number of charges that endpoints executed more than once.
        false_not_run: Number of attempts that were reported as not run, although an endpoint
            executed them.
        slowest_s: Longest time from an attempt to its response or error.
    """

    charges: int
    answered: int
    doubled: int
    false_not_run: int
    slowest_s: float


class Charge:
    """One charge and the attempts of its caller to send it.

    Attributes:
        key: Its idempotency key.
        tokens: Request tokens of its attempts, in the order of sending.
        is_finished: Whether the caller sends no more attempts.
        is_answered: Whether the caller received an endpoint's response.
    """

    def __init__(self, key):
        self.key = key
        self.tokens = []
        self.is_finished = False
        self.is_answered = False


class ChargeSchedule:
    """Sends charges while endpoints freeze, slow down or drop responses and hosts crash.

    Args:
        system: A ``FakeSystem``.
        seed: Seed of the schedule; request policies are compared with the same seed.
    """

    def __init__(self, system, seed):
        self.system = system
        self.random = Random(seed)
        self.charge_numbers = itertools.count(1)
        self.charges = []

    def run(self, seconds):
        """Run the schedule, end all faults, and return the ``ChargeTotals``."""
        end_s = self.system.now_s + seconds
        while self.system.now_s < end_s:
            self._start_charge()
            if self.random.random() < 0.2:
                self._inject_fault()
            self.system.run_for(self.random.uniform(0.02, 0.1))
        self._end_faults()
        self.system.run_for(10.0)
        return self._count_results()

    def _start_charge(self):
        charge = Charge(f"charge-{next(self.charge_numbers)}")
        self.charges.append(charge)
        self._send(charge)

    def _send(self, charge):
        running_hosts = [n for n, h in self.system.hosts.items() if h.node is not None]
        number = len(charge.tokens)
        token = self.system.request(
            self.random.choice(running_hosts),
            "till",
            f"/cards/{charge.key}",
            "POST",
            {"idempotency-key": charge.key},
            f"{charge.key}.{number}",
        )
        charge.tokens.append(token)
        self.system.at(CALLER_TIMEOUT_S, lambda: self._handle_response(charge, token))
        self._poll_response(charge, token)

    def _poll_response(self, charge, token):
        if token in self.system.request_results:
            self._handle_response(charge, token)
        elif not charge.is_finished:
            self.system.at(0.05, lambda: self._poll_response(charge, token))

    def _handle_response(self, charge, token):
        """Handle the response to the latest attempt or its time-out; resend after a failure."""
        if charge.is_finished or charge.tokens[-1] != token:
            return
        if self.system.request_results.get(token) == "ok":
            charge.is_finished = charge.is_answered = True
        elif len(charge.tokens) > MAX_RESENDS:
            charge.is_finished = True
        else:
            self.system.at(RESEND_DELAY_S, lambda: self._resend(charge, token))

    def _resend(self, charge, token):
        if not charge.is_finished and charge.tokens[-1] == token:
            self._send(charge)

    def _inject_fault(self):
        endpoint = self.random.choice(list(self.system.endpoints.values()))
        kind = self.random.choice(["freeze", "unfreeze", "drop", "keep", "slow", "host"])
        if kind == "freeze" and endpoint.is_up:
            endpoint.frozen = True
        elif kind == "unfreeze" and endpoint.frozen:
            self.system.unfreeze(endpoint.name)
        elif kind == "slow":
            endpoint.processing_time_s = self.random.choice([0.01, 0.4])
        elif kind == "host":
            self._start_or_crash_host()
        else:
            endpoint.drops_answers = kind == "drop"

    def _start_or_crash_host(self):
        stopped_hosts = [n for n, h in self.system.hosts.items() if h.node is None]
        if stopped_hosts:
            self.system.start_host(stopped_hosts[0])
            return
        self.system.crash_host(self.random.choice(list(self.system.hosts)))

    def _end_faults(self):
        for name, host in self.system.hosts.items():
            if host.node is None:
                self.system.start_host(name)
        for endpoint in self.system.endpoints.values():
            endpoint.drops_answers = False
            if endpoint.frozen:
                self.system.unfreeze(endpoint.name)

    def _count_results(self):
        run_request_ids = [run[1] for e in self.system.endpoints.values() for run in e.runs]
        run_counts = {}
        for request_id in run_request_ids:
            key = request_id.split(".")[0]
            run_counts[key] = run_counts.get(key, 0) + 1
        executed_ids = set(run_request_ids)
        false_not_run = 0
        for charge in self.charges:
            for number, token in enumerate(charge.tokens):
                response = self.system.request_results.get(token)
                is_not_run = (
                    isinstance(response, RespondWithError) and response.outcome == "not-run"
                )
                false_not_run += is_not_run and f"{charge.key}.{number}" in executed_ids
        response_times_s = [
            self.system.responded_at_s[t] - self.system.requested_at_s[t]
            for c in self.charges
            for t in c.tokens
            if t in self.system.responded_at_s
        ]
        return ChargeTotals(
            len(self.charges),
            sum(charge.is_answered for charge in self.charges),
            sum(1 for count in run_counts.values() if count > 1),
            false_not_run,
            round(max(response_times_s), 2),
        )

"""Replaces the processes of a site, one after the other, by those of another build.

``python -m greengagerock.testing.mixed_builds OLD_CHECKOUT`` starts a site of the build in
OLD_CHECKOUT, replaces its processes by those of this checkout under traffic, and checks what has
to hold meanwhile. docs/design/upgrades.md describes what builds that run side by side do.
"""

import shutil
import sys
import tempfile
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Literal

from cyclopts import App

from greengagerock.testing.mixed_checks import find_upgrade_violations, summarize
from greengagerock.testing.mixed_site import NEW, OLD, MixedSite
from greengagerock.testing.ready_callers import PauseRecorder, ReadyRouters, run_ready_caller
from greengagerock.testing.soak.traffic import Operator

CALLER_COUNT = 8
# After a change of leader, keys are granted again once earlier holds have run out, 2 s.
SETTLE_S = 3.0
# Time for which an order without a response of a leader is repeated, and the pause between.
ORDER_RETRY_S = 4.0
ORDER_PAUSE_S = 0.2

app = App(name="greengagerock.testing.mixed_builds", help=__doc__)


@app.default
def mixed_builds(
    old_checkout: Path,
    *,
    first: Literal["controllers", "routers"] = "controllers",
    seed: int = 1,
    keep: Path = Path("var/mixed"),
) -> int:
    """Upgrade a site from an old checkout to this one and check it.

    Args:
        old_checkout: Folder with the checkout of the old build.
        first: Whether the controllers or the routers are replaced first.
        seed: Seed of the callers' requests.
        keep: Folder to which settings, data and logs are copied if a check fails.

    Returns:
        0, or 1 if a check failed.
    """
    with tempfile.TemporaryDirectory(prefix="greengagerock-mixed-") as folder:
        site = MixedSite(folder, old_checkout.resolve())
        try:
            site.check_checkouts()
            site.start(till_count=2, docs_count=2)
            upgrade = Upgrade(site, seed)
            upgrade.run(first)
        finally:
            site.stop()
        violations = find_upgrade_violations(upgrade)
        if violations:
            shutil.copytree(folder, keep / f"{first}-{seed}", dirs_exist_ok=True)
    print(f"{first} first, seed {seed}: {summarize(upgrade, violations)}", flush=True)
    for violation in violations[:20]:
        print(f"  {violation}", flush=True)
    return 1 if violations else 0


class Upgrade:
    """One upgrade of a site under traffic.

    Args:
        site: The started ``MixedSite``.
        seed: Seed of the callers' requests.

    Attributes:
        routers: The ``ReadyRouters``.
        pauses: The ``PauseRecorder``.
        early_orders: Number of evacuation orders by code of the response and build of the leader,
            while an old build takes part; the code of an accepted order is empty.
        acceptance_s: Time from the last replacement to the acceptance of an order, or ``None``.
        late_runs: Number of requests that reached the evacuated zone after the bound.
        leaders: Pairs of the leader's build and whether the other build took part as well.
        failures: Descriptions of steps that failed.
        election_count: Number of elections from the start of the site to the end of the upgrade.
    """

    def __init__(self, site, seed):
        self.site = site
        self.seed = seed
        self.routers = ReadyRouters(site.routers)
        self.pauses = PauseRecorder()
        self.stop_event = threading.Event()
        self.early_orders = Counter()
        self.acceptance_s = None
        self.late_runs = 0
        self.leaders = set()
        self.failures = []
        self.election_count = 0

    def run(self, first):
        """Replace all processes under traffic, then try an evacuation.

        Args:
            first: ``controllers`` or ``routers``.
        """
        operator = Operator(self.site.control_addresses, self.site.history)
        workers = [
            threading.Thread(target=self.routers.run, args=(self.stop_event,)),
            threading.Thread(target=self.pauses.run, args=(self.stop_event,)),
            threading.Thread(target=operator.run, args=(self.stop_event,)),
        ]
        workers += [
            threading.Thread(
                target=run_ready_caller,
                args=(self.seed, number, self.routers, self.site.history, self.stop_event),
            )
            for number in range(CALLER_COUNT)
        ]
        for worker in workers:
            worker.start()
        try:
            self._replace_all(first)
            self._evacuate()
            self.site.wait_until(self.site.serves_all_keys)
        except TimeoutError as error:
            self.failures.append(f"not reached in time: {error}")
        finally:
            self.stop_event.set()
            for worker in workers:
                worker.join()
        for number in range(len(self.site.controllers)):
            if not operator.read_back(number):
                self.failures.append(f"controller {number} returned no items at the end")
        self.site.end_spans()
        self.election_count = len(self.site.elections())

    def _replace_all(self, first):
        steps = [self._replace_controllers, self._replace_routers]
        self._settle()
        for step in steps if first == "controllers" else reversed(steps):
            step()

    def _replace_controllers(self):
        """Replace the controllers; between the first and the others, each build leads."""
        first, *others = sorted(self.site.controller_names, key=self.site.leader().__eq__)
        self._replace(first, NEW)
        self._let_lead(NEW)
        self._let_lead(OLD)
        for name in sorted(others, key=self.site.leader().__eq__):
            self._replace(name, NEW)

    def _replace_routers(self):
        for name in self.site.router_names:
            self._replace(name, NEW)

    def _replace(self, name, build):
        exit_code = self.site.replace(name, build)
        if exit_code != 0:
            self.failures.append(f"{name} ended with exit code {exit_code} after SIGTERM")
        if OLD in self.site.builds.values():
            self._settle()

    def _settle(self):
        """Wait while callers go on, record who leads and try evacuation orders."""
        self.stop_event.wait(SETTLE_S)
        is_mixed = len(set(self.site.builds.values())) > 1
        self.leaders.add((self.site.builds[self.site.leader()], is_mixed))
        for name in self.site.controller_names:
            if self.site.builds[name] == NEW:
                self._order_early(name)

    def _order_early(self, controller):
        """Send an order, again while it gets no response of a leader of the new build.

        On a machine that is busy, a leader may be replaced at any moment; only a leader that
        stayed the same is expected to respond.
        """
        deadline_s = time.monotonic() + ORDER_RETRY_S
        first_leader = self.site.leader()
        while True:
            code = self.site.order_evacuation(controller, "zone-9", "start")
            leader = self.site.leader()
            may_repeat = self.site.builds[leader] == NEW and time.monotonic() < deadline_s
            if code != "no-leader" or not may_repeat:
                break
            self.stop_event.wait(ORDER_PAUSE_S)
        build = self.site.builds[leader] if leader == first_leader else "changed"
        self.early_orders[code, build] += 1

    def _let_lead(self, build):
        """Restart the leader, in its own build, until a controller of a build leads."""
        for _ in range(2 * len(self.site.controller_names)):
            leader = self.site.leader()
            if self.site.builds[leader] == build:
                return
            self._replace(leader, self.site.builds[leader])
        self.failures.append(f"the {build} build never led")

    def _evacuate(self):
        """Evacuate the zone of an endpoint that holds keys, and end the evacuation."""
        controller = self.site.controller_names[0]
        zone = self.site.reporting_endpoints["till-1"].zone
        self.acceptance_s = self.site.time_until(
            lambda: self.site.order_evacuation(controller, zone, "start") == ""
        )
        self.stop_event.wait(self.site.evacuation_bound_s)
        runs = self.site.count_runs(zone)
        self.stop_event.wait(SETTLE_S)
        self.late_runs = self.site.count_runs(zone) - runs
        self.site.wait_until(lambda: self.site.order_evacuation(controller, zone, "end") == "")


if __name__ == "__main__":
    sys.exit(app())

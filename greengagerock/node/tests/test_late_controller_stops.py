"""Planned stops of controllers whose signal is taken up late."""

import pytest

from greengagerock.core.interface import StopProcess, StopRequested, TimeAdvanced
from greengagerock.testing.fake_site import build_fake_site

GRACE_S = 6.0


@pytest.mark.parametrize("late_s", [0.0, 0.5, 1.0, 3.0, 5.0])
def test_controller_ends_before_the_grace_period_of_the_signal_is_over(late_s):
    """It was killed with the connections on which it still answered."""
    site = build_fake_site()
    node = site.hosts["core-2"].node
    signalled_s = site.now_s
    site.run_for(late_s)
    now_s = site.now_s
    effects = node.handle(StopRequested(signalled_s), now_s)
    while not any(isinstance(effect, StopProcess) for effect in effects):
        now_s += 0.01
        effects = node.handle(TimeAdvanced(), now_s)
    (stop,) = [effect for effect in effects if isinstance(effect, StopProcess)]
    # Clients get the time to switch to another controller, unless the process would be killed.
    assert now_s >= min(site.now_s + 1.0, signalled_s + 5.7) - 0.001
    assert now_s + stop.wait_s < max(signalled_s + GRACE_S, site.now_s + 0.5)

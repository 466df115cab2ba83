"""Endpoints get more than they can work on; what callers get."""

import pytest

from greengagerock.routing import dispatcher
from greengagerock.testing.fake_site import build_fake_site

SERVICE_S = 0.1
QUEUE = 12
# Four holders with three slots work on 120 requests in a second.
RATE = 180.0
OBJECTIVE_S = 0.3


def play_overload(seed, routers):
    """Return the shares of callers served at all and served within the objective."""
    site = build_fake_site(seed=seed, routers=routers, holders=4)
    for holder in site.holders.values():
        holder.service_s = SERVICE_S
        holder.queue_limit = QUEUE
    ended = {}
    note = site._note_answer

    def watch(token, answer):
        ended[token] = site.now_s
        note(token, answer)

    site._note_answer = watch
    tokens = []

    def send():
        router = f"edge-{site.random.randrange(1, routers + 1)}"
        tokens.append(site.call(router, key=site.random.randrange(65_536)))

    for number in range(int(14 * RATE)):
        site.at(number / RATE, send)
    site.run_for(6.0)
    settled = len(tokens)
    site.run_for(10.0)
    late = tokens[settled:]
    served = [token for token in late if site.outcome(token) == "ok"]
    in_time = [t for t in served if ended[t] - site.request_times[t] <= OBJECTIVE_S]
    return len(served) / len(late), len(in_time) / len(late)


@pytest.mark.parametrize(
    ("routers", "gain"),
    [
        # A router that sees four requests a second at each endpoint goes by its own limit.
        (12, 0.85),
        # With one a second it would learn of a full queue too late.
        (48, 1.5),
    ],
)
def test_overloaded_endpoints_answer_in_time_what_they_take(monkeypatch, routers, gain):
    served, in_time = play_overload(1, routers)
    monkeypatch.setattr(dispatcher, "admitted_share", lambda *arguments: 1.0)
    served_without, in_time_without = play_overload(1, routers)
    assert in_time > gain * in_time_without
    assert served > 0.9 * served_without

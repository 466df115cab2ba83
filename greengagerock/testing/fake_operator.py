"""Operator of a simulated site, who sends each change until a controller responds to it."""

import itertools
from random import Random

import msgspec

from greengagerock.items import Patch
from greengagerock.testing.item_builders import build_route
from greengagerock.view import ViewDelta

RESPONSE_TIMEOUT_S = 1.0
# Pause before the next try, and its growth with each try.
FIRST_BACKOFF_S = 0.1
BACKOFF_FACTOR = 1.5
CHECK_INTERVAL_S = 0.005


class SentChange:
    """A change and what became of it.

    Attributes:
        patch: The ``Patch``.
        sent_s: When it was first sent.
        acknowledged_s: When a controller responded that it was accepted, or ``None``.
        code: Error code with which it was refused, or empty.
        tries: Number of times that it was sent.
    """

    __slots__ = ("acknowledged_s", "code", "patch", "sent_s", "tries")

    def __init__(self, patch, sent_s):
        self.patch = patch
        self.sent_s = sent_s
        self.acknowledged_s = None
        self.code = ""
        self.tries = 0

    def item_count(self):
        """Return the number of items that it sets."""
        return len(self.patch.routes)

    def wait_s(self, now_s):
        """Return the time from its first sending to its acknowledgement, or until now."""
        return (now_s if self.acknowledged_s is None else self.acknowledged_s) - self.sent_s


class FakeOperator:
    """Sends changes to the controllers of a ``FakeSite`` in turn.

    Args:
        site: The ``FakeSite``.

    Attributes:
        changes: All ``SentChange`` objects.
    """

    def __init__(self, site):
        self.site = site
        self.changes = []
        self._controllers = itertools.cycle(n for n, h in site.hosts.items() if h.disk is not None)
        self._versions = itertools.count(100)
        self._random = Random(1)

    def change_routes(self, count=1, prefix="extra"):
        """Send a change of ``count`` new routes, and return its ``SentChange``."""
        version = next(self._versions)
        names = [f"{prefix}-{self._random.getrandbits(64):x}" for _ in range(count)]
        return self.send(Patch(routes=tuple(build_route(n, version=version) for n in names)))

    def send(self, patch):
        """Send a patch until a controller responds, and return its ``SentChange``."""
        change = SentChange(patch, self.site.now_s)
        self.changes.append(change)
        self._try(change)
        return change

    def send_each(self, interval_s, duration_s):
        """Send a change of one route at each interval."""
        for number in range(round(duration_s / interval_s)):
            self.site.at(number * interval_s, self.change_routes)

    def _try(self, change):
        change.tries += 1
        token = self.site.patch(next(self._controllers), change.patch)
        self._check(change, token, self.site.now_s + RESPONSE_TIMEOUT_S)

    def _check(self, change, token, until_s):
        if token in self.site.replies:
            result = self.site.replies[token]
            if result is not None:
                change.code = result.code
                change.acknowledged_s = None if result.code else self.site.now_s
                return
        elif self.site.now_s < until_s:
            self.site.at(CHECK_INTERVAL_S, lambda: self._check(change, token, until_s))
            return
        pause_s = FIRST_BACKOFF_S * BACKOFF_FACTOR**change.tries
        self.site.at(pause_s, lambda: self._try(change))


def hold_items_back(site, router):
    """Let a router receive all messages of controllers, but no configuration items."""
    send = site._send

    def send_without_items(host, address, message):
        if isinstance(message, ViewDelta) and address == site.address_of(router):
            message = msgspec.structs.replace(message, items=None)
        send(host, address, message)

    site._send = send_without_items

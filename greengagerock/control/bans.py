"""Bans of requests that crash endpoints."""

from greengagerock.control.commands import BanEnded, RequestBanned
from greengagerock.routing.suspects import BAN_S, CrashBook


class BanKeeper:
    """Decides which requests are banned, and for how long.

    Args:
        controller: The controller that it works for.
    """

    def __init__(self, controller):
        self.controller = controller
        self.reset()

    def reset(self):
        """Start anew after an election; bans then last from the election."""
        self.book = CrashBook()
        self.since_s = {}

    def on_report(self, report):
        """Take in a router's ``CrashReport``."""
        if not self.controller.leads:
            return
        bans = self.controller.state.routes.bans
        if self.book.take(report, self.controller.timers.now_s) and report.fingerprint not in bans:
            command = RequestBanned(report.fingerprint, report.service, report.request)
            self.controller.propose_once(("ban", report.fingerprint), command)
            self.controller.timeline.record("request-banned", detail=report.request)
            self.controller.outbox.log("request-banned", request=report.request)

    def end_old_bans(self):
        """Propose the end of bans that have lasted long enough."""
        now_s = self.controller.timers.now_s
        bans = self.controller.state.routes.bans
        self.since_s = {name: self.since_s.get(name, now_s) for name in bans}
        for name, since_s in self.since_s.items():
            if now_s - since_s > BAN_S:
                self.book.forget(name)
                self.controller.propose_once(("ban-ended", name), BanEnded(name))

"""Bans of requests that crash endpoints."""

from greengagerock.control.commands import BanEnded, RequestBanned
from greengagerock.routing.crash_suspects import BAN_S, CrashCounter


class BanManager:
    """Decides which requests are banned, and when their bans end.

    Args:
        controller: The ``Controller`` that proposes the commands.

    Attributes:
        crash_counter: The ``CrashCounter`` that counts crashes by request.
        banned_since_s: When this leader first found a ban in the state, by fingerprint.
    """

    def __init__(self, controller):
        self.controller = controller
        self.reset()

    def reset(self):
        """Discard all state after an election; the duration of bans restarts then."""
        self.crash_counter = CrashCounter()
        self.banned_since_s = {}

    def on_report(self, report):
        """Process a router's ``CrashReport``."""
        if not self.controller.is_leading:
            return
        bans = self.controller.state.routes.bans
        if (
            self.crash_counter.add_report(report, self.controller.timers.now_s)
            and report.fingerprint not in bans
        ):
            command = RequestBanned(report.fingerprint, report.service, report.request)
            self.controller.propose_once(("ban", report.fingerprint), command)
            self.controller.timeline.record("request-banned", detail=report.request)
            self.controller.outbox.log("request-banned", request=report.request)

    def end_expired_bans(self):
        """Propose the end of bans that have lasted longer than ``BAN_S``."""
        now_s = self.controller.timers.now_s
        bans = self.controller.state.routes.bans
        self.banned_since_s = {
            fingerprint: self.banned_since_s.get(fingerprint, now_s) for fingerprint in bans
        }
        for fingerprint, since_s in self.banned_since_s.items():
            if now_s - since_s > BAN_S:
                self.crash_counter.forget(fingerprint)
                self.controller.propose_once(("ban-ended", fingerprint), BanEnded(fingerprint))

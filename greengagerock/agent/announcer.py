"""Periodic announcements of an endpoint."""

import threading
import time

import msgspec
import urllib3

from greengagerock.model import AnnouncementReply
from greengagerock.model.timing import ANNOUNCE_INTERVAL_S
from greengagerock.web.bounded_client import BoundedClient

ANNOUNCE_TIMEOUT_S = 1.0
# Longest reply; it lists the ranges that the endpoint holds.
MAX_REPLY_BYTES = 16 * 1024 * 1024
RETRY_INTERVAL_S = 0.1
CHANGE_ANNOUNCEMENT_DELAY_S = 0.005


class Announcer:
    """Sends announcements on its own thread and delivers the replies.

    Args:
        entry_addresses: ``IP:PORT`` of the endpoint ports of the zone's entry hosts;
            after a failed request the next one is used.
        make_announcement: Callable that returns the ``Announcement`` to send.
        on_reply: Called with the ``AnnouncementReply`` and the time at which the
            announcement was sent; returns whether the endpoint's state has changed so that
            the next announcement is due at once.

    Attributes:
        paused_event: Event that suspends announcements while it is set.
    """

    def __init__(self, entry_addresses, make_announcement, on_reply):
        self.entry_addresses = tuple(entry_addresses)
        self.make_announcement = make_announcement
        self.on_reply = on_reply
        self.paused_event = threading.Event()
        self._address_index = 0
        self._stopped = threading.Event()
        self._http = BoundedClient(ANNOUNCE_TIMEOUT_S, MAX_REPLY_BYTES)
        self._thread = threading.Thread(target=self._run, name="announcer", daemon=True)

    def start(self):
        """Start the thread that sends announcements."""
        self._thread.start()

    def stop(self):
        """Stop sending announcements; the grants then expire."""
        self._stopped.set()

    def announce_once(self):
        """Send one announcement.

        Returns:
            Seconds until the next announcement is due.
        """
        address = self.entry_addresses[self._address_index % len(self.entry_addresses)]
        body = msgspec.json.encode(self.make_announcement())
        sent_s = time.monotonic()
        try:
            status, data = self._http.request(
                "POST",
                f"http://{address}/announce",
                body=body,
                headers={"Content-Type": "application/json"},
            )
            if status != 200:
                raise urllib3.exceptions.HTTPError(f"status {status}")
            reply = msgspec.json.decode(data, type=AnnouncementReply)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError):
            self._address_index += 1
            return RETRY_INTERVAL_S
        if self.on_reply(reply, sent_s):
            return CHANGE_ANNOUNCEMENT_DELAY_S
        return ANNOUNCE_INTERVAL_S if reply.lease_s > 0 else RETRY_INTERVAL_S

    def _run(self):
        while not self._stopped.is_set():
            if self.paused_event.is_set():
                time.sleep(RETRY_INTERVAL_S)
                continue
            self._stopped.wait(self.announce_once())

"""The event loop: one thread that owns the node and all its state."""

import os
import select
import time
import traceback
from collections import deque

from greengagerock.core import OUTCOME_UNKNOWN
from greengagerock.core.seam import (
    Answer,
    CallerGone,
    CancelAttempt,
    DropConnections,
    Forward,
    LogEvent,
    MessageReceived,
    Persist,
    Reply,
    ReplyAnnouncement,
    ReplyOperator,
    ReplyReadiness,
    SendMessage,
    StopProcess,
    TimePassed,
    UseLimits,
    WatchCaller,
)

MAX_EVENTS_PER_TURN = 256


class EventLoop:
    """Feeds events to the node and carries out its effects.

    Worker threads hand over events with ``post``. Everything else happens on
    the thread that calls ``run``.

    Args:
        node: The decision core.
        links: Links to the system's other processes.
        bridge: Where worker threads wait for decisions.
        writer: Writes a voter's records, or ``None``.
        upstream: Connections to endpoints.
        log: Callable that writes one log line.

    Attributes:
        on_limits: Called with the limits of an ``UseLimits`` effect.
        stop_code: Error code with which the loop ended; empty after a planned stop.
    """

    def __init__(self, node, links, bridge, writer, upstream, log):
        self.node = node
        self.links = links
        self.bridge = bridge
        self.writer = writer
        self.upstream = upstream
        self._watched = {}
        self.log = log
        self.stop_code = ""
        self.running = True
        self.on_limits = lambda limits: None
        self._inbox = deque()
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._asleep = False
        self._receive_fd = links.receive_fd
        self._poll = select.epoll(flags=select.EPOLL_CLOEXEC)
        # Edge-triggered, so that the counter need not be read: each write is an event.
        self._poll.register(self._wake_fd, select.EPOLLIN | select.EPOLLET)
        self._poll.register(self._receive_fd, select.EPOLLIN)

    def post(self, event):
        """Hand an event to the loop, from any thread."""
        self._inbox.append(event)
        if self._asleep:
            os.eventfd_write(self._wake_fd, 1)

    def post_lazily(self, event):
        """Hand over an event that no decision waits for.

        It is handled before the next event that is posted, and at the latest when
        the next timer is due, so it need not wake the loop.
        """
        self._inbox.append(event)
        if self._asleep and self.node.waits_for_requests():
            os.eventfd_write(self._wake_fd, 1)

    def _watch_caller(self, token):
        """Report it when the caller of an attempt closes its connection."""
        attempt = self.bridge.attempt_of(token)
        if attempt is not None:
            attempt.begin_watch(lambda descriptor: self._register(descriptor, token))

    def _register(self, descriptor, token):
        """Watch a descriptor; returns whether that worked."""
        try:
            self._poll.register(descriptor, select.EPOLLRDHUP)
        except OSError:
            # The caller has already gone; sending the answer will fail.
            return False
        self._watched[descriptor] = token
        return True

    def unwatch_caller(self, descriptor):
        """Stop watching a caller, before its connection is used for the answer."""
        if self._watched.pop(descriptor, None) is not None:
            self._unregister(descriptor)

    def _unregister(self, descriptor):
        try:
            self._poll.unregister(descriptor)
        except OSError:
            # Its connection was closed meanwhile, which unregisters it as well.
            return

    def run(self):
        """Run until the node asks to stop."""
        self._carry_out(self.node.start())
        while self.running:
            if self._wait():
                self._take_messages()
            self._take_events()
            self._take_time()
        self._poll.close()
        os.close(self._wake_fd)

    def _wait(self):
        """Wait for something to do; returns whether messages have arrived."""
        self._asleep = True
        # Events posted before the flag was set did not wake the loop.
        timeout_s = 0 if self._inbox else self._idle_s()
        ready = [descriptor for descriptor, _ in self._poll.poll(timeout_s)]
        self._asleep = False
        if len(self._watched):
            self._take_gone_callers(ready)
        return self._receive_fd in ready

    def _take_gone_callers(self, ready):
        for descriptor in ready:
            token = self._watched.pop(descriptor, None)
            if token is not None:
                self._unregister(descriptor)
                self._inbox.append(CallerGone(token))

    def _idle_s(self):
        due_s = self.node.next_due_s()
        return None if due_s is None else max(0.0, due_s - time.monotonic())

    def _take_messages(self):
        for received in self.links.receive():
            if isinstance(received, Exception):
                self.log("bad-message", code="bad-message", detail=received.detail)
                continue
            event = MessageReceived(
                received.host, received.address, received.message, received.sent_at
            )
            self._handle(event)

    def _take_events(self):
        for _ in range(MAX_EVENTS_PER_TURN):
            if not self._inbox:
                return
            self._handle(self._inbox.popleft())

    def _take_time(self):
        due_s = self.node.next_due_s()
        if due_s is not None and due_s <= time.monotonic():
            self._handle(TimePassed())

    def _handle(self, event):
        try:
            effects = self.node.handle(event, time.monotonic())
        except Exception:
            # One event that trips a fault must not end the service of all others.
            self._on_fault(event)
            return
        self._carry_out(effects)

    def _on_fault(self, event):
        detail = traceback.format_exc().replace("\n", " | ")
        kind = type(event).__name__
        self.log("internal-error", code="internal-error", kind=kind, detail=detail)
        token = getattr(event, "token", None)
        if token is not None:
            answer = Answer(token, "internal-error", OUTCOME_UNKNOWN, "see the log", True)
            self.bridge.deliver(token, answer)

    def _carry_out(self, effects):
        for effect in effects:
            match effect:
                case Forward(token) | Answer(token):
                    self.bridge.deliver(token, effect)
                case SendMessage(address, message):
                    sent_at = self.node.timeline.stamp()
                    self.links.send(address, message, sent_at, time.monotonic())
                case Persist():
                    self.writer.submit(effect)
                case Reply(token, value):
                    self.bridge.deliver(token, value)
                case UseLimits(limits):
                    self.on_limits(limits)
                case ReplyAnnouncement(token, reply) | ReplyOperator(token, reply):
                    self.bridge.deliver(token, reply)
                case ReplyReadiness(token, code):
                    self.bridge.deliver(token, code)
                case LogEvent(event, fields):
                    self.log(event, **fields)
                case CancelAttempt(token, only_reused):
                    self.bridge.cancel(token, only_reused)
                case WatchCaller(token):
                    self._watch_caller(token)
                case DropConnections(address):
                    self.upstream.drop(address)
                case StopProcess(code):
                    self.stop_code = code
                    self.running = False

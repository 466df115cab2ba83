"""The event loop: the only thread that accesses the node and its state."""

import os
import select
import time
import traceback
from collections import deque

from greengagerock.core import OUTCOME_UNKNOWN, GreengageError
from greengagerock.core.interface import (
    ApplyCallerLimits,
    CallerDisconnected,
    CancelAttempt,
    CloseIdleConnections,
    Forward,
    KeepConnections,
    LogEvent,
    MessageReceived,
    Persist,
    Respond,
    RespondToAnnouncement,
    RespondToOperator,
    RespondToReadiness,
    RespondWithError,
    SendMessage,
    StopAccepting,
    StopProcess,
    TimeAdvanced,
    WatchCaller,
)
from greengagerock.daemon.server_drain import CHECK_INTERVAL_S
from greengagerock.web.connection_keeper import ConnectionKeeper

MAX_EVENTS_PER_ITERATION = 256
# Longest wait of an idle loop: the arrival of a signal is known to that precision.
MAX_WAIT_S = 0.05


class EventLoop:
    """Passes events to the node and executes the resulting effects.

    ``post``, its variants and ``unwatch_caller`` may be called from any thread. All other methods
    run on the thread that calls ``run``.

    Args:
        node: The decision core.
        links: The ``Links`` to the system's other processes.
        bridge: The ``Bridge`` to the worker threads.
        writer: The ``RecordWriter`` of a voter, or ``None``.
        upstream: The ``Upstream`` with the connections to endpoints.
        log: Callable that writes one log line.

    Attributes:
        drain: The ``ServerDrain``, or ``None`` if the process may end at once.
        end_s: When the loop ends at the latest, ``None`` before a ``StopProcess``.
        apply_limits: Callable that receives the limits of an ``ApplyCallerLimits`` effect.
        stop_code: Error code with which the loop ended; empty after a planned stop.
        internal_error_count: Number of events and effects that raised an unexpected exception.
        checked_s: When this thread last ran. A signal whose handler runs now arrived later.
    """

    def __init__(self, node, links, bridge, writer, upstream, log):
        self.node = node
        self.links = links
        self.bridge = bridge
        self.writer = writer
        self.upstream = upstream
        self.connection_keeper = ConnectionKeeper(upstream, log)
        self._token_by_descriptor = {}
        self.log = log
        self.stop_code = ""
        self.internal_error_count = 0
        self.is_running = True
        self.checked_s = time.monotonic()
        self.drain = None
        self.end_s = None
        self.apply_limits = lambda limits: None
        self._event_queue = deque()
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._is_polling = False
        self._receive_fd = links.receive_fd
        self._poll = select.epoll(flags=select.EPOLL_CLOEXEC)
        # Edge-triggered: each write is a new event, so the counter need not be read.
        self._poll.register(self._wake_fd, select.EPOLLIN | select.EPOLLET)
        self._poll.register(self._receive_fd, select.EPOLLIN)

    def post(self, event):
        """Queue an event and wake the loop; can be called from any thread."""
        self._event_queue.append(event)
        if self._is_polling:
            os.eventfd_write(self._wake_fd, 1)

    def post_first(self, event):
        """Queue an event before all others and wake the loop; can be called from any thread."""
        self._event_queue.appendleft(event)
        if self._is_polling:
            os.eventfd_write(self._wake_fd, 1)

    def post_deferred(self, event):
        """Queue an event that no decision depends on; can be called from any thread.

        It is handled before the next event that is posted, and at the latest when the next
        timer is due. It wakes the loop only while the node waits for requests in flight to end.
        """
        self._event_queue.append(event)
        if self._is_polling and self.node.waits_for_requests():
            os.eventfd_write(self._wake_fd, 1)

    def _watch_caller(self, token):
        """Start watching the caller's connection during an attempt, to detect its closing."""
        attempt = self.bridge.find_attempt(token)
        if attempt is not None:
            attempt.begin_watch(lambda descriptor: self._register(descriptor, token))

    def _register(self, descriptor, token):
        """Register a caller's descriptor; return whether it is registered."""
        if self._token_by_descriptor.get(descriptor) == token:
            # The call waited for something else before.
            return True
        try:
            self._poll.register(descriptor, select.EPOLLRDHUP)
        except OSError:
            # The connection is closed already; sending the response will fail.
            return False
        self._token_by_descriptor[descriptor] = token
        return True

    def unwatch_caller(self, descriptor):
        """Stop watching a caller, before the response is sent on its connection."""
        if self._token_by_descriptor.pop(descriptor, None) is not None:
            self._unregister(descriptor)

    def _unregister(self, descriptor):
        try:
            self._poll.unregister(descriptor)
        except (OSError, ValueError):
            # The connection was closed in the meantime, which also unregisters the descriptor, or
            # the loop has ended while a worker thread still had a response to send.
            return

    def run(self):
        """Run until the node returns a ``StopProcess`` effect and the servers are drained.

        An exception that no event can be blamed for ends the loop with ``stop_code``, so that the
        process ends and is started again.
        """
        try:
            self._execute(self.node.start())
            while self.is_running:
                self._iterate()
        except Exception:
            self.stop_code = "internal-error"
            self.log("fatal", code="internal-error", detail=format_traceback())
        self._poll.close()
        os.close(self._wake_fd)

    def _iterate(self):
        if self._wait():
            self._handle_messages()
        self._handle_events()
        self._handle_due_timers()
        if self.end_s is not None:
            self._end_if_drained()

    def _wait(self):
        """Wait for events, messages or the next timer; return whether messages have arrived."""
        self._is_polling = True
        # Events posted before the flag was set did not write to the wake-up descriptor.
        timeout_s = 0 if self._event_queue else self._poll_timeout_s()
        self.checked_s = time.monotonic()
        ready_descriptors = [descriptor for descriptor, _ in self._poll.poll(timeout_s)]
        self.checked_s = time.monotonic()
        self._is_polling = False
        if len(self._token_by_descriptor):
            self._queue_closed_callers(ready_descriptors)
        return self._receive_fd in ready_descriptors

    def _queue_closed_callers(self, ready_descriptors):
        for descriptor in ready_descriptors:
            token = self._token_by_descriptor.pop(descriptor, None)
            if token is not None:
                self._unregister(descriptor)
                self._event_queue.append(CallerDisconnected(token))

    def _end_if_drained(self):
        now_s = time.monotonic()
        is_drained = self.drain is None or self.drain.is_drained(now_s)
        if is_drained or now_s >= self.end_s:
            self.is_running = False

    def _poll_timeout_s(self):
        if self.end_s is not None:
            return CHECK_INTERVAL_S
        due_s = self.node.next_due_s()
        if due_s is None:
            return MAX_WAIT_S
        return min(MAX_WAIT_S, max(0.0, due_s - time.monotonic()))

    def _handle_messages(self):
        for received in self.links.receive():
            if isinstance(received, Exception):
                self.log("bad-message", code="bad-message", detail=received.detail)
                continue
            event = MessageReceived(
                received.host, received.address, received.message, received.sent_at
            )
            self._handle(event)

    def _handle_events(self):
        for _ in range(MAX_EVENTS_PER_ITERATION):
            if not self._event_queue:
                return
            self._handle(self._event_queue.popleft())

    def _handle_due_timers(self):
        due_s = self.node.next_due_s()
        if due_s is not None and due_s <= time.monotonic():
            self._handle(TimeAdvanced())

    def _handle(self, event):
        self.checked_s = time.monotonic()
        try:
            effects = self.node.handle(event, self.checked_s)
        except Exception:
            # An error while one event is handled must not stop the processing of other events.
            self._handle_internal_error(event)
            return
        self._execute(effects)

    def _handle_internal_error(self, event):
        self._log_internal_error(event)
        token = getattr(event, "token", None)
        if token is not None:
            error_response = RespondWithError(
                token, "internal-error", OUTCOME_UNKNOWN, "see the log", True
            )
            self.bridge.deliver(token, error_response)
        try:
            self.node.abandon(event)
        except Exception:
            self._log_internal_error(event)

    def _log_internal_error(self, cause):
        self.internal_error_count += 1
        kind = type(cause).__name__
        self.log("internal-error", code="internal-error", kind=kind, detail=format_traceback())

    def _execute(self, effects):
        for effect in effects:
            try:
                self._execute_one(effect)
            except Exception:
                if isinstance(effect, Persist):
                    # Writes after this one would be taken for a confirmation of it.
                    raise
                # The other effects of the event are still due.
                self._log_internal_error(effect)

    def _execute_one(self, effect):
        match effect:
            case Forward(token) | RespondWithError(token):
                self.bridge.deliver(token, effect)
            case SendMessage(address, message):
                self._send(address, message)
            case Persist():
                self.writer.submit(effect)
            case Respond(token, value):
                self.bridge.deliver(token, value)
            case ApplyCallerLimits(limits):
                self.apply_limits(limits)
            case RespondToAnnouncement(token, reply) | RespondToOperator(token, reply):
                self.bridge.deliver(token, reply)
            case RespondToReadiness(token, code):
                self.bridge.deliver(token, code)
            case LogEvent(event, fields):
                self.log(event, **fields)
            case CancelAttempt(token, only_reused, only_waiting, only_unanswered):
                self.bridge.cancel(token, only_reused, only_waiting, only_unanswered)
            case WatchCaller(token):
                self._watch_caller(token)
            case CloseIdleConnections(address):
                self.upstream.close_pool(address)
            case KeepConnections(address, count):
                self.connection_keeper.keep(address, count)
            case StopAccepting() if self.drain is not None:
                self.drain.stop_accepting()
            case StopProcess(code, _, wait_s) if self.end_s is None:
                self.stop_code = code
                self.end_s = time.monotonic() + (0.0 if code else wait_s)

    def _send(self, address, message):
        sent_at = self.node.timeline.stamp()
        try:
            self.links.send(address, message, sent_at, time.monotonic())
        except GreengageError as error:
            kind = type(message).__name__
            self.log("message-not-sent", code=error.code, kind=kind, detail=error.detail)


def format_traceback():
    """Return the traceback of the current exception as one line."""
    return traceback.format_exc().replace("\n", " | ")

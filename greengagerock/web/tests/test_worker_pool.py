"""Tests of the number of worker threads of an HTTP server."""

import http.client
import threading

import pytest

from greengagerock.settings.schema import LimitSettings
from greengagerock.web import worker_pool
from greengagerock.web.server import MIN_THREADS, HttpServer

IP, PORT = "127.37.0.3", 8602
MAX_THREADS = 24
WAIT_S = 20.0


class BlockingApplication:
    """A WSGI application whose responses wait until ``release`` is set."""

    def __init__(self):
        self.release = threading.Event()
        self.arrived = threading.Semaphore(0)

    def __call__(self, environ, start_response):
        """Serve one request."""
        self.arrived.release()
        assert self.release.wait(WAIT_S)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]


@pytest.fixture
def server(monkeypatch):
    """Start a server whose threads end soon after they are no longer needed."""
    monkeypatch.setattr(worker_pool, "PEAK_PERIOD_S", 0.05)
    monkeypatch.setattr(worker_pool, "IDLE_CHECK_S", 0.05)
    log_lines = []
    application = BlockingApplication()
    http_server = HttpServer(
        IP,
        PORT,
        application,
        LimitSettings(),
        MAX_THREADS,
        lambda event, **fields: log_lines.append((event, fields)),
    )
    http_server.application, http_server.log_lines = application, log_lines
    http_server.start()
    yield http_server
    application.release.set()
    http_server.stop()


def send_requests(count, results):
    """Send concurrent requests and return their threads; each appends its status."""

    def send():
        connection = http.client.HTTPConnection(IP, PORT, timeout=WAIT_S)
        connection.request("GET", "/")
        results.append(connection.getresponse().status)
        connection.close()

    threads = [threading.Thread(target=send, daemon=True) for _ in range(count)]
    for thread in threads:
        thread.start()
    return threads


def wait_until(condition):
    """Wait until a condition holds; return whether it did in time."""
    never_set = threading.Event()
    for _ in range(int(WAIT_S / 0.02)):
        if condition():
            return True
        never_set.wait(0.02)
    return False


def test_threads_follow_a_burst_and_go_back_without_cutting_a_request_off(server):
    pool, application = server.server.requests, server.application
    assert len(pool._threads) == MIN_THREADS
    results = []
    senders = send_requests(MAX_THREADS, results)
    # All requests reach the application although none has ended.
    for _ in range(MAX_THREADS):
        assert application.arrived.acquire(timeout=WAIT_S)
    assert len(pool._threads) == MAX_THREADS
    application.release.set()
    for sender in senders:
        sender.join(WAIT_S)
    assert results == [200] * MAX_THREADS
    assert wait_until(lambda: len(pool._threads) == MIN_THREADS)
    senders = send_requests(3, results)
    for sender in senders:
        sender.join(WAIT_S)
    assert results == [200] * (MAX_THREADS + 3)
    assert server.log_lines == []


def test_requests_beyond_the_largest_number_wait_for_a_thread(server):
    pool, application = server.server.requests, server.application
    results = []
    senders = send_requests(MAX_THREADS + 6, results)
    for _ in range(MAX_THREADS):
        assert application.arrived.acquire(timeout=WAIT_S)
    assert len(pool._threads) == MAX_THREADS
    application.release.set()
    for sender in senders:
        sender.join(WAIT_S)
    assert results == [200] * (MAX_THREADS + 6)


def test_connection_waits_for_an_existing_thread_if_none_can_be_started(server, monkeypatch):
    pool, application = server.server.requests, server.application

    def fail():
        raise RuntimeError("can't start new thread")

    monkeypatch.setattr(pool, "_spawn_worker", fail)
    results = []
    senders = send_requests(MIN_THREADS + 1, results)
    for _ in range(MIN_THREADS):
        assert application.arrived.acquire(timeout=WAIT_S)
    # On a busy machine, the last connection may come later than the others reach the application.
    assert wait_until(lambda: pool.pending > MIN_THREADS)
    application.release.set()
    for sender in senders:
        sender.join(WAIT_S)
    assert results == [200] * (MIN_THREADS + 1)
    assert {event for event, _ in server.log_lines} == {"no-thread"}

"""Socket options that libraries set by themselves."""

import os
import socket
import time

from greengagerock.core import Timestamp
from greengagerock.settings.schema import LimitSettings
from greengagerock.transport import Links
from greengagerock.view import NotLeading
from greengagerock.web.server import HttpServer

LINK_ADDRESSES = ("127.38.0.1:8701", "127.38.0.2:8701")
SERVER_ADDRESS = ("127.38.0.3", 8702)
TIMEOUT_S = 10.0


def connected_sockets():
    """Return copies of all connected TCP sockets of this process, by descriptor."""
    found = {}
    for name in os.listdir("/proc/self/fd"):
        try:
            sock = socket.socket(fileno=os.dup(int(name)))
        except OSError:
            # The descriptor is no socket, or was closed meanwhile.
            continue
        is_tcp = sock.family == socket.AF_INET and sock.type == socket.SOCK_STREAM
        try:
            if is_tcp:
                sock.getpeername()
                found[int(name)] = sock
        except OSError:
            # It listens, or is not connected.
            sock.close()
    return found


def test_no_library_lets_the_unacknowledged_timeout_replace_the_count_of_keep_alive_probes():
    before = set(connected_sockets())
    links = [Links(f"h{n}", address) for n, address in enumerate(LINK_ADDRESSES)]
    server = HttpServer(
        *SERVER_ADDRESS, lambda *_: [], LimitSettings(), 2, lambda event, **fields: None
    )
    server.start()
    caller = socket.create_connection(SERVER_ADDRESS, TIMEOUT_S)
    end_s = time.monotonic() + TIMEOUT_S
    received = []
    while not received and time.monotonic() < end_s:
        links[0].send(LINK_ADDRESSES[1], NotLeading("", ()), Timestamp(1, 0), time.monotonic())
        time.sleep(0.02)
        received = links[1].receive()
    sockets = {d: s for d, s in connected_sockets().items() if d not in before}
    options = {
        s.getsockname(): s.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        for s in sockets.values()
    }
    for sock in (caller, *sockets.values()):
        sock.close()
    for link in links:
        link.close()
    server.stop()
    assert received
    assert len(options) >= 3
    assert set(options.values()) == {0}

"""Round-robin HTTP forwarder, the baseline for measurements of the router.

It uses the same HTTP server and the same HTTP client as the router, sends
each request to the next address in turn, and relays the response.
"""

import itertools
import signal
import sys
import threading

import urllib3

from greengagerock.settings.schema import LimitSettings
from greengagerock.web.caller_application import read_headers
from greengagerock.web.native_dialect import origin_form, split_uri
from greengagerock.web.server import HttpServer

BLOCK_BYTES = 64 * 1024
HOP_BY_HOP = {"connection", "keep-alive", "transfer-encoding", "te", "upgrade"}


class Forwarder:
    """WSGI application that forwards requests to addresses in turn."""

    def __init__(self, addresses):
        self.address_cycle = itertools.cycle(addresses)
        self.pools = {}
        for address in addresses:
            host, _, port = address.rpartition(":")
            self.pools[address] = urllib3.HTTPConnectionPool(host, int(port), maxsize=64)

    def __call__(self, environ, start_response):
        """Forward one request."""
        _, path, query = split_uri(origin_form(environ["REQUEST_URI"]))
        target = f"{path}?{query}" if query else path
        headers = {n: v for n, v in read_headers(environ).items() if n not in HOP_BY_HOP}
        response = self.pools[next(self.address_cycle)].urlopen(
            environ["REQUEST_METHOD"],
            target,
            body=None,
            headers=headers,
            retries=False,
            redirect=False,
            preload_content=False,
            decode_content=False,
        )
        response_headers = [
            (n, v) for n, v in response.headers.items() if n.lower() not in HOP_BY_HOP
        ]
        start_response(f"{response.status} {response.reason}", response_headers)
        return RelayedResponse(response)


class RelayedResponse:
    """Response body that is streamed to the caller."""

    def __init__(self, response):
        self.response = response

    def __iter__(self):
        yield from self.response.stream(BLOCK_BYTES, decode_content=False)

    def close(self):
        """Return the connection to its pool."""
        self.response.release_conn()


def main(arguments):
    """Serve on IP and PORT of ``IP PORT ADDRESS...`` until SIGTERM or SIGINT."""
    ip, port, *addresses = arguments
    server = HttpServer(
        ip, int(port), Forwarder(addresses), LimitSettings(), 32, lambda *a, **k: None
    )
    stop_event = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop_event.set())
    server.start()
    stop_event.wait()
    server.stop()


if __name__ == "__main__":
    main(sys.argv[1:])

"""HTTP client whose responses end in size and in time."""

import time

import urllib3
from urllib3.exceptions import HTTPError

from greengagerock.web.strict_response import StrictConnection, StrictResponse


class TimedResponse(StrictResponse):
    """A response that ends within the time-out of its connection, however its bytes arrive."""

    def make_file(self, state):
        """Return the file of a connection, with a deadline."""
        raw = super().make_file(state)
        raw.deadline_s = time.monotonic() + (state.sock.gettimeout() or float("inf"))
        return raw


class TimedConnection(StrictConnection):
    """A connection of ``TimedResponse`` objects."""

    strict_response_class = TimedResponse


class TimedPool(urllib3.HTTPConnectionPool):
    """A connection pool of ``TimedConnection`` objects."""

    ConnectionCls = TimedConnection


class BoundedClient:
    """Sends requests and reads whole responses.

    Args:
        timeout_s: Time for connecting, and for a response, in seconds.
        max_bytes: Largest body that is read.
    """

    def __init__(self, timeout_s, max_bytes):
        self.max_bytes = max_bytes
        self.pools = urllib3.PoolManager(retries=False, timeout=timeout_s)
        self.pools.pool_classes_by_scheme = {"http": TimedPool}

    def request(self, method, url, **arguments):
        """Send a request; return the status and the body of the response.

        Raises:
            HTTPError: If there is no whole response in time, or its body is too long.
        """
        response = self.pools.request(method, url, preload_content=False, **arguments)
        try:
            body = response.read(self.max_bytes + 1)
            if len(body) > self.max_bytes:
                raise HTTPError(f"response longer than {self.max_bytes} bytes")
        except OSError as error:
            response.close()
            raise HTTPError(str(error)) from error
        except HTTPError:
            response.close()
            raise
        response.release_conn()
        return response.status, body

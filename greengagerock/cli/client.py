"""The command-line tool's side of the operators' HTTP interface."""

import msgspec
import urllib3

from greengagerock.control.operators import OperatorAnswer
from greengagerock.core import GreengageError, TimelineEvent

REQUEST_TIMEOUT_S = 10.0


class OperatorClient:
    """Talks to the operator port of one daemon.

    Args:
        address: ``IP:PORT`` of its operator port.
    """

    def __init__(self, address):
        self.address = address
        self.http = urllib3.PoolManager(retries=False, timeout=REQUEST_TIMEOUT_S)

    def operate(self, request):
        """Send an ``OperatorRequest``.

        Returns:
            The ``OperatorAnswer``.

        Raises:
            GreengageError: ``unreachable`` if the daemon cannot be reached.
        """
        body = msgspec.json.encode(request)
        return self._call("POST", "/operate", OperatorAnswer, body=body)

    def status(self):
        """Return the daemon's view of itself as a dictionary."""
        return self._call("GET", "/status", dict)

    def timeline(self, fields):
        """Return the daemon's part of the time line.

        Args:
            fields: Filter fields as a dictionary.
        """
        return self._call("GET", "/timeline", tuple[TimelineEvent, ...], fields=fields)

    def _call(self, method, path, kind, **arguments):
        url = f"http://{self.address}{path}"
        try:
            response = self.http.request(method, url, **arguments)
            return msgspec.json.decode(response.data, type=kind)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            raise GreengageError("unreachable", f"{self.address}: {error}") from error

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

    def read_items(self):
        """Return the configuration items of a controller as statements.

        Raises:
            GreengageError: ``unreachable`` if the controller cannot be reached, or the code
                that it answers.
        """
        return self._exchange("GET", "/items").decode()

    def apply_items(self, text):
        """Send statements about configuration items to a controller.

        Raises:
            GreengageError: ``unreachable`` if the controller cannot be reached, or the code
                with which it refuses all of the statements.
        """
        self._exchange("POST", "/items", body=text.encode())

    def _exchange(self, method, path, **arguments):
        url = f"http://{self.address}{path}"
        try:
            response = self.http.request(method, url, **arguments)
        except urllib3.exceptions.HTTPError as error:
            raise GreengageError("unreachable", f"{self.address}: {error}") from error
        if response.status == 200:
            return response.data
        try:
            refusal = msgspec.json.decode(response.data, type=dict)
            raise GreengageError(refusal["code"], refusal.get("detail", ""))
        except (msgspec.MsgspecError, KeyError) as error:
            detail = f"{self.address} answered {response.status}"
            raise GreengageError("unreachable", detail) from error

    def _call(self, method, path, kind, **arguments):
        url = f"http://{self.address}{path}"
        try:
            response = self.http.request(method, url, **arguments)
            return msgspec.json.decode(response.data, type=kind)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            raise GreengageError("unreachable", f"{self.address}: {error}") from error

"""HTTP client for the operator interface, used by the command-line tool."""

import msgspec
import urllib3

from greengagerock.control.operator_messages import OperatorResponse
from greengagerock.core import GreengageError, TimelineEvent
from greengagerock.web.bounded_client import BoundedClient

REQUEST_TIMEOUT_S = 10.0
# Longest response; a time line or a list of items takes a few hundred bytes for each entry.
MAX_RESPONSE_BYTES = 256 * 1024 * 1024


class OperatorClient:
    """Sends requests to the operator port, or a controller's control port, of one daemon.

    Args:
        address: ``IP:PORT`` of that port.
    """

    def __init__(self, address):
        self.address = address
        self.http = BoundedClient(REQUEST_TIMEOUT_S, MAX_RESPONSE_BYTES)

    def operate(self, request):
        """Send an ``OperatorRequest``.

        Returns:
            The ``OperatorResponse``.

        Raises:
            GreengageError: ``unreachable`` if the daemon cannot be reached.
        """
        body = msgspec.json.encode(request)
        return self._call("POST", "/operate", OperatorResponse, body=body)

    def status(self):
        """Return the status of the daemon as a dictionary."""
        return self._call("GET", "/status", dict)

    def timeline(self, fields):
        """Return the events that the daemon has recorded.

        Args:
            fields: Query parameters that filter the events, as a dictionary.
        """
        return self._call("GET", "/timeline", tuple[TimelineEvent, ...], fields=fields)

    def read_items(self):
        """Return the configuration items of a controller as statements.

        Raises:
            GreengageError: ``unreachable`` if the controller cannot be reached, or the error
                code of its response.
        """
        return self._exchange("GET", "/items").decode()

    def apply_items(self, text):
        """Send statements that change configuration items to a controller.

        Raises:
            GreengageError: ``unreachable`` if the controller cannot be reached, or the error
                code with which it rejects the statements; none is applied then.
        """
        self._exchange("POST", "/items", body=text.encode())

    def _exchange(self, method, path, **arguments):
        url = f"http://{self.address}{path}"
        try:
            status, data = self.http.request(method, url, **arguments)
        except urllib3.exceptions.HTTPError as error:
            raise GreengageError("unreachable", f"{self.address}: {error}") from error
        if status == 200:
            return data
        try:
            error_body = msgspec.json.decode(data, type=dict)
            raise GreengageError(error_body["code"], error_body.get("detail", ""))
        except (msgspec.MsgspecError, KeyError) as error:
            detail = f"{self.address}: status {status} without an error code"
            raise GreengageError("unreachable", detail) from error

    def _call(self, method, path, response_type, **arguments):
        url = f"http://{self.address}{path}"
        try:
            _, data = self.http.request(method, url, **arguments)
            return msgspec.json.decode(data, type=response_type)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            raise GreengageError("unreachable", f"{self.address}: {error}") from error

"""Traffic of callers and changes by an operator during a soak."""

import http.client
import time
from random import Random

import urllib3

from greengagerock.testing.soak.history import AcknowledgedChange, Attempt, ReadBack

HOST = "shop.example"
REQUEST_TIMEOUT_MS = 1500
# Socket timeout of callers and the operator; longer than the timeout of a caller's request.
SOCKET_TIMEOUT_S = 2.5
REQUEST_PAUSE_S = 0.02
CHANGE_PAUSE_S = 0.4
ROUTE_COUNT = 3
METHODS = {"balance": "GET", "charge": "POST", "prices": "GET"}


def run_caller(seed, number, addresses, history, stop_event):
    """Send requests one after the other until an event is set.

    A connection is reused until a request fails on it or the other side closes it.

    Args:
        seed: Seed of the soak.
        number: Number of this caller.
        addresses: ``IP:PORT`` of the routers.
        history: The ``History``.
        stop_event: Event that ends the caller.
    """
    random = Random(seed * 1000 + number)
    connection = None
    sent_count = 0
    while not stop_event.is_set():
        sent_count += 1
        kind = random.choice(("balance", "balance", "charge", "prices"))
        request_id = f"s{seed}-c{number}-{sent_count}"
        body = random.randbytes(random.choice((0, 40, 3000))) if kind == "charge" else b""
        if connection is None:
            connection = http.client.HTTPConnection(
                random.choice(addresses), timeout=SOCKET_TIMEOUT_S
            )
        key = str(random.randrange(65_536))
        attempt, is_reusable = send(connection, kind, request_id, body, key)
        history.add(attempt)
        if not is_reusable:
            connection.close()
            connection = None
        stop_event.wait(REQUEST_PAUSE_S)
    if connection is not None:
        connection.close()


def send(connection, kind, request_id, body, key):
    """Send one request.

    Returns:
        A pair: the ``Attempt``, and whether the connection can be reused.
    """
    method, path = METHODS[kind], f"/{kind}/{request_id}"
    headers = {
        "Host": HOST,
        "Greengage-Request-Id": request_id,
        "Greengage-Timeout-Ms": str(REQUEST_TIMEOUT_MS),
    }
    if kind != "prices":
        headers["Greengage-Key"] = key
    sent_s = time.monotonic()
    response_fields = {}
    try:
        connection.request(method, path, body=body or None, headers=headers)
        response = connection.getresponse()
        response_fields = {
            "status": response.status,
            "outcome": response.headers.get("Greengage-Outcome", ""),
            "answered_id": response.headers.get("Greengage-Request-Id", ""),
        }
        response_fields["content"] = response.read()
        response_fields["whole"] = True
    except (OSError, http.client.HTTPException):
        # Without a complete response, the attempt records the fields received so far.
        is_reusable = False
    else:
        is_reusable = not response.will_close
    now_s = time.monotonic()
    target = f"{method} {path}"
    return Attempt(request_id, kind, target, body, sent_s, now_s, **response_fields), is_reusable


class Operator:
    """Changes one route at a time, and reads the routes back.

    Args:
        addresses: ``IP:PORT`` of the controllers.
        history: The ``History``.
    """

    def __init__(self, addresses, history):
        self.addresses = addresses
        self.history = history
        self.version = 1
        self.http = urllib3.PoolManager(retries=False, timeout=SOCKET_TIMEOUT_S)

    def run(self, stop_event):
        """Change routes and read them back until an event is set."""
        round_number = 0
        while not stop_event.is_set():
            round_number += 1
            self.version += 1
            name = f"extra-{round_number % ROUTE_COUNT}"
            if self._change(round_number, name):
                now_s = time.monotonic()
                self.history.add(AcknowledgedChange(name, self.version, now_s))
            if round_number % 3 == 0:
                self.read_back(round_number)
            stop_event.wait(CHANGE_PAUSE_S)

    def _change(self, round_number, name):
        statement = (
            f"set route {name} version {self.version} host {HOST} prefix /{name}/ to docs"
            " kind safe timeout 1s attempts 1"
        )
        return self._request(round_number, "POST", statement.encode()) is not None

    def read_back(self, round_number=0):
        """Read the items once; returns whether a controller responded."""
        asked_s = time.monotonic()
        data = self._request(round_number, "GET", None)
        if data is None:
            return False
        words = data.decode().split()
        versions = {}
        for index, word in enumerate(words[:-3]):
            if word == "route":
                versions[words[index + 1].strip('"')] = int(words[index + 3])
        self.history.add(ReadBack(asked_s, versions))
        return True

    def _request(self, round_number, method, body):
        address = self.addresses[round_number % len(self.addresses)]
        try:
            response = self.http.request(method, f"http://{address}/items", body=body)
        except urllib3.exceptions.HTTPError:
            # The change may or may not come into effect; it counts as not acknowledged.
            return None
        return response.data if response.status == 200 else None

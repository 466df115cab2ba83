"""Callers and an operator of a soak."""

import http.client
import time
from random import Random

import urllib3

from greengagerock.testing.soak.history import Acknowledged, Attempt, ReadBack

HOST = "shop.example"
TIME_LEFT_MS = 1500
# A caller closes its connection so long after its time is over.
PATIENCE_S = 2.5
PAUSE_S = 0.02
CHANGE_PAUSE_S = 0.4
ROUTES = 3
METHODS = {"balance": "GET", "charge": "POST", "prices": "GET"}


def run_caller(seed, number, addresses, history, ended):
    """Send requests one after the other until told to end.

    Connections are used for as long as the other side keeps them open.

    Args:
        seed: Seed of the soak.
        number: Number of this caller.
        addresses: ``IP:PORT`` of the routers.
        history: The ``History``.
        ended: An event that ends the caller.
    """
    random = Random(seed * 1000 + number)
    connection = None
    sent = 0
    while not ended.is_set():
        sent += 1
        kind = random.choice(("balance", "balance", "charge", "prices"))
        request_id = f"s{seed}-c{number}-{sent}"
        body = random.randbytes(random.choice((0, 40, 3000))) if kind == "charge" else b""
        if connection is None:
            connection = http.client.HTTPConnection(random.choice(addresses), timeout=PATIENCE_S)
        key = str(random.randrange(65_536))
        attempt, keep = send(connection, kind, request_id, body, key)
        history.note(attempt)
        if not keep:
            connection.close()
            connection = None
        ended.wait(PAUSE_S)
    if connection is not None:
        connection.close()


def send(connection, kind, request_id, body, key):
    """Send one request.

    Returns:
        A pair: the ``Attempt``, and whether the connection may be used again.
    """
    method, path = METHODS[kind], f"/{kind}/{request_id}"
    headers = {
        "Host": HOST,
        "Greengage-Request-Id": request_id,
        "Greengage-Timeout-Ms": str(TIME_LEFT_MS),
    }
    if kind != "prices":
        headers["Greengage-Key"] = key
    sent_s = time.monotonic()
    seen = {}
    try:
        connection.request(method, path, body=body or None, headers=headers)
        response = connection.getresponse()
        seen = {
            "status": response.status,
            "outcome": response.headers.get("Greengage-Outcome", ""),
            "answered_id": response.headers.get("Greengage-Request-Id", ""),
        }
        seen["content"] = response.read()
        seen["whole"] = True
    except (OSError, http.client.HTTPException):
        # The status that was seen, if any, is noted with what is missing.
        keep = False
    else:
        keep = not response.will_close
    now_s = time.monotonic()
    target = f"{method} {path}"
    return Attempt(request_id, kind, target, body, sent_s, now_s, **seen), keep


class Operator:
    """Changes routes, one after the other, and reads them back.

    Args:
        addresses: ``IP:PORT`` of the controllers.
        history: The ``History``.
    """

    def __init__(self, addresses, history):
        self.addresses = addresses
        self.history = history
        self.version = 1
        self.http = urllib3.PoolManager(retries=False, timeout=PATIENCE_S)

    def run(self, ended):
        """Change and read until told to end."""
        turn = 0
        while not ended.is_set():
            turn += 1
            self.version += 1
            name = f"extra-{turn % ROUTES}"
            if self._change(turn, name):
                now_s = time.monotonic()
                self.history.note(Acknowledged(name, self.version, now_s))
            if turn % 3 == 0:
                self.read_back(turn)
            ended.wait(CHANGE_PAUSE_S)

    def _change(self, turn, name):
        statement = (
            f"set route {name} version {self.version} host {HOST} prefix /{name}/ to docs"
            " kind safe timeout 1s attempts 1"
        )
        return self._request(turn, "POST", statement.encode()) is not None

    def read_back(self, turn=0):
        """Read the items once; returns whether a controller answered."""
        asked_s = time.monotonic()
        data = self._request(turn, "GET", None)
        if data is None:
            return False
        words = data.decode().split()
        versions = {}
        for at, word in enumerate(words[:-3]):
            if word == "route":
                versions[words[at + 1].strip('"')] = int(words[at + 3])
        self.history.note(ReadBack(asked_s, versions))
        return True

    def _request(self, turn, method, body):
        address = self.addresses[turn % len(self.addresses)]
        try:
            response = self.http.request(method, f"http://{address}/items", body=body)
        except urllib3.exceptions.HTTPError:
            # Nothing is known of the change; it may come into force or not.
            return None
        return response.data if response.status == 200 else None

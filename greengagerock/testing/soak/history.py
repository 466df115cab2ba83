"""What callers, operators and endpoints have seen during a soak."""

import threading

import msgspec


class Attempt(msgspec.Struct, frozen=True):
    """One request of a caller and what came back.

    Attributes:
        request_id: Its id, used once.
        kind: Its route: ``balance``, ``charge`` or ``prices``.
        target: Method and path.
        body: Body that was sent.
        sent_s: When it was sent.
        ended_s: When its end was seen.
        status: Status of the answer, or 0 if none came.
        outcome: What the answer says about the run, empty if an endpoint answered.
        content: Body of the answer.
        whole: Whether the answer came to its announced end.
        answered_id: Request id that the answer carries, or empty.
    """

    request_id: str
    kind: str
    target: str
    body: bytes
    sent_s: float
    ended_s: float
    status: int = 0
    outcome: str = ""
    content: bytes = b""
    whole: bool = False
    answered_id: str = ""


class Run(msgspec.Struct, frozen=True):
    """An endpoint began to work on a request.

    Attributes:
        request_id: The request's id.
        endpoint: Name of the endpoint.
        target: Method and path, as the endpoint saw them.
        body: Body that it received.
        at_s: When it began.
        drained_s: When the endpoint's leave had been acknowledged, or ``None``.
    """

    request_id: str
    endpoint: str
    target: str
    body: bytes
    at_s: float
    drained_s: float | None = None


class Acknowledged(msgspec.Struct, frozen=True):
    """A change that a controller has acknowledged.

    Attributes:
        name: Name of the route.
        version: Its version.
        at_s: When the acknowledgement came.
    """

    name: str
    version: int
    at_s: float


class ReadBack(msgspec.Struct, frozen=True):
    """Versions of routes that a controller has told.

    Attributes:
        asked_s: When it was asked.
        versions: Version by name.
    """

    asked_s: float
    versions: dict[str, int]


class History:
    """Everything that the checks need.

    Attributes:
        attempts: ``Attempt`` objects.
        runs: ``Run`` objects.
        acknowledged: ``Acknowledged`` objects.
        read_back: ``ReadBack`` objects.
        double_holders: Descriptions of keys that two endpoints held at once.
        not_recovered: Why the site was not whole again after all faults had ended, or empty.
        unexpected_ends: Descriptions of processes that ended by themselves.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self.attempts = []
        self.runs = []
        self.acknowledged = []
        self.read_back = []
        self.double_holders = []
        self.not_recovered = ""
        self.unexpected_ends = []

    def note(self, record):
        """Add a record; called from any thread."""
        with self._lock:
            match record:
                case Attempt():
                    self.attempts.append(record)
                case Run():
                    self.runs.append(record)
                case Acknowledged():
                    self.acknowledged.append(record)
                case ReadBack():
                    self.read_back.append(record)

    def served(self):
        """Return the number of attempts that an endpoint answered with success."""
        return sum(attempt.status == 200 for attempt in self.attempts)

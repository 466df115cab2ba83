"""History of a soak: what callers, the operator and endpoints observed."""

import threading

import msgspec


class Attempt(msgspec.Struct, frozen=True):
    """One request of a caller and its response.

    Attributes:
        request_id: Its id, unique within the soak.
        kind: Its route: ``balance``, ``charge`` or ``prices``.
        target: Method and path.
        body: Body of the request.
        sent_s: Time at which it was sent.
        ended_s: Time at which the response or an error ended it.
        status: Status of the response, or 0 without a response.
        outcome: Value of ``Greengage-Outcome`` (whether the request ran), or empty if the
            response came from an endpoint.
        content: Body of the response.
        whole: Whether the response was received up to its announced length.
        answered_id: Request id in the header of the response, or empty.
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
    """The start of a request's execution at an endpoint.

    Attributes:
        request_id: Id of the request.
        endpoint: Name of the endpoint.
        target: Method and path that the endpoint received.
        body: Body that it received.
        at_s: Time of the start.
        drained_s: Time at which a controller acknowledged that the endpoint is draining, or
            ``None`` if none had done so before the start.
    """

    request_id: str
    endpoint: str
    target: str
    body: bytes
    at_s: float
    drained_s: float | None = None


class AcknowledgedChange(msgspec.Struct, frozen=True):
    """A change of a route that a controller has acknowledged.

    Attributes:
        name: Name of the route.
        version: Version of the route.
        at_s: Time at which the acknowledgement arrived.
    """

    name: str
    version: int
    at_s: float


class ReadBack(msgspec.Struct, frozen=True):
    """Versions of routes that a controller returned.

    Attributes:
        asked_s: Time at which the request was sent.
        versions: Version by name of the route.
    """

    asked_s: float
    versions: dict[str, int]


class History:
    """Records of a soak, from which the checks find violations.

    Attributes:
        attempts: ``Attempt`` objects.
        runs: ``Run`` objects.
        acknowledged: ``AcknowledgedChange`` objects.
        read_back: ``ReadBack`` objects.
        double_holders: Descriptions of units that two endpoint instances held at once.
        recovery_failure: Description of a failed recovery after all faults had ended, or empty.
        unexpected_ends: Descriptions of processes that ended without an injected fault.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self.attempts = []
        self.runs = []
        self.acknowledged = []
        self.read_back = []
        self.double_holders = []
        self.recovery_failure = ""
        self.unexpected_ends = []

    def add(self, record):
        """Add a record; may be called from any thread."""
        with self._lock:
            match record:
                case Attempt():
                    self.attempts.append(record)
                case Run():
                    self.runs.append(record)
                case AcknowledgedChange():
                    self.acknowledged.append(record)
                case ReadBack():
                    self.read_back.append(record)

    def served(self):
        """Return the number of attempts with a successful response."""
        return sum(attempt.status == 200 for attempt in self.attempts)

"""A stand-in endpoint that refuses requests once and repeats the refusal later."""

import threading
from collections import Counter

from greengagerock.testing.raw_endpoint import RawEndpoint, read_head


class ResponseFormat:
    """How an endpoint writes its responses.

    Args:
        id_header: Name of the header with the id of a request.
        status: Status of a refusal.
        refusal_fields: Further field lines of a refusal, each with its end of line.
        success_fields: Further field lines of a success.
        refusal_body: Body of a refusal.
        has_refusal_id: Whether a refusal names its request.
    """

    __slots__ = (
        "has_refusal_id",
        "id_header",
        "refusal_body",
        "refusal_fields",
        "status",
        "success_fields",
    )

    def __init__(
        self,
        id_header,
        status,
        refusal_fields,
        success_fields="",
        refusal_body=b"",
        has_refusal_id=True,
    ):
        self.id_header = id_header
        self.status = status
        self.refusal_fields = refusal_fields
        self.success_fields = success_fields
        self.refusal_body = refusal_body
        self.has_refusal_id = has_refusal_id

    def refusal(self, request_id):
        """Return the bytes of the refusal of a request."""
        id_line = f"{self.id_header}: {request_id}\r\n" if self.has_refusal_id else ""
        head = f"HTTP/1.1 {self.status} Refused\r\n{id_line}{self.refusal_fields}"
        return _end_head(head, self.refusal_body)

    def success(self, request_id):
        """Return the bytes of the response to a request that has run."""
        head = f"HTTP/1.1 200 OK\r\n{self.id_header}: {request_id}\r\n{self.success_fields}"
        return _end_head(head, f"ran {request_id}\n".encode())


def _end_head(head, body):
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class RepeatingEndpoint(RawEndpoint):
    """Refuses the first attempt of some requests, and repeats the refusal on its connection.

    The copy is written before the response to a later request of the same connection, when the
    router has already sent that request.

    Args:
        ip: Loopback address to listen on.
        response_format: The ``ResponseFormat``.
        refused_prefix: Beginning of the ids of the requests whose first attempt is refused.
        responses_between: Number of responses on a connection between a refusal and its copy.

    Attributes:
        attempts: Pairs of the number of a connection and the id of a request, in order.
        copies: Number of copies that were written.
        runs: Number of runs by request id.
    """

    def __init__(self, ip, response_format, refused_prefix="refused", responses_between=0):
        self.response_format = response_format
        self.refused_prefix = refused_prefix
        self.responses_between = responses_between
        self.attempts = []
        self.copies = 0
        self.refused_ids = set()
        self.runs = Counter()
        self.lock = threading.Lock()
        super().__init__(ip, b"")

    def _serve(self, connection):
        number = self.connections.index(connection) + 1
        copy, between = b"", 0
        try:
            while request_id := self._read_request_id(connection):
                if copy and between == 0:
                    connection.sendall(copy)
                    copy = b""
                    with self.lock:
                        self.copies += 1
                between -= 1
                if self._refuses(number, request_id):
                    copy = self.response_format.refusal(request_id)
                    between = self.responses_between
                    connection.sendall(copy)
                else:
                    connection.sendall(self.response_format.success(request_id))
        except OSError:
            # The other side has closed the connection.
            return

    def _refuses(self, number, request_id):
        """Note an attempt; return whether it is refused, else the request runs."""
        with self.lock:
            self.attempts.append((number, request_id))
            is_first = request_id not in self.refused_ids
            if request_id.startswith(self.refused_prefix) and is_first:
                self.refused_ids.add(request_id)
                return True
            self.runs[request_id] += 1
            return False

    def _read_request_id(self, connection):
        """Return the id of the next request, empty at the end of the connection."""
        for line in read_head(connection).decode("latin-1").split("\r\n"):
            name, _, value = line.partition(": ")
            if name.lower() == self.response_format.id_header.lower():
                return value
        return ""

"""A caller that reads the response to a request while it still sends the body."""

import socket
import threading

from greengagerock.web.route_dialect import KEY_HEADER

SOCKET_TIMEOUT_S = 10.0
PIECE_BYTES = 64 * 1024


class CallerResponse:
    """What a caller received on a connection that it used for one request.

    Args:
        received: All bytes.
        is_ended: Whether the stream was ended, not reset.

    Attributes:
        status: Status code, ``None`` without a whole head.
        body: The bytes after the head, decoded if they are in chunks.
        is_whole: Whether nothing tells the caller that a part is missing.
    """

    __slots__ = ("body", "is_whole", "status")

    def __init__(self, received, is_ended):
        head, separator, self.body = received.partition(b"\r\n\r\n")
        self.status = int(head.split()[1]) if separator else None
        headers = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
        if headers.get(b"transfer-encoding") == b"chunked":
            self.body, self.is_whole = join_chunks(self.body)
        elif b"content-length" in headers:
            self.is_whole = len(self.body) == int(headers[b"content-length"])
        else:
            self.is_whole = bool(separator) and is_ended


def join_chunks(data):
    r"""Return the decoded bytes of a body in chunks, and whether its last chunk is there.

    Examples:
        >>> join_chunks(b"2\r\nab\r\n0\r\n\r\n")
        (b'ab', True)
        >>> join_chunks(b"2\r\na")
        (b'a', False)
    """
    body = b""
    while data:
        line, _, data = data.partition(b"\r\n")
        size = int(line, 16)
        if not size:
            return body, data == b"\r\n"
        body += data[:size]
        data = data[size + 2 :]
    return body, False


def send_charge(address, id_header, request_id):
    """Send a short unsafe request on a new connection; return the ``CallerResponse``.

    Args:
        address: IP address and port of the router.
        id_header: Name of the header with the id of the request.
        request_id: The id.
    """
    head = f"POST /charge/1 HTTP/1.1\r\nHost: shop.example\r\n{id_header}: {request_id}\r\n"
    data = f"{head}Content-Length: 2\r\nConnection: close\r\n\r\n11".encode()
    return CallerResponse(send_bytes(address, data), True)


def send_bytes(address, data):
    """Send a request on a new connection; return all bytes that the router sends."""
    received = b""
    with socket.create_connection(address, SOCKET_TIMEOUT_S) as sock:
        sock.sendall(data)
        while piece := sock.recv(PIECE_BYTES):
            received += piece
    return received


def upload(address, body_bytes, path="/charge/1", key=0, version="1.1", method="POST"):
    """Send a request with a body and read the response meanwhile.

    Args:
        address: IP address and port.
        body_bytes: Length of the body.
        path: Path of the request.
        key: Key of the request.
        version: HTTP version.
        method: Method of the request.

    Returns:
        A ``CallerResponse``.
    """
    head = (
        f"{method} {path} HTTP/{version}\r\nHost: shop.example\r\nConnection: close\r\n"
        f"{KEY_HEADER}: {key}\r\nContent-Length: {body_bytes}\r\n\r\n"
    )
    with socket.create_connection(address, SOCKET_TIMEOUT_S) as sock:
        sock.sendall(head.encode())
        sender = threading.Thread(target=_send_body, args=(sock, body_bytes), daemon=True)
        sender.start()
        received, is_ended = b"", True
        try:
            while piece := sock.recv(PIECE_BYTES):
                received += piece
        except ConnectionResetError:
            is_ended = False
        sender.join(SOCKET_TIMEOUT_S)
    return CallerResponse(received, is_ended)


def _send_body(sock, size):
    piece = bytes(PIECE_BYTES)
    try:
        for begin in range(0, size, PIECE_BYTES):
            sock.sendall(piece[: size - begin])
    except OSError:
        # The router has closed the connection after its response.
        return

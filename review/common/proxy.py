"""A proxy that holds back one direction of its connections for a while."""

import socket
import threading

CHUNK_BYTES = 65536


class DelayingProxy:
    """Passes what its callers send to a target only once it is released.

    What a caller has sent before it closed its connection is delivered all the same, as by a
    network that is slow.

    Args:
        listen: ``IP:PORT`` to listen on.
        target: ``IP:PORT`` to which it passes the bytes.
        record: The ``Record``.

    Attributes:
        released: Event from which on bytes pass.
        delivered: Event that is set when the target has responded to delayed bytes.
    """

    def __init__(self, listen, target, record):
        self.target = target
        self.record = record
        self.released = threading.Event()
        self.delivered = threading.Event()
        ip, _, port = listen.rpartition(":")
        self.listener = socket.create_server((ip, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self._pass_on, args=(sock,), daemon=True).start()

    def _pass_on(self, sock):
        held = b""
        try:
            while data := sock.recv(CHUNK_BYTES):
                held += data
        except OSError:
            # The caller has gone; what it sent before is still on its way.
            self.record.add("proxy: the caller has reset its connection")
        self.released.wait()
        ip, _, port = self.target.rpartition(":")
        try:
            with socket.create_connection((ip, int(port)), 2.0) as onward:
                onward.sendall(held)
                answer = onward.recv(CHUNK_BYTES)
        except OSError as error:
            self.record.add(f"proxy: not delivered: {error}")
            return
        self.record.add(f"proxy: {len(held)} late bytes delivered -> {answer[:15]!r}")
        self.delivered.set()

"""A loopback proxy that delays, silences, refuses and resets connections."""

import asyncio
import contextlib
import socket
import struct
import threading

CHUNK_BYTES = 16 * 1024
# Interval of the checks whether a silent direction may pass data again.
SILENCE_POLL_S = 0.02

TO_TARGET = "forth"
FROM_TARGET = "back"


class ProxyLoop:
    """Event loop on a thread of its own, on which all proxies of a soak run."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.servers = []
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def call(self, coroutine):
        """Run a coroutine on the thread and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def stop(self):
        """Close the listening sockets, cancel all connections and end the thread."""
        self.call(self._cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()

    async def _cancel_all(self):
        for server in self.servers:
            server.close()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class FaultProxy:
    """Relays connections to one address and injects faults into them.

    Args:
        loop: The ``ProxyLoop``.
        name: Name in reports.
        listen: ``IP:PORT`` to listen on.
        target: ``IP:PORT`` to relay connections to.

    Attributes:
        delay_s: Delay of each chunk of data.
        silent_directions: Directions in which no data passes: ``TO_TARGET``, ``FROM_TARGET``.
            Data is held back and passes later, as in a network partition.
        refuses_connections: Whether new connections are reset.
        refused_count: Number of connections that the target has not accepted.
    """

    def __init__(self, loop, name, listen, target):
        self.loop = loop
        self.name = name
        self.listen = listen
        self.target = target
        self.delay_s = 0.0
        self.silent_directions = frozenset()
        self.refuses_connections = False
        self.refused_count = 0
        self._writers = set()
        loop.servers.append(loop.call(self._serve()))

    async def _serve(self):
        ip, _, port = self.listen.rpartition(":")
        return await asyncio.start_server(self._accept, ip, int(port), backlog=512)

    def heal(self):
        """End all lasting faults of the proxy."""
        self.delay_s = 0.0
        self.silent_directions = frozenset()
        self.refuses_connections = False

    def reset(self):
        """Reset all open connections."""
        self.loop.call(self._reset())

    async def _reset(self):
        for writer in list(self._writers):
            abort(writer)

    async def _accept(self, reader, writer):
        if self.refuses_connections:
            abort(writer)
            return
        ip, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            self.refused_count += 1
            abort(writer)
            return
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            await asyncio.gather(
                self._relay(reader, target_writer, TO_TARGET),
                self._relay(target_reader, writer, FROM_TARGET),
            )
        except asyncio.CancelledError:
            # ``ProxyLoop.stop`` cancels the connections that are open at the end of the soak.
            return
        finally:
            self._writers -= writers
            for open_writer in writers:
                open_writer.close()

    async def _relay(self, reader, writer, direction):
        # Either side may close the connection at any time; the soak tests that.
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while direction in self.silent_directions:
                    await asyncio.sleep(SILENCE_POLL_S)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()


def abort(writer):
    """Close a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()

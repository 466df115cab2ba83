"""A loopback proxy that delays, silences, refuses and resets connections."""

import asyncio
import contextlib
import socket
import struct
import threading

CHUNK_BYTES = 16 * 1024
# What a silent direction has to wait for before it looks again whether it may go on.
SILENCE_POLL_S = 0.02

FORTH = "forth"
BACK = "back"


class ProxyLoop:
    """The thread on which all proxies of a soak run."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.servers = []
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def call(self, coroutine):
        """Run a coroutine on the thread and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result()

    def stop(self):
        """Stop listening and end the thread; connections break off."""
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
    """Passes connections on to one address, with faults.

    Args:
        loop: The ``ProxyLoop``.
        name: Name in reports.
        listen: ``IP:PORT`` to listen on.
        target: ``IP:PORT`` to pass connections on to.

    Attributes:
        delay_s: Time by which each piece of data is late.
        silent: Directions, ``forth`` from the side that connects and ``back``, in which
            nothing passes at the moment. What was sent waits, as in a cut network.
        refuses: Whether new connections are reset.
    """

    def __init__(self, loop, name, listen, target):
        self.loop = loop
        self.name = name
        self.listen = listen
        self.target = target
        self.delay_s = 0.0
        self.silent = frozenset()
        self.refuses = False
        self._writers = set()
        loop.servers.append(loop.call(self._serve()))

    async def _serve(self):
        ip, _, port = self.listen.rpartition(":")
        return await asyncio.start_server(self._accept, ip, int(port), backlog=512)

    def heal(self):
        """End all faults that last."""
        self.delay_s = 0.0
        self.silent = frozenset()
        self.refuses = False

    def reset(self):
        """Reset all open connections."""
        self.loop.call(self._reset())

    async def _reset(self):
        for writer in list(self._writers):
            abort(writer)

    async def _accept(self, reader, writer):
        if self.refuses:
            abort(writer)
            return
        ip, _, port = self.target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            abort(writer)
            return
        pair = {writer, far_writer}
        self._writers |= pair
        try:
            await asyncio.gather(
                self._pass(reader, far_writer, FORTH), self._pass(far_reader, writer, BACK)
            )
        except asyncio.CancelledError:
            # The soak has ended, and its connections with it.
            return
        finally:
            self._writers -= pair
            for end in pair:
                end.close()

    async def _pass(self, reader, writer, direction):
        # Either side may end the connection at any moment, which is what is being tested.
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while direction in self.silent:
                    await asyncio.sleep(SILENCE_POLL_S)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            if writer.can_write_eof():
                writer.write_eof()


def abort(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()

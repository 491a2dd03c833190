"""TCP relay that can drop bytes while its connections stay open."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
import time

READ_BYTES = 65536
# Bytes that are sent at once over a link whose bandwidth may be limited.
LINK_READ_BYTES = 1024


class Link:
    """Bandwidth for answers, shared by relays; unlimited at first."""

    def __init__(self) -> None:
        self.bytes_per_s = None
        self._lock = threading.Lock()
        self._free_s = 0.0

    def reserve_s(self, count: int) -> float:
        """Return the time that bytes need, behind those of all relays."""
        if self.bytes_per_s is None:
            return 0.0
        with self._lock:
            now_s = time.monotonic()
            start_s = max(now_s, self._free_s)
            self._free_s = start_s + count / self.bytes_per_s
            return self._free_s - now_s


class Relay:
    """Forward connections to a port, in a thread of its own."""

    def __init__(
        self,
        listen_port: int,
        to_port: int,
        to: str = "127.0.0.1",
        link: Link | None = None,
    ) -> None:
        self._to = to
        self._link = link
        self.drops_all = False
        # Connections up to this number carry no more bytes.
        self.silenced_max = 0
        self.drops_answers = False
        self.connections = 0
        # Sockets that keep the backlog of a hanging port full.
        self._blocked = []
        self._writers = set()
        self._ports = (listen_port, to_port)
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()
        self._ready.wait()

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._stop)
        self._thread.join()

    def _stop(self) -> None:
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.call_soon(self._loop.stop)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        listen_port, _ = self._ports
        self._server = self._loop.run_until_complete(
            asyncio.start_server(self._accept, "127.0.0.1", listen_port)
        )
        self._ready.set()
        self._loop.run_forever()

    async def _accept(self, reader, writer) -> None:
        try:
            back_reader, back_writer = await asyncio.open_connection(
                self._to, self._ports[1]
            )
        except OSError:
            writer.close()
            return
        self.connections += 1
        number = self.connections
        self._writers |= {writer, back_writer}
        await asyncio.gather(
            self._pump(number, reader, back_writer),
            self._pump(number, back_reader, writer, answers=True),
        )
        self._writers -= {writer, back_writer}

    def silence_connections(self) -> None:
        """Drop all further bytes of open connections, but not of new ones."""
        self.silenced_max = self.connections

    def refuse_new(self) -> None:
        """Refuse new connections; open ones live on."""
        self._loop.call_soon_threadsafe(self._server.close)

    def hang(self) -> None:
        """Drop the bytes of open connections and let new ones hang."""
        self.drops_all = True
        self._call(self._replace_listener())

    def reset(self) -> None:
        """Reset open connections and refuse new ones."""
        self._call(self._reset())

    def heal(self) -> None:
        """Accept new connections and forward their bytes again.

        Bytes of connections that hung are still dropped.
        """
        self.drops_all = False
        self.silenced_max = self.connections
        self._call(self._listen_again())

    def _call(self, work) -> None:
        asyncio.run_coroutine_threadsafe(work, self._loop).result()

    async def _replace_listener(self) -> None:
        """Listen with a full backlog, so that opening packets are dropped."""
        self._server.close()
        full = socket.socket()
        full.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        full.bind(("127.0.0.1", self._ports[0]))
        full.listen(0)
        self._blocked.append(full)
        for _ in range(3):
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(("127.0.0.1", self._ports[0]))
            self._blocked.append(client)

    async def _reset(self) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _listen_again(self) -> None:
        self._server.close()
        for blocked in self._blocked:
            blocked.close()
        self._blocked.clear()
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", self._ports[0]
        )

    def strand_connections(self) -> None:
        """Drop the answers on open connections and refuse new ones."""
        self.drops_answers = True
        self._loop.call_soon_threadsafe(self._server.close)

    async def _pump(self, number, reader, writer, *, answers=False) -> None:
        link = self._link if answers else None
        read_bytes = READ_BYTES if link is None else LINK_READ_BYTES
        with contextlib.suppress(OSError):
            while data := await reader.read(read_bytes):
                if answers and self.drops_answers:
                    continue
                if link is not None:
                    await asyncio.sleep(link.reserve_s(len(data)))
                if not self.drops_all and number > self.silenced_max:
                    writer.write(data)
                    await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()

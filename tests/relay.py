"""TCP relay that can drop bytes while its connections stay open."""

from __future__ import annotations

import asyncio
import contextlib
import threading


class Relay:
    """Forward connections to a port, in a thread of its own."""

    def __init__(self, listen_port: int, to_port: int) -> None:
        self.drops_all = False
        # Connections up to this number carry no more bytes.
        self.silenced_max = 0
        self.drops_answers = False
        self.connections = 0
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
                "127.0.0.1", self._ports[1]
            )
        except OSError:
            writer.close()
            return
        self.connections += 1
        number = self.connections
        await asyncio.gather(
            self._pump(number, reader, back_writer),
            self._pump(number, back_reader, writer, answers=True),
        )

    def silence_connections(self) -> None:
        """Drop all further bytes of open connections, but not of new ones."""
        self.silenced_max = self.connections

    def strand_connections(self) -> None:
        """Drop the answers on open connections and refuse new ones."""
        self.drops_answers = True
        self._loop.call_soon_threadsafe(self._server.close)

    async def _pump(self, number, reader, writer, *, answers=False) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if answers and self.drops_answers:
                    continue
                if not self.drops_all and number > self.silenced_max:
                    writer.write(data)
                    await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()

"""A loopback proxy whose links can be delayed, reset, cut and silenced."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import attrs

READ_BYTES = 65536


@attrs.define
class Disturbance:
    """What a link does to its bytes at the moment."""

    delay_s: float = 0.0
    # Nothing passes towards the process behind the link, or away from it;
    # connections stay open and what is swallowed is lost.
    drops_in: bool = False
    drops_out: bool = False


class Link:
    """Forwards connections from one address to the process behind it."""

    def __init__(self, name, listen, to):
        self.name = name
        self.disturbance = Disturbance()
        self._listen = listen
        self._to = to
        self._server = None
        # Open connections, with the writers of both ends.
        self._connections = {}
        self._silenced = set()

    async def start(self):
        host, port = self._listen
        self._server = await asyncio.start_server(self._accept, host, port)

    def reset(self):
        """Reset all open connections, on both ends."""
        for writers in list(self._connections.values()):
            for writer in writers:
                _reset(writer)

    def silence(self):
        """Swallow what open connections carry; new ones work."""
        self._silenced.update(self._connections)

    def close(self):
        self._server.close()
        for writers in list(self._connections.values()):
            for writer in writers:
                writer.close()

    async def _accept(self, reader, writer):
        try:
            back_reader, back_writer = await asyncio.open_connection(*self._to)
        except OSError:
            _reset(writer)
            return
        except asyncio.CancelledError:
            # The run is over; asyncio would print this as an error.
            return
        key = object()
        self._connections[key] = (writer, back_writer)
        try:
            await asyncio.gather(
                self._pump(key, reader, back_writer, inward=True),
                self._pump(key, back_reader, writer, inward=False),
            )
        except asyncio.CancelledError:
            pass
        finally:
            self._connections.pop(key, None)
            self._silenced.discard(key)

    async def _pump(self, key, reader, writer, *, inward):
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                now = self.disturbance
                if now.delay_s:
                    await asyncio.sleep(now.delay_s)
                dropped = now.drops_in if inward else now.drops_out
                if dropped or key in self._silenced:
                    continue
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            # A dropped direction hides the end of the connection as well.
            while self.disturbance.drops_in or self.disturbance.drops_out:
                await asyncio.sleep(0.05)
            writer.close()


def _reset(writer):
    """Close a connection with a reset instead of an orderly end."""
    end = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        end.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()

"""Loopback proxy whose links can be delayed, reset, cut and silenced."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import attrs

READ_BYTES = 65536


@attrs.define
class Disturbance:
    """Current delay and loss of a link."""

    delay_s: float = 0.0
    # Drop all bytes towards the process behind the link, or from it;
    # connections stay open.
    drops_in: bool = False
    drops_out: bool = False


class Link:
    """Forward connections from one address to the process behind it."""

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
        """Drop all further bytes of open connections, but not of new ones."""
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
            # End of the run; asyncio would log the cancellation as an error.
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
            # While a direction drops bytes, the end of the connection is
            # hidden too.
            while self.disturbance.drops_in or self.disturbance.drops_out:
                await asyncio.sleep(0.05)
            writer.close()


def _reset(writer):
    """Close a connection with a TCP reset."""
    end = writer.get_extra_info("socket")
    with contextlib.suppress(OSError, AttributeError):
        end.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()

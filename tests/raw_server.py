"""A TCP server that answers requests with raw bytes."""

from __future__ import annotations

import asyncio
import contextlib


class RawServer:
    """TCP server whose answers a test supplies as raw bytes."""

    def __init__(self, respond) -> None:
        self.requests: list[bytes] = []
        self.connections = 0
        self._responder = respond

    async def _serve(self, reader, writer) -> None:
        self.connections += 1
        number = self.connections
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.requests.append(head)
                if not await self._responder(self, number, reader, writer):
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    @contextlib.asynccontextmanager
    async def running(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            yield f"127.0.0.1:{port}"

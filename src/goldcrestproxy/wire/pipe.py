"""A bounded in-process pipe of body chunks."""

from __future__ import annotations

import collections
import typing as ty

from goldcrestproxy import signals
from goldcrestproxy.wire import buffers

PIPE_BYTES_MAX: ty.Final = 256 * 1024


class Pipe:
    """Body chunks from one writer to one reader, with back-pressure.

    ``on_read`` is called with the size of each chunk that is read; a
    channel returns it to its peer as credit. ``on_write`` is called after
    each chunk that is added and at the end of the pipe.
    """

    def __init__(
        self,
        capacity_bytes: int = PIPE_BYTES_MAX,
        budget: buffers.BufferBudget = buffers.BUDGET,
    ) -> None:
        """Create an open, empty pipe.

        :param budget: counts the chunks of all pipes
        """
        self.on_read: ty.Callable[[int], None] | None = None
        self.on_write: ty.Callable[[], None] | None = None
        self._capacity_bytes = capacity_bytes
        self._budget = budget
        self._chunks: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._ended = False
        self._error: BaseException | None = None
        self._changed = signals.Signal()

    @property
    def ended(self) -> bool:
        """Whether ``finish`` or ``fail`` was called."""
        return self._ended or self._error is not None

    @property
    def buffered_bytes(self) -> int:
        """Bytes that were added and not yet read."""
        return self._buffered_bytes

    @property
    def full(self) -> bool:
        """Whether the buffer has reached its capacity.

        It is smaller while all buffers together hold too much.
        """
        capacity_bytes = self._capacity_bytes
        if self._budget.exhausted:
            capacity_bytes = min(capacity_bytes, buffers.BUFFER_BYTES_MIN)
        return self._buffered_bytes >= capacity_bytes

    def feed(self, chunk: bytes) -> None:
        """Add a chunk without waiting, even above the capacity.

        Empty chunks, and chunks after the end, are ignored.
        """
        if self.ended or not chunk:
            return
        self._chunks.append(chunk)
        self._buffered_bytes += len(chunk)
        self._budget.take(len(chunk))
        self._notify()

    async def put(self, chunk: bytes) -> None:
        """Wait while the pipe is full, then add a chunk.

        :raises BaseException: the error passed to ``fail``
        """
        while self.full and not self.ended:
            await self._changed.wait()
        if self._error is not None:
            raise self._error
        self.feed(chunk)

    def finish(self) -> None:
        """Mark the body as complete."""
        if not self.ended:
            self._ended = True
            self._notify()

    def fail(self, error: BaseException) -> None:
        """End the pipe with an error, raised before buffered chunks."""
        if not self.ended:
            self._error = error
            self._drop_chunks()
            self._notify()

    def read_nowait(self) -> bytes | None:
        """Return the next chunk, ``b""`` at the end or None if none is ready.

        :raises BaseException: the error passed to ``fail``
        """
        if self._error is not None:
            raise self._error
        if self._chunks:
            chunk = self._chunks.popleft()
            self._buffered_bytes -= len(chunk)
            self._budget.give_back(len(chunk))
            if self.on_read is not None:
                self.on_read(len(chunk))
            self._changed.notify()
            return chunk
        return b"" if self._ended else None

    async def read(self) -> bytes:
        """Wait for the next chunk; return ``b""`` at the end of the body.

        :raises BaseException: the error passed to ``fail``
        """
        while True:
            chunk = self.read_nowait()
            if chunk is not None:
                return chunk
            await self._changed.wait()

    async def read_all(self, bytes_max: int) -> bytes:
        """Read the complete body.

        :raises ValueError: when it is larger than ``bytes_max``
        """
        body = bytearray()
        while True:
            chunk = await self.read()
            if not chunk:
                return bytes(body)
            body += chunk
            if len(body) > bytes_max:
                raise ValueError(f"body larger than {bytes_max} bytes")

    def __del__(self) -> None:
        """Give back what nobody will read."""
        self._drop_chunks()

    def _drop_chunks(self) -> None:
        self._budget.give_back(self._buffered_bytes)
        self._buffered_bytes = 0
        self._chunks.clear()

    def _notify(self) -> None:
        self._changed.notify()
        if self.on_write is not None:
            self.on_write()

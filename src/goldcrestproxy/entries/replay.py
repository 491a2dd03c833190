"""Request bodies that can be sent again by a retry."""

from __future__ import annotations

import asyncio
import typing as ty

from goldcrestproxy.entries import body_identity
from goldcrestproxy import wire
from goldcrestproxy.wire import Pipe

# Covers the data that buffers on the path accept before a target reads any,
# and what is read to identify a body.
REPLAY_BYTES_MAX: ty.Final = body_identity.IDENTIFYING_BYTES_MAX


class ReplayableBody:
    """Buffers a request body up to ``REPLAY_BYTES_MAX`` for further attempts.

    A longer body can be sent only once. Feeds one attempt at a time.
    """

    def __init__(
        self,
        source: Pipe | None,
        budget: wire.BufferBudget = wire.BUDGET,
    ) -> None:
        """Read from ``source``, None for a request without a body.

        :param budget: counts what all buffers hold; while they hold too
            much, only short bodies are buffered
        """
        self._budget = budget
        self._source = source
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._overflowed = False
        self._ended = source is None
        self._hash = body_identity.BodyHash()
        self._feed_task: asyncio.Task[None] | None = None

    @property
    def replayable(self) -> bool:
        """Whether another attempt can be fed the whole body."""
        return not self._overflowed

    @property
    def complete(self) -> bool:
        """Whether the whole body has been read and is buffered."""
        return self._ended and not self._overflowed

    @property
    def identity(self) -> body_identity.BodyIdentity:
        """What tells the body from others, as far as it has been read."""
        return self._hash.identity(ended=self._ended)

    async def read_ahead(self) -> None:
        """Buffer the body, unless it is long."""
        while (
            not self._ended
            and self._buffered_bytes <= body_identity.SHORT_BODY_BYTES_MAX
        ):
            await self._read(keep=True)

    async def read_ahead_long(self) -> None:
        """Buffer the body until it is identified.

        Stops early while the buffers of all bodies hold too much.
        """
        await self.read_ahead()
        while self._is_unread and self.replayable:
            if self._budget.exhausted:
                return
            await self._read(keep=True)

    async def identify(self) -> None:
        """Read the body until it is identified, and buffer what fits.

        No attempt may be fed meanwhile.
        """
        while self._is_unread:
            await self._read()

    @property
    def _is_unread(self) -> bool:
        match self.identity:
            case body_identity.Unread():
                return True
            case _:
                return False

    def cancel_feed(self) -> None:
        """Stop feeding the last attempt, without waiting for it."""
        if self._feed_task is not None:
            self._feed_task.cancel()

    async def stop_feed(self) -> None:
        """Stop feeding the last attempt."""
        if self._feed_task is not None:
            self._feed_task.cancel()
            await asyncio.wait([self._feed_task])
            self._feed_task = None

    def feed(self, attempt: Pipe) -> None:
        """Feed an attempt with the body from its start."""
        for chunk in self._buffered:
            attempt.feed(chunk)
        if self._ended:
            attempt.finish()
        else:
            self._feed_task = asyncio.create_task(
                self._feed_remainder(attempt)
            )

    async def _feed_remainder(self, attempt: Pipe) -> None:
        try:
            while not self._ended:
                chunk = await self._read()
                await attempt.put(chunk)
            attempt.finish()
        except asyncio.CancelledError:
            raise
        except BaseException as error:
            attempt.fail(error)

    async def _read(self, *, keep: bool = False) -> bytes:
        """Read the next chunk.

        :param keep: buffer it whatever is buffered already
        """
        chunk = await ty.cast(Pipe, self._source).read()
        self._hash.update(chunk)
        if not chunk:
            self._ended = True
        elif not self._overflowed and (keep or self._fits(chunk)):
            self._buffered.append(chunk)
            self._buffered_bytes += len(chunk)
            self._budget.take(len(chunk))
        else:
            self._overflowed = True
            self._drop_buffered()
        return chunk

    def _fits(self, chunk: bytes) -> bool:
        """Whether to buffer a chunk."""
        if self._buffered_bytes <= body_identity.SHORT_BODY_BYTES_MAX:
            return True
        return not self._budget.exhausted and (
            self._buffered_bytes + len(chunk) <= REPLAY_BYTES_MAX
        )

    def _drop_buffered(self) -> None:
        self._budget.give_back(sum(len(chunk) for chunk in self._buffered))
        self._buffered.clear()

    def __del__(self) -> None:
        """Give back what is buffered."""
        self._drop_buffered()

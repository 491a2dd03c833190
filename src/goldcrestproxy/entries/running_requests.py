"""Requests in flight, which a planned stop can end with an answer."""

from __future__ import annotations

import asyncio
import typing as ty

T = ty.TypeVar("T")


class RunningRequests:
    """The requests in flight of an entry host, each in its own task."""

    def __init__(self) -> None:
        self._running: set[asyncio.Task[ty.Any]] = set()
        self._ended: set[asyncio.Task[ty.Any]] = set()

    async def run(
        self, work: ty.Coroutine[ty.Any, ty.Any, T], at_end: ty.Callable[[], T]
    ) -> T:
        """Run a request in the current task and return its answer.

        :param at_end: called if ``end_all`` ended the request; returns the
            answer, or raises the refusal, that the caller gets instead
        """
        task = ty.cast(asyncio.Task[ty.Any], asyncio.current_task())
        self._running.add(task)
        try:
            return await work
        except asyncio.CancelledError:
            if task in self._ended:
                return at_end()
            raise
        finally:
            self._running.discard(task)
            self._ended.discard(task)

    def end_all(self) -> None:
        """End all requests that are in flight now."""
        for task in list(self._running):
            self._ended.add(task)
            task.cancel()

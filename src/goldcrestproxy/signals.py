"""Notification of all tasks that wait for a change."""

from __future__ import annotations

import asyncio


class Signal:
    """Wakes all tasks that are waiting when ``notify`` is called."""

    def __init__(self) -> None:
        self._waiters: set[asyncio.Future[None]] = set()

    def notify(self) -> None:
        """Wake every waiting task."""
        waiters, self._waiters = self._waiters, set()
        for future in waiters:
            if not future.done():
                future.set_result(None)

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Wait for the next ``notify``; return False after ``timeout_s``."""
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters.add(future)
        try:
            await asyncio.wait([future], timeout=timeout_s)
            return future.done()
        finally:
            self._waiters.discard(future)

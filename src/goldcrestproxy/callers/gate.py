"""Admission of requests during a planned stop of a host."""

from __future__ import annotations

import asyncio

from goldcrestproxy import results


class Gate:
    """Counts requests in flight and rejects new ones after ``close``."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.ready = True
        self._closed = False
        self._empty = asyncio.Event()
        self._empty.set()

    def enter(self) -> None:
        """Count a new request as in flight.

        :raises RefusedError: if the gate is closed
        """
        if self._closed:
            raise results.refusal(
                results.STOPPING, "this host is stopping", 100
            )
        self.in_flight += 1
        self._empty.clear()

    def leave(self) -> None:
        """Count a request as completed."""
        self.in_flight -= 1
        if self.in_flight == 0:
            self._empty.set()

    def announce_stop(self) -> None:
        """Fail the readiness checks, so that the balancer stops sending."""
        self.ready = False

    def close(self) -> None:
        """Reject all further requests."""
        self._closed = True

    async def wait_empty(self) -> None:
        """Wait until no request is in flight."""
        await self._empty.wait()

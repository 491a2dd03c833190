"""Detection of times in which this process did not run."""

from __future__ import annotations

import asyncio
import logging
import typing as ty

from goldcrestproxy.control import clock as clocks

LOG = logging.getLogger(__name__)

CHECK_INTERVAL_S: ty.Final = 0.1
# A shorter time without a check is no stall. Senders of orders wait for an
# answer twice as long before they turn to another host.
STALL_S_MIN: ty.Final = 0.5
# After a stall, what arrived during it is read within this time.
BACKLOG_S: ty.Final = 1.0


class Stalls:
    """Tells whether a message that is read now may have waited for long.

    A process that was paused, or whose event loop was blocked, reads
    messages of which it cannot tell when they arrived.
    """

    def __init__(self, clock: clocks.Clock = clocks.monotonic) -> None:
        """Start to measure.

        :param clock: seconds, goes on while the process does not run
        """
        self._clock = clock
        self._checked_s = clock()
        self._backlog_until_s = 0.0

    async def run(self) -> None:
        """Check for stalls until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Note a stall if the last check is long ago."""
        now_s = self._clock()
        stalled_s = now_s - self._checked_s
        self._checked_s = now_s
        if stalled_s >= STALL_S_MIN:
            self._backlog_until_s = now_s + BACKLOG_S
            LOG.warning(
                "control: this process stood still for %d ms",
                stalled_s * 1000,
            )

    def may_have_waited(self) -> bool:
        """Whether a message that is read now may have arrived long ago."""
        now_s = self._clock()
        return (
            now_s - self._checked_s >= STALL_S_MIN
            or now_s < self._backlog_until_s
        )

"""Signals wake everyone once and keep nobody."""

from __future__ import annotations

import asyncio

from goldcrestproxy import signals


def test_notify_wakes_all_who_wait():
    async def scenario():
        signal = signals.Signal()
        waiters = [asyncio.create_task(signal.wait(5)) for _ in range(3)]
        await asyncio.sleep(0)
        signal.notify()
        assert await asyncio.gather(*waiters) == [True] * 3

    asyncio.run(scenario())


def test_waits_that_timed_out_leave_nothing_behind():
    async def scenario():
        signal = signals.Signal()
        for _ in range(50):
            assert not await signal.wait(0)
        assert not signal._waiters

    asyncio.run(scenario())

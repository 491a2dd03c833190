"""Tests that a signal wakes all waiters and keeps none of them."""

from __future__ import annotations

import asyncio

from goldcrestproxy import signals


def test_notify_wakes_every_waiter():
    async def scenario():
        signal = signals.Signal()
        waiters = [asyncio.create_task(signal.wait(5)) for _ in range(3)]
        await asyncio.sleep(0)
        signal.notify()
        assert await asyncio.gather(*waiters) == [True] * 3

    asyncio.run(scenario())


def test_timed_out_waits_are_removed():
    async def scenario():
        signal = signals.Signal()
        for _ in range(50):
            assert not await signal.wait(0)
        assert not signal._waiters

    asyncio.run(scenario())

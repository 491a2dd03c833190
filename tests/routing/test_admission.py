"""Admission: limits, fairness, deadlines and immediate refusals."""

from __future__ import annotations

import asyncio
import time

from hypothesis import given
from hypothesis import strategies as st
import pytest

from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import admission
from goldcrestproxy.routing import concurrency


def make(slots=2, queue=10, warm=True):
    limit = concurrency.ConcurrencyLimit(slots=slots, cold_concurrency=1)
    if warm:
        limit.limit = float(slots)
        limit.cold = False
    return admission.Admission(limit, queue, time.monotonic)


def request(customer="c", seconds=5.0):
    return admission.AdmissionRequest(
        customer=customer,
        operation="op",
        deadline_s=time.monotonic() + seconds,
    )


def test_never_more_than_the_limit_runs():
    async def scenario():
        queue = make(slots=3, queue=100)
        running = 0
        peak = 0

        async def one():
            nonlocal running, peak
            await queue.acquire(request())
            running += 1
            peak = max(peak, running)
            await asyncio.sleep(0.001)
            running -= 1
            queue.release()

        await asyncio.gather(*(one() for _ in range(50)))
        assert peak == 3
        assert queue.backlog_requests == 0

    asyncio.run(scenario())


def test_full_queue_refuses_at_once_with_a_time_to_return():
    async def scenario():
        queue = make(slots=1, queue=1)
        await queue.acquire(request())
        waiting = asyncio.create_task(queue.acquire(request()))
        await asyncio.sleep(0)
        with pytest.raises(errors.RefusedError) as refused:
            await queue.acquire(request())
        assert refused.value.code == results.OVERLOADED
        assert refused.value.retry_after_ms > 0
        queue.release()
        await waiting

    asyncio.run(scenario())


def test_customers_take_turns():
    async def scenario():
        queue = make(slots=1, queue=100)
        order = []
        await queue.acquire(request())

        async def one(customer):
            await queue.acquire(request(customer))
            order.append(customer)
            queue.release()

        tasks = [asyncio.create_task(one("busy")) for _ in range(5)]
        tasks.append(asyncio.create_task(one("quiet")))
        await asyncio.sleep(0)
        queue.release()
        await asyncio.gather(*tasks)
        assert order.index("quiet") <= 1

    asyncio.run(scenario())


def test_earliest_deadline_goes_first():
    async def scenario():
        queue = make(slots=1, queue=100)
        order = []
        await queue.acquire(request())

        async def one(seconds):
            await queue.acquire(request(seconds=seconds))
            order.append(seconds)
            queue.release()

        tasks = [asyncio.create_task(one(s)) for s in (9.0, 3.0, 6.0)]
        await asyncio.sleep(0)
        queue.release()
        await asyncio.gather(*tasks)
        assert order == [3.0, 6.0, 9.0]

    asyncio.run(scenario())


def test_request_that_would_miss_its_deadline_is_refused_at_once():
    async def scenario():
        queue = make(slots=1, queue=100)
        for _ in range(20):
            queue.limit.record_completion("op", 200.0)
        await queue.acquire(request())
        with pytest.raises(errors.RefusedError) as refused:
            await queue.acquire(request(seconds=0.3))
        assert refused.value.code == results.OVERLOADED

    asyncio.run(scenario())


def test_deadline_that_passes_in_the_queue_frees_the_place():
    async def scenario():
        queue = make(slots=1, queue=10)
        await queue.acquire(request())
        with pytest.raises(errors.RefusedError) as refused:
            await queue.acquire(request(seconds=0.02))
        assert refused.value.code == results.DEADLINE_NOT_RUN
        assert queue.backlog_requests == 1

    asyncio.run(scenario())


@given(
    st.lists(st.sampled_from(["acquire", "release", "cancel"]), max_size=40)
)
def test_cancelled_waiters_leak_no_slot(steps):
    async def scenario():
        queue = make(slots=2, queue=5)
        admitted = []
        waiting = []
        for step in steps:
            if step == "acquire":
                waiting.append(asyncio.create_task(queue.acquire(request())))
            elif step == "release" and admitted:
                admitted.pop()
                queue.release()
            elif step == "cancel" and waiting:
                waiting.pop(0).cancel()
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            for task in [t for t in waiting if t.done()]:
                waiting.remove(task)
                if not task.cancelled() and task.exception() is None:
                    admitted.append(task)
            assert queue.running <= 2
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        done = [t for t in waiting if not t.cancelled()]
        good = [t for t in done if t.exception() is None]
        for _ in [*admitted, *good]:
            queue.release()
        assert queue.backlog_requests == 0

    asyncio.run(scenario())


def test_a_waiter_refused_and_cancelled_at_once_releases_no_slot():
    async def scenario():
        queue = make(slots=1)
        await queue.acquire(request())
        waiting = asyncio.create_task(queue.acquire(request()))
        await asyncio.sleep(0)
        queue.refuse_all(results.STOPPING, "stopping")
        waiting.cancel()
        await asyncio.wait([waiting])
        assert queue.running == 1

    asyncio.run(scenario())

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
from goldcrestproxy.routing import request_limits


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


LIMIT_PER_S = 5.0
WINDOW_S = 4.0
# Requests that a limit allows in a window.
WINDOW_REQUESTS_MAX = 1.5 * LIMIT_PER_S * WINDOW_S + 5


class LimitedQueue:
    """A queue in front of a target with slots, on a clock of its own."""

    def __init__(self):
        self.now_s = 0.0
        self.request_limit = request_limits.RequestLimit()
        limit = concurrency.ConcurrencyLimit(slots=4, cold_concurrency=4)
        limit.limit, limit.cold = 4.0, False
        self.queue = admission.Admission(
            limit, 1000, lambda: self.now_s, self.request_limit
        )
        # Whether the target completes requests.
        self.completes = True
        self.started_s = []
        self.refusals = []
        self.tasks = []

    async def _serve(self):
        try:
            await self.queue.acquire(
                admission.AdmissionRequest(
                    customer="c", operation="op", deadline_s=self.now_s + 60.0
                )
            )
        except errors.RefusedError as error:
            self.refusals.append(error)
            return
        self.started_s.append(self.now_s)
        while not self.completes:
            await asyncio.sleep(0)
        self.queue.release()

    async def run_until(self, end_s, interval_s=0.05):
        while self.now_s < end_s:
            self.now_s += interval_s
            self.tasks.append(asyncio.create_task(self._serve()))
            for _ in range(5):
                await asyncio.sleep(0)

    def most_in_a_window(self):
        return max(
            sum(first <= t < first + WINDOW_S for t in self.started_s)
            for first in self.started_s
        )


def test_requests_queued_at_a_stalled_target_do_not_exceed_its_limit():
    async def scenario():
        target = LimitedQueue()
        target.request_limit.record_answer(LIMIT_PER_S, 0.0)
        await target.run_until(5.0)
        target.completes = False
        await target.run_until(25.0)
        target.completes = True
        await target.run_until(40.0)
        await asyncio.gather(*target.tasks)
        assert target.most_in_a_window() <= WINDOW_REQUESTS_MAX
        late = [t for t in target.started_s if t >= 30.0]
        assert len(late) >= 0.9 * LIMIT_PER_S * 10.0

    asyncio.run(scenario())


def test_limit_that_is_named_binds_the_requests_that_are_queued():
    async def scenario():
        target = LimitedQueue()
        target.completes = False
        await target.run_until(5.0)
        target.request_limit.record_answer(LIMIT_PER_S, target.now_s)
        target.completes = True
        await target.run_until(target.now_s + 0.5)
        await asyncio.gather(*target.tasks)
        late = [t for t in target.started_s if t > 5.0]
        # With those that get a slot in the next half second.
        assert len(late) <= 4
        assert len(target.refusals) >= 90
        for refused in target.refusals:
            assert refused.code == results.OVERLOADED
            assert refused.retry_after_ms > 0

    asyncio.run(scenario())

"""Admission to a target: a bounded queue, fair across customers.

Customers are served in turn; within a customer the earliest deadline goes
first. A request that cannot complete before its deadline is refused on
arrival.
"""

from __future__ import annotations

import asyncio
import collections
import heapq
import itertools
import typing as ty

import attrs

from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import concurrency
from goldcrestproxy.routing import request_limits
from goldcrestproxy.routing import rest_time

RETRY_AFTER_MS_MIN: ty.Final = 50
RETRY_AFTER_MS_MAX: ty.Final = 5_000
# All requests of a target pass through its coordinator.
SENDING_HOSTS: ty.Final = 1


@attrs.frozen(kw_only=True)
class AdmissionRequest:
    """Properties of a request that admission depends on."""

    customer: str
    operation: str
    deadline_s: float


@attrs.frozen(order=True)
class _Waiter:
    deadline_s: float
    sequence: int
    ready: asyncio.Future[None] = attrs.field(order=False)


class Admission:
    """Concurrency limit of a target and the queue in front of it."""

    def __init__(
        self,
        limit: concurrency.ConcurrencyLimit,
        queue_requests_max: int,
        clock: ty.Callable[[], float],
        request_limit: request_limits.RequestLimit | None = None,
        rest: rest_time.RestTime | None = None,
    ) -> None:
        """Create an idle queue.

        :param limit: requests that may run concurrently
        :param queue_requests_max: requests that may wait
        :param clock: returns monotonic time in seconds
        :param request_limit: requests per second that the target takes
        :param rest: time in which the target wants no requests
        """
        self._request_limit = request_limit or request_limits.RequestLimit()
        self._rest = rest or rest_time.RestTime()
        self.limit = limit
        self.running = 0
        self._queue_requests_max = queue_requests_max
        self._clock = clock
        self._sequence_numbers = itertools.count()
        self._waiting: collections.OrderedDict[str, list[_Waiter]] = (
            collections.OrderedDict()
        )
        self._waiting_count = 0

    @property
    def backlog_requests(self) -> int:
        """Number of running and waiting requests."""
        return self.running + self._waiting_count

    async def acquire(self, request: AdmissionRequest) -> None:
        """Wait until the request may run; ``release`` must follow.

        :raises RefusedError: immediately when the target rests, its request
            rate is used up, the queue is full or the request would complete
            too late, when its deadline passes in the queue, and when the
            target rests or has named a lower limit by the time when it could
            run
        """
        if not self._rest.may_send(self._clock()):
            raise self.rest_refusal()
        if not self._has_room(self._waiting_count):
            raise self._rate_refusal(self._waiting_count)
        if not self._waiting_count and self.running < self.limit.allowed:
            self._take()
            return
        self._refuse_if_too_late(request)
        waiter = self._add(request)
        try:
            async with asyncio.timeout(request.deadline_s - self._clock()):
                await waiter.ready
        except TimeoutError:
            self._withdraw(request.customer, waiter)
            raise results.refusal(
                results.DEADLINE_NOT_RUN,
                "the deadline passed in the target's queue",
            ) from None
        except asyncio.CancelledError:
            self._withdraw(request.customer, waiter)
            raise

    def release(self) -> None:
        """Release the slot of an admitted request and admit waiting ones."""
        self.running -= 1
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit waiting requests up to the concurrency limit."""
        while self._waiting_count and self.running < self.limit.allowed:
            waiter = self._pop()
            if waiter.ready.done():
                continue
            if not self._rest.may_send(self._clock()):
                waiter.ready.set_exception(self.rest_refusal())
                continue
            if not self._has_room():
                waiter.ready.set_exception(self._rate_refusal())
                continue
            self._take()
            waiter.ready.set_result(None)

    def refuse_all(self, code: int, text: str) -> None:
        """Refuse all waiting requests immediately."""
        while self._waiting_count:
            waiter = self._pop()
            if not waiter.ready.done():
                waiter.ready.set_exception(results.refusal(code, text))

    def rest_refusal(self) -> errors.RefusedError:
        """Return the refusal of a request for a target that rests."""
        return results.refusal(
            results.OVERLOADED,
            "the target asked for rest",
            max(RETRY_AFTER_MS_MIN, self._rest.retry_after_ms(self._clock())),
        )

    def refuse_resting(self) -> None:
        """Refuse all waiting requests, as the target rests."""
        refusal = self.rest_refusal()
        while self._waiting_count:
            waiter = self._pop()
            if not waiter.ready.done():
                waiter.ready.set_exception(refusal)

    def expected_wait_ms(self, operation: str) -> float:
        """Estimate how long a request that arrives now would wait."""
        baseline_ms = self.limit.baseline_ms(operation)
        rounds = (self.backlog_requests + 1) / self.limit.allowed - 1
        return max(0.0, rounds) * baseline_ms

    def _has_room(self, waiting: int = 0) -> bool:
        """Whether the target's request rate leaves room for a request.

        :param waiting: requests that are to run before it
        """
        return self._request_limit.has_room(
            self._clock(), SENDING_HOSTS, waiting
        )

    def _rate_refusal(self, waiting: int = 0) -> errors.RefusedError:
        return results.refusal(
            results.OVERLOADED,
            f"the target takes {self._request_limit.limit_per_s} requests a "
            "second",
            max(
                RETRY_AFTER_MS_MIN,
                self._request_limit.retry_after_ms(
                    self._clock(), SENDING_HOSTS, waiting
                ),
            ),
        )

    def _take(self) -> None:
        """Count a request that runs now."""
        self._request_limit.take(self._clock(), SENDING_HOSTS)
        self.running += 1

    def _refuse_if_too_late(self, request: AdmissionRequest) -> None:
        remaining_ms = (request.deadline_s - self._clock()) * 1000
        wait_ms = self.expected_wait_ms(request.operation)
        queue_full = self._waiting_count >= self._queue_requests_max
        if not queue_full and wait_ms + self.limit.baseline_ms(
            request.operation
        ) < max(remaining_ms, 0.0):
            return
        retry_after_ms = int(
            min(max(wait_ms, RETRY_AFTER_MS_MIN), RETRY_AFTER_MS_MAX)
        )
        reason = (
            "the queue is full" if queue_full else "the deadline is too near"
        )
        raise results.refusal(
            results.OVERLOADED,
            f"{reason}: {self._waiting_count} requests wait",
            retry_after_ms,
        )

    def _add(self, request: AdmissionRequest) -> _Waiter:
        waiter = _Waiter(
            request.deadline_s,
            next(self._sequence_numbers),
            asyncio.get_running_loop().create_future(),
        )
        heapq.heappush(self._waiting.setdefault(request.customer, []), waiter)
        self._waiting_count += 1
        return waiter

    def _pop(self) -> _Waiter:
        """Remove the next customer's request with the earliest deadline."""
        customer, heap = next(iter(self._waiting.items()))
        waiter = heapq.heappop(heap)
        self._waiting_count -= 1
        if heap:
            self._waiting.move_to_end(customer)
        else:
            del self._waiting[customer]
        return waiter

    def _withdraw(self, customer: str, waiter: _Waiter) -> None:
        """Remove a waiting request, or release the slot it was just given."""
        heap = self._waiting.get(customer, [])
        if waiter not in heap:
            ready = waiter.ready
            if not ready.cancelled() and ready.exception() is None:
                self.release()
            return
        heap.remove(waiter)
        heapq.heapify(heap)
        self._waiting_count -= 1
        if not heap:
            del self._waiting[customer]

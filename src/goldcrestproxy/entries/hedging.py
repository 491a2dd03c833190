"""Hedged requests: a second attempt at another target if the first is slow.

Only for idempotent requests of pool desks whose body is buffered. The first
successful answer is returned and the other attempt is cancelled.
"""

from __future__ import annotations

import asyncio
import typing as ty

from goldcrestproxy.entries import attempt as attempts
from goldcrestproxy.entries import caller_request
from goldcrestproxy.routing import quantile

Attempt = ty.Callable[[], ty.Awaitable[caller_request.RoutedAnswer]]
# With a shorter delay, network latency alone would cause second attempts.
DELAY_MS_MIN: ty.Final = 5.0


class HedgeDelays:
    """Estimates the delay before a second attempt for each operation.

    The delay is the quantile of durations that the desk's settings name.
    """

    def __init__(self) -> None:
        """Create an estimator without samples."""
        self._estimates: dict[tuple[str, str], quantile.QuantileEstimate] = {}

    def record(self, plan: attempts.RequestPlan, duration_ms: float) -> None:
        """Record the duration of an attempt that was answered."""
        self._estimate(plan).record(max(duration_ms, 0.01))

    def delay_ms(self, plan: attempts.RequestPlan) -> float | None:
        """Return the delay of the second attempt, None for no second one."""
        desk = plan.classified.desk
        if desk.kind != "pool" or not plan.may_repeat:
            return None
        if desk.hedge_quantile >= 1 or not plan.body.complete:
            return None
        value = self._estimate(plan).read()
        return None if value is None else max(value, DELAY_MS_MIN)

    def _estimate(
        self, plan: attempts.RequestPlan
    ) -> quantile.QuantileEstimate:
        name = (plan.classified.desk_name, plan.classified.route.operation)
        estimate = self._estimates.get(name)
        if estimate is None:
            estimate = quantile.QuantileEstimate(
                quantile=plan.classified.desk.hedge_quantile
            )
            self._estimates[name] = estimate
        return estimate


async def hedge(
    first: Attempt,
    delay_ms: float,
    choose_second: ty.Callable[[], Attempt | None],
) -> caller_request.RoutedAnswer:
    """Run an attempt, and a second one if the first takes too long.

    :param choose_second: returns the second attempt, None for no second one
    :raises AttemptFailed: when no attempt succeeded
    """
    running = {asyncio.ensure_future(first())}
    try:
        done, _ = await asyncio.wait(running, timeout=delay_ms / 1000)
        if not done:
            second = choose_second()
            if second is not None:
                running.add(asyncio.ensure_future(second()))
        return await _first_good(running)
    finally:
        for task in running:
            task.cancel()
        await asyncio.wait(running)


async def _first_good(
    running: set[asyncio.Future[caller_request.RoutedAnswer]],
) -> caller_request.RoutedAnswer:
    """Return the first successful answer, or raise the last failure."""
    pending = set(running)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        # A refusal may come in the same turn of the event loop as an answer.
        answered = [task for task in done if task.exception() is None]
        if answered:
            return answered[0].result()
        if not pending:
            return next(iter(done)).result()

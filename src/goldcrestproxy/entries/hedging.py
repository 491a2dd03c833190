"""A second attempt beside a slow first one, at another target.

Only for idempotent requests of pool desks whose body is held. The first good
answer counts and the other attempt is cancelled.
"""

from __future__ import annotations

import asyncio
import typing as ty

from goldcrestproxy.entries import attempt as attempts
from goldcrestproxy.entries import caller_request
from goldcrestproxy.routing import quantile

Attempt = ty.Callable[[], ty.Awaitable[caller_request.RoutedAnswer]]
# Shorter waits would hedge what the network alone delays.
DELAY_MS_MIN: ty.Final = 5.0


class HedgeDelays:
    """After how long a request of each operation is worth a second try."""

    def __init__(self) -> None:
        """Start without any measure."""
        self._estimates: dict[tuple[str, str], quantile.QuantileEstimate] = {}

    def record(self, plan: attempts.RequestPlan, duration_ms: float) -> None:
        """Take the duration of an attempt that nothing cut short."""
        self._estimate(plan).take(max(duration_ms, 0.01))

    def delay_ms(self, plan: attempts.RequestPlan) -> float | None:
        """Return the wait before a second attempt, None for none."""
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
    """Run an attempt, and another one when the first takes too long.

    :param choose_second: returns the other attempt, None when there is none
    :raises AttemptFailed: when no attempt was answered
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
    """Return the first good answer, or raise the last failure."""
    pending = set(running)
    while True:
        done, pending = await asyncio.wait(
            pending, return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if task.exception() is None or not pending:
                return task.result()

"""Hedged attempts and the quantile estimate of their delay."""

from __future__ import annotations

import asyncio
import random

import pytest

from goldcrestproxy.entries import attempt as attempts
from goldcrestproxy.entries import hedging
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import quantile


def answer_after(seconds, name, log):
    async def run():
        log.append(name)
        try:
            await asyncio.sleep(seconds)
        except asyncio.CancelledError:
            log.append(f"{name} cancelled")
            raise
        return name

    return run


def fail_after(seconds):
    async def run():
        await asyncio.sleep(seconds)
        raise attempts.AttemptFailed(
            results.refusal(results.TARGET_UNREACHABLE, "gone"), 0
        )

    return run


def hedge(first, second, delay_ms=20):
    return asyncio.run(hedging.hedge(first, delay_ms, lambda: second))


def test_quick_answer_is_not_hedged():
    log = []
    answer = hedge(answer_after(0, "one", log), answer_after(0, "two", log))
    assert answer == "one" and log == ["one"]


def test_slow_attempt_is_cancelled_when_the_second_answers():
    log = []
    answer = hedge(answer_after(9, "one", log), answer_after(0, "two", log))
    assert answer == "two"
    assert log == ["one", "two", "one cancelled"]


def test_first_attempt_is_awaited_without_another_target():
    log = []
    assert hedge(answer_after(0.05, "one", log), None) == "one"


def test_other_attempt_is_awaited_after_one_failure():
    log = []
    assert hedge(fail_after(0.03), answer_after(0.1, "two", log)) == "two"
    assert hedge(answer_after(0.1, "one", log), fail_after(0.01)) == "one"


def test_failure_of_both_attempts_is_raised():
    with pytest.raises(errors.GoldcrestProxyError):
        hedge(fail_after(0.03), fail_after(0.03))


@pytest.mark.parametrize("share", [0.5, 0.9, 0.95])
def test_estimate_converges_to_the_quantile(share):
    rng = random.Random(4)
    estimate = quantile.QuantileEstimate(quantile=share)
    values = [rng.lognormvariate(2.0, 0.5) for _ in range(20_000)]
    below = 0
    for value in values:
        below += value < (estimate.read() or 0.0)
        estimate.record(value)
    assert abs(below / len(values) - share) < 0.02


def test_estimate_is_empty_with_too_few_values():
    estimate = quantile.QuantileEstimate(quantile=0.9)
    for _ in range(quantile.SAMPLES_MIN - 1):
        estimate.record(1.0)
    assert estimate.read() is None


def test_an_answer_is_not_lost_to_a_refusal_at_the_same_moment():
    async def scenario():
        good = asyncio.get_running_loop().create_future()
        refused = asyncio.get_running_loop().create_future()
        good.set_result("answer")
        refused.set_exception(
            attempts.AttemptFailed(
                results.refusal(results.OVERLOADED, "full"), 0
            )
        )
        return await hedging._first_good({good, refused})

    # The order of a set of futures is arbitrary.
    assert {asyncio.run(scenario()) for _ in range(50)} == {"answer"}

"""Adaptive concurrency limit of a target."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from goldcrestproxy.routing import concurrency


def warm_limit(slots=4):
    limit = concurrency.ConcurrencyLimit(slots=slots, cold_concurrency=1)
    for _ in range(60):
        limit.record_completion("op", 10.0)
    return limit


def test_cold_target_starts_at_one_and_warms_with_completed_requests():
    limit = concurrency.ConcurrencyLimit(slots=4, cold_concurrency=1)
    assert limit.allowed == 1 and limit.cold
    steps = []
    for _ in range(30):
        limit.record_completion("op", 10.0)
        steps.append(limit.allowed)
    assert steps == sorted(steps)
    assert steps[0] <= 2 and steps[-1] == 4
    assert not limit.cold


def test_sudden_slowness_means_cold_again():
    limit = warm_limit()
    for _ in range(concurrency.JUMPS_BEFORE_RESET):
        limit.record_completion("op", 500.0)
    assert limit.cold and limit.allowed == 1


def test_single_slow_answer_changes_nothing():
    limit = warm_limit()
    limit.record_completion("op", 500.0)
    limit.record_completion("op", 10.0)
    limit.record_completion("op", 500.0)
    assert limit.allowed == 4


def test_each_operation_has_its_own_baseline():
    limit = warm_limit()
    for _ in range(30):
        limit.record_completion("report", 900.0)
    assert limit.allowed == 4


def test_previously_warm_target_starts_with_half_of_its_slots():
    limit = concurrency.ConcurrencyLimit(
        slots=4, cold_concurrency=1, previously_warm=True
    )
    assert limit.allowed == 2 and limit.cold


@given(
    st.lists(
        st.one_of(
            st.floats(0, 5000),
            st.sampled_from(["cold", "timeout"]),
        ),
        max_size=200,
    ),
    st.integers(1, 20),
    st.integers(1, 5),
)
def test_limit_stays_within_its_bounds(events, slots, cold):
    limit = concurrency.ConcurrencyLimit(slots=slots, cold_concurrency=cold)
    for event in events:
        before = limit.allowed
        if event == "cold":
            limit.reset_to_cold()
            assert limit.allowed == min(cold, slots)
        elif event == "timeout":
            limit.record_timeout()
        else:
            limit.record_completion("op", event)
        assert 1 <= limit.allowed <= slots
        assert limit.allowed <= before + 1


def test_resets_of_a_busy_target_lower_the_limit_and_answers_raise_it():
    limit = warm_limit(slots=10)
    limit.record_reset(1)
    assert limit.allowed == 10
    limit.record_reset(8)
    assert limit.allowed == 6
    limit.record_reset(20)
    assert limit.allowed == 6
    for _ in range(60):
        limit.record_completion("op", 10.0)
    assert limit.allowed == 10

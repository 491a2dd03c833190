"""Retries, budgets, selection in pools, hot keys and classification."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

import deployments
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import classification
from goldcrestproxy.routing import partitions
from goldcrestproxy.routing import power_of_two
from goldcrestproxy.routing import rates
from goldcrestproxy.routing import retries
from goldcrestproxy.routing import retry_budget
from goldcrestproxy import settings

CODES = st.sampled_from(sorted(results.BY_CODE))


@given(CODES, st.booleans(), st.booleans(), st.floats(-1, 9), st.booleans())
def test_non_idempotent_requests_are_repeated_only_if_not_run(
    code, keyed, held, left_s, budget_left
):
    decision = retries.decide(
        code=code,
        keyed=keyed,
        idempotent=False,
        body_replayable=held,
        time_left_s=left_s,
        take_budget=lambda: budget_left,
    )
    if isinstance(decision, retries.GiveUp):
        return
    assert results.BY_CODE[code].outcome is results.Outcome.NOT_RUN
    assert held and left_s > 0


@given(CODES, st.booleans(), st.booleans())
def test_without_budget_no_further_attempt_is_made(code, keyed, idempotent):
    decision = retries.decide(
        code=code,
        keyed=keyed,
        idempotent=idempotent,
        body_replayable=True,
        time_left_s=1.0,
        take_budget=lambda: False,
    )
    assert not isinstance(decision, retries.Retry)


def test_retries_are_limited_to_a_share_of_requests():
    tokens = retry_budget.RetryTokenBucket.of(
        settings.RetryBudget(share=0.1, burst_requests=5)
    )
    taken = 0
    for _ in range(1000):
        tokens.record_request()
        taken += tokens.take()
    assert taken <= 1000 * 0.1 + 5


def test_slow_target_loses_traffic_and_regains_it():
    rng = random.Random(1)
    measurements = {
        f"t{n}": power_of_two.TargetMeasurements(slots=4) for n in range(6)
    }

    def slow_share(slow_ms, start_s):
        count = 0
        for step in range(600):
            now_s = start_s + step * 0.01
            name = power_of_two.choose_target(measurements, now_s, rng)
            measurements[name].record_start()
            duration = slow_ms if name == "t0" else 10.0
            measurements[name].record_answer(now_s, duration, 1)
            count += step >= 100 and name == "t0"
        return count / 500

    slow_share(10.0, 0.0)
    assert slow_share(100.0, 10.0) < 0.02
    assert slow_share(10.0, 20.0) > 0.1


def test_choice_among_no_targets_and_one():
    rng = random.Random(1)
    assert power_of_two.choose_target({}, 0.0, rng) is None
    assert (
        power_of_two.choose_target(
            {"t": power_of_two.TargetMeasurements()}, 0.0, rng
        )
        == "t"
    )


def test_sketch_finds_the_hot_key_in_bounded_memory():
    sketch = rates.HotKeySketch()
    rng = random.Random(2)
    for _ in range(20_000):
        hot = rng.random() < 0.2
        sketch.count(7 if hot else rng.randrange(1_000, 100_000))
    found = sketch.read(1.0)
    assert len(found) <= rates.SKETCH_KEYS
    assert max(found, key=found.get) == 7
    assert 3_000 < found[7] <= 4_300


def make_classifier():
    checked = settings.check_deployment(deployments.document(), "test")
    return classification.RequestClassifier(checked)


def test_request_is_classified():
    found = make_classifier().classify(
        "GET", "/kisvaros/pitches/pitches/A%207?day=sunday"
    )
    assert found.key == "A 7"
    assert found.route.operation == "lookup"
    assert found.path == "/pitches/A%207?day=sunday"


@pytest.mark.parametrize(
    ("method", "target", "code"),
    [
        ("GET", "/nobody/pitches/pitches/1", results.UNKNOWN_CUSTOMER),
        ("GET", "/kisvaros/desk/pitches/1", results.UNKNOWN_DESK),
        ("GET", "/kisvaros/pitches/stalls/1", results.UNKNOWN_ROUTE),
        ("PUT", "/kisvaros/pitches/pitches/1", results.UNKNOWN_ROUTE),
        ("GET", "/kisvaros", results.BAD_REQUEST),
        ("GET", "*", results.BAD_REQUEST),
        (
            "GET",
            "/kisvaros/pitches/pitches/" + "k" * 257,
            results.KEY_TOO_LONG,
        ),
    ],
)
def test_unmatched_request_is_refused(method, target, code):
    with pytest.raises(errors.RefusedError) as refused:
        make_classifier().classify(method, target)
    assert refused.value.code == code


@given(st.text(), st.text(), st.text(), st.text())
def test_keys_of_different_customers_differ(one, first, two, second):
    if (one, first) != (two, second):
        assert partitions.key_hash(one, first) != partitions.key_hash(
            two, second
        )


@given(st.text(max_size=50))
def test_any_path_is_classified_or_refused(text):
    try:
        make_classifier().classify("GET", text)
    except errors.RefusedError as refused:
        assert refused.code in results.BY_CODE

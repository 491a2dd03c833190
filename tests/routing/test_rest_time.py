from __future__ import annotations

import pytest

from goldcrestproxy.platform import conventions
from goldcrestproxy.routing import fleet_retries
from goldcrestproxy.routing import leaving
from goldcrestproxy.routing import rest_time


def resting(rest_ms=3000.0):
    rest = rest_time.RestTime()
    rest.record_request_to_rest(rest_ms, 10.0)
    return rest


def test_nothing_is_sent_until_the_rest_is_over():
    rest = resting()
    sent = [ms for ms in range(0, 3000, 10) if rest.may_send(10 + ms / 1000)]
    assert sent == []
    assert rest.retry_after_ms(11.0) == 2000
    assert rest.may_send(13.0)


def test_one_request_goes_first_after_a_rest():
    rest = resting()
    assert rest.take(13.0, answer_s=0.3)
    assert not rest.take(13.1, answer_s=0.3)
    assert rest.retry_after_ms(13.1) == rest_time.PROBE_RETRY_AFTER_MS
    rest.record_answer(13.2)
    assert rest.take(13.2, answer_s=0.3)
    assert rest.take(13.2, answer_s=0.3)


def test_another_request_goes_if_the_first_is_not_answered():
    rest = resting()
    assert rest.take(13.0, answer_s=0.3)
    assert rest.take(13.3, answer_s=0.3)


def test_answers_to_earlier_requests_do_not_end_a_rest():
    rest = resting()
    rest.record_answer(10.1)
    assert not rest.may_send(10.2)
    rest.record_request_to_rest(100.0, 10.2)
    assert not rest.may_send(12.9)


def test_an_endless_rest_ends_with_a_request_now_and_then():
    rest = resting(1e12)
    assert not rest.may_send(10.0 + rest_time.REST_S_MAX - 1)
    assert rest.may_send(10.0 + rest_time.REST_S_MAX)


@pytest.mark.parametrize(
    ("value", "rest_ms"),
    [
        ("3", 3000),
        (" 0.25 ", 250),
        ("0", 0),
        ("", 0),
        ("-1", 0),
        ("soon", 0),
        ("1e9", 0),
        ("Fri, 04 Dec 2026 16:00:00 GMT", 0),
        ("9" * 400, 0),
        ("7200", 7_200_000),
    ],
)
def test_retry_after_of_a_target_is_read_in_seconds(value, rest_ms):
    assert conventions.read_rest_ms(503, value) == rest_ms
    assert conventions.read_rest_ms(429, value) == 0


def may_retry(*, keyed):
    taken = []
    return fleet_retries.may_retry(
        fleet_retries.NotRun(text="", refused=True, rest_ms=3000.0),
        idempotent=True,
        keyed=keyed,
        body_replayable=True,
        attempts=1,
        attempts_max=2,
        time_left_s=1.0,
        take_budget=lambda: not taken.append(1),
    )


def test_the_owner_that_asked_for_rest_is_not_asked_again():
    assert not may_retry(keyed=True)
    assert may_retry(keyed=False)


def test_keys_stay_when_many_targets_rest():
    assert rest_time.may_move_keys(1, 4)
    assert rest_time.may_move_keys(5, 21)
    assert not rest_time.may_move_keys(6, 21)
    assert not rest_time.may_move_keys(1, 2)


def test_the_owner_of_a_key_serves_it_for_half_of_its_drain_time():
    grace_s = leaving.keyed_grace_s(500.0)
    assert leaving.may_send(None, 10.0, keyed=True, grace_s=grace_s)
    assert leaving.may_send(10.0, 10.24, keyed=True, grace_s=grace_s)
    assert not leaving.may_send(10.0, 10.25, keyed=True, grace_s=grace_s)
    assert not leaving.may_send(10.0, 10.0, keyed=False, grace_s=grace_s)

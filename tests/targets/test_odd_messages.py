"""Messages of other writers in the own target protocol are refused."""

from __future__ import annotations

import json

import pytest

from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.targets import protocol

ANNOUNCEMENT = {
    "target": "t",
    "incarnation": "i",
    "zone": "zone-a",
    "desk": "pitches",
    "address": "127.0.0.1:9",
    "slots": 4,
}
GRANT_ANSWER = {"incarnation": "i", "clock_ms": 5, "order": 1}
DEEP = b"[" * 100_000


def test_valid_messages_are_read():
    announced = protocol.read_announcement(json.dumps(ANNOUNCEMENT).encode())
    assert announced.slots == 4
    answer = protocol.read_grant_answer(json.dumps(GRANT_ANSWER).encode())
    assert answer.clock_ms == 5


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("slots", 1 << 31),
        ("slots", 10**400),
        ("address", "127.0.0.1:" + "9" * 5_000),
        ("address", "127.0.0.1:65536"),
        ("address", "127.0.0.1:\u0669"),
        ("zone", json.loads("[" * 300 + "]" * 300)),
    ],
)
def test_an_odd_announcement_is_refused(name, value):
    body = json.dumps({**ANNOUNCEMENT, name: value}).encode()
    with pytest.raises(errors.RefusedError) as refused:
        protocol.read_announcement(body)
    assert refused.value.code == results.BAD_ANNOUNCEMENT


def test_an_announcement_that_is_nested_deeply_is_refused():
    with pytest.raises(errors.RefusedError):
        protocol.read_announcement(DEEP)


@pytest.mark.parametrize(
    "body",
    [
        DEEP,
        json.dumps({**GRANT_ANSWER, "clock_ms": 10**400}).encode(),
        json.dumps({**GRANT_ANSWER, "order": 1 << 63}).encode(),
        json.dumps({**GRANT_ANSWER, "limit_per_s": float("nan")}).encode(),
        json.dumps({**GRANT_ANSWER, "limit_per_s": 10**400}).encode(),
    ],
)
def test_an_odd_answer_to_an_order_is_a_failure_of_that_target(body):
    with pytest.raises(errors.WireError):
        protocol.read_grant_answer(body)

"""Requests that crashed targets are told from others before they are sent."""

from __future__ import annotations

import asyncio
import random

import attrs
import pytest

from goldcrestproxy import entries
from goldcrestproxy.entries import body_identity
from goldcrestproxy.entries import dispatch_state
from goldcrestproxy.entries import replay
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy import wire

LONG_BYTES = 100_000
DEADLY = random.Random(1).randbytes(LONG_BYTES)
OTHER = random.Random(2).randbytes(LONG_BYTES)
ANSWER = entries.FleetAnswer(status=200, headers=(), body=b"done")
REQUEST = entries.FleetRequest(
    request_id="r1",
    method="POST",
    host="a.example",
    request_target="/x/1",
    headers=(),
    key=5,
    body=None,
    body_bytes=LONG_BYTES,
    deadline_ms=500,
)


@attrs.define
class FakeFleet:
    """The part of a fleet map that tells which requests are suspected."""

    quarantined: set = attrs.field(factory=set)
    suspected: set = attrs.field(factory=set)
    cleared: list = attrs.field(factory=list)

    @property
    def has_suspects(self):
        return bool(self.suspected)

    def clear_suspicion(self, fingerprint):
        if fingerprint in self.suspected:
            self.cleared.append(fingerprint)
        return fingerprint in self.suspected


@pytest.fixture
def fleet():
    return FakeFleet()


@pytest.fixture
def suspects(fleet):
    return entries.Suspects(
        fleet, entries.DispatchRefusals(random.Random(1)), lambda: 1.0
    )


def fingerprint_of(body, request=REQUEST):
    body_hash = body_identity.BodyHash()
    body_hash.update(body)
    return request.fingerprint(body_hash.identity(ended=True))


def state_of(pipe, request=REQUEST, budget=None):
    return dispatch_state.DispatchState(
        request=request,
        named_route=None,
        service="s",
        deadline_s=2.0,
        body=replay.ReplayableBody(pipe, budget or wire.BufferBudget()),
    )


def pipe_of(body, *, ended=True):
    pipe = wire.Pipe(1 << 30, wire.BufferBudget())
    for start in range(0, len(body), 16_384):
        pipe.feed(body[start : start + 16_384])
    if ended:
        pipe.finish()
    return pipe


@pytest.mark.parametrize("body_bytes", [LONG_BYTES, -1])
def test_a_long_upload_that_crashed_targets_is_refused_and_others_are_not(
    fleet, suspects, body_bytes
):
    """Guards against long bodies that are no part of a fingerprint."""
    request = attrs.evolve(REQUEST, body_bytes=body_bytes)
    fleet.quarantined.add(fingerprint_of(DEADLY))

    async def scenario():
        other = state_of(pipe_of(OTHER), request)
        await suspects.refuse_quarantined(other)
        assert suspects.may_send(other)
        attempt = wire.Pipe(1 << 30, wire.BufferBudget())
        other.body.feed(attempt)
        assert await attempt.read_all(LONG_BYTES) == OTHER
        with pytest.raises(errors.RefusedError) as refused:
            await suspects.refuse_quarantined(
                state_of(pipe_of(DEADLY), request)
            )
        assert refused.value.code == results.QUARANTINED

    asyncio.run(scenario())


def test_answers_to_other_long_uploads_do_not_clear_a_suspect(fleet, suspects):
    """Guards against an upload that is cleared by each answer to another."""
    fleet.suspected.add(fingerprint_of(DEADLY))

    async def answer(body):
        state = state_of(pipe_of(body))
        await state.body.identify()
        suspects.record_answer(state, ANSWER)

    asyncio.run(answer(OTHER))
    assert fleet.cleared == []
    asyncio.run(answer(DEADLY))
    assert fleet.cleared == [fingerprint_of(DEADLY)]


def test_an_answer_before_the_body_has_arrived_clears_nothing(fleet, suspects):
    """Guards against unread bodies that count as empty ones."""
    request = attrs.evolve(REQUEST, body_bytes=-1)
    fleet.suspected.add(request.fingerprint(body_identity.NoBody()))

    async def scenario():
        suspects.record_answer(state_of(wire.Pipe(), request), ANSWER)

    asyncio.run(scenario())
    assert not fleet.cleared


@pytest.mark.parametrize(
    "deadly",
    [
        fingerprint_of(DEADLY, attrs.evolve(REQUEST, request_target="/y/1")),
        fingerprint_of(b"short"),
    ],
)
def test_a_long_upload_that_cannot_match_is_sent_before_it_has_arrived(
    fleet, suspects, deadly
):
    fleet.quarantined.add(deadly)

    async def scenario():
        state = state_of(pipe_of(OTHER[:80_000], ended=False))
        async with asyncio.timeout(5):
            await suspects.refuse_quarantined(state)
        assert suspects.may_send(state)

    asyncio.run(scenario())


@pytest.mark.parametrize("body", [DEADLY, b"deadly"])
def test_a_quarantine_that_comes_before_the_body_is_read_holds_it_back(
    fleet, suspects, body
):
    """Guards against requests that chose their target before a crash."""
    request = attrs.evolve(REQUEST, body_bytes=len(body))

    async def scenario():
        state = state_of(pipe_of(body), request)
        await suspects.refuse_quarantined(state)
        assert suspects.may_send(state)
        fleet.quarantined.add(fingerprint_of(body, request))
        assert not suspects.may_send(state)
        with pytest.raises(errors.RefusedError) as refused:
            await suspects.refuse_quarantined(state)
        assert refused.value.code == results.QUARANTINED

    asyncio.run(scenario())


def test_a_suspicious_upload_without_room_for_it_is_refused_as_not_run(
    fleet, suspects
):
    fleet.quarantined.add(fingerprint_of(DEADLY))

    async def scenario():
        full = wire.BufferBudget(limit_bytes=1)
        full.take(1)
        with pytest.raises(errors.RefusedError) as refused:
            await suspects.refuse_quarantined(
                state_of(pipe_of(OTHER), budget=full)
            )
        assert refused.value.code == results.OVERLOADED
        assert refused.value.retry_after_ms > 0

    asyncio.run(scenario())

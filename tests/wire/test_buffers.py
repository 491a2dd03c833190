"""The sum of what the bodies of all requests hold in memory."""

from __future__ import annotations

import asyncio

import pytest

from goldcrestproxy.entries import body_identity
from goldcrestproxy.entries import replay
from goldcrestproxy import wire

CHUNK = b"x" * 16_384


@pytest.fixture
def budget():
    return wire.BufferBudget(limit_bytes=4 * len(CHUNK))


def exhaust(budget):
    """Return a pipe that holds all that the budget allows."""
    pipe = wire.Pipe(budget=budget)
    while not budget.exhausted:
        pipe.feed(CHUNK)
    return pipe


def test_what_is_read_failed_or_dropped_is_given_back(budget):
    """Guards against a budget that shrinks with each request."""
    read = wire.Pipe(budget=budget)
    failed = wire.Pipe(budget=budget)
    dropped = wire.Pipe(budget=budget)
    for pipe in (read, failed, dropped):
        pipe.feed(CHUNK)
    assert budget.used_bytes == 3 * len(CHUNK)
    assert read.read_nowait() == CHUNK
    failed.fail(ValueError("broken"))
    del dropped, pipe
    assert budget.used_bytes == 0
    with pytest.raises(ValueError, match="broken"):
        failed.read_nowait()


def test_pipes_hold_little_while_all_together_hold_too_much(budget):
    """Guards against hosts that run out of memory for many slow bodies."""
    first = exhaust(budget)
    second = wire.Pipe(budget=budget)
    assert not second.full
    while not second.full:
        second.feed(CHUNK)
    assert second.buffered_bytes <= wire.BUFFER_BYTES_MIN
    while first.buffered_bytes:
        first.read_nowait()
    while second.buffered_bytes > 3 * len(CHUNK):
        second.read_nowait()
    assert not second.full


def test_a_body_goes_on_while_the_budget_is_exhausted(budget):
    """Guards against bodies that wait for those of other requests."""

    async def scenario():
        others = exhaust(budget)
        pipe = wire.Pipe(budget=budget)

        async def write():
            for _ in range(50):
                await pipe.put(CHUNK)
            pipe.finish()

        writing = asyncio.create_task(write())
        async with asyncio.timeout(5):
            assert await pipe.read_all(1 << 30) == CHUNK * 50
            await writing
        assert others.buffered_bytes

    asyncio.run(scenario())


@pytest.mark.parametrize("chunks", [1, 3, 4, 5, 20])
@pytest.mark.parametrize("exhausted", [True, False])
def test_a_request_body_arrives_whole_whatever_is_buffered(
    budget, chunks, exhausted
):
    """Guards against a body without the part that was read ahead."""

    async def scenario():
        others = exhaust(budget) if exhausted else None
        source = wire.Pipe(1 << 30, wire.BufferBudget())
        sent = b"".join(bytes([n]) * len(CHUNK) for n in range(chunks))
        for start in range(0, len(sent), len(CHUNK)):
            source.feed(sent[start : start + len(CHUNK)])
        source.finish()
        body = replay.ReplayableBody(source, budget)
        await body.read_ahead()
        attempt = wire.Pipe(budget=budget)
        body.feed(attempt)
        async with asyncio.timeout(5):
            assert await attempt.read_all(1 << 30) == sent
        if len(sent) <= body_identity.SHORT_BODY_BYTES_MAX:
            assert body.complete
            body_hash = body_identity.BodyHash()
            body_hash.update(sent)
            assert body.identity == body_hash.identity(ended=True)
        del body, others
        await asyncio.sleep(0)

    asyncio.run(scenario())
    assert budget.used_bytes == 0

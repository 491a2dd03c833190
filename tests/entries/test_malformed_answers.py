"""A malformed answer reaches no caller, and tells nothing of its request."""

from __future__ import annotations

import asyncio
import time

import attrs
import hypothesis
from hypothesis import strategies as st
import malformed_answers as malformed
import pytest
import test_early_answers
import test_sending

from goldcrestproxy.entries import sending
from goldcrestproxy.routing import fleet_retries

LEFT_S = 2.0
LONG_BODY = bytes(200_000)


def answering(raw_answer, *, pieces=False, reused=False):
    """Respond with an answer, whole or byte by byte, and close.

    :param reused: write a sound answer to the first request
    """

    async def respond(server, number, reader, writer):
        if reused and len(server.requests) == 1:
            writer.write(malformed.with_length(malformed.LENGTH))
            return True
        size = 1 if pieces else len(raw_answer)
        for at in range(0, len(raw_answer), size):
            writer.write(raw_answer[at : at + size])
            await writer.drain()
            await asyncio.sleep(0)
        return False

    return respond


def read(raw_answer, request=test_sending.REQUEST, **options):
    """Return the body of a whole answer, None if there is none."""
    bodies = []

    async def scenario(attempts):
        async with asyncio.timeout(LEFT_S + 1):
            for _ in range(1 + options.get("reused", False)):
                bodies.append(
                    await test_early_answers.read_whole(attempts, request)
                )

    test_sending.run(answering(raw_answer, **options), scenario)
    return bodies[-1]


@pytest.mark.parametrize("pieces", [False, True])
@pytest.mark.parametrize("raw_answer", malformed.ANSWERS)
def test_a_malformed_answer_is_no_answer(raw_answer, pieces):
    assert read(raw_answer, pieces=pieces) is None


@pytest.mark.parametrize("raw_answer", malformed.ANSWERS)
def test_a_malformed_answer_on_a_kept_connection_is_no_answer(raw_answer):
    assert read(raw_answer, reused=True) is None


@pytest.mark.parametrize("pieces", [False, True])
@pytest.mark.parametrize("raw_answer", malformed.SOUND)
def test_a_sound_answer_is_whole(raw_answer, pieces):
    assert read(raw_answer, pieces=pieces) == malformed.BODY


@pytest.mark.parametrize("raw_answer", malformed.REFUSALS)
def test_a_malformed_refusal_does_not_say_that_nothing_ran(raw_answer):
    async def scenario(attempts):
        match await attempts.failure(LEFT_S):
            case fleet_retries.MaybeRun():
                pass
            case failure:
                pytest.fail(f"{failure} of {raw_answer!r}")

    test_sending.run(answering(raw_answer), scenario)


@pytest.mark.parametrize("method", ["HEAD", "POST"])
@pytest.mark.parametrize("raw_answer", malformed.HEADS)
def test_a_malformed_head_is_no_answer_to_other_methods(raw_answer, method):
    request = attrs.evolve(test_sending.REQUEST, method=method)
    body = read(raw_answer, request)
    if method == "HEAD" and raw_answer in malformed.LOST_LENGTHS:
        assert body == b""
    elif method == "HEAD" and raw_answer in malformed.CONTINUATIONS:
        assert body in (b"", None)
    else:
        assert body is None


@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", 200), ("GET", 204), ("GET", 304)]
)
@pytest.mark.parametrize(
    "field", [b"Content-Length: 28", malformed.CHUNKED.strip(), b"X: y"]
)
def test_a_sound_answer_without_a_body_is_whole(method, status, field):
    request = attrs.evolve(test_sending.REQUEST, method=method)
    head = b"HTTP/1.1 %d X\r\nAttempt-Id: r1\r\n%b\r\n\r\n" % (status, field)
    assert read(head, request) == b""


def test_one_malformed_answer_keeps_no_other_request_from_its_target():
    async def scenario(attempts):
        await attempts.failure(LEFT_S)
        assert not attempts.target.stats.is_backing_off(time.monotonic())
        for _ in range(10):
            await attempts.failure(LEFT_S)
        assert attempts.target.stats.is_backing_off(time.monotonic())

    test_sending.run(answering(malformed.with_length(b"-2")), scenario)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("raw_answer", malformed.HEADS)
def test_a_malformed_head_during_an_upload_is_no_answer(raw_answer, chunked):
    async def scenario(attempts):
        pipe, request = test_early_answers.upload(chunked=chunked)
        writing = asyncio.create_task(test_early_answers.write_slowly(pipe))
        assert await test_early_answers.read_whole(attempts, request) is None
        writing.cancel()

    test_sending.run(answering(raw_answer), scenario)


def test_a_long_body_with_a_malformed_chunk_is_cut():
    chunk = b"%x\r\n%b\r\n" % (len(LONG_BODY), LONG_BODY)
    raw_answer = malformed.with_chunks(
        chunk + b"9zz\r\nthe whole\r\n0\r\n\r\n"
    )
    assert read(raw_answer) is None


def test_an_empty_answer_with_a_body_makes_no_other_answer():
    """Bytes after the head of a 204 belong to no request."""
    second = malformed.with_length(b"5", b"other")

    async def respond(server, number, reader, writer):
        if len(server.requests) == 1:
            writer.write(
                b"HTTP/1.1 204 Empty\r\nAttempt-Id: r1\r\n\r\n" + second
            )
            return True
        writer.write(malformed.with_length(malformed.LENGTH))
        return True

    async def scenario(attempts):
        assert (await attempts.send(LEFT_S)).body == b""
        assert (await attempts.send(LEFT_S)).body == malformed.BODY

    test_sending.run(respond, scenario)


def test_the_rule_that_a_malformed_answer_broke_is_known():
    async def scenario(attempts):
        with pytest.raises(sending.SendError) as caught:
            await attempts.send(LEFT_S)
        assert caught.value.broken_rule.value == "content-length"
        assert "exceeds" in str(caught.value)
        assert len(str(caught.value)) < 300

    test_sending.run(answering(malformed.with_length(b"9" * 5000)), scenario)


@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(
    sound=st.sampled_from(malformed.SOUND),
    at=st.integers(0, 200),
    replaced=st.integers(0, 2),
    inserted=st.sampled_from(
        [*(bytes([n]) for n in range(256)), b"\r\n", b"\r\n ", b""]
    ),
)
def test_a_corrupted_answer_comes_out_whole_or_not_at_all(
    sound, at, replaced, inserted
):
    corrupted = sound[:at] + inserted + sound[at + replaced :]
    found = read(corrupted)
    assert found is None or found == malformed.read_strictly(corrupted)

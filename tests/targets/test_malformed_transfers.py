"""Malformed answers of coordinated targets, to requests and to orders."""

from __future__ import annotations

import asyncio

import malformed_answers as malformed
import pytest
import raw_server

from goldcrestproxy import errors
from goldcrestproxy import targets
from goldcrestproxy.wire import Pipe

ORDER = targets.GrantOrder(
    coordinator="entry-a",
    epoch=1,
    order=1,
    incarnation="i1",
    desk="desk",
    until_clock_ms=0,
    partitions=(),
    hot_keys=(),
    elsewhere=(),
)
ORDER_ANSWER = b'{"incarnation": "i1", "clock_ms": 5, "order": 1}'
TIMEOUT_MS = 1000


def answering(raw_answer):
    async def respond(server, number, reader, writer):
        writer.write(raw_answer)
        await writer.drain()
        return False

    return respond


def run(respond, scenario):
    async def run_scenario():
        server = raw_server.RawServer(respond)
        async with server.running() as address:
            client = targets.TargetClient(address, 4)
            try:
                return await scenario(server, client)
            finally:
                await client.close()

    return asyncio.run(run_scenario())


async def send(client, body=None):
    """Return the head and the body of the answer to a request."""
    pipe = None
    if body is not None:
        pipe = Pipe()
        pipe.feed(body)
        pipe.finish()
    transfer = client.start(
        "GET" if body is None else "POST",
        "/work",
        {},
        body=pipe,
        body_bytes=len(body or b""),
        timeout_ms=TIMEOUT_MS,
        new_connection=False,
        may_send=lambda: True,
        expected_header=("Attempt-Id", "r1"),
    )
    with client.in_use():
        task = asyncio.create_task(transfer.run())
        try:
            head = await transfer.head
            return head, await transfer.answer_body.read_all(1 << 20)
        finally:
            await task


async def send_order(client):
    return await client.send_order(
        ORDER, TIMEOUT_MS, new_connection=False, may_send=lambda: True
    )


@pytest.mark.parametrize("body", [None, b"x"])
@pytest.mark.parametrize("raw_answer", malformed.ANSWERS)
def test_a_malformed_answer_is_an_error_of_the_transfer(raw_answer, body):
    async def scenario(_server, client):
        with pytest.raises(targets.TransferError) as caught:
            await send(client, body)
        assert caught.value.stage is targets.Stage.SENT
        assert not caught.value.timed_out
        assert not caught.value.was_reset

    run(answering(raw_answer), scenario)


@pytest.mark.parametrize("raw_answer", malformed.SOUND)
def test_a_sound_answer_is_read_whole(raw_answer):
    async def scenario(_server, client):
        head, body = await send(client)
        assert (head.status, body) == (200, malformed.BODY)
        if head.body_bytes not in (-1, None):
            assert head.body_bytes == len(body)

    run(answering(raw_answer), scenario)


@pytest.mark.parametrize(
    "raw_answer",
    [
        malformed.with_length(malformed.LENGTH),
        malformed.with_chunks(malformed.CHUNKS + malformed.LAST_CHUNK),
        malformed.with_chunks(malformed.CHUNKS + b"0\r\nX: y\r\n\r\n"),
    ],
)
def test_a_connection_is_kept_after_an_answer_whose_end_is_known(raw_answer):
    async def respond(server, number, reader, writer):
        writer.write(raw_answer)
        return True

    async def scenario(server, client):
        for _ in range(3):
            _, body = await send(client)
            assert body == malformed.BODY
        assert server.connections == 1

    run(respond, scenario)


def test_a_chunked_answer_is_whole_for_a_slow_reader():
    chunk = b"10000\r\n" + bytes(65536) + b"\r\n"

    async def respond(server, number, reader, writer):
        writer.write(malformed.START + malformed.CHUNKED + b"\r\n")
        for _ in range(64):
            writer.write(chunk)
            await writer.drain()
        writer.write(malformed.LAST_CHUNK)
        await writer.drain()
        return True

    async def scenario(_server, client):
        transfer = client.start(
            "GET",
            "/work",
            {},
            body=None,
            body_bytes=0,
            timeout_ms=20_000,
            new_connection=False,
            may_send=lambda: True,
        )
        task = asyncio.create_task(transfer.run())
        await transfer.head
        await asyncio.sleep(0.2)
        assert transfer.answer_body.buffered_bytes < 1024 * 1024
        body = await transfer.answer_body.read_all(1 << 23)
        await task
        assert body == bytes(64 * 65536)

    run(respond, scenario)


@pytest.mark.parametrize("raw_answer", malformed.ANSWERS)
def test_a_malformed_answer_to_an_order_grants_nothing(raw_answer):
    """Its body is a valid answer, so only the head tells that it is not."""
    answer = raw_answer.replace(malformed.BODY, ORDER_ANSWER).replace(
        b"Length: " + malformed.LENGTH, b"Length: %d" % len(ORDER_ANSWER)
    )

    async def scenario(_server, client):
        with pytest.raises(errors.GoldcrestProxyError):
            await send_order(client)

    run(answering(answer), scenario)


def test_a_sound_answer_to_an_order_is_read():
    answer = malformed.with_length(b"%d" % len(ORDER_ANSWER), ORDER_ANSWER)

    async def scenario(server, client):
        assert (await send_order(client)).order == 1
        # Compressed answers are not offered: their length is that of what
        # arrives.
        assert b"accept-encoding" not in server.requests[0].lower()

    run(answering(answer), scenario)

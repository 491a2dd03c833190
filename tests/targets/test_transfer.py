"""Transfers are sent at most once, and report whether they were sent."""

from __future__ import annotations

import asyncio

import pytest
import raw_server

from goldcrestproxy import targets
from goldcrestproxy.wire import Pipe

OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


async def answer(server, number, reader, writer):
    writer.write(OK_ANSWER)
    await writer.drain()
    return True


async def answer_once_then_close(server, number, reader, writer):
    """Answer the first request; read the second, then close."""
    if len(server.requests) == 1:
        return await answer(server, number, reader, writer)
    return False


async def send(
    client,
    method="GET",
    body=None,
    *,
    new_connection=False,
    may_send=lambda: True,
    timeout_ms=1000,
):
    pipe = None
    if body is not None:
        pipe = Pipe()
        pipe.feed(body)
        pipe.finish()
    target_transfer = client.start(
        method,
        "/work",
        {},
        body=pipe,
        body_bytes=len(body or b""),
        timeout_ms=timeout_ms,
        new_connection=new_connection,
        may_send=may_send,
    )
    with client.in_use():
        task = asyncio.create_task(target_transfer.run())
        try:
            head = await target_transfer.head
            text = await target_transfer.answer_body.read_all(1 << 20)
            return target_transfer, head, text
        finally:
            await task


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


@pytest.mark.parametrize(
    ("method", "body"),
    [
        ("GET", None),
        ("DELETE", None),
        ("POST", None),
        ("POST", b"reserve"),
        ("PUT", b"photo"),
    ],
)
def test_libcurl_never_sends_a_request_again(method, body):
    """libcurl does so by default if a reused connection closes unanswered."""

    async def scenario(server, client):
        await send(client)
        with pytest.raises(targets.TransferError) as found:
            await send(client, method, body)
        assert found.value.stage is targets.Stage.SENT
        await asyncio.sleep(0.05)
        sent = [r for r in server.requests if r.startswith(method.encode())]
        assert len(sent) == 1 + (method == "GET")

    run(answer_once_then_close, scenario)


def test_fresh_request_uses_a_new_connection():
    async def scenario(server, client):
        await send(client)
        await send(client)
        assert server.connections == 1
        await send(client, "POST", b"x", new_connection=True)
        assert server.connections == 2

    run(answer, scenario)


def test_refused_connection_means_not_sent():
    async def scenario():
        client = targets.TargetClient("127.0.0.1:1", 4)
        with pytest.raises(targets.TransferError) as found:
            await send(client, "POST", b"x", new_connection=True)
        assert found.value.stage is targets.Stage.NOT_SENT
        await client.close()

    asyncio.run(scenario())


def test_right_to_send_is_asked_directly_before_sending():
    async def scenario(server, client):
        with pytest.raises(targets.TransferError) as found:
            await send(client, "POST", b"x", may_send=lambda: False)
        assert found.value.stage is targets.Stage.NOT_SENT
        await asyncio.sleep(0.05)
        assert server.requests == []

    run(answer, scenario)


async def truncated_answer(server, number, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
    await writer.drain()
    return False


def test_truncated_answer_is_an_error():
    async def scenario(server, client):
        with pytest.raises(targets.TransferError) as found:
            await send(client)
        assert found.value.curl_code == 18

    run(truncated_answer, scenario)


async def answer_without_length(server, number, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nwho knows")
    await writer.drain()
    return False


def test_answer_without_length_has_unknown_body_length():
    async def scenario(server, client):
        _, head, _ = await send(client)
        assert head.body_bytes is None

    run(answer_without_length, scenario)


async def no_answer(server, number, reader, writer):
    await asyncio.sleep(30)
    return False


def test_unanswered_request_times_out_as_sent():
    async def scenario(server, client):
        with pytest.raises(targets.TransferError) as found:
            await send(client, "POST", b"x", timeout_ms=100)
        assert found.value.timed_out
        assert found.value.stage is targets.Stage.SENT

    run(no_answer, scenario)


def test_connection_is_not_reused_after_a_timeout():
    async def respond(server, number, reader, writer):
        if number == 1:
            await asyncio.sleep(0.3)
        return await answer(server, number, reader, writer)

    async def scenario(server, client):
        with pytest.raises(targets.TransferError):
            await send(client, timeout_ms=100)
        _, _, text = await send(client)
        assert text == b"ok"
        assert server.connections == 2

    run(respond, scenario)


def test_cancelled_transfer_ends_immediately():
    async def scenario(server, client):
        target_transfer = client.start(
            "GET",
            "/work",
            {},
            body=None,
            body_bytes=0,
            timeout_ms=20_000,
            new_connection=False,
            may_send=lambda: True,
        )
        task = asyncio.create_task(target_transfer.run())
        await asyncio.sleep(0.1)
        target_transfer.cancel()
        async with asyncio.timeout(2):
            await task
        with pytest.raises(targets.TransferError):
            await target_transfer.head

    run(no_answer, scenario)


def test_large_answer_is_paused_for_a_slow_reader():
    size = 4 * 1024 * 1024

    async def respond(server, number, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
        for _ in range(size // 65536):
            writer.write(bytes(65536))
            await writer.drain()
        return True

    async def scenario(server, client):
        target_transfer = client.start(
            "GET",
            "/work",
            {},
            body=None,
            body_bytes=0,
            timeout_ms=20_000,
            new_connection=False,
            may_send=lambda: True,
        )
        task = asyncio.create_task(target_transfer.run())
        await target_transfer.head
        await asyncio.sleep(0.2)
        assert target_transfer.answer_body.buffered_bytes < 1024 * 1024
        total = 0
        while chunk := await target_transfer.answer_body.read():
            total += len(chunk)
        await task
        assert total == size

    run(respond, scenario)


def test_upload_is_paused_for_a_slow_writer():
    size = 3 * 1024 * 1024

    async def respond(server, number, reader, writer):
        await reader.readexactly(size)
        return await answer(server, number, reader, writer)

    async def scenario(server, client):
        body = Pipe()
        target_transfer = client.start(
            "PUT",
            "/work",
            {},
            body=body,
            body_bytes=size,
            timeout_ms=20_000,
            new_connection=True,
            may_send=lambda: True,
        )
        task = asyncio.create_task(target_transfer.run())
        for number in range(size // 65536):
            await body.put(bytes(65536))
            if number % 10 == 0:
                await asyncio.sleep(0.005)
        body.finish()
        head = await target_transfer.head
        await task
        assert head.status == 200

    run(respond, scenario)


@pytest.mark.parametrize(
    "raw_head",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 20",
    ],
)
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_head_that_breaks_off_is_no_answer(raw_head, method):
    async def respond(server, number, reader, writer):
        writer.write(raw_head)
        await writer.drain()
        return False

    async def scenario(server, client):
        with pytest.raises(targets.TransferError) as found:
            await send(client, method, b"x" if method == "POST" else None)
        assert found.value.stage is targets.Stage.SENT

    run(respond, scenario)


@pytest.mark.parametrize(
    ("lines", "fits"), [(100, True), (380, True), (600, False)]
)
def test_a_head_beyond_its_limit_ends_the_transfer(lines, fits):
    """Each host may read heads of hundreds of targets at once."""

    async def respond(server, number, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n")
        for line in range(lines):
            writer.write(b"X-%03d: 0123456789\r\n" % line)
        writer.write(b"\r\nok")
        await writer.drain()
        return False

    async def scenario(_server, client):
        if fits:
            _, head, text = await send(client)
            assert (len(head.headers), text) == (lines + 1, b"ok")
            return
        with pytest.raises(targets.TransferError) as caught:
            await send(client)
        assert caught.value.stage is targets.Stage.SENT
        assert "exceeds 131072 bytes" in str(caught.value)

    run(respond, scenario)

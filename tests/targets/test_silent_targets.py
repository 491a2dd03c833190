"""Transfers end by their deadlines whatever a target does not send."""

from __future__ import annotations

import asyncio

import pytest
import raw_server

from goldcrestproxy import targets
from goldcrestproxy.wire import Pipe

OK_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
LARGE_BYTES = 4 * 1024 * 1024


def sending(raw_answer):
    """Send bytes after the head of a request, and then nothing."""

    async def respond(server, number, reader, writer):
        writer.write(raw_answer)
        await writer.drain()
        await asyncio.sleep(30)
        return False

    return respond


def start(client, *, body=None, body_bytes=0, timeout_ms=300, **options):
    transfer = client.start(
        "GET" if body is None else "POST",
        "/work",
        {},
        body=body,
        body_bytes=body_bytes,
        timeout_ms=timeout_ms,
        new_connection=False,
        may_send=options.get("may_send", lambda: True),
    )
    return transfer, asyncio.create_task(transfer.run())


async def failure_of(transfer, task):
    """Return the error of a transfer that must end within a second."""
    async with asyncio.timeout(1):
        await task
    with pytest.raises(targets.TransferError) as found:
        await transfer.head
        await transfer.answer_body.read_all(2 * LARGE_BYTES)
    return found.value


def run(respond, scenario):
    async def run_scenario():
        server = raw_server.RawServer(respond)
        async with server.running() as address:
            client = targets.TargetClient(address, 1)
            await scenario(client)
            await client.close()

    asyncio.run(run_scenario())


def test_upload_that_pauses_times_out():
    async def scenario(client):
        body = Pipe()
        body.feed(b"half")
        error = await failure_of(*start(client, body=body, body_bytes=8))
        assert error.timed_out
        assert error.stage is targets.Stage.SENT

    run(sending(b""), scenario)


def test_upload_of_unknown_length_that_pauses_times_out():
    async def scenario(client):
        error = await failure_of(*start(client, body=Pipe(), body_bytes=-1))
        assert error.timed_out

    run(sending(b""), scenario)


def test_upload_that_a_target_does_not_read_times_out():
    async def scenario(client):
        body = Pipe()
        body.feed(bytes(LARGE_BYTES))
        error = await failure_of(
            *start(client, body=body, body_bytes=2 * LARGE_BYTES)
        )
        assert error.timed_out

    async def respond(server, number, reader, writer):
        await asyncio.sleep(30)
        return False

    run(respond, scenario)


def test_upload_that_fails_ends_its_transfer():
    async def scenario(client):
        body = Pipe()
        transfer, task = start(
            client, body=body, body_bytes=8, timeout_ms=20_000
        )
        await asyncio.sleep(0.1)
        body.fail(ValueError("the caller has gone"))
        error = await failure_of(transfer, task)
        assert error.stage is targets.Stage.SENT

    run(sending(b""), scenario)


def test_upload_that_is_shorter_than_announced_ends_its_transfer():
    async def scenario(client):
        body = Pipe()
        body.feed(b"half")
        body.finish()
        error = await failure_of(
            *start(client, body=body, body_bytes=8, timeout_ms=20_000)
        )
        assert error.stage is targets.Stage.SENT

    run(sending(b""), scenario)


def test_paused_upload_with_an_early_answer_times_out():
    async def scenario(client):
        await failure_of(*start(client, body=Pipe(), body_bytes=8))

    run(sending(OK_HEAD % 2 + b"ok"), scenario)


def test_answer_that_stops_in_the_middle_times_out():
    async def scenario(client):
        transfer, task = start(client)
        assert (await transfer.head).status == 200
        error = await failure_of(transfer, task)
        assert error.timed_out

    run(sending(OK_HEAD % LARGE_BYTES + bytes(100_000)), scenario)


def test_answer_that_nobody_reads_times_out():
    async def scenario(client):
        transfer, task = start(client)
        await transfer.head
        await asyncio.sleep(0.1)
        assert transfer.answer_body.full
        error = await failure_of(transfer, task)
        assert error.timed_out

    run(sending(OK_HEAD % LARGE_BYTES + bytes(LARGE_BYTES)), scenario)


@pytest.mark.parametrize(
    "interim",
    [
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 102 Processing\r\n\r\n" * 3,
        b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
    ],
)
def test_interim_answer_without_a_final_one_times_out(interim):
    async def scenario(client):
        transfer, task = start(client)
        await asyncio.sleep(0.1)
        assert not transfer.head.done()
        error = await failure_of(transfer, task)
        assert error.timed_out
        assert error.stage is targets.Stage.SENT

    run(sending(interim), scenario)


@pytest.mark.parametrize(
    "garbage",
    [
        b"\x00\xff\xfe garbage\r\n\r\n",
        b"garbage\n" * 100,
        b"HTTP/1.1\r\n\r\n",
        b"HTTP/1.1 \r\n\r\n",
        b"HTTP/1.1 abc OK\r\n\r\n",
        b"HTTP/1.1 2\xb20 OK\r\n\r\n",
        b"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 99999 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/9.9 200 OK\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n folded: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: a\r\n folded\r\nContent-Length: 9\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nBad Name\xff: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: a\x00b\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: a\x01b\r\nContent-Length: 9\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: \xb2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: \xff\xfe\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\xff\xff\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabcd",
        b"HTTP/1.1 200 OK\r\nContent-Encoding: \xff\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * 1_000_000,
        b"HTTP/1.1 200 OK\r\n" + b"X: y\r\n" * 100_000,
    ],
)
def test_unreadable_answer_ends_as_sent(garbage):
    async def scenario(client):
        error = await failure_of(*start(client))
        assert error.stage is targets.Stage.SENT
        assert str(error)

    run(sending(garbage), scenario)


def test_unreadable_trailer_ends_the_answer():
    async def scenario(client):
        transfer, task = start(client)
        await failure_of(transfer, task)

    run(
        sending(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\nno colon\r\n\r\n"
        ),
        scenario,
    )


def test_error_right_before_sending_ends_the_transfer_unsent():
    def may_send():
        raise ValueError("unexpected")

    async def scenario(client):
        error = await failure_of(
            *start(client, may_send=may_send, timeout_ms=20_000)
        )
        assert error.stage is targets.Stage.NOT_SENT

    run(sending(b""), scenario)


def test_handle_that_was_paused_serves_the_next_transfer():
    async def scenario(client):
        transfer, task = start(client)
        await transfer.head
        await failure_of(transfer, task)
        transfer, task = start(client, timeout_ms=3000)
        async with asyncio.timeout(1):
            text = await transfer.answer_body.read_all(LARGE_BYTES)
            await task
        assert text == b"ok"

    async def respond(server, number, reader, writer):
        if number == 1:
            writer.write(OK_HEAD % LARGE_BYTES + bytes(LARGE_BYTES))
            await asyncio.sleep(30)
        writer.write(OK_HEAD % 2 + b"ok")
        return True

    run(respond, scenario)

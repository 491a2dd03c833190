"""Answers that break off during an upload, or whose status is none."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

import attrs
import pytest
import test_sending

from goldcrestproxy.entries import sending
from goldcrestproxy import errors
from goldcrestproxy.routing import fleet_retries
from goldcrestproxy import wire

UPLOAD_BYTES = 4 * 1024 * 1024
LEFT_S = 2.0


def reset(writer):
    """Close a connection with a reset, whatever was read from it."""
    connection = writer.get_extra_info("socket")
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def upload(*, chunked):
    pipe = wire.Pipe()
    request = attrs.evolve(
        test_sending.REQUEST,
        method="POST",
        body=pipe,
        body_bytes=-1 if chunked else UPLOAD_BYTES,
    )
    return pipe, request


async def write_slowly(pipe):
    with contextlib.suppress(errors.GoldcrestProxyError):
        for _ in range(UPLOAD_BYTES // 65536):
            await pipe.put(bytes(65536))
            await asyncio.sleep(0.01)
        pipe.finish()


async def read_whole(attempts, request):
    """Return the body of an answer that is whole, None of any other."""
    try:
        answer = await attempts.send(LEFT_S, request)
    except sending.SendError as error:
        assert not isinstance(error.failure, fleet_retries.NotRun)
        return None
    body = bytearray(answer.body)
    try:
        while answer.remaining_body is not None and (
            chunk := await answer.remaining_body.read()
        ):
            body += chunk
    except errors.GoldcrestProxyError:
        return None
    return bytes(body)


@pytest.mark.parametrize("chunked", [False, True])
@pytest.mark.parametrize("part_bytes", [0, 9, 100_000])
@pytest.mark.parametrize("pause_s", [0.0, 0.05])
def test_an_early_answer_that_is_reset_is_not_whole(
    chunked, part_bytes, pause_s
):
    """It has no length, so only the reset shows that it broke off."""

    async def respond(server, number, reader, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\n\r\n" + bytes(part_bytes)
        )
        await writer.drain()
        await asyncio.sleep(pause_s)
        reset(writer)
        return False

    async def scenario(attempts):
        pipe, request = upload(chunked=chunked)
        writing = asyncio.create_task(write_slowly(pipe))
        async with asyncio.timeout(LEFT_S + 1):
            assert await read_whole(attempts, request) is None
        writing.cancel()

    test_sending.run(respond, scenario)


@pytest.mark.parametrize("status", ["000", "099", "00", "1000", "2OO", "-20"])
@pytest.mark.parametrize(
    "length", [b"Content-Length: 2\r\n", b"Content-Length: 0\r\n", b""]
)
def test_a_status_that_is_none_is_no_answer(status, length):
    async def respond(server, number, reader, writer):
        writer.write(
            f"HTTP/1.1 {status} Odd\r\nAttempt-Id: r1\r\n".encode()
            + length
            + b"\r\nok"
        )
        await writer.drain()
        writer.close()
        return False

    async def scenario(attempts):
        async with asyncio.timeout(LEFT_S + 1):
            assert await read_whole(attempts, test_sending.REQUEST) is None

    test_sending.run(respond, scenario)


@pytest.mark.parametrize("status", [600, 999])
def test_a_status_beyond_599_counts_as_a_failure_of_the_target(status):
    """RFC 9110, section 15: a client treats it like a 5xx one."""

    async def scenario(attempts):
        failure = await attempts.failure(LEFT_S)
        assert failure == fleet_retries.Failed(status=status)

    test_sending.run(
        test_sending.answering(
            f"HTTP/1.1 {status} Odd\r\nAttempt-Id: r1\r\n".encode()
            + b"Content-Length: 2\r\n\r\nok"
        ),
        scenario,
    )

"""Targets that send bytes without end: memory and time stay bounded."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import resource
import time

import pytest
import raw_server
import test_sending

from goldcrestproxy.entries import sending
from goldcrestproxy import errors
from goldcrestproxy import targets
from goldcrestproxy.targets import protocol

HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ORDER = protocol.GrantOrder(
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
ORDER_TIMEOUT_MS = 150
LEFT_S = 1.0
# For ending a transfer and closing its connection.
GRACE_S = 0.5
MEMORY_GROWTH_BYTES_MAX = 32 * 1024 * 1024

ENDLESS = {
    "no status line": itertools.repeat(b"x" * 65536),
    "lines that are no head": itertools.repeat(b"no answer\r\n" * 6000),
    "status line": itertools.chain(
        [b"HTTP/1.1 200 "], itertools.repeat(b"x" * 65536)
    ),
    "one header": itertools.chain(
        [HEAD, b"X-Long: "], itertools.repeat(b"x" * 65536)
    ),
    "headers": itertools.chain(
        [HEAD], (b"X-%d: some value\r\n" % n for n in itertools.count())
    ),
    "interim answers": itertools.repeat(
        b"HTTP/1.1 102 Processing\r\nX-Step: 1\r\n\r\n" * 500
    ),
    "body until the close": itertools.chain(
        [HEAD + b"\r\n"], itertools.repeat(b"x" * 65536)
    ),
    "chunks": itertools.chain(
        [HEAD + CHUNKED],
        itertools.repeat(b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    ),
    "chunk extension": itertools.chain(
        [HEAD + CHUNKED, b"5;ext="], itertools.repeat(b"x" * 65536)
    ),
    "chunk size": itertools.chain(
        [HEAD + CHUNKED], itertools.repeat(b"0" * 65536)
    ),
    "one trailer": itertools.chain(
        [HEAD + CHUNKED, b"0\r\nX-Long: "], itertools.repeat(b"x" * 65536)
    ),
    "trailers": itertools.chain(
        [HEAD + CHUNKED, b"0\r\n"],
        (b"X-%d: some value\r\n" % n for n in itertools.count()),
    ),
    "bytes after the answer": itertools.chain(
        [HEAD + b"Content-Length: 2\r\n\r\nok"],
        itertools.repeat(b"x" * 65536),
    ),
    "slow body of a refusal": itertools.chain(
        [
            b"HTTP/1.1 503 Busy\r\nAttempt-Id: r1\r\nNot-Executed: 1\r\n"
            b"Content-Length: 9\r\n\r\n"
        ],
        itertools.repeat(b""),
    ),
}


def resident_bytes():
    pages = pathlib.Path("/proc/self/statm").read_text().split()[1]
    return int(pages) * resource.getpagesize()


async def read_to_the_end(answer):
    """Read an answer as a slow caller does."""
    if answer.remaining_body is None:
        return
    try:
        while await answer.remaining_body.read():
            await asyncio.sleep(0.001)
    finally:
        answer.cancel()


@pytest.mark.parametrize("part", ENDLESS)
def test_bytes_without_end_cost_bounded_time_and_memory(part):
    closed = asyncio.Event()

    async def respond(server, number, reader, writer):
        try:
            for piece in ENDLESS[part]:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
                if reader.at_eof():
                    break
        finally:
            closed.set()
        return False

    async def scenario(attempts):
        before_bytes = resident_bytes()
        started_s = time.monotonic()
        async with asyncio.timeout(LEFT_S + GRACE_S):
            try:
                answer = await attempts.send(LEFT_S)
                await read_to_the_end(answer)
            except (sending.SendError, errors.GoldcrestProxyError):
                pass
        assert time.monotonic() - started_s < LEFT_S + GRACE_S
        async with asyncio.timeout(GRACE_S):
            await closed.wait()
        assert resident_bytes() - before_bytes < MEMORY_GROWTH_BYTES_MAX
        assert attempts.target.stats.in_flight == 0

    test_sending.run(respond, scenario)


@pytest.mark.parametrize("part", ENDLESS)
def test_answers_to_orders_without_end_cost_bounded_time_and_memory(part):
    closed = asyncio.Event()

    async def respond(server, number, reader, writer):
        # With bytes of the order left, the end would not be noticed.
        await reader.readexactly(len(ORDER.body()))
        try:
            for piece in ENDLESS[part]:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0)
                if reader.at_eof():
                    break
        finally:
            closed.set()
        return False

    async def scenario():
        server = raw_server.RawServer(respond)
        async with server.running() as address:
            client = targets.TargetClient(address, 4)
            before_bytes = resident_bytes()
            with pytest.raises(errors.GoldcrestProxyError):
                async with asyncio.timeout(LEFT_S):
                    await client.send_order(
                        ORDER,
                        ORDER_TIMEOUT_MS,
                        new_connection=False,
                        may_send=lambda: True,
                    )
            growth_bytes = resident_bytes() - before_bytes
            assert growth_bytes < MEMORY_GROWTH_BYTES_MAX
            async with asyncio.timeout(GRACE_S):
                await closed.wait()
                await client.close()

    asyncio.run(scenario())

"""Channels between daemons over loopback connections."""

from __future__ import annotations

import asyncio
import contextlib
import time

import pytest

from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy import wire

TIMING = wire.ChannelTiming(heartbeat_ms=20, silence_ms=150)
HEAD = wire.ttypes.RelayResponse(
    code=0, status=200, headers=[], body_bytes=-1, text=""
)


def hello(host):
    return wire.ttypes.Hello(version=1, host=host, session=host, zone="z")


@contextlib.asynccontextmanager
async def connected(handlers):
    async with serving(handlers) as (peers, address, _):
        yield peers, address


@contextlib.asynccontextmanager
async def serving(handlers):
    server = wire.PeerServer(hello("server"), handlers, TIMING)
    server.listen(0, address="127.0.0.1")
    sockets = server._sockets.values()
    port = next(iter(sockets)).getsockname()[1]
    peers = wire.Peers(hello("client"), wire.Handlers(), TIMING)
    try:
        yield peers, wire.PeerAddress("127.0.0.1", port), server
    finally:
        peers.close()
        server.close_channels()
        server.stop()


def exchange(body_bytes=0):
    return wire.Exchange(
        wire.ttypes.RelayRequest(
            request_id="r", headers=[], body_bytes=body_bytes, idempotent=True
        )
    )


def query(name):
    return wire.ttypes.QueryRequest(name=name, argument="")


async def echo(_, request):
    if request.name == "refuse":
        raise results.refusal(results.NOT_FOUND, "no such thing")
    if request.name == "sleep":
        await asyncio.sleep(1)
    return wire.ttypes.QueryReply(answer=request.name.encode())


def handlers(serve=None):
    made = wire.Handlers(exchange=serve)
    made.calls[wire.Method.QUERY] = echo
    return made


def test_many_calls_share_one_connection():
    async def scenario():
        async with connected(handlers()) as (peers, address):
            replies = await asyncio.gather(
                *(
                    peers.call(address, wire.Method.QUERY, query(str(n)), 1000)
                    for n in range(50)
                )
            )
            assert [r.answer for r in replies] == [
                str(n).encode() for n in range(50)
            ]

    asyncio.run(scenario())


def test_refusal_and_timeout_of_a_call():
    async def scenario():
        async with connected(handlers()) as (peers, address):
            with pytest.raises(errors.RefusedError) as refused:
                await peers.call(
                    address, wire.Method.QUERY, query("refuse"), 1000
                )
            assert refused.value.code == results.NOT_FOUND
            with pytest.raises(errors.PeerTimeoutError):
                await peers.call(
                    address, wire.Method.QUERY, query("sleep"), 50
                )
            reply = await peers.call(
                address, wire.Method.QUERY, query("late"), 1000
            )
            assert reply.answer == b"late"

    asyncio.run(scenario())


def test_server_is_busy_until_a_response_has_been_sent():
    """The response is produced faster than its reader takes it."""
    body = bytes(1024 * 1024)

    async def serve(server_exchange):
        server_exchange.set_response(HEAD)
        server_exchange.response_body.feed(body)
        server_exchange.response_body.finish()

    async def scenario():
        async with serving(handlers(serve)) as (peers, address, server):
            client_exchange = exchange()
            await peers.open(address, client_exchange)
            await client_exchange.response
            await asyncio.sleep(0.05)
            assert server.busy
            await client_exchange.response_body.read_all(len(body))
            await asyncio.sleep(0.05)
            assert not server.busy

    asyncio.run(scenario())


def test_bodies_flow_both_ways_with_bounded_memory():
    size = 5 * 1024 * 1024

    async def serve(server_exchange):
        server_exchange.set_response(HEAD)
        while chunk := await server_exchange.request_body.read():
            assert server_exchange.request_body.buffered_bytes <= 512 * 1024
            await server_exchange.response_body.put(chunk)
        server_exchange.response_body.finish()

    async def scenario():
        async with connected(handlers(serve)) as (peers, address):
            client_exchange = exchange(-1)
            await peers.open(address, client_exchange)

            async def fill():
                for _ in range(size // 65536):
                    await client_exchange.request_body.put(bytes(65536))
                client_exchange.request_body.finish()

            filling = asyncio.create_task(fill())
            await client_exchange.response
            total = 0
            while chunk := await client_exchange.response_body.read():
                total += len(chunk)
            await filling
            assert total == size

    asyncio.run(scenario())


def test_slow_reader_stops_the_writer():
    written = 0

    async def serve(server_exchange):
        nonlocal written
        server_exchange.set_response(HEAD)
        for _ in range(200):
            await server_exchange.response_body.put(bytes(65536))
            written += 65536
        server_exchange.response_body.finish()

    async def scenario():
        async with connected(handlers(serve)) as (peers, address):
            client_exchange = exchange()
            await peers.open(address, client_exchange)
            await client_exchange.response
            await asyncio.sleep(0.3)
            assert written <= 1024 * 1024
            total = 0
            while chunk := await client_exchange.response_body.read():
                total += len(chunk)
            assert total == 200 * 65536

    asyncio.run(scenario())


def test_cancellation_reaches_the_server():
    cancelled = asyncio.Event()

    async def serve(server_exchange):
        server_exchange.on_cancel(cancelled.set)

    async def scenario():
        async with connected(handlers(serve)) as (peers, address):
            client_exchange = exchange()
            await peers.open(address, client_exchange)
            await asyncio.sleep(0.05)
            client_exchange.cancel()
            async with asyncio.timeout(1):
                await cancelled.wait()

    asyncio.run(scenario())


def test_broken_answer_does_not_look_whole():
    async def serve(server_exchange):
        server_exchange.set_response(HEAD)
        await server_exchange.response_body.put(b"half")
        server_exchange.response_body.fail(errors.WireError("target died"))

    async def scenario():
        async with connected(handlers(serve)) as (peers, address):
            client_exchange = exchange()
            await peers.open(address, client_exchange)
            await client_exchange.response
            with pytest.raises(errors.WireError):
                await client_exchange.response_body.read_all(1 << 20)

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "malformed",
    [
        b"GET / HTTP/1.1\r\n\r\n" * 3,
        wire.pack(wire.FrameKind.CALL, 1, b"\xff\xff"),
        wire.pack(wire.FrameKind.CALL, 1, b""),
        wire.pack(wire.FrameKind.OPEN, 1, b"\x01\x02"),
        wire.pack(wire.FrameKind.HELLO, 0, b"\xff"),
        wire.pack(
            wire.FrameKind.OPEN,
            1,
            wire.encode(
                wire.ttypes.RelayRequest(request_id="x", body_bytes=-1)
            ),
        )
        + wire.pack(wire.FrameKind.CREDIT, 1, b"\x00"),
    ],
)
def test_malformed_frames_close_only_their_own_channel(malformed):
    async def serve(server_exchange):
        await asyncio.sleep(1)

    async def scenario():
        async with connected(handlers(serve)) as (peers, address):
            reader, writer = await asyncio.open_connection(
                address.address, address.peer_port
            )
            writer.write(malformed)
            async with asyncio.timeout(2):
                while await reader.read(1024):
                    pass
            writer.close()
            reply = await peers.call(
                address, wire.Method.QUERY, query("on"), 1000
            )
            assert reply.answer == b"on"

    asyncio.run(scenario())


def test_idle_channel_is_closed_and_reopened():
    async def scenario():
        server = wire.PeerServer(hello("server"), handlers(), TIMING)
        server.listen(0, address="127.0.0.1")
        port = next(iter(server._sockets.values())).getsockname()[1]
        address = wire.PeerAddress("127.0.0.1", port)
        timing = wire.ChannelTiming(
            heartbeat_ms=20, silence_ms=150, idle_ms=60
        )
        peers = wire.Peers(hello("client"), wire.Handlers(), timing)
        for _ in range(2):
            reply = await peers.call(
                address, wire.Method.QUERY, query("on"), 1000
            )
            assert reply.answer == b"on"
            channel = await peers.channel(address)
            async with asyncio.timeout(5):
                await channel.wait_closed()
        # A call that lasts longer than idle_ms keeps its channel open.
        await peers.call(address, wire.Method.QUERY, query("sleep"), 5000)
        peers.close()
        server.close_channels()
        server.stop()

    asyncio.run(scenario())


def test_a_busy_peer_keeps_the_channel_that_it_opened():
    """It sends nothing for longer than its own end would wait."""

    async def scenario():
        async with connected(handlers()) as (_, address):
            reader, writer = await asyncio.open_connection(
                address.address, address.peer_port
            )
            writer.write(
                wire.pack(wire.FrameKind.HELLO, 0, wire.encode(hello("busy")))
            )
            await asyncio.sleep(TIMING.silence_ms * 2 / 1000)
            received = await reader.read(1024)
            assert received
            assert not reader.at_eof()
            # A peer that is gone is given up all the same.
            async with asyncio.timeout(5):
                while await reader.read(1024):
                    pass
            writer.close()

    asyncio.run(scenario())


def test_silent_connection_is_given_up_and_a_new_one_works():
    """A device on the path drops the data of an open connection."""

    async def scenario():
        async with connected(handlers()) as (peers, address):
            drop_data = asyncio.Event()

            async def relay(reader, writer):
                to, back = await asyncio.open_connection(
                    address.address, address.peer_port
                )

                async def pump(source, sink):
                    with contextlib.suppress(ConnectionError):
                        while data := await source.read(65536):
                            if drop_data.is_set() and first:
                                continue
                            sink.write(data)

                first = not connections
                connections.append(1)
                await asyncio.gather(pump(reader, back), pump(to, writer))

            connections = []
            proxy = await asyncio.start_server(relay, "127.0.0.1", 0)
            port = proxy.sockets[0].getsockname()[1]
            proxy_address = wire.PeerAddress("127.0.0.1", port)
            await peers.call(
                proxy_address, wire.Method.QUERY, query("one"), 1000
            )
            drop_data.set()
            client_exchange = exchange()
            started_s = time.monotonic()
            await peers.open(proxy_address, client_exchange)
            with pytest.raises(errors.ChannelClosedError):
                async with asyncio.timeout(5):
                    await client_exchange.response
            assert time.monotonic() - started_s < 5
            reply = await peers.call(
                proxy_address, wire.Method.QUERY, query("two"), 1000
            )
            assert reply.answer == b"two"
            proxy.close()

    asyncio.run(scenario())

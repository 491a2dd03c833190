"""Requests that wait at the coordinator of a target."""

from __future__ import annotations

import asyncio
import time
import types

import pytest
import raw_server

from goldcrestproxy import control
from goldcrestproxy.control import commands
from goldcrestproxy.entries import coordinated_target
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import admission
from goldcrestproxy.routing import concurrency
from goldcrestproxy import wire

FINGERPRINT = "poison"


def pool_state():
    state = control.ControlState()
    state.apply(
        1,
        commands.AnnounceTarget(
            target="t0",
            incarnation="i1",
            zone="z",
            desk="desk",
            address="127.0.0.1:1",
            slots=1,
            supports=commands.Supports(),
        ),
    )
    return state


def relay_request():
    return wire.ttypes.RelayRequest(
        request_id="r1",
        customer="c",
        desk="desk",
        method="GET",
        path="/x",
        headers=[],
        target="t0",
        key_hash=0,
        deadline_ms=5_000,
        idempotent=True,
        body_bytes=0,
        trace_parent="",
        operation="op",
        body_digest="",
    )


async def serve_queued(while_queued, before_connecting=None):
    """Serve a request that first waits for the only slot.

    :param while_queued: called with the state and the exchange meanwhile
    :param before_connecting: called with the state; without it, no
        connection may be made
    :return: whether the target answered
    """
    server = raw_server.RawServer(None)
    async with server.running() as address:
        state = pool_state()
        state.targets["t0"].address = address
        link = types.SimpleNamespace(state=state, has_lease=True)
        target = coordinated_target.CoordinatedTarget(
            state.targets["t0"],
            link,
            None,
            concurrency.ConcurrencyLimit(slots=1, cold_concurrency=1),
            10,
            time.monotonic,
            "h",
        )
        if before_connecting is not None:
            target._count_key = lambda *_: before_connecting(state)
        await target.admission.acquire(
            admission.AdmissionRequest(
                customer="c",
                operation="op",
                deadline_s=time.monotonic() + 5,
            )
        )
        exchange = wire.Exchange(relay_request())
        serving = asyncio.create_task(
            target.serve(exchange, FINGERPRINT, time.monotonic() + 5)
        )
        await asyncio.sleep(0.05)
        assert not serving.done()
        while_queued(state, exchange)
        target.admission.release()
        try:
            return await serving
        finally:
            assert server.requests == []
            assert server.connections == 0 or before_connecting is not None


def quarantine(state, _=None):
    state.apply(
        2,
        commands.ReportCrash(
            target="t1",
            incarnation="i1",
            fingerprints=(FINGERPRINT,),
            time_s=0.0,
            crashes_needed=1,
        ),
    )


def test_quarantine_that_arrives_while_a_request_is_queued_binds_it():
    with pytest.raises(errors.RefusedError) as refused:
        asyncio.run(serve_queued(quarantine))
    assert refused.value.code == results.QUARANTINED


def test_quarantine_that_arrives_while_a_request_is_connected_binds_it():
    with pytest.raises(errors.RefusedError) as refused:
        asyncio.run(
            serve_queued(lambda *_: None, before_connecting=quarantine)
        )
    assert results.BY_CODE[refused.value.code].outcome is (
        results.Outcome.NOT_RUN
    )


def test_a_target_that_leaves_while_a_request_is_connected_gets_nothing():
    """Guards against requests at targets that left after their choice."""

    def leave(state):
        state.targets["t0"].leaving = True

    with pytest.raises(errors.RefusedError) as refused:
        asyncio.run(serve_queued(lambda *_: None, before_connecting=leave))
    assert results.BY_CODE[refused.value.code].outcome is (
        results.Outcome.NOT_RUN
    )


def test_cancelled_request_does_not_count_as_answered():
    def cancel(_, exchange):
        exchange.cancel()

    assert asyncio.run(serve_queued(cancel)) is False


def test_an_earlier_refusal_written_again_is_not_taken_for_not_run():
    async def respond(server, number, reader, writer):
        writer.write(
            b"HTTP/1.1 503 Full\r\nGoldcrest-Request-Id: r0\r\n"
            b"Goldcrest-Outcome: not-run\r\nGoldcrest-Reason: shed\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        await writer.drain()
        return True

    async def scenario():
        server = raw_server.RawServer(respond)
        async with server.running() as address:
            state = pool_state()
            state.targets["t0"].address = address
            link = types.SimpleNamespace(state=state, has_lease=True)
            target = coordinated_target.CoordinatedTarget(
                state.targets["t0"],
                link,
                None,
                concurrency.ConcurrencyLimit(slots=1, cold_concurrency=1),
                10,
                time.monotonic,
                "h",
            )
            await target.serve(
                wire.Exchange(relay_request()),
                FINGERPRINT,
                time.monotonic() + 5,
            )

    with pytest.raises(errors.RefusedError) as refused:
        asyncio.run(scenario())
    assert refused.value.code == results.ANSWER_MISMATCHED

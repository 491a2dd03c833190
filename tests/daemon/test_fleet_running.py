"""Tests of the planned stop of an entry host, with fake servers."""

from __future__ import annotations

import asyncio
import types
from unittest import mock

import pytest

from goldcrestproxy import callers
from goldcrestproxy.daemon import fleet_running
from goldcrestproxy import errors


class FakeServer:
    """Sends a request at the moment the connections are closed.

    Such a request must be refused: if it were accepted, closing its
    connection would interrupt it.
    """

    def __init__(self, gate):
        self.gate = gate
        self.listening = True
        self.interrupted = []

    def stop(self):
        self.listening = False

    async def close_all_connections(self):
        try:
            self.gate.enter()
        except errors.RefusedError:
            return
        self.interrupted.append("an accepted request")


def entry_of(gate):
    return types.SimpleNamespace(gate=gate, dispatcher=mock.Mock())


def stop(gate, server):
    daemon = types.SimpleNamespace(
        entry=entry_of(gate),
        control_service=None,
        peer_server=types.SimpleNamespace(busy=False),
        fleet_settings=types.SimpleNamespace(stop_s=5.0),
        listeners=[
            types.SimpleNamespace(setting="fleet.callers", server=server)
        ],
    )
    asyncio.run(fleet_running._stop(daemon))


def test_no_request_is_accepted_while_connections_are_closed(monkeypatch):
    monkeypatch.setattr(fleet_running, "BALANCER_NOTICE_S", 0.01)
    gate = callers.Gate()
    server = FakeServer(gate)
    stop(gate, server)
    assert server.interrupted == []
    assert not server.listening
    assert not gate.ready


def test_connections_are_closed_only_when_nothing_is_in_flight(monkeypatch):
    monkeypatch.setattr(fleet_running, "BALANCER_NOTICE_S", 0.01)
    gate = callers.Gate()
    server = FakeServer(gate)
    in_flight_at_close = []

    async def close_all_connections():
        in_flight_at_close.append(gate.in_flight)

    server.close_all_connections = close_all_connections

    async def scenario():
        gate.enter()
        asyncio.get_running_loop().call_later(0.1, gate.leave)
        daemon = types.SimpleNamespace(
            entry=entry_of(gate),
            control_service=None,
            peer_server=types.SimpleNamespace(busy=False),
            fleet_settings=types.SimpleNamespace(stop_s=5.0),
            listeners=[
                types.SimpleNamespace(setting="fleet.callers", server=server)
            ],
        )
        await fleet_running._stop(daemon)

    asyncio.run(scenario())
    assert in_flight_at_close == [0]


def test_new_requests_are_refused_while_the_last_ones_finish(monkeypatch):
    """A request accepted late might not complete before the exit."""
    monkeypatch.setattr(fleet_running, "BALANCER_NOTICE_S", 0.01)
    gate = callers.Gate()
    accepted = []

    def send_request():
        try:
            gate.enter()
        except errors.RefusedError:
            return
        accepted.append("late")
        gate.leave()

    async def scenario():
        gate.enter()
        loop = asyncio.get_running_loop()
        loop.call_later(0.1, send_request)
        loop.call_later(0.2, gate.leave)
        await fleet_running._stop(
            types.SimpleNamespace(
                entry=entry_of(gate),
                control_service=None,
                peer_server=types.SimpleNamespace(busy=False),
                fleet_settings=types.SimpleNamespace(stop_s=5.0),
                listeners=[],
            )
        )

    asyncio.run(scenario())
    assert accepted == []


@pytest.mark.parametrize("stop_s", [1.0, 2.0, 3.0, 5.0, 6.0, 10.0, 60.0])
def test_targets_may_answer_until_the_last_sixth_of_a_stop(stop_s):
    times = fleet_running.StopTimes.of(stop_s)
    assert stop_s * 5 / 6 <= times.serving_s < times.exit_s < stop_s
    assert times.notice_s <= min(fleet_running.BALANCER_NOTICE_S, stop_s / 2)


@pytest.mark.parametrize("in_flight", [0, 1])
def test_requests_are_ended_only_if_they_outlast_the_stop(
    monkeypatch, in_flight
):
    monkeypatch.setattr(fleet_running, "BALANCER_NOTICE_S", 0.01)
    gate = callers.Gate()
    entry = entry_of(gate)
    entry.dispatcher.end_all.side_effect = gate.leave

    async def scenario():
        for _ in range(in_flight):
            gate.enter()
        started_s = asyncio.get_running_loop().time()
        await fleet_running._stop(
            types.SimpleNamespace(
                entry=entry,
                control_service=None,
                peer_server=types.SimpleNamespace(busy=False),
                fleet_settings=types.SimpleNamespace(stop_s=1.0),
                listeners=[],
            )
        )
        return asyncio.get_running_loop().time() - started_s

    elapsed_s = asyncio.run(scenario())
    assert entry.dispatcher.end_all.call_count == in_flight
    serving_s = fleet_running.StopTimes.of(1.0).serving_s
    assert (elapsed_s >= serving_s) == bool(in_flight)

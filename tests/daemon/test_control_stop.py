"""Tests of the planned stop of a control host."""

from __future__ import annotations

import asyncio
import time
import types
from unittest import mock

import pytest
from tornado import httpserver
from tornado import netutil
from tornado import web

from goldcrestproxy import callers
from goldcrestproxy import control
from goldcrestproxy.daemon import fleet_composition
from goldcrestproxy.daemon import fleet_running
from goldcrestproxy import errors
from goldcrestproxy import platform
from goldcrestproxy import registry
from goldcrestproxy import results
from goldcrestproxy import settings
from goldcrestproxy import wire

REQUEST = b"POST /goldcrestproxy/evacuate/zone-a HTTP/1.1\r\nHost: x\r\n\r\n"
READ_REQUEST = b"GET /goldcrestproxy/config HTTP/1.1\r\nHost: x\r\n\r\n"


class FakeService:
    """Answers calls when it is told to; ``replica`` fails them."""

    def __init__(self):
        self.answer = registry.Accepted()
        self.calls = 0
        self.replica = types.SimpleNamespace(
            fail_pending_proposals=self.fail_calls
        )
        self._future = asyncio.get_running_loop().create_future()

    async def serve(self, _):
        self.calls += 1
        return await asyncio.shield(self._future)

    def answer_calls(self):
        self._future.set_result(self.answer)

    def fail_calls(self):
        self._future.set_exception(
            results.refusal(results.OUTCOME_UNKNOWN, "lost")
        )


class Host:
    """Control host with a fake service, and connections to it."""

    def __init__(self):
        self.service = FakeService()
        self.gate = callers.Gate()
        # A connection is closed when its writer is no longer referenced.
        self.connections = []
        (self.socket,) = netutil.bind_sockets(0, "127.0.0.1")
        self.port = self.socket.getsockname()[1]
        server = httpserver.HTTPServer(
            web.Application(
                platform.registrant_routes(
                    self.service, ("zone-a",), mock.Mock(), self.gate
                )
            )
        )
        server.add_sockets([self.socket])
        self.daemon = types.SimpleNamespace(
            entry=None,
            fleet_settings=types.SimpleNamespace(stop_s=6.0),
            control_service=self.service,
            control_gate=self.gate,
            listeners=[
                types.SimpleNamespace(
                    setting="fleet.registrants", server=server
                )
            ],
        )

    async def connect(self):
        connection = await asyncio.open_connection("127.0.0.1", self.port)
        self.connections.append(connection)
        return connection

    async def start_call(self, request=REQUEST):
        """Send a call; return the connection once the call is served."""
        calls = self.service.calls
        reader, writer = await self.connect()
        writer.write(request)
        while self.service.calls == calls:
            await asyncio.sleep(0.01)
        return reader

    async def stop(self):
        """Return a task that stops the host, after the first steps."""
        task = asyncio.create_task(fleet_running._stop(self.daemon))
        await asyncio.sleep(0.05)
        return task


async def read_answer(reader):
    """Return the status, the headers in lower case and the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    headers = dict(line.split(": ") for line in head.split("\r\n")[1:-2])
    body = await reader.readexactly(int(headers["content-length"]))
    return int(head.split()[1]), headers, body


def test_call_in_flight_at_a_stop_is_answered():
    async def scenario():
        host = Host()
        reader = await host.start_call()
        stop = await host.stop()
        assert not stop.done()
        host.service.answer_calls()
        status, headers, _ = await read_answer(reader)
        assert (status, headers["connection"]) == (200, "close")
        await stop
        assert await reader.read() == b""

    asyncio.run(scenario())


def test_new_call_during_a_stop_is_refused_as_not_taken():
    async def scenario():
        host = Host()
        await host.start_call()
        reader, writer = await host.connect()
        await asyncio.sleep(0.05)
        stop = await host.stop()
        writer.write(REQUEST)
        status, headers, _ = await read_answer(reader)
        assert (status, headers["connection"]) == (503, "close")
        assert host.service.calls == 1
        with pytest.raises(ConnectionRefusedError):
            await host.connect()
        host.service.answer_calls()
        await stop

    asyncio.run(scenario())


def test_call_without_an_outcome_is_answered_before_the_exit(monkeypatch):
    """Its outcome is unknown, so the answer must not promise anything."""
    monkeypatch.setattr(fleet_running, "CONTROL_CALLS_S", 0.1)

    async def scenario():
        host = Host()
        reader = await host.start_call()
        stop = await host.stop()
        status, _, _ = await read_answer(reader)
        assert status == 502
        await stop

    asyncio.run(scenario())


def test_large_answer_is_written_whole_before_connections_are_closed():
    async def scenario():
        host = Host()
        item = registry.Item(
            key=registry.ItemKey(kind=registry.ItemKind.LIMITS, name=""),
            version=1,
            value=mock.Mock(),
            source='{"pad":"' + "x" * 16_000_000 + '"}',
        )
        host.service.answer = registry.ItemsAnswer(items=(item,))
        reader = await host.start_call(READ_REQUEST)
        stop = await host.stop()
        host.service.answer_calls()
        await asyncio.sleep(0.05)
        status, _, body = await read_answer(reader)
        assert (status, len(body) > 16_000_000) == (200, True)
        await stop

    asyncio.run(scenario())


def test_stop_of_an_idle_control_host_is_quick():
    """A leader that lingers would delay the election of the next one."""

    async def scenario():
        host = Host()
        await host.connect()
        await asyncio.sleep(0.05)
        started_s = time.monotonic()
        await fleet_running._stop(host.daemon)
        assert time.monotonic() - started_s < 0.1

    asyncio.run(scenario())


def test_control_role_is_served_until_the_entry_role_has_stopped(monkeypatch):
    """Otherwise a leader would refuse calls for seconds."""

    async def stop_entry(daemon, entry):
        assert entry is daemon.entry
        daemon.control_gate.enter()
        daemon.control_gate.leave()

    monkeypatch.setattr(fleet_running, "_stop_entry", stop_entry)

    async def scenario():
        host = Host()
        host.daemon.entry = mock.Mock()
        await fleet_running._stop(host.daemon)
        with pytest.raises(errors.RefusedError):
            host.gate.enter()

    asyncio.run(scenario())


@pytest.fixture
def forward(tmp_path, monkeypatch):
    """Gate of a control host and its handler of forwarded calls."""
    composed = {}

    async def serve(*_):
        assert composed["gate"].in_flight == 1
        return "reply"

    monkeypatch.setattr(control.ControlService, "_forward", serve)
    host_settings = settings.structure(
        settings.HostSettings,
        {
            "host": "control-0",
            "address": "127.0.0.1",
            "zone": "zone-a",
            "roles": ["control"],
            "peer_port": 7100,
            "data_folder": str(tmp_path),
            "fleet": {
                "seeds": ["127.0.0.1:7200"],
                "registrants": "127.0.0.1:7200",
            },
        },
        "host.json",
    )
    daemon = fleet_composition.compose(host_settings, host_settings.fleet)
    composed["gate"] = daemon.control_gate
    handlers = daemon.peer_server._peer_handlers
    yield daemon.control_gate, handlers.calls[wire.Method.FORWARD]
    daemon.control_service.replica.close()


def test_call_from_another_control_host_is_counted_and_refused(forward):
    gate, handler = forward

    async def scenario():
        assert await handler(None, None) == "reply"
        assert gate.in_flight == 0
        gate.close()
        await handler(None, None)

    with pytest.raises(errors.RefusedError) as refused:
        asyncio.run(scenario())
    assert refused.value.code == results.STOPPING

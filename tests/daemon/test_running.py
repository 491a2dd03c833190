"""Tests of the planned stop of a daemon, with fake components."""

from __future__ import annotations

import asyncio
import types
from unittest import mock

from goldcrestproxy import callers
from goldcrestproxy.daemon import running


def make_daemon(**change):
    components = {
        "host_settings": types.SimpleNamespace(
            timeouts=types.SimpleNamespace(
                stop_grace_ms=0, stop_drain_ms=1_000
            )
        ),
        "link": mock.AsyncMock(),
        "coordinator": types.SimpleNamespace(
            coordinated_targets=[], running_requests=0
        ),
        "claimer": mock.AsyncMock(),
        "router": mock.Mock(),
        "gate": callers.Gate(),
        "peer_server": types.SimpleNamespace(busy=False),
        "caller_server": None,
    }
    return types.SimpleNamespace(**{**components, **change})


def test_stop_waits_for_responses_to_other_hosts():
    server = types.SimpleNamespace(busy=True)

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, setattr, server, "busy", False)
        await running._stop(make_daemon(peer_server=server))

    asyncio.run(scenario())
    assert not server.busy


def test_stop_waits_for_claims_though_a_request_is_left(monkeypatch):
    monkeypatch.setattr(running, "LAST_ANSWERS_S", 0.05)
    gate = callers.Gate()
    gate.enter()
    settled = []

    async def wait_settled():
        await asyncio.sleep(0.1)
        settled.append(True)

    claimer = types.SimpleNamespace(wait_settled=wait_settled)
    daemon = make_daemon(gate=gate, claimer=claimer)
    asyncio.run(running._stop(daemon))
    daemon.router.end_all.assert_called_once_with()
    assert settled

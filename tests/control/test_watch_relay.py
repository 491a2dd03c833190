"""A follower feeds entry hosts and forwards their reports."""

from __future__ import annotations

import asyncio
import time
import types

import pytest

from goldcrestproxy import control
from goldcrestproxy.control import broken_runs
from goldcrestproxy.control import observations
from goldcrestproxy.control import watch_relay
from goldcrestproxy import errors
from goldcrestproxy import wire


class FakePeers:
    """Records reports; replies as the leader does or raises ``error``."""

    def __init__(self):
        self.requests = []
        self.error = None

    async def call(self, _address, method, request, _timeout_ms):
        assert method is wire.Method.WATCH
        if self.error is not None:
            raise self.error
        self.requests.append(request)
        return wire.ttypes.WatchReply(
            serving=True,
            entry_hosts=80,
            map_index=9,
            binding_index=7,
            limits=[
                wire.ttypes.TargetLimit(
                    target="t1",
                    incarnation=1,
                    limit_per_s=2.5,
                    offered_per_s=9.0,
                )
            ],
        )


@pytest.fixture
def peers():
    return FakePeers()


@pytest.fixture
def relay(peers):
    leader = types.SimpleNamespace(
        host="control-a", peer=wire.PeerAddress("10.0.0.1", 7000)
    )
    replica = types.SimpleNamespace(
        host="control-b",
        peers=peers,
        is_leader=False,
        leader_host="control-a",
        members=types.SimpleNamespace(members=[leader]),
        address_of=lambda member: member.peer,
        state=control.ControlState(),
        clock=time.monotonic,
    )
    feeder = types.SimpleNamespace(
        entry_hosts=2,
        feed=lambda *_, **__: None,
        lowest_build_level=lambda: 0,
    )
    return watch_relay.WatchRelay(replica, feeder)


def watch_request(host):
    observed = observations.Observations()
    observed.count_request("desk", 64)
    observed.count_request("desk", 64)
    observed.record_broken_run("t1", 1, "poison")
    observed.record_cleared("popular")
    observed.record_limit("t1", 1, 2.5)
    observed.count_offered("t1", 1)
    observed.record_limit("t2", 1, None)
    request = wire.ttypes.WatchRequest(
        host=host, session="s", zone="z", applied_index=0, entry=True
    )
    observed.flush_into(request)
    return request


async def run_one_interval(relay):
    task = asyncio.create_task(relay.run())
    await asyncio.sleep(watch_relay.REPORT_INTERVAL_S * 1.5)
    task.cancel()


def test_reports_are_aggregated_and_forwarded_once(relay, peers):
    assert relay.watch(None, watch_request("entry-a")).entry_hosts == 0
    relay.watch(None, watch_request("entry-b"))
    asyncio.run(run_one_interval(relay))
    (sent,) = peers.requests
    assert [block.requests for block in sent.blocks] == [4]
    assert len(sent.broken) == 2
    assert sent.cleared == ["popular"]
    decoded = wire.decode(wire.ttypes.WatchRequest, wire.encode(sent))
    assert decoded.cleared == ["popular"]
    first, second = decoded.limits
    assert (first.limit_per_s, first.offered_requests) == (2.5, 2)
    assert (second.limit_per_s, second.withdrawn) == (None, True)
    assert sent.relayed_watchers == 2
    reply = relay.watch(None, watch_request("entry-a"))
    reply = wire.decode(wire.ttypes.WatchReply, wire.encode(reply))
    assert (reply.serving, reply.entry_hosts, reply.map_index) == (True, 80, 9)
    (limit,) = reply.limits
    assert (limit.target, limit.limit_per_s, limit.offered_per_s) == (
        "t1",
        2.5,
        9.0,
    )


def test_broken_runs_are_sent_again_after_a_failed_report(relay, peers):
    relay.watch(None, watch_request("entry-a"))
    peers.error = errors.WireError("cut")
    asyncio.run(run_one_interval(relay))
    peers.error = None
    asyncio.run(run_one_interval(relay))
    (sent,) = peers.requests
    assert [run.fingerprint for run in sent.broken] == ["poison"]
    assert sent.cleared == ["popular"]
    # Requests that were counted long ago would look like a burst.
    assert sent.blocks == []


def test_a_new_leader_gets_the_recent_broken_runs(relay, peers):
    relay.watch(None, watch_request("entry-a"))
    asyncio.run(run_one_interval(relay))
    relay._replica.members.members[0].peer = wire.PeerAddress("10.0.0.9", 7000)
    asyncio.run(run_one_interval(relay))
    asyncio.run(run_one_interval(relay))
    fingerprints = [
        [run.fingerprint for run in sent.broken] for sent in peers.requests
    ]
    assert fingerprints == [["poison"], ["poison"], []]


def test_old_broken_runs_are_not_repeated():
    now_s = 1.0
    observed = observations.Observations(lambda: now_s)
    observed.record_broken_run("t1", 1, "poison")
    observed.flush_into(wire.ttypes.WatchRequest())
    now_s += broken_runs.REPORT_RETENTION_S + 1
    observed.repeat_runs()
    report = wire.ttypes.WatchRequest()
    observed.flush_into(report)
    assert report.broken == []


def test_without_a_leader_the_number_of_hosts_is_unknown(relay, peers):
    asyncio.run(run_one_interval(relay))
    peers.error = errors.WireError("cut")
    asyncio.run(run_one_interval(relay))
    assert relay.watch(None, watch_request("entry-a")).entry_hosts == 0


def test_a_new_leader_hears_which_targets_leave():
    reporting = observations.Observations()
    reporting.record_leaving("t1", 1)
    requests = [wire.ttypes.WatchRequest() for _ in range(3)]
    reporting.flush_into(requests[0])
    reporting.flush_into(requests[1])
    reporting.repeat_runs()
    reporting.flush_into(requests[2])
    reported = [[p.target for p in request.leaving] for request in requests]
    assert reported == [["t1"], [], ["t1"]]


def test_a_leaving_target_is_reported_again_after_a_failed_report():
    reporting = observations.Observations()
    reporting.record_leaving("t1", 1)
    failed = wire.ttypes.WatchRequest()
    reporting.flush_into(failed)
    reporting.restore_runs(failed)
    request = wire.ttypes.WatchRequest()
    reporting.flush_into(request)
    assert [process.target for process in request.leaving] == ["t1"]


def test_a_follower_tells_how_old_its_knowledge_of_the_last_change_is(
    relay, peers
):
    reply = relay.watch(None, watch_request("entry-a"))
    # It has just started and may lack entries that were committed long ago.
    assert reply.binding_age_ms is None
    asyncio.run(run_one_interval(relay))
    first = relay.watch(None, watch_request("entry-a"))
    assert first.binding_index == 7
    assert 0 < first.binding_age_ms < watch_relay.REPORT_INTERVAL_S * 1000
    peers.error = errors.WireError("cut")
    asyncio.run(run_one_interval(relay))
    second = relay.watch(None, watch_request("entry-a"))
    assert second.binding_age_ms > first.binding_age_ms + 300

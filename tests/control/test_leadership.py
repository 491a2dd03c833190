"""Leases of sessions that the leader has ended."""

from __future__ import annotations

import asyncio
import types

from goldcrestproxy import control
from goldcrestproxy.control import commands
from goldcrestproxy.control import feed
from goldcrestproxy.control import leadership
from goldcrestproxy import settings
from goldcrestproxy import wire


class FakeChannel:
    """A closed channel, which is not fed."""

    closed = True
    name = "h"


class FakeReplica:
    """A replica whose proposals wait until a test commits them."""

    def __init__(self):
        self.host = "leader"
        self.state = control.ControlState()
        self.now_s = 100.0
        self.waiting = []

    def clock(self):
        return self.now_s

    async def propose(self, command):
        future = asyncio.get_running_loop().create_future()
        self.waiting.append((command, future))
        return await future

    def commit_all(self):
        while self.waiting:
            command, future = self.waiting.pop(0)
            index = self.state.applied_index + 1
            future.set_result(self.state.apply(index, command))


def make_leadership(replica):
    replication = types.SimpleNamespace(
        leading=True, has_leader_lease=lambda: True
    )
    return leadership.Leadership(
        replica,
        replication,
        settings.Timeouts(),
        feed.Feeder(replica),
    )


def renew(leader, applied_index):
    """Return whether session s gets a lease, on a new channel."""
    request = wire.ttypes.RenewRequest(
        host="h",
        session="s",
        zone="z",
        applied_index=applied_index,
        entry=True,
    )
    return leader.renew(FakeChannel(), request).granted


def assign_coordinator(state):
    """Add a target to the state, with session s as its coordinator."""
    state.apply(
        1,
        commands.AnnounceTarget(
            target="t",
            incarnation="i",
            zone="z",
            desk="d",
            address="127.0.0.1:1",
            slots=1,
        ),
    )
    state.apply(
        2,
        commands.AssignCoordinators(
            host="h",
            session="s",
            address="127.0.0.1",
            peer_port=1,
            targets=("t",),
        ),
    )


def test_ended_session_gets_no_lease_until_its_map_knows():
    """By its old map it would coordinate targets of another daemon."""

    async def scenario():
        replica = FakeReplica()
        assign_coordinator(replica.state)
        leader = make_leadership(replica)
        assert renew(leader, 2)
        replica.now_s += 10.0
        ending = asyncio.create_task(leader._propose_due())
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert [type(c) for c, _ in replica.waiting] == [commands.EndSession]
        # The end is proposed but not committed yet.
        assert not renew(leader, 2)
        replica.commit_all()
        await asyncio.sleep(0.01)
        assert not renew(leader, 2)
        # A refused renewal gives no lease, so no second end is due.
        replica.now_s += 10.0
        assert leader.sessions.expired(replica.now_s) == []
        assert renew(leader, replica.state.map_index)
        ending.cancel()

    asyncio.run(scenario())


def test_next_leader_requires_the_same_map():
    async def scenario():
        replica = FakeReplica()
        assign_coordinator(replica.state)
        replica.state.apply(3, commands.EndSession(host="h", session="s"))
        leader = make_leadership(replica)
        assert not renew(leader, 2)
        assert renew(leader, 3)

    asyncio.run(scenario())

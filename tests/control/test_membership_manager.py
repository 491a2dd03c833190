"""Changes of members by a leader whose replica and peers are fakes."""

from __future__ import annotations

import asyncio
import types

import attrs

from goldcrestproxy import control
from goldcrestproxy.control import membership_manager
from goldcrestproxy import wire


def member(name, *, voter=True):
    return control.Member(
        replica=name,
        host=f"host-{name}",
        address="127.0.0.1",
        peer_port=1,
        voter=voter,
    )


@attrs.define
class FakeReplica:
    """A leader whose entries are committed at once."""

    members: control.Members
    state: types.SimpleNamespace = attrs.field(init=False)
    replica: str = "a"
    host: str = "host-a"
    leader_host: str = "host-a"
    commit_index: int = 1
    now_s: float = 100.0
    proposed: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self.state = types.SimpleNamespace(members=self.members)

    @property
    def peers(self):
        return self

    async def call(self, address, method, request, timeout_ms):
        assert method is wire.Method.IDENTITY
        return wire.ttypes.IdentityReply(
            replica="new", blank=True, host="host-new"
        )

    def clock(self):
        return self.now_s

    async def propose(self, command):
        self.proposed.append(command)
        self.members = self.state.members = command


@attrs.define
class FakeReplication:
    """Log replication of a term; learners are always in step."""

    established: bool = True
    leading: bool = True

    def has_leader_lease(self):
        return self.established

    def silent_s(self, _):
        return 0.0

    def caught_up(self, *_):
        return True


JOIN = wire.ttypes.JoinRequest(
    host="host-new", address="127.0.0.1", peer_port=2, replica="new"
)


async def settle():
    for _ in range(20):
        await asyncio.sleep(0)


def test_members_do_not_change_before_the_term_is_established():
    """Guards against two overlapping changes by successive leaders."""

    async def scenario():
        replica = FakeReplica(
            control.Members(members=tuple(map(member, "abc")))
        )
        replication = FakeReplication(established=False)
        manager = membership_manager.MembershipManager(replica, replication)
        manager.join(JOIN)
        await settle()
        assert not replica.proposed
        replication.established = True
        manager.join(JOIN)
        await settle()
        assert [m.replica for m in replica.members.members] == [*"abc", "new"]
        assert not replica.members.is_voter("new")

    asyncio.run(scenario())


def test_a_learner_of_an_earlier_leader_gets_its_vote():
    """Guards against additions that end with the leader that began them."""

    async def scenario():
        replica = FakeReplica(
            control.Members(
                members=(*map(member, "abc"), member("new", voter=False))
            )
        )
        manager = membership_manager.MembershipManager(
            replica, FakeReplication()
        )
        running = asyncio.create_task(manager.run())
        try:
            async with asyncio.timeout(10):
                while not replica.members.is_voter("new"):
                    await asyncio.sleep(membership_manager.POLL_S)
        finally:
            running.cancel()

    asyncio.run(scenario())

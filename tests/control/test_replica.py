"""Consensus: durability, elections, network cuts, repairs, membership."""

from __future__ import annotations

import asyncio
import random

import pytest
import replicas

from goldcrestproxy.control import membership
from goldcrestproxy import errors
from goldcrestproxy import storage
from goldcrestproxy import wire


def run(work):
    return asyncio.run(work)


def encoded_states(group):
    return [
        n.replica.state.encode()
        for n in group.nodes
        if n.running and n.replica.is_voter
    ]


def test_committed_entries_reach_every_replica():
    async def scenario():
        async with replicas.running_group() as group:
            leader = await group.leader()
            for number in range(20):
                await leader.replica.propose(replicas.announce_target(number))
            await group.wait_applied(leader.replica.state.applied_index)
            assert len(set(encoded_states(group))) == 1

    run(scenario())


def test_acknowledged_entry_survives_loss_of_the_leader():
    async def scenario():
        async with replicas.running_group() as group:
            leader = await group.leader()
            await leader.replica.propose(replicas.zone_change(0, 0))
            await leader.stop()
            after = await group.leader()
            assert after is not leader
            assert after.replica.state.configuration.revision == 1

    run(scenario())


def test_acknowledged_entry_survives_power_loss_of_all():
    async def scenario():
        async with replicas.running_group() as group:
            leader = await group.leader()
            for number in range(10):
                await leader.replica.propose(
                    replicas.zone_change(number, number)
                )
            old = group.nodes
            for node in old:
                await node.stop()
            for node in old:
                folder = node.folder.after_power_loss(random.Random(3))
                group.start(node.number, folder)
            after = await group.leader()
            assert after.replica.state.configuration.revision == 10

    run(scenario())


def test_cut_off_leader_steps_down_and_returns_quietly():
    async def scenario():
        async with replicas.running_group() as group:
            old = await group.leader()
            group.network.isolate(old.number)
            new = await group.leader(excluding=old.number)
            await new.replica.propose(replicas.zone_change(0, 0))
            await asyncio.sleep(0.5)
            assert not old.replica.is_leader
            term = new.replica.term
            # With pre-vote, the isolated replica has not raised its term.
            assert old.replica.term <= term
            group.network.heal()
            await group.wait_applied(new.replica.state.applied_index)
            assert new.replica.is_leader
            assert new.replica.term == term

    run(scenario())


def test_two_leaders_never_lease_at_the_same_time():
    async def scenario():
        async with replicas.running_group() as group:
            for _ in range(5):
                old = await group.leader()
                group.network.isolate(old.number)
                overlap = 0
                for _ in range(60):
                    leasing = [n for n in group.nodes if n.has_leader_lease]
                    overlap += len(leasing) > 1
                    await asyncio.sleep(0.003)
                assert overlap == 0
                group.network.heal()
                await asyncio.sleep(0.05)

    run(scenario())


def test_vote_is_refused_while_the_leader_is_heard():
    """No other leader may be elected while this one renews leases."""

    async def scenario():
        async with replicas.running_group() as group:
            leader = await group.leader()
            follower = next(n for n in group.nodes if n is not leader)
            for pre_vote in (True, False):
                request = wire.ttypes.VoteRequest(
                    term=leader.replica.term + 5,
                    candidate="another",
                    voter=follower.replica.replica,
                    last_index=1_000_000,
                    last_term=1_000_000,
                    pre_vote=pre_vote,
                )
                assert not follower.election.vote(request).granted
                assert not leader.election.vote(request).granted
            assert follower.replica.term == leader.replica.term

    run(scenario())


def test_restarted_replica_does_not_vote_at_once():
    """It may have answered the leader just before its restart."""

    async def scenario():
        async with replicas.running_group() as group:
            leader = await group.leader()
            follower = next(n for n in group.nodes if n is not leader)
            await follower.stop()
            again = group.start(follower.number, follower.folder)
            request = wire.ttypes.VoteRequest(
                term=leader.replica.term + 5,
                candidate="another",
                voter=again.replica.replica,
                last_index=1_000_000,
                last_term=1_000_000,
                pre_vote=False,
            )
            assert not again.election.vote(request).granted

    run(scenario())


def test_higher_term_of_a_shorter_log_does_not_block_elections():
    """One lacks entries, the other has a lower term: neither would win."""

    async def scenario():
        async with replicas.running_group() as group:
            leader = await group.leader()
            short, gone = (n for n in group.nodes if n is not leader)
            await short.stop()
            await leader.replica.propose(replicas.zone_change(0, 0))
            await gone.stop()
            await leader.stop()
            store = storage.ReplicaStore(short.folder)
            store.save_vote(storage.Vote(leader.replica.term + 40, ""))
            group.start(leader.number, leader.folder)
            group.start(short.number, short.folder)
            after = await group.leader()
            assert after.replica.state.configuration.revision == 1

    run(scenario())


def test_proposal_of_an_isolated_leader_is_never_acknowledged():
    async def scenario():
        async with replicas.running_group() as group:
            old = await group.leader()
            group.network.isolate(old.number)
            with pytest.raises(errors.ProposalLostError):
                await old.replica.propose(replicas.zone_change(0, 0))
            new = await group.leader(excluding=old.number)
            await new.replica.propose(replicas.zone_change(1, 0))
            group.network.heal()
            await group.wait_applied(new.replica.state.applied_index)
            assert len(set(encoded_states(group))) == 1
            history = old.replica.state.configuration.history
            assert [c.change_id for c in history] == ["change-1"]

    run(scenario())


def test_blank_disk_never_votes():
    async def scenario():
        async with replicas.running_group() as group:
            leader = await group.leader()
            await leader.replica.propose(replicas.zone_change(0, 0))
            others = [n for n in group.nodes if n is not leader]
            lost, left = others
            await lost.stop()
            await leader.stop()
            group.start(lost.number)
            await asyncio.sleep(0.5)
            # One voter and one blank disk are not a majority.
            assert not left.replica.is_leader

    run(scenario())


def test_second_loss_right_after_a_repair_loses_nothing():
    async def scenario():
        async with replicas.running_group() as group:
            leader = await group.leader()
            for number in range(5):
                await leader.replica.propose(
                    replicas.zone_change(number, number)
                )
            lost = next(n for n in group.nodes if n is not leader)
            await lost.stop()
            repaired = group.start(lost.number)
            await leader.manager.add_member(group.control_host(lost.number))
            hosts = [m.host for m in leader.replica.members.members]
            assert sorted(hosts) == ["host-0", "host-1", "host-2"]
            await leader.stop()
            after = await group.leader()
            assert after.replica.state.configuration.revision == 5
            assert repaired.replica.is_voter

    run(scenario())


def test_learner_catches_up_by_snapshot():
    async def scenario():
        async with replicas.running_group(log_entries_max=10) as group:
            leader = await group.leader()
            for number in range(35):
                await leader.replica.propose(replicas.announce_target(number))
            assert leader.replica.log.base_index > 0
            lost = next(n for n in group.nodes if n is not leader)
            await lost.stop()
            group.start(lost.number)
            await leader.manager.add_member(group.control_host(lost.number))
            await group.wait_applied(leader.replica.state.applied_index)
            assert len(set(encoded_states(group))) == 1

    run(scenario())


def test_removed_member_does_not_disrupt_the_group():
    async def scenario():
        async with replicas.running_group() as group:
            leader = await group.leader()
            removed = next(n for n in group.nodes if n is not leader)
            await membership.remove_member(
                leader.replica, removed.replica.host
            )
            term = leader.replica.term
            await asyncio.sleep(0.4)
            assert leader.replica.is_leader
            assert leader.replica.term == term

    run(scenario())


def test_last_voter_cannot_be_removed():
    async def scenario():
        async with replicas.running_group(1) as group:
            leader = await group.leader()
            with pytest.raises(errors.RefusedError, match="last voter"):
                await membership.remove_member(leader.replica, "host-0")

    run(scenario())


def test_bootstrap_may_be_repeated_but_not_changed():
    async def scenario():
        async with replicas.running_group() as group:
            first = group.nodes[0]
            hosts = [group.control_host(n) for n in range(3)]
            again = await membership.bootstrap_group(
                first.replica, first.follower, hosts
            )
            assert len(again.members) == 3
            with pytest.raises(errors.RefusedError, match="already"):
                await membership.bootstrap_group(
                    first.replica, first.follower, hosts[:2]
                )

    run(scenario())


def test_memory_and_files_stay_bounded_by_snapshots():
    async def scenario():
        async with replicas.running_group(1, log_entries_max=50) as group:
            leader = await group.leader()
            for number in range(400):
                await leader.replica.propose(replicas.announce_target(number))
            log = leader.replica.log
            assert log.last_index - log.base_index <= 51
            names = leader.folder.names()
            assert sum(name.startswith("log-") for name in names) <= 2

    run(scenario())

"""Heartbeats that arrive late, at a leader that knows no later ones.

The tests decide which message reaches which leader, and when.
"""

from __future__ import annotations

import asyncio
import random

import attrs
import pytest
import simulated_targets

from goldcrestproxy import control
from goldcrestproxy import registry

HEARTBEAT_S = 0.87


@pytest.fixture
def replica():
    fake = simulated_targets.FakeReplica()
    fake.state.apply(
        1, registry.ChangeItems(changed=(simulated_targets.SERVICE,))
    )
    return fake


@pytest.fixture
def simulated():
    """Targets of which the first one has a zone to itself."""
    found = simulated_targets.targets(4)
    found[0].zone = "zone-b"
    return found


def set_zone(replica, *, out):
    replica.state.apply(
        replica.state.applied_index + 1,
        registry.SetZone(zone="zone-b", out=out),
    )


def keys_of_two(simulated, now_s):
    """Return the keys that more than one target holds."""
    seen, twice = set(), set()
    for target in simulated:
        keys = target.keys(now_s)
        twice |= seen & keys
        seen |= keys
    return twice


async def beat(leader, replica, simulated, rounds=4):
    for _ in range(rounds):
        for target in simulated:
            await simulated_targets.send_heartbeat(leader, replica, target)
            replica.now_s += HEARTBEAT_S / len(simulated)
        await leader._tick()


async def release_all(leader, replica, simulated):
    """Empty the first target's zone; return its report of the release.

    The report is on its way; a later one has been served.
    """
    first = simulated[0]
    set_zone(replica, out=True)
    await simulated_targets.send_heartbeat(leader, replica, first)
    assert first.released
    late = first.heartbeat(replica.now_s)
    await simulated_targets.send_heartbeat(leader, replica, first)
    assert not first.released
    return late


async def released_and_granted_again(replica, simulated):
    """Let the first target release its keys and get some of them again.

    Returns its late report of the release.
    """
    leader = simulated_targets.new_leader(replica)
    await beat(leader, replica, simulated)
    late = await release_all(leader, replica, simulated)
    set_zone(replica, out=False)
    await beat(leader, replica, simulated[:1], rounds=1)
    await beat(leader, replica, simulated)
    assert simulated[0].keys(replica.now_s)
    return late


def test_a_late_release_frees_no_keys_that_were_granted_again(
    replica, simulated
):
    """Guards against two owners after a late report at a new leader."""

    async def scenario():
        late = await released_and_granted_again(replica, simulated)
        leader = simulated_targets.new_leader(replica, seed=2)
        # What is freed now goes to others, and not back to its holder.
        set_zone(replica, out=True)
        await leader.serve(late)
        await beat(leader, replica, simulated[1:], rounds=1)
        assert not keys_of_two(simulated, replica.now_s)

    asyncio.run(scenario())


def test_late_releases_are_ignored_by_each_later_leader(replica, simulated):
    """Guards against leaders that know only of the one before them."""

    async def scenario():
        late = await released_and_granted_again(replica, simulated)
        for seed in range(3):
            leader = simulated_targets.new_leader(replica, seed)
            for sequence in (late.sequence - 1, late.sequence):
                before = replica.state.applied_index
                await leader.serve(attrs.evolve(late, sequence=sequence))
                assert replica.state.applied_index == before
            await beat(leader, replica, simulated, rounds=1)
            assert not keys_of_two(simulated, replica.now_s)

    asyncio.run(scenario())


def test_a_late_release_of_a_block_that_was_split_since_is_ignored(
    replica, simulated
):
    async def scenario():
        late = await released_and_granted_again(replica, simulated)
        space = replica.state.registry.keyspaces["desk"]
        replica.state.apply(
            replica.state.applied_index + 1,
            registry.SplitBlocks(
                service="desk",
                cuts=tuple(
                    registry.BlockCut(first_key=first, pieces=2)
                    for first in space.owned_by(simulated[0].name)
                ),
            ),
        )
        set_zone(replica, out=True)
        leader = simulated_targets.new_leader(replica, seed=2)
        await leader.serve(late)
        await beat(leader, replica, simulated[1:], rounds=1)
        assert not keys_of_two(simulated, replica.now_s)

    asyncio.run(scenario())


def test_a_release_that_is_not_late_is_taken_at_once_by_a_new_leader(
    replica, simulated
):
    """Keys are not without an owner for a hold after a change of leader."""

    async def scenario():
        leader = simulated_targets.new_leader(replica)
        await beat(leader, replica, simulated)
        set_zone(replica, out=True)
        await simulated_targets.send_heartbeat(leader, replica, simulated[0])
        leader = simulated_targets.new_leader(replica, seed=2)
        await simulated_targets.send_heartbeat(leader, replica, simulated[0])
        space = replica.state.registry.keyspaces["desk"]
        assert not space.owned_by(simulated[0].name)

    asyncio.run(scenario())


def test_a_late_report_does_not_warm_a_target_that_turned_cold(
    replica, simulated
):
    """Guards against too many requests to a target that is cold again."""

    async def scenario():
        leader = simulated_targets.new_leader(replica)
        await beat(leader, replica, simulated, rounds=2)
        late = simulated[0].heartbeat(replica.now_s)
        simulated[0].cold_ms = 3000
        await beat(leader, replica, simulated, rounds=1)
        leader = simulated_targets.new_leader(replica, seed=2)
        await leader.serve(late)
        name = simulated[0].name
        assert replica.state.registry.targets[name].cold_ms == 3000

    asyncio.run(scenario())


def test_a_restarted_targets_first_report_is_not_late(replica, simulated):
    async def scenario():
        leader = simulated_targets.new_leader(replica)
        await beat(leader, replica, simulated)
        simulated[0].restart()
        leader = simulated_targets.new_leader(replica, seed=2)
        answer = await simulated_targets.send_heartbeat(
            leader, replica, simulated[0]
        )
        assert answer.ranges is not None

    asyncio.run(scenario())


def test_registrations_of_earlier_builds_date_nothing(replica, simulated):
    """An entry or snapshot without sequence numbers is still read."""

    async def scenario():
        leader = simulated_targets.new_leader(replica)
        await beat(leader, replica, simulated)
        for target in replica.state.registry.targets.values():
            target.sequence = -1
        replica.state = control.ControlState.decode(replica.state.encode())
        leader = simulated_targets.new_leader(replica, seed=2)
        answer = await simulated_targets.send_heartbeat(
            leader, replica, simulated[0]
        )
        assert answer.ranges

    asyncio.run(scenario())


@pytest.mark.parametrize("seed", range(16))
def test_no_key_has_two_holders_whatever_comes_late(replica, simulated, seed):
    """Reports are held up for seconds and may meet any later leader."""
    rng = random.Random(seed)

    async def scenario():
        leader = simulated_targets.new_leader(replica, seed)
        await beat(leader, replica, simulated)
        on_their_way = []
        for _ in range(300):
            replica.now_s += rng.uniform(0, 0.4)
            target = rng.choice(simulated)
            match rng.choice(
                ["beat"] * 8 + ["late"] * 2 + ["arrive", "zone", "tick"]
            ):
                case "beat":
                    await simulated_targets.send_heartbeat(
                        leader, replica, target
                    )
                case "late":
                    telling = [t for t in simulated if t.released] or [target]
                    on_their_way.append(telling[0].heartbeat(replica.now_s))
                case "arrive" if on_their_way:
                    late = on_their_way.pop(rng.randrange(len(on_their_way)))
                    await leader.serve(late)
                case "zone":
                    set_zone(replica, out=rng.random() < 0.5)
                case "tick":
                    await leader._tick()
            if rng.random() < 0.05:
                leader = simulated_targets.new_leader(replica, rng.random())
                if on_their_way and rng.random() < 0.5:
                    await leader.serve(on_their_way.pop())
            assert not keys_of_two(simulated, replica.now_s)

    asyncio.run(scenario())

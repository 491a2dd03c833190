"""Heartbeats and holds: a key never has two holders at the same time.

Simulated targets have their own clocks, which may run slow. Heartbeats and
responses are lost, targets crash and restart, and leaders change. The tests
control time and the commit of entries.
"""

from __future__ import annotations

import asyncio
import random

import pytest
import simulated_targets

from goldcrestproxy import control
from goldcrestproxy import errors
from goldcrestproxy import registry
from goldcrestproxy.routing import demand
from goldcrestproxy.routing import key_placement
from goldcrestproxy import wire


@pytest.fixture
def replica():
    fake = simulated_targets.FakeReplica()
    fake.state.apply(
        1, registry.ChangeItems(changed=(simulated_targets.SERVICE,))
    )
    return fake


async def run_rounds(leader, replica, simulated, rounds=4):
    for _ in range(rounds):
        for target in simulated:
            await simulated_targets.send_heartbeat(leader, replica, target)
            replica.now_s += 0.87 / len(simulated)
        await leader._tick()


def assert_one_holder(simulated, now_s):
    seen = {}
    for target in simulated:
        for key in target.keys(now_s):
            assert key not in seen, (key, seen[key], target.name)
            seen[key] = target.name
    return seen


def test_all_keys_are_assigned_after_a_few_heartbeats(replica):
    simulated = simulated_targets.targets(5)
    asyncio.run(
        run_rounds(simulated_targets.new_leader(replica), replica, simulated)
    )
    assert (
        len(assert_one_holder(simulated, replica.now_s)) == registry.KEY_COUNT
    )


def test_a_crashed_owners_keys_wait_for_the_end_of_its_hold(replica):
    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = simulated_targets.targets(4)
        await run_rounds(leader, replica, simulated)
        crashed, others = simulated[1], simulated[2:] + simulated[:1]
        until_s = crashed.until_s
        while replica.now_s < until_s:
            await run_rounds(leader, replica, others, rounds=1)
            assert_one_holder(simulated, replica.now_s)
        await run_rounds(leader, replica, others, rounds=3)
        assert (
            len(assert_one_holder(others, replica.now_s)) == registry.KEY_COUNT
        )

    asyncio.run(scenario())


def test_a_new_leader_waits_out_holds_it_did_not_see(replica):
    async def scenario():
        simulated = simulated_targets.targets(4)
        await run_rounds(
            simulated_targets.new_leader(replica), replica, simulated
        )
        leader = simulated_targets.new_leader(replica)
        others = simulated[1:]
        silent = simulated[0]
        while replica.now_s < silent.until_s:
            await run_rounds(leader, replica, others, rounds=1)
            assert_one_holder(simulated, replica.now_s)

    asyncio.run(scenario())


def test_a_leaving_target_hands_everything_over(replica):
    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = simulated_targets.targets(4)
        await run_rounds(leader, replica, simulated)
        simulated[0].leaving = True
        answer = await simulated_targets.send_heartbeat(
            leader, replica, simulated[0]
        )
        assert answer.ranges == ()
        await simulated_targets.send_heartbeat(leader, replica, simulated[0])
        handed = replica.state.registry.keyspaces["desk"].handovers
        assert set(handed.values()) == {"t0-3"} or handed
        await run_rounds(leader, replica, simulated[1:], rounds=2)
        assert len(assert_one_holder(simulated[1:], replica.now_s)) == (
            registry.KEY_COUNT
        )

    asyncio.run(scenario())


def test_a_late_heartbeat_of_a_dead_incarnation_changes_nothing(replica):
    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = simulated_targets.targets(3)
        await run_rounds(leader, replica, simulated)
        late = simulated[0].heartbeat(replica.now_s)
        simulated[0].restart()
        await simulated_targets.send_heartbeat(leader, replica, simulated[0])
        before = replica.state.applied_index
        answer = await leader.serve(late)
        assert answer.ranges is None
        assert replica.state.applied_index == before

    asyncio.run(scenario())


@pytest.mark.parametrize("keys", [True, False])
def test_a_late_heartbeat_does_not_bring_back_a_target_that_left(
    replica, keys
):
    """The leader that served its goodbye was restarted since."""

    async def scenario():
        simulated = simulated_targets.targets(3)
        leader = simulated_targets.new_leader(replica)
        if keys:
            await run_rounds(leader, replica, simulated)
        else:
            await simulated_targets.send_heartbeat(
                leader, replica, simulated[0]
            )
        left = simulated[0]
        late = left.heartbeat(replica.now_s)
        await leader.serve(
            registry.Goodbye(target=left.name, incarnation=left.incarnation)
        )
        await run_rounds(leader, replica, simulated[1:], rounds=6)
        replica.state = control.ControlState.decode(replica.state.encode())
        leader = simulated_targets.new_leader(replica)
        answer = await leader.serve(late)
        assert answer.ranges in (None, ())
        assert not any(
            target.accepts_work
            for target in replica.state.registry.targets.values()
            if target.target == left.name
        )
        left.restart()
        await simulated_targets.send_heartbeat(leader, replica, left)
        assert replica.state.registry.targets[left.name].accepts_work

    asyncio.run(scenario())


def test_a_target_that_turns_cold_again_before_it_was_warm_is_registered(
    replica,
):
    """Entry hosts take it for warm once the first cold time is over."""

    async def scenario():
        leader = simulated_targets.new_leader(replica)
        (target,) = simulated_targets.targets(1)

        async def registered_cold_ms(cold_ms):
            target.cold_ms = cold_ms
            before = replica.state.applied_index
            await simulated_targets.send_heartbeat(leader, replica, target)
            replica.now_s += 0.87
            record = replica.state.registry.targets[target.name]
            # A new index starts the cold time at the entry hosts.
            return record.cold_ms if record.cold_index > before else None

        assert await registered_cold_ms(3000) == 3000
        assert await registered_cold_ms(2130) is None
        assert await registered_cold_ms(2900) == 2900
        assert await registered_cold_ms(2030) is None
        leader = simulated_targets.new_leader(replica)
        assert await registered_cold_ms(1160) == 1160
        assert await registered_cold_ms(290) is None
        await registered_cold_ms(0)
        assert replica.state.registry.targets[target.name].cold_ms == 0

    asyncio.run(scenario())


def test_an_answer_that_another_overtook_grants_nothing(replica):
    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = simulated_targets.targets(2)
        await run_rounds(leader, replica, simulated)
        early = simulated[0].heartbeat(replica.now_s)
        later = simulated[0].heartbeat(replica.now_s)
        await leader.serve(later)
        assert (await leader.serve(early)).ranges is None

    asyncio.run(scenario())


def test_nothing_is_granted_without_leadership(replica):
    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = simulated_targets.targets(2)
        await run_rounds(leader, replica, simulated)
        replica.leading = False
        with pytest.raises(errors.NotLeaderError):
            await simulated_targets.send_heartbeat(
                leader, replica, simulated[0]
            )

    asyncio.run(scenario())


def test_unreported_release_frees_keys_after_the_hold_expires(replica):
    """The hold expired before the target received the release request."""

    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = simulated_targets.targets(3)
        await run_rounds(leader, replica, simulated)
        replica.state.apply(
            replica.state.applied_index + 1,
            registry.SetZone(zone="zone-a", out=True),
        )
        await simulated_targets.send_heartbeat(
            leader, replica, simulated[0], lost=True
        )
        replica.now_s += 4.0
        await simulated_targets.send_heartbeat(leader, replica, simulated[0])
        space = replica.state.registry.keyspaces["desk"]
        assert space.owned_by("t0") == []

    asyncio.run(scenario())


@pytest.mark.parametrize("count", [1, 21, 200])
def test_response_size_is_limited(replica, count):
    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = simulated_targets.targets(count)
        await run_rounds(leader, replica, simulated, rounds=3)
        for target in simulated:
            answer = await simulated_targets.send_heartbeat(
                leader, replica, target
            )
            text = [
                [r.first_key, r.last_key, r.token, r.handover]
                for r in answer.ranges
            ]
            assert len(str(text).replace(" ", "")) < 4000

    asyncio.run(scenario())


@pytest.mark.parametrize("seed", range(12))
def test_no_key_has_two_holders_whatever_fails(replica, seed):
    rng = random.Random(seed)

    async def step(leader, simulated):
        target = rng.choice(simulated)
        match rng.choice(
            ["beat"] * 8 + ["lost", "slow", "crash", "zone", "tick", "leave"]
        ):
            case "beat":
                await simulated_targets.send_heartbeat(leader, replica, target)
            case "lost":
                await simulated_targets.send_heartbeat(
                    leader, replica, target, lost=True
                )
            case "slow":
                await simulated_targets.send_heartbeat(
                    leader, replica, target, delay_s=rng.uniform(0, 4)
                )
            case "crash":
                target.restart()
            case "zone":
                replica.state.apply(
                    replica.state.applied_index + 1,
                    registry.SetZone(zone="zone-a", out=rng.random() < 0.2),
                )
            case "tick":
                await leader._tick()
            case "leave":
                target.leaving = rng.random() < 0.2

    async def scenario():
        leader = simulated_targets.new_leader(replica, seed)
        simulated = simulated_targets.targets(4)
        await run_rounds(leader, replica, simulated)
        for _ in range(250):
            replica.now_s += rng.uniform(0, 0.4)
            await step(leader, simulated)
            if rng.random() < 0.03:
                leader = simulated_targets.new_leader(replica, rng.random())
            assert_one_holder(simulated, replica.now_s)

    asyncio.run(scenario())


def test_no_block_stays_free_when_fast_targets_are_full(replica, monkeypatch):
    """Blocks that targets at OWNED_BLOCKS_MAX can't take go to the others."""
    monkeypatch.setattr(key_placement, "OWNED_BLOCKS_MAX", 100)

    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = simulated_targets.targets(4)
        await run_rounds(leader, replica, simulated)
        for target in simulated:
            work_ms = 10.0 if target.name == "t0" else 100.0
            work_time = demand.TargetWorkTime()
            work_time.record(work_ms * 200, 200, replica.now_s)
            leader._planner._work_times[target.name, 1] = work_time
        replica.state.apply(
            replica.state.applied_index + 1,
            registry.LoseTarget(target="t3", incarnation=1, gone=True),
        )
        replica.now_s += 5.0
        await leader._tick()
        await run_rounds(leader, replica, simulated[:3], rounds=6)
        assert replica.state.registry.keyspaces["desk"].free_blocks() == []

    asyncio.run(scenario())


def test_hot_block_is_split_and_distributed(replica):
    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = simulated_targets.targets(6)
        await run_rounds(leader, replica, simulated)
        space = replica.state.registry.keyspaces["desk"]
        hot = space.firsts[10]
        for _ in range(10):
            leader._planner.demand_of("desk").count(hot, 60, replica.now_s)
            for first in space.firsts:
                leader._planner.demand_of("desk").count(
                    first, 1, replica.now_s
                )
            await run_rounds(leader, replica, simulated, rounds=1)
        holders = {
            space.owner_of(key)
            for key in range(hot, hot + key_placement.block_keys_for(6))
        }
        assert len(holders) >= 3

    asyncio.run(scenario())


def test_target_back_after_silence_keeps_its_blocks(replica):
    """Shares computed while it was lost would withdraw all its blocks."""

    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = [
            simulated_targets.SimulatedTarget(
                name=f"i-{n}", address=f"10.0.0.{n}:80", clock_slowdown=0.0
            )
            for n in range(4)
        ]
        for _ in range(3):
            for target in simulated:
                sent_s = replica.now_s
                answer = await leader.serve(target.heartbeat(sent_s))
                target.apply_answer(answer, sent_s, sent_s)
            replica.now_s += 0.87
            await leader._tick()
        # One target is silent until it counts as lost; the others continue.
        for _ in range(3):
            replica.now_s += 0.87
            await leader._tick()
            for target in simulated[1:]:
                sent_s = replica.now_s
                answer = await leader.serve(target.heartbeat(sent_s))
                target.apply_answer(answer, sent_s, sent_s)
        registered = replica.state.registry.targets["i-0"]
        assert registered.lost
        space = replica.state.registry.keyspaces["desk"]
        owned = space.owned_by("i-0")
        assert owned
        answer = await leader.serve(simulated[0].heartbeat(replica.now_s))
        granted = {
            first
            for row in answer.ranges
            for first in space.blocks_within(row.first_key, row.last_key)
        }
        assert granted == set(owned)

    asyncio.run(scenario())


def watch_request(**reports):
    return wire.ttypes.WatchRequest(
        host="entry-a",
        session="s",
        zone="zone-a",
        applied_index=0,
        entry=True,
        **reports,
    )


def broken_run(target, incarnation, fingerprint):
    return watch_request(
        broken=[
            wire.ttypes.BrokenRun(
                fingerprint=fingerprint, target=target, incarnation=incarnation
            )
        ],
    )


def cleared(fingerprint):
    return watch_request(cleared=[fingerprint])


def test_a_target_that_names_a_limit_owns_fewer_keys(replica):
    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = [
            simulated_targets.SimulatedTarget(
                name=f"i-{n}", address=f"10.0.0.{n}:80", clock_slowdown=0.0
            )
            for n in range(4)
        ]
        await lay_out(leader, replica, simulated)
        space = replica.state.registry.keyspaces["desk"]
        before = len(space.owned_by("i-0"))
        limit = wire.ttypes.TargetLimit(
            target="i-0", incarnation=1, limit_per_s=1.0
        )
        leader.observe(watch_request(limits=[limit]))
        await beat_for(leader, replica, simulated, 15.0)
        assert len(space.owned_by("i-0")) < before / 2
        assert [t.target for t in leader.target_limits()] == ["i-0"]

        withdrawn = wire.ttypes.TargetLimit(
            target="i-0", incarnation=1, withdrawn=True
        )
        leader.observe(watch_request(limits=[withdrawn]))
        (limit,) = leader.target_limits()
        assert (limit.limit_per_s, limit.withdrawn) == (None, True)
        await beat_for(leader, replica, simulated, 15.0)
        assert len(space.owned_by("i-0")) > before / 2

    asyncio.run(scenario())


async def lay_out(leader, replica, simulated):
    await beat_for(leader, replica, simulated, 4.0)
    assert "desk" in replica.state.registry.keyspaces


async def beat_for(leader, replica, simulated, duration_s):
    """Let targets send heartbeats and obey the answers."""
    end_s = replica.now_s + duration_s
    while replica.now_s < end_s:
        for target in simulated:
            sent_s = replica.now_s
            answer = await leader.serve(target.heartbeat(sent_s))
            target.apply_answer(answer, sent_s, sent_s)
        replica.now_s += 0.4
        await leader._tick()


def test_a_request_that_crashes_targets_is_quarantined(replica):
    """Two crashes are detected by a restart, the third by silence."""

    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = simulated_targets.SimulatedTarget(
            name="i-1",
            address="10.0.0.1:80",
            clock_slowdown=0.0,
            incarnation=1,
        )
        is_quarantined = replica.state.quarantine.is_quarantined
        await leader.serve(simulated.heartbeat(replica.now_s))
        for crash in range(2):
            leader.observe(broken_run("i-1", crash + 1, "poison"))
            replica.now_s += 0.5
            simulated.restart()
            await leader.serve(simulated.heartbeat(replica.now_s))
        assert not is_quarantined("poison")
        leader.observe(broken_run("i-1", 3, "poison"))
        replica.now_s += 3 * 0.87 + 0.1
        await leader._tick()
        assert is_quarantined("poison")

    asyncio.run(scenario())


def test_a_request_that_targets_answer_is_not_quarantined(replica):
    """It was in flight at three crashes that another request caused."""

    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = simulated_targets.SimulatedTarget(
            name="i-1", address="10.0.0.1:80", clock_slowdown=0.0
        )
        await leader.serve(simulated.heartbeat(replica.now_s))
        for crash in range(3):
            leader.observe(broken_run("i-1", crash + 1, "popular"))
            leader.observe(broken_run("i-1", crash + 1, "poison"))
            replica.now_s += 0.5
            simulated.restart()
            await leader.serve(simulated.heartbeat(replica.now_s))
            leader.observe(cleared("popular"))
            await leader._tick()
        is_quarantined = replica.state.quarantine.is_quarantined
        assert is_quarantined("poison")
        assert not is_quarantined("popular")
        leader.observe(cleared("poison"))
        await leader._tick()
        assert not replica.state.quarantine.crashes

    asyncio.run(scenario())


def test_a_report_that_comes_after_the_crash_was_detected_counts(replica):
    """Targets start again before the entry host's report arrives."""

    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = simulated_targets.SimulatedTarget(
            name="i-1", address="10.0.0.1:80", clock_slowdown=0.0
        )
        await leader.serve(simulated.heartbeat(replica.now_s))
        for crash in range(3):
            simulated.restart()
            await leader.serve(simulated.heartbeat(replica.now_s))
            replica.now_s += 2.0
            leader.observe(broken_run("i-1", crash + 1, "poison"))
            leader.observe(broken_run("i-1", crash + 1, "poison"))
            await leader._tick()
            record = replica.state.quarantine.crashes["poison"]
            assert len(record.crashes) == crash + 1
        assert replica.state.quarantine.is_quarantined("poison")

    asyncio.run(scenario())


def test_breaks_without_a_crash_quarantine_nothing(replica):
    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = simulated_targets.SimulatedTarget(
            name="i-1", address="10.0.0.1:80", clock_slowdown=0.0
        )
        for _ in range(20):
            await leader.serve(simulated.heartbeat(replica.now_s))
            leader.observe(broken_run("i-1", 1, "unlucky"))
            replica.now_s += 0.8
            await leader._tick()
        replica.now_s += 10
        simulated.restart()
        await leader.serve(simulated.heartbeat(replica.now_s))
        assert not replica.state.quarantine.crashes

    asyncio.run(scenario())


def beating_targets(count):
    return [
        simulated_targets.SimulatedTarget(
            name=f"i-{n}", address=f"10.0.0.{n}:80", clock_slowdown=0.0
        )
        for n in range(count)
    ]


def test_keys_of_a_target_whose_answers_say_that_it_leaves_move(replica):
    """Its heartbeats never say so, also not to the next leader."""

    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = beating_targets(4)
        await lay_out(leader, replica, simulated)
        space = replica.state.registry.keyspaces["desk"]
        assert space.owned_by("i-0")
        process = wire.ttypes.TargetProcess(target="i-0", incarnation=1)
        leader.observe(watch_request(leaving=[process]))
        await beat_for(leader, replica, simulated, 4.0)
        assert replica.state.registry.targets["i-0"].leaving
        assert space.owned_by("i-0") == []
        await beat_for(
            simulated_targets.new_leader(replica), replica, simulated, 15.0
        )
        assert replica.state.registry.targets["i-0"].leaving
        assert space.owned_by("i-0") == []
        simulated[0].restart()
        await beat_for(leader, replica, simulated, 4.0)
        assert not replica.state.registry.targets["i-0"].leaving

    asyncio.run(scenario())


@pytest.mark.parametrize(("resting", "moved"), [(1, True), (2, False)])
def test_keys_of_targets_that_ask_for_rest_move_unless_many_do(
    replica, resting, moved
):
    async def scenario():
        leader = simulated_targets.new_leader(replica)
        simulated = beating_targets(4)
        await lay_out(leader, replica, simulated)
        space = replica.state.registry.keyspaces["desk"]
        rests = [
            wire.ttypes.TargetRest(
                target=f"i-{n}", incarnation=1, rest_ms=8_000
            )
            for n in range(resting)
        ]
        leader.observe(watch_request(rests=rests))
        await beat_for(leader, replica, simulated, 4.0)
        assert (space.owned_by("i-0") == []) is moved
        await beat_for(leader, replica, simulated, 20.0)
        assert space.owned_by("i-0")

    asyncio.run(scenario())

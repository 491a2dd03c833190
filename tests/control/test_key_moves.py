"""Keys stay with their targets while nothing calls for a move.

A leader serves targets that differ in speed, under a steady load that entry
hosts report. Most of the load is for few keys, and a target does a fifth of
its work at a third of its speed, as its neighbours on the same machine
disturb it.
"""

from __future__ import annotations

import asyncio
import bisect
import itertools
import random
import statistics

import attrs
import pytest
import simulated_targets

from goldcrestproxy import registry
from goldcrestproxy.routing import load_split
from goldcrestproxy import wire

STEP_S = 0.05
HEARTBEAT_S = 0.87
REPORT_INTERVAL_S = 0.25
SPEEDS = (0.5, 1.0, 1.0, 1.5)
SLOTS = 4
DISTURBED_SHARE, DISTURBED_RATIO, DISTURBED_S = 0.2, 3.0, 0.4
# Ranks of keys follow a power law; neighbouring ranks are neighbouring keys.
SKEW = 0.6
WARM_UP_S, PLAY_S = 4.0, 20.0
# Moves for each key that has to move once speeds are known.
MOVES_RATIO_MAX = 1.5


@attrs.define
class KeyLoad:
    """Plays a load to a leader and counts the keys that change hands."""

    replica: simulated_targets.FakeReplica
    target_count: int
    requests_per_s: float
    work_ms: float
    rng: random.Random
    moved_keys: int = 0
    # Busiest target's load for its speed, relative to the mean.
    imbalances: list[float] = attrs.field(factory=list)
    targets: list = attrs.field(init=False)
    speeds: dict = attrs.field(init=False)
    sums: list[float] = attrs.field(init=False)
    # Until when each target is disturbed or not, and which.
    disturbances: dict = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self):
        self.targets = simulated_targets.targets(self.target_count)
        self.speeds = {
            target.name: SPEEDS[number % len(SPEEDS)]
            for number, target in enumerate(self.targets)
        }
        self.sums = list(
            itertools.accumulate(
                rank**-SKEW for rank in range(1, registry.KEY_COUNT + 1)
            )
        )

    @property
    def space(self):
        return self.replica.state.registry.keyspaces["desk"]

    def duration_ms(self, target):
        """Draw the time that a request takes at a target."""
        now_s = self.replica.now_s
        until_s, disturbed = self.disturbances.get(target, (0.0, False))
        if now_s >= until_s:
            disturbed = self.rng.random() < DISTURBED_SHARE
            self.disturbances[target] = now_s + DISTURBED_S, disturbed
        ratio = DISTURBED_RATIO if disturbed else 1.0
        spread = self.rng.lognormvariate(0.0, 0.5)
        return self.work_ms * ratio * spread / self.speeds[target]

    def report(self, leader, requests):
        """Report requests for keys as entry hosts do."""
        blocks, work = {}, {}
        for key in requests:
            position = self.space.position_of(key)
            first, owner = (
                self.space.firsts[position],
                self.space.owners[position],
            )
            blocks[first] = blocks.get(first, 0) + 1
            if owner:
                total_ms, answers = work.get(owner, (0.0, 0))
                work[owner] = total_ms + self.duration_ms(owner), answers + 1
        leader.observe(
            wire.ttypes.WatchRequest(
                host="entry-a",
                session="s",
                zone="zone-a",
                applied_index=0,
                entry=True,
                observations=[
                    wire.ttypes.TargetObservation(
                        target=name,
                        incarnation=1,
                        answers=answers,
                        work_ms=total_ms,
                    )
                    for name, (total_ms, answers) in work.items()
                ],
                blocks=[
                    wire.ttypes.BlockCount(
                        service_name="desk", first_key=first, requests=count
                    )
                    for first, count in blocks.items()
                ],
            )
        )

    def draw_keys(self, duration_s):
        expected = self.requests_per_s * duration_s
        count = max(0, round(self.rng.gauss(expected, expected**0.5)))
        return [
            bisect.bisect_left(self.sums, self.rng.random() * self.sums[-1])
            for _ in range(count)
        ]

    def imbalance(self):
        """Return the busiest target's load, relative to the mean."""
        loads = dict.fromkeys(self.speeds, 0.0)
        ends = [*self.space.firsts[1:], registry.KEY_COUNT]
        for first, end, owner in zip(
            self.space.firsts, ends, self.space.owners, strict=True
        ):
            before = self.sums[first - 1] if first else 0.0
            if owner:
                loads[owner] += (self.sums[end - 1] - before) / (
                    self.speeds[owner]
                )
        return max(loads.values()) / statistics.fmean(loads.values())

    async def play(self):
        leader = simulated_targets.new_leader(self.replica)
        await self._beat_for(leader, WARM_UP_S, load=False)
        owners = self._owners()
        await self._beat_for(leader, PLAY_S, load=True, owners=owners)

    def _owners(self):
        return {key: self.space.owner_of(key) for key in range(0, 65536, 4)}

    async def _beat_for(self, leader, duration_s, *, load, owners=None):
        due_s = {
            target.name: self.replica.now_s + self.rng.random() * HEARTBEAT_S
            for target in self.targets
        }
        report_s = self.replica.now_s
        end_s = self.replica.now_s + duration_s
        while self.replica.now_s < end_s:
            self.replica.now_s += STEP_S
            for target in self.targets:
                # A target that releases keys sends a heartbeat at once.
                if self.replica.now_s >= due_s[target.name]:
                    await simulated_targets.send_heartbeat(
                        leader, self.replica, target
                    )
                    wait_s = 0.1 if target.released else HEARTBEAT_S
                    due_s[target.name] = self.replica.now_s + wait_s
            await leader._tick()
            if load and self.replica.now_s >= report_s + REPORT_INTERVAL_S:
                report_s = self.replica.now_s
                self.report(leader, self.draw_keys(REPORT_INTERVAL_S))
                self._count_moves(owners)
                self.imbalances.append(self.imbalance())

    def _count_moves(self, owners):
        for key, previous in owners.items():
            owner = self.space.owner_of(key)
            if owner and owner != previous:
                self.moved_keys += 4
                owners[key] = owner

    def least_moved_share(self):
        """Return the share of the keys that targets' speeds call for."""
        shares = load_split.divide(
            {
                name: load_split.TargetCapacity(
                    slots=SLOTS, work_ms=self.work_ms * 1.4 / speed
                )
                for name, speed in self.speeds.items()
            },
            self.requests_per_s,
        )
        even = 1 / len(shares)
        return sum(max(0.0, even - share) for share in shares.values())


@pytest.mark.parametrize(
    ("target_count", "requests_per_s", "work_ms"),
    [
        # Like the largest deployment, a quarter of it.
        (53, 283.0, 385.0),
        (21, 507.0, 66.0),
    ],
)
def test_keys_move_little_more_than_the_speeds_of_targets_call_for(
    target_count, requests_per_s, work_ms
):
    replica = simulated_targets.FakeReplica()
    replica.state.apply(
        1, registry.ChangeItems(changed=(simulated_targets.SERVICE,))
    )
    load = KeyLoad(
        replica, target_count, requests_per_s, work_ms, random.Random(1)
    )
    asyncio.run(load.play())
    moved_share = load.moved_keys / registry.KEY_COUNT
    assert moved_share <= MOVES_RATIO_MAX * load.least_moved_share()

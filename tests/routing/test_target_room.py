"""Hosts keep below what a target holds that resets connections when full."""

from __future__ import annotations

import collections
import math
import random

import attrs
import pytest

from goldcrestproxy.routing import target_choice
from goldcrestproxy.routing import target_room

SLOTS = 6
QUEUE_MAX = 24
WORK_MS = 120.0
DEADLINE_MS = 1000.0
HOSTS = 10
STEP_S = 0.005
PLAY_S = 60.0
# Share of the requests that may find the target full, since it has to be
# found out whether it takes more again.
RESETS_MAX = 0.03
# Share of what the target can do that callers get.
SERVED_MIN = 0.95


@attrs.define
class Host:
    """One host's view of the target."""

    stats: target_choice.TargetStats = attrs.field(
        factory=lambda: target_choice.TargetStats(slots=SLOTS)
    )
    room: target_room.TargetRoom = attrs.field(
        factory=lambda: target_room.TargetRoom(slots=SLOTS)
    )

    def sends(self, now_s):
        return not target_choice.would_miss_deadline(
            self.stats, DEADLINE_MS, now_s, urgent=True
        ) and self.room.has_room(self.stats.requests_ahead(now_s), now_s)

    def record_reset(self, now_s):
        self.room.record_reset(self.stats.requests_ahead(now_s), now_s)
        self.stats.record_end()

    def record_answer(self, duration_ms, load, now_s):
        self.stats.record_load(load, now_s)
        self.stats.record_answer(duration_ms)
        self.stats.record_end()


def play(rate_per_s, rng):
    """Play a load; return the requests by what came of them."""
    hosts = [Host() for _ in range(HOSTS)]
    running, waiting = [], collections.deque()
    outcomes = collections.Counter()
    for step in range(round(PLAY_S / STEP_S)):
        now_s = 1.0 + step * STEP_S
        for done in [work for work in running if work[0] <= now_s]:
            running.remove(done)
            _, sent_s, host = done
            load = target_choice.LoadReport(
                running=len(running), waiting=len(waiting), slots=SLOTS
            )
            host.record_answer((now_s - sent_s) * 1000, load, now_s)
            outcomes["served"] += 1
        while waiting and len(running) < SLOTS:
            sent_s, host = waiting.popleft()
            work_s = WORK_MS / 1000 * rng.lognormvariate(-0.125, 0.5)
            running.append((now_s + work_s, sent_s, host))
        if rng.random() >= rate_per_s * STEP_S:
            continue
        host = rng.choice(hosts)
        if not host.sends(now_s):
            outcomes["refused"] += 1
            continue
        host.stats.record_start()
        if len(waiting) >= QUEUE_MAX:
            host.record_reset(now_s)
            outcomes["reset"] += 1
        else:
            waiting.append((now_s, host))
    return outcomes


@pytest.mark.parametrize("overload", [1.5, 2.5])
def test_callers_of_a_full_target_are_refused_and_seldom_reset(overload):
    capacity_per_s = SLOTS / WORK_MS * 1000
    outcomes = play(overload * capacity_per_s, random.Random(1))
    assert outcomes["reset"] <= RESETS_MAX * outcomes.total()
    assert outcomes["served"] >= SERVED_MIN * capacity_per_s * PLAY_S


def test_a_target_that_is_not_full_gets_everything():
    capacity_per_s = SLOTS / WORK_MS * 1000
    outcomes = play(0.6 * capacity_per_s, random.Random(1))
    assert outcomes["reset"] == outcomes["refused"] == 0


def test_there_is_room_until_the_first_reset():
    room = target_room.TargetRoom(slots=4)
    assert room.has_room(1_000, 5.0)


def test_the_limit_stays_above_the_slots_grows_and_ends():
    room = target_room.TargetRoom(slots=4)
    room.record_reset(5, 10.0)
    assert room.has_room(3.9, 10.0)
    assert not room.has_room(4, 10.0)
    assert room.has_room(4, 11.0)
    end_s = 10.0 + target_room.LIMIT_S_MAX
    assert not room.has_room(math.inf, end_s)
    assert room.has_room(1_000, end_s + 0.1)


def test_resets_at_the_same_moment_lower_the_limit_once():
    room = target_room.TargetRoom(slots=4)
    for number in range(20):
        room.record_reset(30 - number, 10.0 + number / 1000)
    assert room.has_room(23, 10.1)
    assert not room.has_room(25, 10.1)

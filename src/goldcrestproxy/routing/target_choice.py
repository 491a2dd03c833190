"""Which target gets a request, and whether one may get it now.

Plain functions over what this host measured itself and what targets said of
their load with their last answers.
"""

from __future__ import annotations

import random
import typing as ty

import attrs

# A target that failed this often in a row is left alone for a moment.
FAILURES_MAX: ty.Final = 2
# Doubled with each further failure, up to the longest pause.
BACK_OFF_S: ty.Final = 0.25
BACK_OFF_S_MAX: ty.Final = 2.0
WORK_SMOOTHING: ty.Final = 0.1
# Before anything was measured.
INITIAL_WORK_MS: ty.Final = 100.0
# How long a target's own word on its load is worth something.
LOAD_AGE_S_MAX: ty.Final = 0.5
# Work may take less than usual; with this part of it there is hope.
WORK_RATIO_MIN: ty.Final = 0.5
# Part of its time that a less urgent request may wait.
LESS_URGENT_RATIO: ty.Final = 0.7
# Work varies by more than half; three times as long is no longer chance.
OVERDUE_RATIO: ty.Final = 3.0
# A remote target must be this much quicker than one in the own zone.
REMOTE_ZONE_PENALTY: ty.Final = 1.5


@attrs.frozen(kw_only=True)
class LoadReport:
    """What a target said of itself with an answer.

    ``slowdown`` is how long work takes there at the moment, 1.0 as usual.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@attrs.define(kw_only=True)
class TargetStats:
    """What this host knows of one incarnation of a target."""

    slots: int
    in_flight: int = 0
    # How long work takes at a slowdown of 1.
    work_ms: float = INITIAL_WORK_MS
    answers: int = 0
    failures: int = 0
    back_off_until_s: float = 0.0
    load: LoadReport | None = None
    load_s: float = 0.0

    def record_start(self) -> None:
        """Count a request that goes out now."""
        self.in_flight += 1

    def record_end(self) -> None:
        """Count the end of a request, however it ended."""
        self.in_flight -= 1

    def record_answer(self, duration_ms: float) -> None:
        """Learn from an answer of the target itself."""
        gain = max(WORK_SMOOTHING, 1 / (self.answers + 1))
        work_ms = duration_ms
        if self.load is not None:
            queued = 1 + self.load.waiting / self.load.slots
            work_ms /= queued * self.load.slowdown
        self.work_ms += gain * (work_ms - self.work_ms)
        self.answers += 1
        self.failures = 0
        self.back_off_until_s = 0.0

    def record_failure(self, now_s: float) -> None:
        """Learn from a request that the target did not answer."""
        self.failures += 1
        if self.failures >= FAILURES_MAX:
            doublings = min(self.failures - FAILURES_MAX, 8)
            back_off_s = min(BACK_OFF_S * 2**doublings, BACK_OFF_S_MAX)
            self.back_off_until_s = now_s + back_off_s

    def record_load(self, load: LoadReport, now_s: float) -> None:
        """Take a target's own word on its load."""
        self.load = load
        self.load_s = now_s

    def is_backing_off(self, now_s: float) -> bool:
        """Whether the target is left alone; one request tries it again."""
        if now_s < self.back_off_until_s:
            return True
        return self.failures >= FAILURES_MAX and self.in_flight > 0

    def requests_ahead(self, now_s: float) -> float:
        """Return the requests that a new one would wait for."""
        outstanding = float(self.in_flight)
        if self.load is not None:
            age = (now_s - self.load_s) / LOAD_AGE_S_MAX
            if age < 1:
                reported = self.load.running + self.load.waiting
                outstanding = max(
                    outstanding, reported * (1 - age) + outstanding * age
                )
        return outstanding

    def expected_wait_ms(self, now_s: float) -> float:
        """Return how long a request would wait for a slot."""
        rounds = max(0.0, (self.requests_ahead(now_s) + 1) / self.slots - 1)
        return self.work_ms * self.slowdown * rounds

    def expected_ms(self, now_s: float) -> float:
        """Return how long a request would take here."""
        work_ms = self.work_ms * self.slowdown
        return work_ms + self.expected_wait_ms(now_s)

    def is_overdue(self, waited_ms: float, now_s: float) -> bool:
        """Whether a target should long have answered."""
        return waited_ms > OVERDUE_RATIO * self.expected_ms(now_s)

    @property
    def slowdown(self) -> float:
        """How long work takes at the moment, 1 as usual."""
        return self.load.slowdown if self.load is not None else 1.0


def would_miss_deadline(
    stats: TargetStats, left_ms: float, now_s: float, *, urgent: bool
) -> bool:
    """Whether a request could not be answered in its time.

    Less urgent kinds are turned away earlier, so that what room there is
    goes to the urgent ones.
    """
    wait_ms = stats.expected_wait_ms(now_s)
    if not urgent:
        wait_ms /= LESS_URGENT_RATIO
    return wait_ms + stats.work_ms * WORK_RATIO_MIN > left_ms


@attrs.frozen(kw_only=True)
class PoolMember:
    """A target that may get a request of a pool."""

    target: str
    zone: str
    stats: TargetStats


def choose_from_pool(
    members: ty.Sequence[PoolMember],
    own_zone: str,
    now_s: float,
    rng: random.Random,
) -> PoolMember | None:
    """Return the best of the targets, None when all are paused.

    The lowest expected time wins, the own zone counting as quicker than it
    is: large bodies are expensive between zones.
    """
    usable = [m for m in members if not m.stats.is_backing_off(now_s)]
    if not usable:
        return None

    def cost(member: PoolMember) -> tuple[float, float]:
        expected_ms = member.stats.expected_ms(now_s)
        if member.zone != own_zone:
            expected_ms *= REMOTE_ZONE_PENALTY
        return expected_ms, rng.random()

    return min(usable, key=cost)

"""Target selection and load shedding for requests to a fleet's targets.

Decisions are based on this host's own measurements and on the load that
targets reported with their latest answers.
"""

from __future__ import annotations

import random
import typing as ty

import attrs

# Consecutive failures after which requests back off from a target.
FAILURES_MAX: ty.Final = 2
# Initial back-off, doubled with each further failure up to the maximum.
BACK_OFF_S: ty.Final = 0.25
BACK_OFF_S_MAX: ty.Final = 2.0
WORK_SMOOTHING: ty.Final = 0.1
# Used before anything is measured.
INITIAL_WORK_MS: ty.Final = 100.0
# Age at which a load report has lost all weight.
LOAD_AGE_S_MAX: ty.Final = 0.5
# Work may take less than usual: a request is not shed while its time left
# covers this fraction of the usual work time.
WORK_RATIO_MIN: ty.Final = 0.5
# Fraction of its time that a less urgent request may wait.
LESS_URGENT_RATIO: ty.Final = 0.7
# Work times vary by more than half; three times the expected time is unlikely
# to be chance.
OVERDUE_RATIO: ty.Final = 3.0
# A target in another zone must be faster by this factor than one in the own
# zone.
REMOTE_ZONE_PENALTY: ty.Final = 1.5


@attrs.frozen(kw_only=True)
class LoadReport:
    """Load that a target reported with an answer.

    ``slowdown`` is the current work time relative to the usual one.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


@attrs.define(kw_only=True)
class TargetStats:
    """Measurements and reported load of one incarnation of a target."""

    slots: int
    in_flight: int = 0
    # Work time at a slowdown of 1.
    work_ms: float = INITIAL_WORK_MS
    answers: int = 0
    failures: int = 0
    back_off_until_s: float = 0.0
    load: LoadReport | None = None
    load_s: float = 0.0

    def record_start(self) -> None:
        """Count a request as in flight."""
        self.in_flight += 1

    def record_end(self) -> None:
        """Count the end of a request, whatever its outcome."""
        self.in_flight -= 1

    def record_answer(self, duration_ms: float) -> None:
        """Update the work time from an answer and end the back-off."""
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
        """Count an unanswered request and back off after several."""
        self.failures += 1
        if self.failures >= FAILURES_MAX:
            doublings = min(self.failures - FAILURES_MAX, 8)
            back_off_s = min(BACK_OFF_S * 2**doublings, BACK_OFF_S_MAX)
            self.back_off_until_s = now_s + back_off_s

    def record_load(self, load: LoadReport, now_s: float) -> None:
        """Store the load that the target reported."""
        self.load = load
        self.load_s = now_s

    def is_backing_off(self, now_s: float) -> bool:
        """Whether to avoid the target; afterwards one request probes it."""
        if now_s < self.back_off_until_s:
            return True
        return self.failures >= FAILURES_MAX and self.in_flight > 0

    def requests_ahead(self, now_s: float) -> float:
        """Return the number of requests that a new one would wait for."""
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
        """Estimate how long a request would wait for a slot."""
        rounds = max(0.0, (self.requests_ahead(now_s) + 1) / self.slots - 1)
        return self.work_ms * self.slowdown * rounds

    def expected_ms(self, now_s: float) -> float:
        """Estimate how long a request to this target would take."""
        work_ms = self.work_ms * self.slowdown
        return work_ms + self.expected_wait_ms(now_s)

    def overdue_ms(self, now_s: float) -> float:
        """Return the time after which an answer is far later than expected."""
        return OVERDUE_RATIO * self.expected_ms(now_s)

    def is_overdue(self, waited_ms: float, now_s: float) -> bool:
        """Whether an answer is far later than expected."""
        return waited_ms > self.overdue_ms(now_s)

    @property
    def answer_ms_min(self) -> float:
        """Time below which no answer is to be expected."""
        return self.work_ms * WORK_RATIO_MIN

    @property
    def slowdown(self) -> float:
        """Reported work time relative to the usual one, 1 if not reported."""
        return self.load.slowdown if self.load is not None else 1.0


def would_miss_deadline(
    stats: TargetStats, left_ms: float, now_s: float, *, urgent: bool
) -> bool:
    """Whether a request cannot be answered before its deadline.

    Less urgent requests are shed earlier, so that the remaining capacity
    goes to the urgent ones.
    """
    wait_ms = stats.expected_wait_ms(now_s)
    if not urgent:
        wait_ms /= LESS_URGENT_RATIO
    return wait_ms + stats.answer_ms_min > left_ms


@attrs.frozen(kw_only=True)
class PoolMember:
    """A target of a pool that may get a request."""

    target: str
    zone: str
    stats: TargetStats


def choose_from_pool(
    members: ty.Sequence[PoolMember],
    own_zone: str,
    now_s: float,
    rng: random.Random,
) -> PoolMember | None:
    """Return the best of the targets, None if all are to be avoided.

    The lowest expected time wins. Targets in other zones are penalized,
    since large bodies are expensive between zones.
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

"""Adaptive concurrency limit of a target.

A cold target starts at its cold limit, which grows by one with each round of
completed requests. A target that sheds load, or whose requests suddenly take
several times as long as usual, is cold again, whatever state it reports.
"""

from __future__ import annotations

import typing as ty

import attrs

BASELINE_SMOOTHING: ty.Final = 0.05
JUMP_RATIO: ty.Final = 5.0
JUMP_MS_MIN: ty.Final = 20.0
JUMPS_BEFORE_RESET: ty.Final = 3
SAMPLES_MIN: ty.Final = 10
# The limit after a reset, relative to the requests that ran then.
RESET_DECREASE_RATIO: ty.Final = 0.8


@attrs.define
class _Baseline:
    """Smoothed duration of one operation at one target."""

    duration_ms: float = 0.0
    samples: int = 0

    def is_jump(self, duration_ms: float) -> bool:
        """Whether a duration is far above the baseline."""
        return (
            self.samples >= SAMPLES_MIN
            and duration_ms > self.duration_ms * JUMP_RATIO
            and duration_ms > self.duration_ms + JUMP_MS_MIN
        )

    def record(self, duration_ms: float) -> None:
        """Update the baseline with a duration that is not a jump."""
        gain = max(BASELINE_SMOOTHING, 1 / (self.samples + 1))
        self.duration_ms += gain * (duration_ms - self.duration_ms)
        self.samples += 1


@attrs.define(kw_only=True)
class ConcurrencyLimit:
    """Concurrency limit of one target and the baselines it depends on.

    A target that was recently warm under another coordinator starts with
    half of its slots.
    """

    slots: int
    cold_concurrency: int
    previously_warm: bool = False
    limit: float = attrs.field(init=False)
    cold: bool = attrs.field(init=False, default=True)
    _jumps: int = attrs.field(init=False, default=0)
    _baselines: dict[str, _Baseline] = attrs.field(init=False, factory=dict)

    def __attrs_post_init__(self) -> None:
        """Start at the cold limit, or at half of the slots."""
        self.limit = float(min(self.cold_concurrency, self.slots))
        if self.previously_warm:
            self.limit = max(self.limit, self.slots / 2)

    @property
    def allowed(self) -> int:
        """Number of requests that may run concurrently, at least one."""
        return max(1, int(self.limit))

    def record_completion(self, operation: str, duration_ms: float) -> None:
        """Update baseline and limit after a completed request."""
        baseline = self._baselines.setdefault(operation, _Baseline())
        if baseline.is_jump(duration_ms):
            self._jumps += 1
            if self._jumps >= JUMPS_BEFORE_RESET:
                self.reset_to_cold()
            return
        self._jumps = 0
        baseline.record(duration_ms)
        self.limit = min(float(self.slots), self.limit + 1 / self.limit)
        if self.limit >= self.slots:
            self.cold = False

    def record_timeout(self) -> None:
        """Count a request that timed out as a latency jump."""
        self._jumps += 1
        if self._jumps >= JUMPS_BEFORE_RESET:
            self.reset_to_cold()

    def record_reset(self, running: int) -> None:
        """Lower the limit after the target reset a connection.

        It may take fewer requests than it announced.

        :param running: requests that ran at the target then
        """
        floor = min(self.cold_concurrency, self.slots)
        if running <= floor:
            # Other faults reset connections, too.
            return
        lowered = max(float(floor), running * RESET_DECREASE_RATIO)
        self.limit = min(self.limit, lowered)

    def reset_to_cold(self) -> None:
        """Reset the limit to the cold limit.

        The baselines are kept: the target is expected to become as fast as
        before.
        """
        self._jumps = 0
        self.cold = True
        self.limit = float(min(self.cold_concurrency, self.slots))

    def baseline_ms(self, operation: str) -> float:
        """Return the baseline duration of an operation, 0 if unknown."""
        baseline = self._baselines.get(operation)
        return baseline.duration_ms if baseline else 0.0

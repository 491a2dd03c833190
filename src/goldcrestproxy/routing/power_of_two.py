"""Target selection for pool desks: power of two choices.

Costs are based on what this entry host measures itself: its requests in
flight, the backlog that coordinators report with each answer, and the
duration of recent answers. Load that targets report is not used.
"""

from __future__ import annotations

import random
import typing as ty

import attrs

DURATION_SMOOTHING: ty.Final = 0.2
# Half-life of measurements. Old ones decay, so that a slow target is retried
# from time to time and its recovery is detected.
HALF_LIFE_S: ty.Final = 0.5


@attrs.define(kw_only=True)
class TargetMeasurements:
    """Measurements of one target by this entry host."""

    in_flight: int = 0
    backlog_requests: int = 0
    duration_ms: float = 0.0
    measured_s: float = 0.0
    slots: int = 1

    def record_start(self) -> None:
        """Count a request as in flight."""
        self.in_flight += 1

    def record_answer(
        self, now_s: float, duration_ms: float, backlog_requests: int
    ) -> None:
        """Record the duration of an answer and the reported backlog."""
        self.in_flight -= 1
        if self.duration_ms <= 0 or now_s - self.measured_s > HALF_LIFE_S:
            self.duration_ms = duration_ms
        else:
            self.duration_ms += DURATION_SMOOTHING * (
                duration_ms - self.duration_ms
            )
        self.backlog_requests = backlog_requests
        self.measured_s = now_s

    def record_abandoned(self) -> None:
        """Count the end of a request that gives no measurement."""
        self.in_flight -= 1

    def cost_ms(self, now_s: float) -> float:
        """Estimate how long a request to this target would take."""
        decay = 0.5 ** ((now_s - self.measured_s) / HALF_LIFE_S)
        queued = max(self.in_flight, self.backlog_requests * decay) + 1
        duration_ms = max(0.1, self.duration_ms * decay)
        return duration_ms * (1 + queued / self.slots)


def choose_target(
    measurements: ty.Mapping[str, TargetMeasurements],
    now_s: float,
    rng: random.Random,
) -> str | None:
    """Return the cheaper of two targets drawn at random, None if empty.

    :param measurements: the targets that may get the request
    """
    names = list(measurements)
    if len(names) < 2:
        return names[0] if names else None
    first, second = rng.sample(names, 2)
    if measurements[first].cost_ms(now_s) <= measurements[second].cost_ms(
        now_s
    ):
        return first
    return second

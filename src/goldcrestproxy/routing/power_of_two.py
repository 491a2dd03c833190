"""Which target of a pool desk gets a request.

Power of two choices over what the entry host itself measured: the requests
it has in flight, the backlog that coordinators report with each answer, and
how long answers took lately. What a target says of its own load is not used.
"""

from __future__ import annotations

import random
import typing as ty

import attrs

DURATION_SMOOTHING: ty.Final = 0.2
# What was measured counts half as much each time this has passed, so that
# a straggler is tried again now and then and its recovery is seen.
HALF_LIFE_S: ty.Final = 0.5


@attrs.define(kw_only=True)
class TargetMeasurements:
    """What an entry host measured on one target."""

    in_flight: int = 0
    backlog_requests: int = 0
    duration_ms: float = 0.0
    measured_s: float = 0.0
    slots: int = 1

    def record_start(self) -> None:
        """Count a request that goes out now."""
        self.in_flight += 1

    def record_answer(
        self, now_s: float, duration_ms: float, backlog_requests: int
    ) -> None:
        """Take the measure of an answer."""
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
        """Count a request that ended without a measure."""
        self.in_flight -= 1

    def cost_ms(self, now_s: float) -> float:
        """Return how long a request would take here."""
        decay = 0.5 ** ((now_s - self.measured_s) / HALF_LIFE_S)
        queued = max(self.in_flight, self.backlog_requests * decay) + 1
        duration_ms = max(0.1, self.duration_ms * decay)
        return duration_ms * (1 + queued / self.slots)


def choose_target(
    measurements: ty.Mapping[str, TargetMeasurements],
    now_s: float,
    rng: random.Random,
) -> str | None:
    """Return the better of two targets drawn at random.

    :param views: the targets that may get the request
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

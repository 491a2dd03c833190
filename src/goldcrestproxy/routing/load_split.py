"""How the requests of a service are best divided among its targets.

The load that it answers: targets that differ in speed. In proportion to
their speed all would be equally busy, and requests on slow targets late for
no need; as long as there is room, quick targets should get more than that.
Plain functions.
"""

from __future__ import annotations

import math
import typing as ty

import attrs

# Every target keeps at least this part of its proportional share, so that it
# is measured and so that newcomers get work.
FLOOR_PART: ty.Final = 0.2
# Above this part of what all targets can do, shares are proportional.
SATURATED_PART: ty.Final = 0.9
# Shares are exact to a thousandth after this.
BISECTIONS: ty.Final = 24


@attrs.frozen(kw_only=True)
class Worker:
    """A target's slots and how long it works on a usual request."""

    slots: int
    work_ms: float

    @property
    def requests_per_s(self) -> float:
        """What the target can do at most."""
        return self.slots * 1000 / self.work_ms


def divide(
    workers: ty.Mapping[str, Worker], requests_per_s: float
) -> dict[str, float]:
    """Return each target's part of the requests; together 1.

    Equalizes the marginal delay over all targets, each taken as a queue
    with exponential times (Tantawi and Towsley, "Optimal static load
    balancing in distributed computer systems", 1985): a target with work
    time ``s`` is busy for a part ``1 - sqrt(s / k)`` of the time, with one
    ``k`` for all.

    :param requests_per_s: requests for the service
    """
    total = sum(worker.requests_per_s for worker in workers.values())
    if total <= 0:
        return dict.fromkeys(workers, 0.0)
    proportional = {
        name: worker.requests_per_s / total for name, worker in workers.items()
    }
    if not 0 < requests_per_s < total * SATURATED_PART:
        return proportional
    level = _level(list(workers.values()), requests_per_s)
    wanted = {
        name: max(
            worker.requests_per_s * _busy_part(worker, level),
            proportional[name] * FLOOR_PART * requests_per_s,
        )
        for name, worker in workers.items()
    }
    divided = sum(wanted.values())
    return {name: value / divided for name, value in wanted.items()}


def _busy_part(worker: Worker, level: float) -> float:
    return max(0.0, 1 - math.sqrt(worker.work_ms / level))


def _level(workers: ty.Sequence[Worker], requests_per_s: float) -> float:
    """Return the ``k`` at which the targets do just what is asked."""
    # A target does ``rate * (1 - sqrt(work / k))``; only ``k`` changes.
    terms = [
        (
            worker.work_ms,
            worker.requests_per_s,
            worker.requests_per_s * math.sqrt(worker.work_ms),
        )
        for worker in workers
    ]
    low = min(worker.work_ms for worker in workers)
    high = low
    while _done_per_s(terms, high) < requests_per_s:
        high *= 2
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if _done_per_s(terms, middle) < requests_per_s:
            low = middle
        else:
            high = middle
    return high


def _done_per_s(
    terms: ty.Sequence[tuple[float, float, float]], level: float
) -> float:
    root = math.sqrt(level)
    return sum(
        rate - slowed / root for work, rate, slowed in terms if work < level
    )

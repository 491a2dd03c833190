"""Optimal division of a service's requests among its targets.

Targets differ in speed. Shares proportional to speed would keep all targets
equally busy and delay requests on slow targets needlessly; while there is
spare capacity, fast targets should get more than that. Pure functions.
"""

from __future__ import annotations

import math
import typing as ty

import attrs

# Every target keeps at least this fraction of its proportional share, so that
# it is measured and new targets get requests.
SHARE_FLOOR_RATIO: ty.Final = 0.2
# Above this utilization of all targets, shares are proportional.
SATURATION_UTILIZATION: ty.Final = 0.9
# Makes the shares exact to a thousandth.
BISECTIONS: ty.Final = 24


@attrs.frozen(kw_only=True)
class TargetCapacity:
    """A target's slots, mean work time per request and named limit."""

    slots: int
    work_ms: float
    limit_per_s: float = math.inf

    @property
    def requests_per_s(self) -> float:
        """Maximum throughput of the target."""
        return min(self.slots * 1000 / self.work_ms, self.limit_per_s)


def divide(
    capacities: ty.Mapping[str, TargetCapacity], requests_per_s: float
) -> dict[str, float]:
    """Return each target's share of the requests; the shares sum to 1.

    Equalizes the marginal delay over all targets, each modelled as a queue
    with exponential times (Tantawi and Towsley, "Optimal static load
    balancing in distributed computer systems", 1985): a target with work
    time ``s`` has a utilization of ``1 - sqrt(s / k)``, with one ``k`` for
    all targets.

    :param requests_per_s: request rate of the service
    """
    total = sum(capacity.requests_per_s for capacity in capacities.values())
    if total <= 0:
        return dict.fromkeys(capacities, 0.0)
    proportional = {
        name: capacity.requests_per_s / total
        for name, capacity in capacities.items()
    }
    if not 0 < requests_per_s < total * SATURATION_UTILIZATION:
        return proportional
    level = _solve_level(list(capacities.values()), requests_per_s)
    rates = {
        name: max(
            capacity.requests_per_s * _utilization(capacity, level),
            proportional[name] * SHARE_FLOOR_RATIO * requests_per_s,
        )
        for name, capacity in capacities.items()
    }
    rates_total = sum(rates.values())
    return {name: value / rates_total for name, value in rates.items()}


def _utilization(capacity: TargetCapacity, level: float) -> float:
    return max(0.0, 1 - math.sqrt(capacity.work_ms / level))


def _solve_level(
    capacities: ty.Sequence[TargetCapacity], requests_per_s: float
) -> float:
    """Return the ``k`` at which total throughput equals the request rate."""
    # A target's throughput is ``rate * (1 - sqrt(work / k))``; only ``k``
    # varies.
    terms = [
        (
            capacity.work_ms,
            capacity.requests_per_s,
            capacity.requests_per_s * math.sqrt(capacity.work_ms),
        )
        for capacity in capacities
    ]
    low = min(capacity.work_ms for capacity in capacities)
    high = low
    while _throughput_per_s(terms, high) < requests_per_s:
        high *= 2
    for _ in range(BISECTIONS):
        middle = (low + high) / 2
        if _throughput_per_s(terms, middle) < requests_per_s:
            low = middle
        else:
            high = middle
    return high


def _throughput_per_s(
    terms: ty.Sequence[tuple[float, float, float]], level: float
) -> float:
    root = math.sqrt(level)
    return sum(
        rate - rate_factor / root
        for work, rate, rate_factor in terms
        if work < level
    )

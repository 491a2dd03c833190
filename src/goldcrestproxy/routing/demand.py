"""Measured demand: requests by block of keys, work times of targets."""

from __future__ import annotations

import math
import typing as ty

import attrs

# Long enough that random variation at normal rates does not move keys.
LONG_WINDOW_S: ty.Final = 12.0
# Short enough to detect hot keys while they are hot.
SHORT_WINDOW_S: ty.Final = 1.0
# Until then, the rate of all requests counts as unknown.
RATE_MEASURED_S_MIN: ty.Final = 2.0
# A short-term rate replaces the long-term one from this many requests on, if
# it is higher by more than this ratio.
BURST_REQUESTS_MIN: ty.Final = 8.0
BURST_RATIO: ty.Final = 3.0
# Share of the demand that is always assumed to be spread evenly.
EVEN_SHARE_MIN: ty.Final = 0.2
# Prior of requests spread evenly over all keys, so that a few requests for the
# same keys by chance do not count as demand.
PRIOR_REQUESTS_MIN: ty.Final = 200.0
# With this many requests per target, its share is known to within a sixth,
# which is less than the difference that moves keys.
PRIOR_REQUESTS_PER_TARGET: ty.Final = 40.0
# Blocks with fewer requests are not split: the count may be due to chance.
SPLIT_REQUESTS_MIN: ty.Final = 12.0
# Prior of answers with the mean work time.
PRIOR_ANSWERS: ty.Final = 16.0
WORK_TIME_WINDOW_S: ty.Final = 15.0
# Sums are rescaled after this many halvings; 2 ** 40 is far below the maximum
# of a float.
HALVINGS_MAX: ty.Final = 40
# What remains of one request after ten halvings; smaller sums are dropped.
NEGLIGIBLE_REQUESTS: ty.Final = 0.001
# Used before anything is measured, when only ratios of targets matter.
INITIAL_WORK_MS: ty.Final = 100.0


@attrs.define
class DecayingSum:
    """Exponentially decaying sum; its half-life is half of the window."""

    window_s: float
    value: float = 0.0
    _updated_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount at the time ``now_s``."""
        self.value = self.read(now_s) + amount
        self._updated_s = now_s

    def read(self, now_s: float) -> float:
        """Return the decayed sum."""
        if not self.value:
            return 0.0
        decay: float = 0.5 ** ((now_s - self._updated_s) / (self.window_s / 2))
        return self.value * decay

    def rate_per_s(self, now_s: float) -> float:
        """Return the rate at which amounts of one would give this sum."""
        return self.read(now_s) * math.log(2) / (self.window_s / 2)


@attrs.define
class DecayingCounts:
    """Exponentially decaying sums by block.

    Forward decay (Cormode et al., 2009): each amount is scaled up by the
    time since a landmark instead of scaling down all sums as time passes, so
    that reading all of them costs one multiplication each.
    """

    window_s: float
    _landmark_s: float = 0.0
    _scaled: dict[int, float] = attrs.field(factory=dict)

    def add(self, block: int, amount: float, now_s: float) -> None:
        """Add an amount to a block's sum."""
        scaled = amount * self._scale(now_s)
        self._scaled[block] = self._scaled.get(block, 0.0) + scaled

    def read(self, now_s: float) -> dict[int, float]:
        """Return the decayed sum of each block."""
        inverse = 1 / self._scale(now_s)
        return {
            block: value * inverse for block, value in self._scaled.items()
        }

    def total(self, now_s: float) -> float:
        """Return the total of all decayed sums."""
        return sum(self._scaled.values()) / self._scale(now_s)

    def split(self, block: int, pieces: ty.Sequence[int]) -> None:
        """Divide a block's sum evenly among its pieces."""
        scaled = self._scaled.pop(block, 0.0)
        for piece in pieces:
            self._scaled[piece] = scaled / len(pieces)

    def retain(self, blocks: ty.Container[int]) -> None:
        """Remove the sums of all other blocks."""
        for block in [b for b in self._scaled if b not in blocks]:
            del self._scaled[block]

    def _scale(self, now_s: float) -> float:
        """Return the weight of an amount added now, 1 at the landmark."""
        halvings = (now_s - self._landmark_s) / (self.window_s / 2)
        if halvings > HALVINGS_MAX:
            self._move_landmark(now_s, halvings)
            return 1.0
        scale: float = 2**halvings
        return scale

    def _move_landmark(self, now_s: float, halvings: float) -> None:
        decay = 2 ** -min(halvings, 2 * HALVINGS_MAX)
        self._scaled = {
            block: value * decay
            for block, value in self._scaled.items()
            if value * decay > NEGLIGIBLE_REQUESTS
        }
        self._landmark_s = now_s


@attrs.define
class KeyDemand:
    """Measured requests for the blocks of one service."""

    _long_term: DecayingCounts = attrs.field(
        factory=lambda: DecayingCounts(LONG_WINDOW_S)
    )
    _short_term: DecayingCounts = attrs.field(
        factory=lambda: DecayingCounts(SHORT_WINDOW_S)
    )
    _first_count_s: float | None = None

    def count(self, block: int, requests: int, now_s: float) -> None:
        """Count requests for a block."""
        if self._first_count_s is None:
            self._first_count_s = now_s
        self._long_term.add(block, requests, now_s)
        self._short_term.add(block, requests, now_s)

    def weights(
        self,
        sizes: ty.Mapping[int, int],
        now_s: float,
        prior_requests: float = PRIOR_REQUESTS_MIN,
    ) -> dict[int, float]:
        """Return each block's share of the requests; the shares sum to 1.

        :param sizes: number of keys in each block
        :param prior_requests: requests assumed to be spread evenly, in
            addition to those counted
        """
        self._long_term.retain(sizes)
        self._short_term.retain(sizes)
        rates = self._rates(now_s)
        total = sum(rates.values())
        keys = sum(sizes.values())
        if total <= 0:
            return {block: size / keys for block, size in sizes.items()}
        counted = self._long_term.total(now_s)
        prior = max(PRIOR_REQUESTS_MIN, prior_requests)
        prior_share = prior / (prior + counted)
        even_share = max(EVEN_SHARE_MIN, prior_share)
        weight_per_key = even_share / keys
        weight_per_rate = (1 - even_share) / total
        return {
            block: weight_per_key * size
            + weight_per_rate * rates.get(block, 0.0)
            for block, size in sizes.items()
        }

    def requests_per_s(self, now_s: float) -> float:
        """Return the request rate of all blocks together, 0 if unknown."""
        if self._first_count_s is None:
            return 0.0
        measured_s = now_s - self._first_count_s
        if measured_s < RATE_MEASURED_S_MIN:
            return 0.0
        half_life_s = LONG_WINDOW_S / 2
        counted_share = 1 - 0.5 ** (measured_s / half_life_s)
        steady_requests = self._long_term.total(now_s) / counted_share
        return steady_requests * math.log(2) / half_life_s

    def requests(self, now_s: float) -> dict[int, float]:
        """Return the decayed count of requests of each block."""
        return self._long_term.read(now_s)

    def split(self, block: int, pieces: ty.Sequence[int]) -> None:
        """Divide a block's counts evenly among its pieces."""
        self._long_term.split(block, pieces)
        self._short_term.split(block, pieces)

    def _rates(self, now_s: float) -> dict[int, float]:
        """Return requests per second by block, short-term rates for bursts."""
        rates = {
            block: value / LONG_WINDOW_S
            for block, value in self._long_term.read(now_s).items()
        }
        for block, recent in self._short_term.read(now_s).items():
            if recent < BURST_REQUESTS_MIN:
                continue
            burst_per_s = recent / SHORT_WINDOW_S
            if burst_per_s > BURST_RATIO * rates.get(block, 0.0):
                rates[block] = burst_per_s
        return rates


@attrs.define
class TargetWorkTime:
    """Decaying mean of the work time of a target's answers."""

    _work_ms: DecayingSum = attrs.field(
        factory=lambda: DecayingSum(WORK_TIME_WINDOW_S)
    )
    _answers: DecayingSum = attrs.field(
        factory=lambda: DecayingSum(WORK_TIME_WINDOW_S)
    )

    def record(self, work_ms: float, answers: int, now_s: float) -> None:
        """Add the total work time of a number of answers."""
        self._work_ms.add(work_ms, now_s)
        self._answers.add(answers, now_s)

    def totals(self, now_s: float) -> tuple[float, float]:
        """Return the decayed sums of work time in ms and of answers."""
        return self._work_ms.read(now_s), self._answers.read(now_s)


def mean_work_ms(
    work_times: ty.Iterable[TargetWorkTime], now_s: float
) -> float:
    """Return the mean work time of a request over all targets."""
    totals = [work_time.totals(now_s) for work_time in work_times]
    answers = sum(count for _, count in totals)
    if answers <= 0:
        return INITIAL_WORK_MS
    return max(1.0, sum(work for work, _ in totals) / answers)


def estimated_work_ms(
    work_time: TargetWorkTime | None, mean_ms: float, now_s: float
) -> float:
    """Estimate a target's work time for a request.

    Includes a prior of answers with the mean work time, so that a few
    measured answers have little effect.
    """
    if work_time is None:
        return mean_ms
    total_ms, answers = work_time.totals(now_s)
    prior_ms = mean_ms * PRIOR_ANSWERS
    return (total_ms + prior_ms) / (answers + PRIOR_ANSWERS)

"""Measured demand: requests by block of keys, work times of targets."""

from __future__ import annotations

import typing as ty

import attrs

# Long enough that chance does not move keys at a usual rate.
LONG_WINDOW_S: ty.Final = 12.0
# Short enough that keys that turn hot are seen while they are.
SHORT_WINDOW_S: ty.Final = 1.0
# A sudden rate is believed from this many requests on, and above this
# multiple of the usual rate.
BURST_REQUESTS_MIN: ty.Final = 8.0
BURST_RATIO: ty.Final = 3.0
# Part of the demand that is taken to be spread evenly, whatever is measured.
EVEN_SHARE_MIN: ty.Final = 0.2
# Requests that are presumed to be spread evenly before any are measured: a
# few requests for the same keys are chance, not demand.
PRIOR_REQUESTS_MIN: ty.Final = 200.0
# With so many for each target its part is known within a sixth, which is
# less than what moves keys.
PRIOR_REQUESTS_PER_TARGET: ty.Final = 40.0
# A block is not cut up for fewer requests than this: they are chance.
SPLIT_REQUESTS_MIN: ty.Final = 12.0
# Answers that are presumed at the usual work time before any are measured.
PRIOR_ANSWERS: ty.Final = 16.0
WORK_TIME_WINDOW_S: ty.Final = 15.0
# Sums are scaled anew after so many halvings: 2 ** 40 is far from the end of
# a float's range.
HALVINGS_MAX: ty.Final = 40
# What is left of a request after ten halvings is forgotten.
NEGLIGIBLE_REQUESTS: ty.Final = 0.001
# Before anything was measured; only relations between targets matter then.
INITIAL_WORK_MS: ty.Final = 100.0


@attrs.define
class DecayingSum:
    """A sum in which what is older counts for less."""

    window_s: float
    value: float = 0.0
    _updated_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount."""
        self.value = self.read(now_s) + amount
        self._updated_s = now_s

    def read(self, now_s: float) -> float:
        """Return what is left of the sum."""
        if not self.value:
            return 0.0
        decay: float = 0.5 ** ((now_s - self._updated_s) / (self.window_s / 2))
        return self.value * decay


@attrs.define
class DecayingCounts:
    """Sums by block in which what is older counts for less.

    Forward decay (Cormode et al., 2009): what is added is scaled up by its
    age since a landmark instead of scaling down all sums as time passes, so
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
        """Return what is left of each sum."""
        inverse = 1 / self._scale(now_s)
        return {
            block: value * inverse for block, value in self._scaled.items()
        }

    def total(self, now_s: float) -> float:
        """Return what is left of all sums together."""
        return sum(self._scaled.values()) / self._scale(now_s)

    def split(self, block: int, pieces: ty.Sequence[int]) -> None:
        """Spread a block's sum over its pieces."""
        scaled = self._scaled.pop(block, 0.0)
        for piece in pieces:
            self._scaled[piece] = scaled / len(pieces)

    def retain(self, blocks: ty.Container[int]) -> None:
        """Forget all other blocks."""
        for block in [b for b in self._scaled if b not in blocks]:
            del self._scaled[block]

    def _scale(self, now_s: float) -> float:
        """Return how much more what is added now counts than at the start."""
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
    """Requests for the blocks of one service."""

    _long_term: DecayingCounts = attrs.field(
        factory=lambda: DecayingCounts(LONG_WINDOW_S)
    )
    _short_term: DecayingCounts = attrs.field(
        factory=lambda: DecayingCounts(SHORT_WINDOW_S)
    )

    def count(self, block: int, requests: int, now_s: float) -> None:
        """Count requests for a block."""
        self._long_term.add(block, requests, now_s)
        self._short_term.add(block, requests, now_s)

    def weights(
        self,
        sizes: ty.Mapping[int, int],
        now_s: float,
        prior_requests: float = PRIOR_REQUESTS_MIN,
    ) -> dict[int, float]:
        """Return each block's part of the requests; together 1.

        :param sizes: keys in each block
        :param prior_requests: spread evenly, beside what was counted
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
        """Return the requests for all blocks together."""
        return self._long_term.total(now_s) / LONG_WINDOW_S

    def requests(self, now_s: float) -> dict[int, float]:
        """Return how many requests were counted, older ones for less."""
        return self._long_term.read(now_s)

    def split(self, block: int, pieces: ty.Sequence[int]) -> None:
        """Spread what was counted for a block over its pieces."""
        self._long_term.split(block, pieces)
        self._short_term.split(block, pieces)

    def _rates(self, now_s: float) -> dict[int, float]:
        """Return requests a second by block, sudden ones as they are now."""
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
    """How long a target works on a request, over many answers."""

    _work_ms: DecayingSum = attrs.field(
        factory=lambda: DecayingSum(WORK_TIME_WINDOW_S)
    )
    _answers: DecayingSum = attrs.field(
        factory=lambda: DecayingSum(WORK_TIME_WINDOW_S)
    )

    def record(self, work_ms: float, answers: int, now_s: float) -> None:
        """Add the sum of the work of some answers."""
        self._work_ms.add(work_ms, now_s)
        self._answers.add(answers, now_s)

    def totals(self, now_s: float) -> tuple[float, float]:
        """Return the faded sums of work in ms and of answers."""
        return self._work_ms.read(now_s), self._answers.read(now_s)


def mean_work_ms(
    work_times: ty.Iterable[TargetWorkTime], now_s: float
) -> float:
    """Return the mean work of a request over all targets."""
    totals = [work_time.totals(now_s) for work_time in work_times]
    answers = sum(count for _, count in totals)
    if answers <= 0:
        return INITIAL_WORK_MS
    return max(1.0, sum(work for work, _ in totals) / answers)


def estimated_work_ms(
    work_time: TargetWorkTime | None, mean_ms: float, now_s: float
) -> float:
    """Return how long a target works on a request.

    Presumes some answers at the usual work time, so that few do not decide.
    """
    if work_time is None:
        return mean_ms
    total_ms, answers = work_time.totals(now_s)
    prior_ms = mean_ms * PRIOR_ANSWERS
    return (total_ms + prior_ms) / (answers + PRIOR_ANSWERS)

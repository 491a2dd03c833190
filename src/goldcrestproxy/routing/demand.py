"""Measured demand: requests by block of keys, and the speed of targets."""

from __future__ import annotations

import typing as ty

import attrs

# Long enough that chance does not move keys at a usual rate.
SLOW_S: ty.Final = 12.0
# Short enough that keys that turn hot are seen while they are.
FAST_S: ty.Final = 1.0
# A sudden rate is believed from this many requests on, and above this
# multiple of the usual rate.
FAST_REQUESTS_MIN: ty.Final = 8.0
FAST_MULTIPLE: ty.Final = 3.0
# Part of the demand that is taken to be spread evenly, whatever is measured.
EVEN_PART: ty.Final = 0.2
# Requests that are presumed to be spread evenly before any are measured: a
# few requests for the same keys are chance, not demand.
PRESUMED_REQUESTS_MIN: ty.Final = 200.0
# With so many for each target its part is known within a sixth, which is
# less than what moves keys.
PRESUMED_REQUESTS_A_TARGET: ty.Final = 40.0
# A block is not cut up for fewer requests than this: they are chance.
CUT_REQUESTS_MIN: ty.Final = 12.0
# Answers that are presumed at the usual speed before any are measured.
PRESUMED_ANSWERS: ty.Final = 16.0
SPEED_S: ty.Final = 15.0
# Sums are scaled anew after so many halvings: 2 ** 40 is far from the end of
# a float's range.
HALVINGS_MAX: ty.Final = 40
# What is left of a request after ten halvings is forgotten.
NEGLIGIBLE_REQUESTS: ty.Final = 0.001
# Before anything was measured; only relations between targets matter then.
WORK_MS_START: ty.Final = 100.0


@attrs.define
class Fading:
    """A sum in which what is older counts for less."""

    memory_s: float
    value: float = 0.0
    _at_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount."""
        self.value = self.read(now_s) + amount
        self._at_s = now_s

    def read(self, now_s: float) -> float:
        """Return what is left of the sum."""
        if not self.value:
            return 0.0
        faded: float = 0.5 ** ((now_s - self._at_s) / (self.memory_s / 2))
        return self.value * faded


@attrs.define
class FadingCounts:
    """Sums by block in which what is older counts for less.

    Forward decay (Cormode et al., 2009): what is added is scaled up by its
    age since a landmark instead of scaling down all sums as time passes, so
    that reading all of them costs one multiplication each.
    """

    memory_s: float
    _landmark_s: float = 0.0
    _scaled: dict[int, float] = attrs.field(factory=dict)

    def add(self, block: int, amount: float, now_s: float) -> None:
        """Add an amount to a block's sum."""
        scaled = amount * self._scale(now_s)
        self._scaled[block] = self._scaled.get(block, 0.0) + scaled

    def read(self, now_s: float) -> dict[int, float]:
        """Return what is left of each sum."""
        part = 1 / self._scale(now_s)
        return {block: sum_ * part for block, sum_ in self._scaled.items()}

    def total(self, now_s: float) -> float:
        """Return what is left of all sums together."""
        return sum(self._scaled.values()) / self._scale(now_s)

    def replace(self, block: int, pieces: ty.Sequence[int]) -> None:
        """Spread a block's sum over its pieces."""
        scaled = self._scaled.pop(block, 0.0)
        for piece in pieces:
            self._scaled[piece] = scaled / len(pieces)

    def keep(self, blocks: ty.Container[int]) -> None:
        """Forget all other blocks."""
        for block in [b for b in self._scaled if b not in blocks]:
            del self._scaled[block]

    def _scale(self, now_s: float) -> float:
        """Return how much more what is added now counts than at the start."""
        halvings = (now_s - self._landmark_s) / (self.memory_s / 2)
        if halvings > HALVINGS_MAX:
            self._move_landmark(now_s, halvings)
            return 1.0
        scale: float = 2**halvings
        return scale

    def _move_landmark(self, now_s: float, halvings: float) -> None:
        part = 2 ** -min(halvings, 2 * HALVINGS_MAX)
        self._scaled = {
            block: sum_ * part
            for block, sum_ in self._scaled.items()
            if sum_ * part > NEGLIGIBLE_REQUESTS
        }
        self._landmark_s = now_s


@attrs.define
class KeyDemand:
    """Requests for the blocks of one service."""

    _slow: FadingCounts = attrs.field(factory=lambda: FadingCounts(SLOW_S))
    _fast: FadingCounts = attrs.field(factory=lambda: FadingCounts(FAST_S))

    def count(self, block: int, requests: int, now_s: float) -> None:
        """Count requests for a block."""
        self._slow.add(block, requests, now_s)
        self._fast.add(block, requests, now_s)

    def weights(
        self,
        sizes: ty.Mapping[int, int],
        now_s: float,
        presumed_requests: float = PRESUMED_REQUESTS_MIN,
    ) -> dict[int, float]:
        """Return each block's part of the requests; together 1.

        :param sizes: keys in each block
        :param presumed_requests: spread evenly, beside what was counted
        """
        self._slow.keep(sizes)
        self._fast.keep(sizes)
        rates = self._rates(now_s)
        total = sum(rates.values())
        keys = sum(sizes.values())
        if total <= 0:
            return {block: size / keys for block, size in sizes.items()}
        counted = self._slow.total(now_s)
        presumed = max(PRESUMED_REQUESTS_MIN, presumed_requests)
        presumed_part = presumed / (presumed + counted)
        even_part = max(EVEN_PART, presumed_part)
        a_key = even_part / keys
        a_rate = (1 - even_part) / total
        return {
            block: a_key * size + a_rate * rates.get(block, 0.0)
            for block, size in sizes.items()
        }

    def requests_per_s(self, now_s: float) -> float:
        """Return the requests for all blocks together."""
        return self._slow.total(now_s) / SLOW_S

    def requests(self, now_s: float) -> dict[int, float]:
        """Return how many requests were counted, older ones for less."""
        return self._slow.read(now_s)

    def split(self, block: int, pieces: ty.Sequence[int]) -> None:
        """Spread what was counted for a block over its pieces."""
        self._slow.replace(block, pieces)
        self._fast.replace(block, pieces)

    def _rates(self, now_s: float) -> dict[int, float]:
        """Return requests a second by block, sudden ones as they are now."""
        rates = {
            block: sum_ / SLOW_S
            for block, sum_ in self._slow.read(now_s).items()
        }
        for block, fast in self._fast.read(now_s).items():
            if fast < FAST_REQUESTS_MIN:
                continue
            fast_per_s = fast / FAST_S
            if fast_per_s > FAST_MULTIPLE * rates.get(block, 0.0):
                rates[block] = fast_per_s
        return rates


@attrs.define
class TargetSpeed:
    """How long a target works on a request, over many answers."""

    _work_ms: Fading = attrs.field(factory=lambda: Fading(SPEED_S))
    _answers: Fading = attrs.field(factory=lambda: Fading(SPEED_S))

    def take(self, work_ms: float, answers: int, now_s: float) -> None:
        """Add the sum of the work of some answers."""
        self._work_ms.add(work_ms, now_s)
        self._answers.add(answers, now_s)

    def totals(self, now_s: float) -> tuple[float, float]:
        """Return the faded sums of work in ms and of answers."""
        return self._work_ms.read(now_s), self._answers.read(now_s)


def usual_work_ms(speeds: ty.Iterable[TargetSpeed], now_s: float) -> float:
    """Return the mean work of a request over all targets."""
    totals = [speed.totals(now_s) for speed in speeds]
    answers = sum(count for _, count in totals)
    if answers <= 0:
        return WORK_MS_START
    return max(1.0, sum(work for work, _ in totals) / answers)


def work_ms(speed: TargetSpeed | None, usual_ms: float, now_s: float) -> float:
    """Return how long a target works on a request.

    Presumes some answers at the usual speed, so that few do not decide.
    """
    if speed is None:
        return usual_ms
    total_ms, answers = speed.totals(now_s)
    presumed_ms = usual_ms * PRESUMED_ANSWERS
    return (total_ms + presumed_ms) / (answers + PRESUMED_ANSWERS)

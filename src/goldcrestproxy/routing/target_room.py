"""Requests that a target holds at once before it resets connections.

Some targets reset the connection of a request that they have no room for. The
caller is left without knowing whether the request has run, so a host keeps
below the number at which that happened.
"""

from __future__ import annotations

import math
import typing as ty

import attrs

# The limit after a reset, relative to the requests at the target then.
DECREASE_RATIO: ty.Final = 0.8
# By how many requests the limit grows, since a target may take more again.
GROWTH_PER_S: ty.Final = 0.5
# Resets that follow one within this time have the same cause.
SAME_CAUSE_S: ty.Final = 0.25
# The limit ends after this time without a reset.
LIMIT_S_MAX: ty.Final = 20.0


@attrs.define(kw_only=True)
class TargetRoom:
    """The number of requests that one incarnation of a target has room for.

    Additive increase, multiplicative decrease (Chiu and Jain, 1989).
    """

    slots: int
    _limit: float = attrs.field(init=False, default=math.inf)
    _reset_s: float = attrs.field(init=False, default=-math.inf)

    def is_busy(self, requests: float) -> bool:
        """Whether a reset may mean that there was no room.

        :param requests: those at the target, running and waiting
        """
        return requests >= self.slots

    def record_reset(self, requests: float, now_s: float) -> None:
        """Apply a reset of a connection while the target was busy.

        :param requests: those at the target then, running and waiting
        """
        if now_s < self._reset_s + SAME_CAUSE_S:
            return
        held = min(requests, self._limit_at(now_s))
        self._limit = max(float(self.slots), held * DECREASE_RATIO)
        self._reset_s = now_s

    def has_room(self, requests: float, now_s: float) -> bool:
        """Whether the target takes another request.

        :param requests: those at the target now, running and waiting
        """
        return requests < self._limit_at(now_s)

    def _limit_at(self, now_s: float) -> float:
        elapsed_s = now_s - self._reset_s
        if elapsed_s > LIMIT_S_MAX:
            return math.inf
        return self._limit + GROWTH_PER_S * elapsed_s

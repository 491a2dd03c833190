"""Rest that a target asks one host for when it turns a request away."""

from __future__ import annotations

import math
import typing as ty

import attrs

# Longest rest that is kept. A target that asks for more is tried again by one
# request then.
REST_S_MAX: ty.Final = 3600.0
# While a first request finds out whether the rest is over.
PROBE_RETRY_AFTER_MS: ty.Final = 100
# Keys of a target that rests for at least this long move to others. A move
# takes less than half of it.
MOVING_REST_MS: ty.Final = 1_000
# Unless more than this share of a service's targets rest: the others could
# not take their load.
RESTING_SHARE_MAX: ty.Final = 0.25


@attrs.define(kw_only=True)
class RestTime:
    """The rest of one target, which ends with its incarnation.

    After the rest one request is sent; others follow once it is answered.
    """

    until_s: float = -math.inf
    _needs_probe: bool = False
    _probe_until_s: float = -math.inf

    def record_request_to_rest(self, rest_ms: float, now_s: float) -> None:
        """Store that the target wants nothing from this host for a time."""
        if rest_ms <= 0:
            return
        rest_s = min(rest_ms / 1000, REST_S_MAX)
        self.until_s = max(self.until_s, now_s + rest_s)
        self._needs_probe = True
        self._probe_until_s = -math.inf

    def record_answer(self, now_s: float) -> None:
        """Store that the target has answered without asking for rest."""
        if now_s >= self.until_s:
            self._needs_probe = False

    def may_send(self, now_s: float) -> bool:
        """Whether the target may get a request now."""
        if now_s < self.until_s:
            return False
        return not self._needs_probe or now_s >= self._probe_until_s

    def take(self, now_s: float, answer_s: float) -> bool:
        """Count a request right before it is sent; return whether it may be.

        :param answer_s: time by which the first one after a rest is answered,
            or else another one may be sent
        """
        if not self.may_send(now_s):
            return False
        if self._needs_probe:
            self._probe_until_s = now_s + answer_s
        return True

    def retry_after_ms(self, now_s: float) -> int:
        """Return after how many milliseconds a caller should try again."""
        if now_s < self.until_s:
            return math.ceil((self.until_s - now_s) * 1000)
        return 0 if self.may_send(now_s) else PROBE_RETRY_AFTER_MS


def may_move_keys(resting: int, targets: int) -> bool:
    """Whether other targets may take the keys of those that rest."""
    return resting <= RESTING_SHARE_MAX * targets

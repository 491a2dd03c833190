"""Rate limit for requests to cold targets."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class ColdRateLimiter:
    """Share of a cold target's request rate that this host may use.

    A token bucket with a capacity of one request. It starts with a random
    fraction of a token, so that hosts that discover a cold target together
    do not all send to it at the same time.
    """

    tokens: float
    refilled_s: float

    def take(self, now_s: float, rate_per_s: float, hosts: int) -> bool:
        """Take one token; return whether one was available.

        :param rate_per_s: request rate allowed for all hosts together
        :param hosts: entry hosts that send to the target
        """
        self.refill(now_s, rate_per_s, hosts)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def refill(self, now_s: float, rate_per_s: float, hosts: int) -> None:
        """Add the tokens accrued since the last refill."""
        per_s = rate_per_s / max(1, hosts)
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.tokens = min(1.0, self.tokens + per_s * elapsed_s)
        self.refilled_s = now_s

"""How many requests a cold target gets from this host."""

from __future__ import annotations

import attrs


@attrs.define(kw_only=True)
class ColdRateLimiter:
    """A part of what a cold target bears from all hosts.

    A token bucket that holds one request. It starts with a random part of
    one, so that hosts that learn of a cold target together do not all send
    to it at the same moment.
    """

    tokens: float
    refilled_s: float

    def take(self, now_s: float, rate_per_s: float, hosts: int) -> bool:
        """Take one request, if there is one.

        :param rate_per_s: what the target bears from all hosts together
        :param hosts: entry hosts that send to it
        """
        self.refill(now_s, rate_per_s, hosts)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def refill(self, now_s: float, rate_per_s: float, hosts: int) -> None:
        """Add what has become due."""
        per_s = rate_per_s / max(1, hosts)
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.tokens = min(1.0, self.tokens + per_s * elapsed_s)
        self.refilled_s = now_s

"""Retry budget of a customer: a share of its requests plus a burst."""

from __future__ import annotations

import attrs

from goldcrestproxy import settings


@attrs.define(kw_only=True)
class RetryTokenBucket:
    """Token bucket that requests refill and retries drain."""

    share: float
    burst_requests: int
    tokens: float

    @classmethod
    def of(cls, budget: settings.RetryBudget) -> RetryTokenBucket:
        """Return a full bucket."""
        return cls(
            share=budget.share,
            burst_requests=budget.burst_requests,
            tokens=float(budget.burst_requests),
        )

    def record_request(self) -> None:
        """Add ``share`` tokens for a first attempt."""
        self.tokens = min(float(self.burst_requests), self.tokens + self.share)

    def take(self) -> bool:
        """Take one token; return whether one was available."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

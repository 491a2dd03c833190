"""Customers' quotas at one entry host: tokens in hand, and shares.

Answers the same load as ``quota_grants``: a host spends what the leader has
granted, asks before that runs out, and goes on with its share of a quota
while it gets no answers. All times are monotonic seconds.
"""

from __future__ import annotations

import math
import typing as ty

import attrs

from goldcrestproxy.routing import demand
from goldcrestproxy.routing import quota_grants
from goldcrestproxy.routing import quota_terms

# Tokens are asked for ahead by the demand of this time, at least one.
AHEAD_S: ty.Final = 0.5
DEMAND_WINDOW_S: ty.Final = 3.0
# Below this demand a host asks only when a request needs a token.
DEMAND_PER_S_MIN: ty.Final = 0.3
# Tokens beyond this multiple of what is wanted are returned.
SURPLUS_RATIO: ty.Final = 2.0
# What a host holds is reported anew after this time.
REPORT_S: ty.Final = 1.0


@attrs.define(kw_only=True)
class LeaderContact:
    """What a host knows of its contact with the leader.

    ``answered_s`` is when the question was sent whose answer came last, None
    before the first. ``reserved`` says that the leader did not know that its
    answers arrive, and has reserved this host's shares.
    """

    answered_s: float | None = None
    reserved: bool = False

    def valid(self, now_s: float) -> bool:
        """Whether tokens and shares may be spent."""
        return (
            self.answered_s is not None
            and now_s < self.answered_s + quota_terms.VALID_S
        )

    def spends_shares(self, now_s: float) -> bool:
        """Whether the leader has reserved this host's shares."""
        return (
            self.answered_s is not None
            and self.valid(now_s)
            and (
                self.reserved
                or now_s >= self.answered_s + quota_terms.SHARE_AFTER_S
            )
        )


@attrs.define(kw_only=True)
class HostQuota:
    """Requests of one customer that this host may let through."""

    tokens: int = 0
    share: float = 0.0
    # Requests that wait for a token.
    waiting: int = 0
    # Until then the leader has no tokens for requests that wait here.
    exhausted_until_s: float = -math.inf
    _share_tokens: float = 0.0
    _share_refilled_s: float | None = None
    _demand: demand.DecayingSum = attrs.field(
        factory=lambda: demand.DecayingSum(DEMAND_WINDOW_S)
    )
    _reported_s: float = -math.inf

    def count_demand(self, now_s: float) -> None:
        """Count a request of the customer's callers."""
        self._demand.add(1.0, now_s)

    def take(self) -> bool:
        """Take a token; return whether there was one."""
        if self.tokens <= 0:
            return False
        self.tokens -= 1
        return True

    def take_from_share(
        self, quota: quota_terms.Quota, now_s: float, *, spends_shares: bool
    ) -> bool:
        """Take a request from this host's share; return whether it had one.

        :param spends_shares: see ``LeaderContact``
        """
        if not spends_shares:
            self._share_refilled_s = None
            return False
        rate_per_s = self.share * quota.requests_per_s
        bucket = max(1.0, rate_per_s * quota_terms.SHARE_BUCKET_S)
        if self._share_refilled_s is None:
            self._share_refilled_s, self._share_tokens = now_s, 0.0
        elapsed_s = now_s - self._share_refilled_s
        self._share_refilled_s = now_s
        self._share_tokens = min(
            bucket, self._share_tokens + rate_per_s * elapsed_s
        )
        if self._share_tokens < 1:
            return False
        self._share_tokens -= 1
        return True

    def give_back(self) -> None:
        """Return the token of a request that has not run."""
        self.tokens += 1

    def void(self) -> None:
        """Drop what may not be spent any more."""
        self.tokens, self.share = 0, 0.0

    def ask(self, now_s: float) -> quota_grants.QuotaAsk | None:
        """Return the question to the leader, None if there is none now.

        What it returns to the leader is taken out of the tokens.
        """
        wanted = self._wanted_ahead(now_s)
        returned = 0
        if self.tokens > SURPLUS_RATIO * wanted:
            returned = self.tokens - wanted
            self.tokens -= returned
        needed = self.waiting if now_s >= self.exhausted_until_s else 0
        ahead = max(0, wanted - self.tokens)
        due = now_s >= self._reported_s + REPORT_S and (
            self.tokens > 0 or self.share > 0
        )
        if not (needed or ahead or returned or due):
            return None
        self._reported_s = now_s
        return quota_grants.QuotaAsk(
            needed=needed,
            ahead=ahead,
            held=self.tokens,
            returned=returned,
            share=self.share,
            demand_per_s=self._demand.rate_per_s(now_s),
        )

    def record_grant(
        self, grant: quota_grants.QuotaGrant, now_s: float
    ) -> None:
        """Record the leader's answer to the last question."""
        self.tokens += grant.tokens
        self.share = grant.share
        if grant.retry_after_ms:
            self.exhausted_until_s = now_s + grant.retry_after_ms / 1000
        elif grant.tokens:
            self.exhausted_until_s = -math.inf

    def is_exhausted(self, now_s: float) -> bool:
        """Whether the leader has no tokens for more requests here."""
        return now_s < self.exhausted_until_s

    def retry_after_ms(self, now_s: float) -> int:
        """Return the time until room is expected."""
        return max(0, math.ceil((self.exhausted_until_s - now_s) * 1000))

    def is_idle(self, now_s: float) -> bool:
        """Whether nothing is lost if this is forgotten."""
        return (
            not self.tokens
            and not self.waiting
            and not self.share
            and self._demand.rate_per_s(now_s) * quota_terms.VALID_S < 1
        )

    def _wanted_ahead(self, now_s: float) -> int:
        rate_per_s = self._demand.rate_per_s(now_s)
        if rate_per_s < DEMAND_PER_S_MIN:
            return 0
        return math.ceil(rate_per_s * AHEAD_S)

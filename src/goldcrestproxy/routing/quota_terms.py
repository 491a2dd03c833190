"""Quotas of customers, and by how much they may be exceeded."""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy import registry

# Parts of what a quota may be exceeded by: tokens that hosts hold or that are
# on their way, of which hosts hold a part ahead; those that a new leader
# grants while hosts may hold others that it does not know of; what the buckets
# of shares hold; and what the leader saves beyond the burst.
ADVANCE_PART: ty.Final = 0.6
AHEAD_PART: ty.Final = 0.3
UNKNOWN_ADVANCE_PART: ty.Final = 0.15
SHARE_BUCKETS_PART: ty.Final = 0.2
LEADER_BUCKET_PART: ty.Final = 0.05
# Sum of the shares of a quota that hosts may spend without the leader.
SHARES_SUM_MAX: ty.Final = 0.9
# Time for which tokens and shares may be spent after the last answer.
VALID_S: ty.Final = 15.0
# Longest time from a question to an answer that a host heeds.
ANSWER_S: ty.Final = 0.3
# A host spends its share after this time without an answer. The leader
# reserves it earlier by the time of an answer, whatever the clocks' drift.
SHARE_AFTER_S: ty.Final = 1.0
RESERVED_AFTER_S: ty.Final = 0.95 * (SHARE_AFTER_S - ANSWER_S)
# A share's bucket holds what comes in within this time, at least one request.
SHARE_BUCKET_S: ty.Final = 0.1


@attrs.frozen(kw_only=True)
class Quota:
    """Requests that a customer may send by way of all hosts together."""

    requests_per_s: float
    burst_requests: float


def quota_of(customer: registry.Customer | None) -> Quota | None:
    """Return a customer's quota, None for one without a quota."""
    if customer is None or customer.requests_per_s <= 0:
        return None
    return Quota(
        requests_per_s=customer.requests_per_s,
        burst_requests=customer.burst_requests,
    )


@attrs.frozen(kw_only=True)
class QuotaTolerance:
    """Window in which a quota is judged, and by how much it may be exceeded.

    At most (rate x window + burst) x (1 + overshoot) + slack requests may run
    in any window.
    """

    window_s: float = 5.0
    overshoot_ratio: float = 0.1
    slack_requests: float = 20.0

    def allowed_requests(self, quota: Quota) -> float:
        """Return how many requests may run in a window."""
        owed = quota.requests_per_s * self.window_s + quota.burst_requests
        return owed * (1 + self.overshoot_ratio) + self.slack_requests

    def excess_requests(self, quota: Quota) -> float:
        """Return by how many requests a window may exceed a quota."""
        owed = quota.requests_per_s * self.window_s + quota.burst_requests
        return owed * self.overshoot_ratio + self.slack_requests

    def advance_max(self, quota: Quota, *, all_heard: bool) -> float:
        """Return how many tokens may be granted and not spent at a time.

        :param all_heard: whether the leader knows what all hosts hold
        """
        part = ADVANCE_PART if all_heard else UNKNOWN_ADVANCE_PART
        return max(1.0, self.excess_requests(quota) * part)

    def ahead_max(self, quota: Quota) -> float:
        """Return how many tokens all hosts together may hold ahead."""
        return self.excess_requests(quota) * AHEAD_PART

    def shares_max(self, quota: Quota) -> int:
        """Return how many hosts may hold a share.

        Each may save up a request while nobody asks.
        """
        excess = self.excess_requests(quota) * SHARE_BUCKETS_PART
        return max(1, int(excess))

    def leader_bucket(self, quota: Quota) -> float:
        """Return how many tokens the leader saves up."""
        excess = self.excess_requests(quota) * LEADER_BUCKET_PART
        return max(1.0, quota.burst_requests + excess)

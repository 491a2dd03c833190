"""Permits that the leader gives for single requests to a target."""

from __future__ import annotations

import math
import typing as ty

import attrs

from goldcrestproxy.routing import request_limits

# Interval at which a host may ask again, per entry host: all hosts together
# ask for at most 100 permits per second that they do not get.
INTERVAL_MS_PER_HOST: ty.Final = 10


@attrs.define(kw_only=True)
class PermitBucket:
    """Requests that the leader permits for a target, a token bucket.

    It starts empty where an earlier leader may have given permits.
    """

    refilled_s: float
    tokens: float = 0.0

    def take(
        self, limit_per_s: float, burst_requests: float, now_s: float
    ) -> int:
        """Take a permit; return 0, or the milliseconds until there is one.

        :param burst_requests: permits that accumulate
        """
        elapsed_s = max(0.0, now_s - self.refilled_s)
        self.refilled_s = now_s
        self.tokens = min(
            max(1.0, burst_requests), self.tokens + limit_per_s * elapsed_s
        )
        if self.tokens >= 1:
            self.tokens -= 1
            return 0
        return math.ceil((1 - self.tokens) / limit_per_s * 1000)


def retry_after_ms(wait_ms: int, hosts: int) -> int:
    """Return when a host may ask again after an answer of a bucket.

    :param wait_ms: milliseconds until the next permit, 0 if there was one
    :param hosts: entry hosts that ask
    """
    if wait_ms == 0:
        return 0
    interval_ms = INTERVAL_MS_PER_HOST * hosts
    return max(interval_ms, min(wait_ms, request_limits.RETRY_AFTER_MS_MAX))

"""Requests that all entry hosts together send to a cold target.

Answers targets that bear a few requests per second for some time, while many
hosts have requests for them. A share of the rate for each host is no bound:
shares that were not used add up, and hosts that use theirs at the same moment
exceed the rate. So the leader permits each request. A host that gets no answer
from a leader may send a request in a short slot of its own now and then.
"""

from __future__ import annotations

import math
import typing as ty

import attrs

from goldcrestproxy.routing import permits
from goldcrestproxy.routing import request_limits

# Permits that were not asked for accumulate up to this number.
BURST_REQUESTS: ty.Final = 2.0
# A permit lapses this long after it was asked for: requests that were
# permitted one after the other are not all sent at the same moment.
VALID_S: ty.Final = 0.3
# Used for services without a rate.
RATE_PER_S_MIN: ty.Final = 0.05
# Part of the rate for which hosts without a leader have slots. Other hosts
# may still get permits for the whole rate.
SLOTS_RATIO: ty.Final = 0.5
SLOT_S: ty.Final = 1.0
# Buckets of targets that nobody asked for within this time are removed.
RETENTION_S: ty.Final = 60.0


@attrs.define(kw_only=True)
class ColdPermits:
    """Permits for requests to cold targets, during one term of a leader.

    Targets are told apart by name and incarnation.
    """

    started_s: float
    _buckets: dict[tuple[str, int], permits.PermitBucket] = attrs.field(
        factory=dict
    )
    _swept_s: float = -math.inf

    def take_permit(
        self,
        target: str,
        incarnation: int,
        rate_per_s: float,
        now_s: float,
        hosts: int,
    ) -> int:
        """Permit a request, or return when to ask again.

        :param rate_per_s: requests that the target bears from all hosts
        :param hosts: entry hosts that ask
        :return: 0, or the milliseconds after which the host may ask again
        """
        self._sweep(now_s)
        key = target, incarnation
        bucket = self._buckets.get(key)
        if bucket is None:
            bucket = self._new_bucket(now_s)
            self._buckets[key] = bucket
        wait_ms = bucket.take(
            max(RATE_PER_S_MIN, rate_per_s), BURST_REQUESTS, now_s
        )
        return permits.retry_after_ms(wait_ms, hosts)

    def _new_bucket(self, now_s: float) -> permits.PermitBucket:
        """Return an empty bucket while an earlier leader's permits count."""
        counted_s = self.started_s + 1.0 + VALID_S
        tokens = BURST_REQUESTS if now_s >= counted_s else 0.0
        return permits.PermitBucket(refilled_s=now_s, tokens=tokens)

    def _sweep(self, now_s: float) -> None:
        if now_s < self._swept_s + RETENTION_S:
            return
        self._swept_s = now_s
        self._buckets = {
            key: bucket
            for key, bucket in self._buckets.items()
            if now_s < bucket.refilled_s + RETENTION_S
        }


@attrs.define(kw_only=True)
class ColdRateLimiter:
    """What one host may send to one cold target.

    ``phase`` is a random part of the interval between two slots, so that the
    slots of all hosts are spread.
    """

    phase: float
    _started_s: float = 0.0
    _denied_until_s: float = -math.inf
    # The last slot in which a request was sent.
    _used_slot: int = -1

    def start(self, now_s: float, phase: float) -> None:
        """Start a cold time, whose slots begin anew."""
        self.phase = phase
        self._started_s = now_s
        self._used_slot = -1

    def record_denial(self, retry_after_ms: int, now_s: float) -> None:
        """Store that the leader gave no permit."""
        self._denied_until_s = now_s + retry_after_ms / 1000

    def has_room(self, now_s: float) -> bool:
        """Whether a request may be sent, or the leader be asked again."""
        return now_s >= self._denied_until_s

    def take_slot(self, now_s: float, rate_per_s: float, hosts: int) -> bool:
        """Take the slot of this moment; return whether there was one.

        Without one, there is no room until the next slot, or until it is time
        to ask a leader again.

        :param rate_per_s: requests that the target bears from all hosts
        :param hosts: entry hosts that may send to it
        """
        per_s = max(RATE_PER_S_MIN, rate_per_s) * SLOTS_RATIO
        interval_s = max(1, hosts) / per_s
        since_s = now_s - self._started_s - self.phase * interval_s
        slot = math.floor(since_s / interval_s)
        if slot > self._used_slot and since_s < slot * interval_s + SLOT_S:
            self._used_slot = slot
            return True
        next_s = (slot + 1) * interval_s - since_s
        self.record_denial(
            min(math.ceil(next_s * 1000), request_limits.PERMIT_FAILURE_MS),
            now_s,
        )
        return False

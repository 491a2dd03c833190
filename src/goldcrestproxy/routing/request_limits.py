"""One host's part of the limits that targets name for all hosts."""

from __future__ import annotations

import collections
import math
import typing as ty

import attrs

from goldcrestproxy.routing import demand

# Hosts do not know of each other's requests, so some of them coincide. The
# rest of a limit keeps the sum within it over any few seconds.
USED_SHARE: ty.Final = 0.8
# Requests that a host has not sent accumulate for this long.
BURST_S: ty.Final = 2.0
# A target that takes no requests is asked now and then: its answer says
# whether it still does not.
LIMIT_PER_S_MIN: ty.Final = 0.05
# Hosts whose next request is due later let callers try another host before.
RETRY_AFTER_MS_MAX: ty.Final = 1_000
# Part of an equal share that each host has whatever its callers ask for.
EQUAL_SHARE_MIN: ty.Final = 0.2
# How long an answer that this host got counts more than what others got.
OWN_ANSWER_S: ty.Final = 2.0
OFFERED_WINDOW_S: ty.Final = 4.0
# The fleet's sum is this old at most when it arrives at a host.
REPORT_AGE_S: ty.Final = 1.5
# A host that hears nothing for longer may not be counted by the others, who
# then share the whole limit: it takes this ratio of an equal share.
FLEET_AGE_S: ty.Final = 3.0
UNHEARD_RATIO: ty.Final = 0.5
# Hosts ask the leader for a permit for each request to targets with lower
# limits. Parts of such a limit would be too small: each host could store a
# request, and hosts without callers would leave their parts unused.
PERMITS_PER_S_MAX: ty.Final = 20.0
PERMITS_PER_S_AND_HOST_MAX: ty.Final = 0.5
# After a call for a permit without an answer.
PERMIT_FAILURE_MS: ty.Final = 500


@attrs.frozen(kw_only=True)
class FleetLimit:
    """What all hosts together know of a target's limit.

    ``limit_per_s`` is None after the target has withdrawn its limit.
    ``offered_per_s`` is the rate of requests that callers of all hosts have
    for the target, None while it is not known.
    """

    limit_per_s: float | None
    offered_per_s: float | None = None


@attrs.define(kw_only=True)
class RequestLimit:
    """One host's part of the request rate that a target has named.

    A token bucket. It starts with a random part of a token, so that hosts
    that hear of a limit together do not send together.
    """

    tokens: float = 0.0
    _named_per_s: float | None = None
    _named_s: float = -math.inf
    _fleet_per_s: float | None = None
    _fleet_s: float = -math.inf
    # When the leader last answered a report of this host.
    _heard_s: float = -math.inf
    _refilled_s: float = 0.0
    _offered: demand.DecayingSum = attrs.field(
        factory=lambda: demand.DecayingSum(OFFERED_WINDOW_S)
    )
    # This host's own rates of offered requests, with their times.
    _own_rates: collections.deque[tuple[float, float]] = attrs.field(
        factory=collections.deque
    )
    # This host's part of all offered requests, None while not known.
    _share: float | None = None
    # Until then, the leader need not be asked for a permit again.
    _denied_until_s: float = -math.inf

    @property
    def limit_per_s(self) -> float | None:
        """The limit in force, None without one."""
        if self._named_s + OWN_ANSWER_S >= self._fleet_s:
            limit_per_s = self._named_per_s
        else:
            limit_per_s = self._fleet_per_s
        if limit_per_s is None:
            return None
        return max(LIMIT_PER_S_MIN, limit_per_s)

    def record_answer(self, limit_per_s: float | None, now_s: float) -> None:
        """Store the limit that an answer to this host named.

        :param limit_per_s: requests per second from all hosts together, None
            if the answer named none
        """
        self._start(limit_per_s is not None, now_s)
        self._named_per_s = limit_per_s
        self._named_s = now_s

    def record_fleet(self, limit: FleetLimit, now_s: float) -> None:
        """Store what all hosts together know of the limit."""
        self._start(limit.limit_per_s is not None, now_s)
        self._fleet_per_s = limit.limit_per_s
        self._fleet_s = now_s
        self._heard_s = now_s
        own_per_s = self._counted_own_rate(now_s)
        self._share = None
        if limit.offered_per_s:
            self._share = min(1.0, own_per_s / limit.offered_per_s)

    def record_unknown(self, now_s: float) -> None:
        """Store that the leader answered but knows of no limit."""
        self._heard_s = now_s
        self._share = None

    def record_denial(self, retry_after_ms: int, now_s: float) -> None:
        """Store that the leader gave no permit, or did not answer."""
        self._denied_until_s = now_s + retry_after_ms / 1000

    def _counted_own_rate(self, now_s: float) -> float:
        """Return the part of this host's rate that the sum has counted.

        The sum is older than the host's own rate. In a surge, a share by the
        rate of now would let each host take the whole limit.
        """
        rates = self._own_rates
        rates.append((now_s, self._offered.rate_per_s(now_s)))
        while len(rates) > 1 and rates[1][0] <= now_s - REPORT_AGE_S:
            rates.popleft()
        since_s, counted_per_s = rates[0]
        if since_s > now_s - REPORT_AGE_S:
            return 0.0
        return counted_per_s

    def count_offered(self, now_s: float) -> None:
        """Count a request that a caller of this host has for the target."""
        self._offered.add(1.0, now_s)

    def needs_permit(self, now_s: float, hosts: int) -> bool:
        """Whether the leader decides on each request.

        :param hosts: entry hosts that share the limit
        """
        limit_per_s = self.limit_per_s
        return (
            limit_per_s is not None
            and hosts > 1
            and self._hears_of_others(now_s)
            and limit_per_s
            < max(PERMITS_PER_S_MAX, PERMITS_PER_S_AND_HOST_MAX * hosts)
        )

    def has_room(self, now_s: float, hosts: int, waiting: int = 0) -> bool:
        """Whether a request may be sent now, or a permit be asked for.

        :param hosts: entry hosts that share the limit
        :param waiting: requests of this host that are to be sent before it
        """
        if self.limit_per_s is None:
            return True
        if self.needs_permit(now_s, hosts):
            return now_s >= self._denied_until_s
        self._refill(now_s, hosts)
        return self.tokens >= 1 + waiting

    def take(self, now_s: float, hosts: int) -> bool:
        """Count a request if it may be sent now; return whether it may.

        It may not while it needs a permit.
        """
        if self.needs_permit(now_s, hosts) or not self.has_room(now_s, hosts):
            return False
        if self.limit_per_s is not None:
            self.tokens -= 1
        return True

    def retry_after_ms(
        self, now_s: float, hosts: int, waiting: int = 0
    ) -> int:
        """Return after how many milliseconds a caller should try again."""
        if self.has_room(now_s, hosts, waiting):
            return 0
        if self.needs_permit(now_s, hosts):
            wait_ms = math.ceil((self._denied_until_s - now_s) * 1000)
            return min(wait_ms, RETRY_AFTER_MS_MAX)
        part_per_s = self._part_per_s(now_s, hosts)
        missing = 1 + waiting - self.tokens
        wait_ms = math.ceil(missing / part_per_s * 1000)
        return wait_ms if hosts <= 1 else min(wait_ms, RETRY_AFTER_MS_MAX)

    def _hears_of_others(self, now_s: float) -> bool:
        return now_s < self._heard_s + FLEET_AGE_S

    def _start(self, named: bool, now_s: float) -> None:
        """Let no tokens accrue for the time without a limit."""
        if named and self.limit_per_s is None:
            self._refilled_s = now_s

    def _part_per_s(self, now_s: float, hosts: int) -> float:
        """Return the rate that this host may send.

        Hosts share a limit in proportion to their callers' requests, and a
        small part of it equally. They share it equally while these requests
        are not known.
        """
        limit_per_s = self.limit_per_s or 0.0
        if hosts <= 1:
            return limit_per_s
        return limit_per_s * USED_SHARE * self._share_of(now_s, hosts)

    def _share_of(self, now_s: float, hosts: int) -> float:
        equal = 1 / hosts
        if not self._hears_of_others(now_s):
            return equal * UNHEARD_RATIO
        if self._share is None:
            return equal
        return EQUAL_SHARE_MIN * equal + (1 - EQUAL_SHARE_MIN) * self._share

    def _refill(self, now_s: float, hosts: int) -> None:
        part_per_s = self._part_per_s(now_s, hosts)
        since_s = self._refilled_s
        if not self._hears_of_others(now_s):
            # No tokens accrue for a time with permits.
            since_s = max(since_s, self._heard_s + FLEET_AGE_S)
        elapsed_s = max(0.0, now_s - since_s)
        self._refilled_s = now_s
        self.tokens = min(
            max(1.0, part_per_s * BURST_S),
            self.tokens + part_per_s * elapsed_s,
        )

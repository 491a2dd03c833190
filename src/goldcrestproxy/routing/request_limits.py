"""Limits that targets name for the requests of all hosts together."""

from __future__ import annotations

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
OFFERED_WINDOW_S: ty.Final = 2.0


@attrs.frozen(kw_only=True)
class FleetLimit:
    """What all hosts together know of a target's limit.

    ``offered_per_s`` is the rate of requests that callers of all hosts have
    for the target.
    """

    limit_per_s: float
    offered_per_s: float


@attrs.define(kw_only=True)
class RequestLimit:
    """One host's part of the request rate that a target has named.

    A token bucket. It starts with a random part of a token, so that hosts
    that hear of a limit together do not send together.
    """

    tokens: float = 0.0
    _named_per_s: float | None = None
    _named_s: float = -math.inf
    _fleet_limit: FleetLimit | None = None
    _fleet_s: float = -math.inf
    _refilled_s: float = 0.0
    _offered: demand.DecayingSum = attrs.field(
        factory=lambda: demand.DecayingSum(OFFERED_WINDOW_S)
    )

    @property
    def limit_per_s(self) -> float | None:
        """The limit in force, None without one."""
        if self._named_s + OWN_ANSWER_S >= self._fleet_s:
            limit_per_s = self._named_per_s
        elif self._fleet_limit is not None:
            limit_per_s = self._fleet_limit.limit_per_s
        else:
            limit_per_s = None
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

    def record_fleet(self, limit: FleetLimit | None, now_s: float) -> None:
        """Store the limit that all hosts together know, None without one."""
        self._start(limit is not None, now_s)
        self._fleet_limit = limit
        self._fleet_s = now_s

    def count_offered(self, now_s: float) -> None:
        """Count a request that a caller of this host has for the target."""
        self._offered.add(1.0, now_s)

    def has_room(self, now_s: float, hosts: int) -> bool:
        """Whether a request may be sent now.

        :param hosts: entry hosts that share the limit
        """
        self._refill(now_s, hosts)
        return self.limit_per_s is None or self.tokens >= 1

    def take(self, now_s: float, hosts: int) -> bool:
        """Count a request if it may be sent now; return whether it may."""
        if not self.has_room(now_s, hosts):
            return False
        if self.limit_per_s is not None:
            self.tokens -= 1
        return True

    def retry_after_ms(self, now_s: float, hosts: int) -> int:
        """Return after how many milliseconds a caller should try again."""
        if self.has_room(now_s, hosts):
            return 0
        wait_ms = (1 - self.tokens) / self._part_per_s(now_s, hosts) * 1000
        return min(math.ceil(wait_ms), RETRY_AFTER_MS_MAX)

    def _start(self, named: bool, now_s: float) -> None:
        """Let no tokens accrue for the time without a limit."""
        if named and self.limit_per_s is None:
            self._refilled_s = now_s

    def _part_per_s(self, now_s: float, hosts: int) -> float:
        """Return the rate that this host may send.

        Hosts share a limit in proportion to their callers' requests, as far
        as these are known, and a small part of it equally.
        """
        limit_per_s = self.limit_per_s or 0.0
        if hosts <= 1:
            return limit_per_s
        share = 1 / hosts
        fleet_limit = self._fleet_limit
        if fleet_limit is not None and fleet_limit.offered_per_s > 0:
            offered_per_s = self._offered.rate_per_s(now_s)
            share = EQUAL_SHARE_MIN / hosts + (1 - EQUAL_SHARE_MIN) * min(
                1.0, offered_per_s / fleet_limit.offered_per_s
            )
        return limit_per_s * USED_SHARE * share

    def _refill(self, now_s: float, hosts: int) -> None:
        if self.limit_per_s is None:
            return
        part_per_s = self._part_per_s(now_s, hosts)
        elapsed_s = max(0.0, now_s - self._refilled_s)
        self._refilled_s = now_s
        self.tokens = min(
            max(1.0, part_per_s * BURST_S),
            self.tokens + part_per_s * elapsed_s,
        )


@attrs.define(kw_only=True)
class NamedLimits:
    """The limits of targets as all hosts together have reported them.

    Targets are told apart by name and incarnation.
    """

    _limits_per_s: dict[tuple[str, int], float] = attrs.field(factory=dict)
    _offered: dict[tuple[str, int], demand.DecayingSum] = attrs.field(
        factory=dict
    )

    def record(
        self, target: str, incarnation: int, limit_per_s: float | None
    ) -> None:
        """Store the limit of a target's latest answer, None without one."""
        if limit_per_s is None:
            self._limits_per_s.pop((target, incarnation), None)
        else:
            self._limits_per_s[target, incarnation] = limit_per_s

    def count_offered(
        self, target: str, incarnation: int, requests: int, now_s: float
    ) -> None:
        """Count requests that callers have for a target."""
        offered = self._offered.setdefault(
            (target, incarnation), demand.DecayingSum(OFFERED_WINDOW_S)
        )
        offered.add(requests, now_s)

    @property
    def empty(self) -> bool:
        """Whether no target names a limit."""
        return not self._limits_per_s

    def limit_per_s(self, target: str, incarnation: int) -> float | None:
        """Return the limit of a target, None without one."""
        return self._limits_per_s.get((target, incarnation))

    def read(self, now_s: float) -> dict[tuple[str, int], FleetLimit]:
        """Return all limits by the target's name and incarnation."""
        return {
            key: FleetLimit(
                limit_per_s=limit_per_s,
                offered_per_s=(
                    self._offered[key].rate_per_s(now_s)
                    if key in self._offered
                    else 0.0
                ),
            )
            for key, limit_per_s in self._limits_per_s.items()
        }

    def retain(self, targets: ty.Container[tuple[str, int]]) -> None:
        """Remove all other targets."""
        for by_target in (self._limits_per_s, self._offered):
            for key in [key for key in by_target if key not in targets]:
                del by_target[key]

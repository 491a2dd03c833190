"""Limits of targets, and permits for requests, as the leader keeps them."""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy.routing import demand
from goldcrestproxy.routing import permits
from goldcrestproxy.routing import request_limits

# By then the requests of all hosts are in a leader's sum.
COUNTED_S: ty.Final = 2 * request_limits.OFFERED_WINDOW_S
# Permits that are not asked for accumulate for this long.
PERMIT_BURST_S: ty.Final = 1.0


@attrs.define(kw_only=True)
class NamedLimits:
    """The limits of targets as all hosts together have reported them.

    Targets are told apart by name and incarnation. A limit that was
    withdrawn is kept as None: a target that is missing here may have a limit
    of which only hosts know.
    """

    # When the leader began to count offered requests.
    started_s: float
    _limits_per_s: dict[tuple[str, int], float | None] = attrs.field(
        factory=dict
    )
    _offered: dict[tuple[str, int], demand.DecayingSum] = attrs.field(
        factory=dict
    )
    _permits: dict[tuple[str, int], permits.PermitBucket] = attrs.field(
        factory=dict
    )

    def record(
        self, target: str, incarnation: int, limit_per_s: float | None
    ) -> None:
        """Store the limit of a target's latest answer, None without one."""
        self._limits_per_s[target, incarnation] = limit_per_s

    def count_offered(
        self, target: str, incarnation: int, requests: int, now_s: float
    ) -> None:
        """Count requests that callers have for a target."""
        offered = self._offered.setdefault(
            (target, incarnation),
            demand.DecayingSum(request_limits.OFFERED_WINDOW_S),
        )
        offered.add(requests, now_s)

    def take_permit(
        self,
        target: str,
        incarnation: int,
        limit_per_s: float,
        now_s: float,
        hosts: int,
    ) -> int:
        """Permit a request, or return when to ask again.

        :param limit_per_s: the limit known to the asking host; used while
            none is known here
        :param hosts: entry hosts that share the limit
        :return: 0, or the milliseconds after which the host may ask again
        """
        key = target, incarnation
        known_per_s = self._limits_per_s.get(key, limit_per_s)
        if known_per_s is None:
            return 0
        bucket = self._permits.get(key)
        if bucket is None:
            bucket = permits.PermitBucket(refilled_s=now_s)
            self._permits[key] = bucket
        known_per_s = max(request_limits.LIMIT_PER_S_MIN, known_per_s)
        wait_ms = bucket.take(known_per_s, known_per_s * PERMIT_BURST_S, now_s)
        return permits.retry_after_ms(wait_ms, hosts)

    @property
    def empty(self) -> bool:
        """Whether no target has named a limit."""
        return not self._limits_per_s

    def limit_per_s(self, target: str, incarnation: int) -> float | None:
        """Return the limit of a target, None without one."""
        return self._limits_per_s.get((target, incarnation))

    def read(
        self, now_s: float
    ) -> dict[tuple[str, int], request_limits.FleetLimit]:
        """Return all limits by the target's name and incarnation."""
        return {
            key: request_limits.FleetLimit(
                limit_per_s=limit_per_s,
                offered_per_s=self._offered_per_s(key, now_s),
            )
            for key, limit_per_s in self._limits_per_s.items()
        }

    def _offered_per_s(
        self, key: tuple[str, int], now_s: float
    ) -> float | None:
        offered = self._offered.get(key)
        if offered is None or now_s < self.started_s + COUNTED_S:
            return None
        return offered.rate_per_s(now_s)

    def retain(self, targets: ty.Container[tuple[str, int]]) -> None:
        """Remove all other targets."""
        for by_target in (self._limits_per_s, self._offered, self._permits):
            for key in [key for key in by_target if key not in targets]:
                del by_target[key]

"""Limits of targets as entry hosts report them to the leader."""

from __future__ import annotations

from goldcrestproxy.control import replica as replicas
from goldcrestproxy import registry
from goldcrestproxy.routing import cold_rate
from goldcrestproxy.routing import named_limits
from goldcrestproxy import wire


class LimitReports:
    """Combines the reports of all entry hosts for one term."""

    def __init__(self, replica: replicas.Replica) -> None:
        """Start without limits."""
        self._replica = replica
        self._limits = named_limits.NamedLimits(started_s=replica.clock())
        self._cold_permits = cold_rate.ColdPermits(started_s=replica.clock())

    @property
    def _targets(self) -> dict[str, registry.RegisteredTarget]:
        return self._replica.state.registry.targets

    def observe(self, report: wire.ttypes.WatchRequest) -> None:
        """Record the limits and offered requests reported by a host."""
        for reported in report.limits or ():
            key = reported.target, reported.incarnation
            if reported.limit_per_s is not None or reported.withdrawn:
                self._limits.record(*key, reported.limit_per_s)
            if reported.offered_requests:
                self._limits.count_offered(
                    *key, reported.offered_requests, self._replica.clock()
                )

    def limit_per_s(self, target: registry.RegisteredTarget) -> float | None:
        """Return the limit of a registered target, None without one."""
        return self._limits.limit_per_s(target.target, target.incarnation)

    def permit(
        self, request: wire.ttypes.PermitRequest, hosts: int
    ) -> wire.ttypes.PermitReply:
        """Decide whether a host may send a request to a target.

        :param hosts: entry hosts that share the limit
        """
        limits = self._cold_permits if request.cold else self._limits
        retry_after_ms = limits.take_permit(
            request.target,
            request.incarnation,
            request.limit_per_s,
            self._replica.clock(),
            hosts,
        )
        return wire.ttypes.PermitReply(
            retry_after_ms=retry_after_ms, cold=request.cold
        )

    def reply(self) -> list[wire.ttypes.TargetLimit]:
        """Return the limits of the registered targets for entry hosts."""
        if self._limits.empty:
            return []
        self._limits.retain(
            {
                (target.target, target.incarnation)
                for target in self._targets.values()
            }
        )
        limits = self._limits.read(self._replica.clock())
        return [
            wire.ttypes.TargetLimit(
                target=target,
                incarnation=incarnation,
                limit_per_s=limit.limit_per_s,
                withdrawn=limit.limit_per_s is None,
                offered_per_s=limit.offered_per_s,
            )
            for (target, incarnation), limit in limits.items()
        ]

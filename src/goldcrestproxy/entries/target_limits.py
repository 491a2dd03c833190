"""Request rates that targets allow, applied before a request is sent."""

from __future__ import annotations

import asyncio
import math
import typing as ty

from goldcrestproxy.entries import dispatch_refusals
from goldcrestproxy.entries import dispatch_state
from goldcrestproxy.entries import fleet_map
from goldcrestproxy.entries import suitability
from goldcrestproxy.entries import suspects
from goldcrestproxy import results
from goldcrestproxy.routing import cold_rate
from goldcrestproxy.routing import fleet_retries
from goldcrestproxy import telemetry


class TargetLimits:
    """Applies the rates of cold targets and the limits that targets name."""

    def __init__(
        self,
        fleet: fleet_map.FleetMap,
        request_suspects: suspects.Suspects,
        refusals: dispatch_refusals.DispatchRefusals,
        metrics: telemetry.Metrics,
        clock: ty.Callable[[], float],
    ) -> None:
        """Bind to a host's view of the fleet.

        :param clock: monotonic time in seconds
        """
        self._fleet = fleet
        self._suspects = request_suspects
        self._refusals = refusals
        self._metrics = metrics
        self._clock = clock

    def refuse_beyond_cold_rate(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> None:
        """Refuse a request that a cold target does not take yet.

        :raises RefusedError: when the leader has denied a permit a moment ago
        """
        if not self._fleet.is_cold(target) or target.rate.has_room(
            self._clock()
        ):
            return
        self._metrics.cold_requests.add(
            1, {"service": state.service, "outcome": "refused"}
        )
        raise self._refusals.not_run(
            state,
            results.OVERLOADED,
            f"target {target.name} is cold",
            dispatch_refusals.SHED_RETRY_AFTER_MS,
        )

    async def take_from_cold_rate(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> bool:
        """Count a request in a cold target's rate; return whether it may go.

        :raises RefusedError: without an answer by the deadline, or if the
            request was quarantined in the meantime
        """
        state.permitted_until_s = -math.inf
        if not self._fleet.is_cold(target):
            return True
        asked_s = self._clock()
        permitted = await self._await_permit(
            state, target, self._fleet.ask_cold_permit(target)
        )
        state.permitted_until_s = asked_s + cold_rate.VALID_S
        return permitted

    async def take_from_limit(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> bool:
        """Count a request in its target's limit; return whether it may go.

        :raises RefusedError: without an answer by the deadline, or if the
            request was quarantined in the meantime
        """
        limit, hosts = target.request_limit, self._fleet.entry_hosts
        if not limit.needs_permit(self._clock(), hosts):
            return limit.take(self._clock(), hosts)
        return await self._await_permit(
            state, target, self._fleet.ask_permit(target)
        )

    async def _await_permit(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
        question: ty.Awaitable[bool],
    ) -> bool:
        """Return the leader's answer about a target that is still suitable.

        :raises RefusedError: without an answer by the deadline, or if the
            request was quarantined in the meantime
        """
        left_s = state.deadline_s - self._clock()
        try:
            async with asyncio.timeout(left_s - fleet_retries.TIME_LEFT_MIN_S):
                permitted = await question
        except TimeoutError:
            raise self._refusals.not_run(
                state,
                results.OVERLOADED,
                f"no permit for target {target.name} came in time",
                dispatch_refusals.SHED_RETRY_AFTER_MS,
            ) from None
        if not permitted:
            return False
        await self._suspects.refuse_quarantined(state)
        return not suitability.find_hindrance(
            self._fleet, state, target, self._clock()
        )

    def refuse_beyond_limit(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> None:
        """Refuse a request for which its target's limit has no room.

        :raises RefusedError: when this host's part of the limit is used up
        """
        limit, now_s = target.request_limit, self._clock()
        hosts = self._fleet.entry_hosts
        if limit.limit_per_s is not None:
            limit.count_offered(now_s)
            self._fleet.observations.count_offered(
                target.name, target.record.incarnation
            )
        if limit.has_room(now_s, hosts):
            return
        self._metrics.beyond_limits.add(1)
        raise self._refusals.not_run(
            state,
            results.OVERLOADED,
            f"target {target.name} takes {limit.limit_per_s} requests a "
            "second",
            max(
                dispatch_refusals.SHED_RETRY_AFTER_MS,
                self._room_after_ms(state, target),
            ),
        )

    def _room_after_ms(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> int:
        """Return when a target that may serve the request has room again."""
        suitable = [target]
        if not self._fleet.is_keyed(state.service):
            suitable = self._fleet.available_targets(state.service)
        now_s, hosts = self._clock(), self._fleet.entry_hosts
        return min(
            other.request_limit.retry_after_ms(now_s, hosts)
            for other in suitable
        )

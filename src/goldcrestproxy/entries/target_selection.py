"""Selection of the target of a request's next attempt."""

from __future__ import annotations

import random
import typing as ty

from goldcrestproxy.entries import dispatch_refusals
from goldcrestproxy.entries import dispatch_state
from goldcrestproxy.entries import fleet_map
from goldcrestproxy.entries import suitability
from goldcrestproxy.entries import suspects
from goldcrestproxy.entries import target_limits
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import target_choice
from goldcrestproxy.routing import target_contact

# Typical time until a key that moves has a new owner.
OWNER_WAIT_S: ty.Final = 0.3
# Share of the remaining time that a request may wait for a new owner.
OWNER_WAIT_SHARE: ty.Final = 0.4
# The keys of a lost owner move after its hold time of some seconds. A caller
# that waits longer than this has no time left for the answer.
LOST_OWNER_RETRY_AFTER_MS: ty.Final = 500


class TargetSelection:
    """Chooses the owner of a key, or a target of a pool."""

    def __init__(
        self,
        fleet: fleet_map.FleetMap,
        contact: target_contact.TargetContact,
        limits: target_limits.TargetLimits,
        request_suspects: suspects.Suspects,
        refusals: dispatch_refusals.DispatchRefusals,
        zone: str,
        clock: ty.Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Bind to a host's view of the fleet.

        :param contact: says which targets this host reaches
        :param zone: the availability zone of this host, preferred in pools
        :param clock: monotonic time in seconds
        """
        self._fleet = fleet
        self._contact = contact
        self._limits = limits
        self._suspects = request_suspects
        self._refusals = refusals
        self._zone = zone
        self._clock = clock
        self._rng = rng

    async def choose(
        self, state: dispatch_state.DispatchState
    ) -> fleet_map.TrackedTarget:
        """Return the target of the next attempt.

        :raises RefusedError: without one that may get the request now
        """
        while True:
            if self._fleet.is_keyed(state.service):
                target = await self._choose_owner(state)
            else:
                target = self._choose_from_pool(state)
            # It may have been quarantined while it waited for the owner.
            await self._suspects.refuse_quarantined(state)
            self._refuse_if_too_late(state, target)
            self._refuse_if_full(state, target)
            self._limits.refuse_beyond_limit(state, target)
            self._limits.refuse_beyond_cold_rate(state, target)
            if await self._limits.take_from_limit(
                state, target
            ) and await self._limits.take_from_cold_rate(state, target):
                return target
            # Without a permit the target has no room for a while.

    @property
    def isolated(self) -> bool:
        """Whether this host reaches no target."""
        return self._contact.is_isolated(len(self._fleet.targets))

    def unreached(self, state: dispatch_state.DispatchState) -> str | None:
        """Return the target, or else the service, that is out of reach."""
        isolated = self.isolated
        key = state.request.key
        if not self._fleet.is_keyed(state.service):
            pool = self._fleet.available_targets(state.service)
            unreached = [t for t in pool if self._is_unreached(t)]
            all_unreached = bool(pool) and len(unreached) == len(pool)
            return state.service if isolated or all_unreached else None
        if key is None:
            return None
        owner = self._fleet.owner(state.service, key)
        if owner is None:
            return state.service if isolated else None
        if owner.record.lost:
            return None
        unreached_owner = isolated or self._is_unreached(owner)
        return owner.name if unreached_owner else None

    def _is_unreached(self, target: fleet_map.TrackedTarget) -> bool:
        return self._contact.is_unreached(target.name)

    async def _choose_owner(
        self, state: dispatch_state.DispatchState
    ) -> fleet_map.TrackedTarget:
        """Return the owner of the key; wait briefly while the key moves.

        :raises RefusedError: without a key, or without an available owner
        """
        key = state.request.key
        if key is None:
            raise self._refusals.not_run(
                state,
                results.NO_TARGET,
                f"service {state.service!r} is divided by key and the "
                "request has none",
                0,
            )
        left_s = state.deadline_s - self._clock()
        wait_until_s = self._clock() + min(
            OWNER_WAIT_S, left_s * OWNER_WAIT_SHARE
        )
        while True:
            owner = self._fleet.owner(state.service, key)
            if owner is not None:
                break
            wait_s = wait_until_s - self._clock()
            if wait_s <= 0:
                raise self._refusals.not_run(
                    state,
                    results.KEY_MOVING,
                    f"key {key} of {state.service!r} has no owner",
                    LOST_OWNER_RETRY_AFTER_MS,
                )
            await self._fleet.wait_change(wait_s)
        if owner.record.lost or owner.stats.is_backing_off(self._clock()):
            raise self._refusals.not_run(
                state,
                results.NO_TARGET,
                f"owner {owner.name} of key {key} does not answer",
                LOST_OWNER_RETRY_AFTER_MS,
            )
        match suitability.own_hindrance(owner, self._clock(), keyed=True):
            case suitability.Hindrance.RESTS:
                raise self._rest_refusal(state, [owner])
            case suitability.Hindrance():
                raise self._refusals.not_run(
                    state,
                    results.KEY_MOVING,
                    f"owner {owner.name} of key {key} leaves",
                    LOST_OWNER_RETRY_AFTER_MS,
                )
        return owner

    def _rest_refusal(
        self,
        state: dispatch_state.DispatchState,
        resting: list[fleet_map.TrackedTarget],
    ) -> errors.RefusedError:
        """Return the refusal of a request whose targets all rest."""
        now_s = self._clock()
        retry_after_ms = min(
            target.rest.retry_after_ms(now_s) for target in resting
        )
        return self._refusals.not_run(
            state,
            results.OVERLOADED,
            f"target {resting[0].name} asked for rest",
            retry_after_ms,
        )

    def _choose_from_pool(
        self, state: dispatch_state.DispatchState
    ) -> fleet_map.TrackedTarget:
        now_s = self._clock()
        hindrances = [
            (target, suitability.own_hindrance(target, now_s, keyed=False))
            for target in self._fleet.available_targets(state.service)
        ]
        awake = [target for target, hindrance in hindrances if not hindrance]
        resting = [
            target
            for target, hindrance in hindrances
            if hindrance is suitability.Hindrance.RESTS
        ]
        if resting and not awake:
            raise self._rest_refusal(state, resting)
        pool = [t for t in awake if not self._is_unreached(t)] or awake
        untried = [t for t in pool if t.name not in state.sent_to]
        candidates = self._with_room(untried) or self._with_room(pool) or pool
        chosen = target_choice.choose_from_pool(
            [
                target_choice.PoolMember(
                    target=tracked.name,
                    zone=tracked.record.zone,
                    stats=tracked.stats,
                )
                for tracked in candidates
            ],
            self._zone,
            self._clock(),
            self._rng,
        )
        if chosen is None:
            raise self._refusals.not_run(
                state,
                results.NO_TARGET,
                f"none of {len(pool)} targets of {state.service!r} answers",
                LOST_OWNER_RETRY_AFTER_MS,
            )
        return self._fleet.targets[chosen.target]

    def _with_room(
        self, targets: list[fleet_map.TrackedTarget]
    ) -> list[fleet_map.TrackedTarget]:
        """Return the targets that have room for another request."""
        now_s, hosts = self._clock(), self._fleet.entry_hosts
        return [
            target
            for target in targets
            if target.has_room(now_s)
            and target.request_limit.has_room(now_s, hosts)
            and (
                target.rate.has_room(now_s) or not self._fleet.is_cold(target)
            )
        ]

    def _refuse_if_full(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> None:
        """Refuse a request whose connection a full target would reset.

        :raises RefusedError: with half the target's queue time as Retry-After
        """
        now_s = self._clock()
        if target.has_room(now_s):
            return
        wait_ms = target.stats.expected_wait_ms(now_s)
        raise self._refusals.not_run(
            state,
            results.OVERLOADED,
            f"target {target.name} has no room, its queue is {wait_ms:.0f} ms",
            int(max(dispatch_refusals.SHED_RETRY_AFTER_MS, wait_ms / 2)),
        )

    def _is_urgent(self, state: dispatch_state.DispatchState) -> bool:
        """Whether no request is more urgent, by customer and route."""
        table = self._fleet.customers
        urgency = table.urgency(state.customer, state.route)
        return urgency <= table.most_urgent(
            self._fleet.routes.most_urgent_rank
        )

    def _refuse_if_too_late(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> None:
        """Refuse a request that the target could not answer by its deadline.

        :raises RefusedError: with half the target's queue time as Retry-After
        """
        now_s = self._clock()
        left_ms = (state.deadline_s - now_s) * 1000
        if not target_choice.would_miss_deadline(
            target.stats,
            left_ms,
            now_s,
            urgent=self._is_urgent(state),
        ):
            return
        wait_ms = target.stats.expected_wait_ms(now_s)
        raise self._refusals.not_run(
            state,
            results.OVERLOADED,
            f"target {target.name} has a queue of {wait_ms:.0f} ms, "
            f"{left_ms:.0f} ms are left",
            int(max(dispatch_refusals.SHED_RETRY_AFTER_MS, wait_ms / 2)),
        )

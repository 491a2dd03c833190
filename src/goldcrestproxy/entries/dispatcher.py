"""Dispatch of callers' requests to targets of the registry."""

from __future__ import annotations

import asyncio
import logging
import math
import random
import typing as ty

from goldcrestproxy.entries import dispatch_state
from goldcrestproxy.entries import fleet_map
from goldcrestproxy.entries import fleet_request
from goldcrestproxy.entries import passing
from goldcrestproxy.entries import replay
from goldcrestproxy.entries import running_requests
from goldcrestproxy.entries import sending
from goldcrestproxy.entries import suspects
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import fleet_retries
from goldcrestproxy.routing import route_table
from goldcrestproxy.routing import target_choice
from goldcrestproxy.routing import target_contact
from goldcrestproxy import telemetry

LOG = logging.getLogger(__name__)

# Typical time until a key that moves has a new owner.
OWNER_WAIT_S: ty.Final = 0.3
# Share of the remaining time that a request may wait for a new owner.
OWNER_WAIT_SHARE: ty.Final = 0.4
# A target refuses when its queue is full; it has room again after about this.
SHED_RETRY_AFTER_MS: ty.Final = 200
# The keys of a lost owner move after its hold time of some seconds. A caller
# that waits longer than this has no time left for the answer.
LOST_OWNER_RETRY_AFTER_MS: ty.Final = 500
# A host that has just started receives its routes within about this time.
NO_ROUTES_RETRY_AFTER_MS: ty.Final = 500
# Another entry host can take the request at once.
STOPPING_RETRY_AFTER_MS: ty.Final = 100
# Random extension of Retry-After, so that callers do not retry all at once.
RETRY_SPREAD: ty.Final = 0.5
# For requests without a deadline header.
DEADLINE_MS_DEFAULT: ty.Final = 30_000


class Dispatcher:
    """Selects a target for each request, sends the request and retries it.

    One instance serves all requests of an entry host, in its event loop.
    """

    def __init__(
        self,
        fleet: fleet_map.FleetMap,
        sender: sending.Sender,
        request_passing: passing.RequestPassing,
        contact: target_contact.TargetContact,
        budgets: fleet_retries.ServiceRetryBudgets,
        zone: str,
        metrics: telemetry.Metrics,
        clock: ty.Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Create a dispatcher.

        :param request_passing: passes requests on to other entry hosts
        :param contact: says which targets this host reaches
        :param zone: the availability zone of this host, preferred in pools
        :param clock: monotonic time in seconds
        """
        self._metrics = metrics
        self._fleet = fleet
        self._sender = sender
        self._passing = request_passing
        self._contact = contact
        self._budgets = budgets
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._suspects = suspects.Suspects(fleet, clock)
        self._running = running_requests.RunningRequests()
        self._latest_deadline_s = math.inf

    def limit_deadlines(self, left_s: float) -> None:
        """Let all further requests have their deadlines within ``left_s``."""
        self._latest_deadline_s = self._clock() + left_s

    def end_all(self) -> None:
        """End the requests in flight, each with an answer or a refusal."""
        self._running.end_all()

    def find_route(
        self, request: fleet_request.FleetRequest
    ) -> route_table.NamedRoute:
        """Return the named route of a request.

        :raises RefusedError: without routes or without a matching route
        """
        if not self._fleet.current:
            raise results.refusal(
                results.NO_CONFIGURATION,
                "this entry host does not have the routes in force yet",
                NO_ROUTES_RETRY_AFTER_MS,
            )
        named_route = self._fleet.routes.match(request.host, request.path)
        if named_route is None:
            raise results.refusal(
                results.UNKNOWN_ROUTE,
                f"no route of host {request.host!r} begins {request.path!r}",
            )
        return named_route

    async def dispatch_passed(
        self, request: fleet_request.FleetRequest, service: str
    ) -> fleet_request.FleetAnswer:
        """Send a request that another entry host has passed on.

        :param service: the service that the other host chose, kept if the
            route here has it
        :raises RefusedError: see ``find_route`` and ``dispatch``
        """
        named_route = self.find_route(request)
        return await self.dispatch(request, named_route, service)

    async def dispatch(
        self,
        request: fleet_request.FleetRequest,
        named_route: route_table.NamedRoute,
        chosen_service: str | None = None,
    ) -> fleet_request.FleetAnswer:
        """Send a request to a target and return its answer.

        :raises RefusedError: with a result code, when there is no answer
        """
        weighted = {
            share.service
            for share in named_route.route.shares
            if share.weight > 0
        }
        service = chosen_service
        if service not in weighted:
            service = self._fleet.routes.choose_service(named_route)
        if service is None:
            raise results.refusal(
                results.NO_TARGET, f"route {named_route.name!r} has no weights"
            )
        if request.key is not None and not request.passed_on:
            self._fleet.count_request(service, request.key)
        started_s = self._clock()
        left_ms = min(
            request.deadline_ms or DEADLINE_MS_DEFAULT,
            named_route.route.timeout_ms,
        )
        state = dispatch_state.DispatchState(
            request=request,
            named_route=named_route,
            service=service,
            deadline_s=min(
                started_s + left_ms / 1000, self._latest_deadline_s
            ),
            body=replay.ReplayableBody(request.body),
        )
        outcome, code = "cancelled", "cancelled"
        try:
            answer = await self._running.run(
                self._send_with_retries(state),
                lambda: self._answer_at_stop(state),
            )
            self._suspects.record_answer(state, answer)
            outcome = f"answered {answer.status}"
            code = str(results.ANSWERED)
            return answer
        except errors.RefusedError as error:
            outcome = f"refused {error.code}: {error.text}"
            code = str(error.code)
            raise
        finally:
            self._log(state, outcome, started_s)
            self._metrics.requests.add(1, {"code": code})
            self._metrics.duration.record((self._clock() - started_s) * 1000)

    async def _send_with_retries(
        self, state: dispatch_state.DispatchState
    ) -> fleet_request.FleetAnswer:
        while True:
            try:
                await self._refuse_quarantined(state)
                answer = await self._pass_on(state)
                if answer is not None:
                    return answer
                target = await self._choose_target(state)
            except errors.RefusedError:
                if state.answer is not None:
                    return state.answer
                raise
            try:
                return await self._send(state, target)
            except sending.SendError as error:
                state.awaiting_answer = False
                state.failures.append(error.failure)
                state.answer = error.answer or state.answer
                if not self._may_retry(state, error.failure):
                    if state.answer is not None:
                        return state.answer
                    raise self._final_refusal(state) from error
                self._mark_if_misdirected(state, error.failure)

    async def _pass_on(
        self, state: dispatch_state.DispatchState
    ) -> fleet_request.FleetAnswer | None:
        """Pass a request on if this host does not reach its target.

        Returns None if it is to be sent from here.

        :raises RefusedError: with the result of another host; for a request
            that was passed on to this host, as not run
        """
        unreached = self._unreached(state)
        if unreached is None:
            return None
        if state.request.passed_on and not state.sent_to:
            raise results.refusal(
                results.TARGET_OUT_OF_REACH,
                f"this entry host does not reach {unreached}",
                SHED_RETRY_AFTER_MS,
            )
        if not self._passing.may_pass(state, unreached):
            return None
        answer = await self._passing.pass_on(state, unreached)
        outcome = "declined" if answer is None else "answered"
        self._metrics.passed_on.add(1, {"outcome": outcome})
        return answer

    def _unreached(self, state: dispatch_state.DispatchState) -> str | None:
        """Return the target, or else the service, that is out of reach."""
        cut_off = self._contact.is_cut_off(len(self._fleet.targets))
        key = state.request.key
        if not self._is_keyed(state.service):
            pool = self._fleet.available_targets(state.service)
            unreached = [t for t in pool if self._is_unreached(t)]
            all_unreached = bool(pool) and len(unreached) == len(pool)
            return state.service if cut_off or all_unreached else None
        if key is None:
            return None
        owner = self._fleet.owner(state.service, key)
        if owner is None:
            return state.service if cut_off else None
        if owner.record.lost:
            return None
        unreached_owner = cut_off or self._is_unreached(owner)
        return owner.name if unreached_owner else None

    def _is_unreached(self, target: fleet_map.TrackedTarget) -> bool:
        return self._contact.is_unreached(target.name)

    def _answer_at_stop(
        self, state: dispatch_state.DispatchState
    ) -> fleet_request.FleetAnswer:
        """Return a target's failure, if it reported one before the stop.

        :raises RefusedError: without one; says whether the request has run
        """
        if state.answer is not None:
            return state.answer
        if state.awaiting_answer:
            raise results.refusal(
                results.OUTCOME_UNKNOWN,
                f"this entry host stopped before "
                f"{(state.sent_to or state.asked_hosts)[-1]} answered",
            )
        raise self._not_run_refusal(
            state,
            results.STOPPING,
            "this entry host is stopping",
            STOPPING_RETRY_AFTER_MS,
        )

    def _may_retry(
        self,
        state: dispatch_state.DispatchState,
        failure: fleet_retries.Failure,
    ) -> bool:
        return fleet_retries.may_retry(
            failure,
            idempotent=state.route.idempotent,
            keyed=self._is_keyed(state.service),
            body_replayable=state.body.replayable,
            attempts=len(state.sent_to),
            attempts_max=state.route.attempts_max,
            time_left_s=state.deadline_s - self._clock(),
            take_budget=lambda: self._take_budget(state.service),
        )

    async def _send(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> fleet_request.FleetAnswer:
        def sent(connect_s: float) -> None:
            state.connects_ms.append(round(connect_s * 1000))
            if state.sent_to:
                kind = type(state.failures[-1]).__name__
                self._metrics.retries.add(1, {"reason": kind})
            else:
                self._budgets.of(state.service).record_request()
            state.sent_to.append(target.name)
            state.awaiting_answer = True

        return await self._sender.send(
            state.request,
            state.body,
            target,
            idempotent=state.route.idempotent,
            deadline_s=state.deadline_s,
            is_allowed=lambda: self._may_send(state, target),
            on_sent=sent,
        )

    def _may_send(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> bool:
        """Whether a request may go to a target, right before it is sent."""
        now_s = self._clock()
        keyed = self._is_keyed(state.service)
        if self._suspects.is_quarantined(state) or target.has_left(
            now_s, keyed=keyed
        ):
            return False
        return target.rest.take(now_s, target.stats.overdue_ms(now_s) / 1000)

    def _mark_if_misdirected(
        self,
        state: dispatch_state.DispatchState,
        failure: fleet_retries.Failure,
    ) -> None:
        """Mark the key of a misdirected request as moving.

        The next choice of a target then waits for the new owner.
        """
        key = state.request.key
        match failure:
            case fleet_retries.NotRun(misdirected=True) if key is not None:
                self._fleet.mark_misdirected(state.service, key)
            case _:
                pass

    def _take_budget(self, service: str) -> bool:
        return self._budgets.of(service).take(
            self._clock(), self._fleet.entry_hosts
        )

    async def _refuse_quarantined(
        self, state: dispatch_state.DispatchState
    ) -> None:
        """Refuse a quarantined request before another attempt.

        :raises RefusedError: as not run, unless an attempt may have run
        """
        try:
            await self._suspects.refuse_quarantined(state)
        except errors.RefusedError as error:
            if state.may_have_run:
                raise self._final_refusal(state) from error
            raise

    async def _choose_target(
        self, state: dispatch_state.DispatchState
    ) -> fleet_map.TrackedTarget:
        while True:
            if self._is_keyed(state.service):
                target = await self._choose_owner(state)
            else:
                target = self._choose_from_pool(state)
            # It may have been quarantined while it waited for the owner.
            await self._refuse_quarantined(state)
            self._refuse_if_too_late(state, target)
            self._refuse_beyond_limit(state, target)
            self._refuse_beyond_cold_rate(state, target)
            if await self._take_from_limit(state, target):
                return target
            # Without a permit the target has no room for a while.

    def _refuse_beyond_cold_rate(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> None:
        """Refuse a request that a cold target does not take yet.

        :raises RefusedError: when this host's part of its rate is used up
        """
        service = self._fleet.services.get(state.service)
        if service is None or not self._fleet.is_cold(target):
            return
        if target.rate.take(
            self._clock(), service.cold_requests_per_s, self._fleet.entry_hosts
        ):
            return
        raise self._not_run_refusal(
            state,
            results.OVERLOADED,
            f"target {target.name} is cold",
            SHED_RETRY_AFTER_MS,
        )

    async def _take_from_limit(
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
        left_s = state.deadline_s - self._clock()
        try:
            async with asyncio.timeout(left_s - fleet_retries.TIME_LEFT_MIN_S):
                permitted = await self._fleet.ask_permit(target)
        except TimeoutError:
            raise self._not_run_refusal(
                state,
                results.OVERLOADED,
                f"no permit for target {target.name} came in time",
                SHED_RETRY_AFTER_MS,
            ) from None
        if not permitted:
            return False
        await self._refuse_quarantined(state)
        return self._is_suitable(state, target)

    def _is_suitable(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> bool:
        """Whether a target that was chosen may still get the request."""
        key = state.request.key
        if key is not None and self._is_keyed(state.service):
            return self._fleet.owner(state.service, key) is target
        return self._fleet.targets.get(target.name) is target

    def _refuse_beyond_limit(
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
        raise self._not_run_refusal(
            state,
            results.OVERLOADED,
            f"target {target.name} takes {limit.limit_per_s} requests a "
            "second",
            max(SHED_RETRY_AFTER_MS, self._room_after_ms(state, target)),
        )

    def _room_after_ms(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> int:
        """Return when a target that may serve the request has room again."""
        suitable = [target]
        if not self._is_keyed(state.service):
            suitable = self._fleet.available_targets(state.service)
        now_s, hosts = self._clock(), self._fleet.entry_hosts
        return min(
            other.request_limit.retry_after_ms(now_s, hosts)
            for other in suitable
        )

    def _is_keyed(self, name: str) -> bool:
        service = self._fleet.services.get(name)
        return service is not None and service.keyed

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
            urgent=state.route.rank <= self._fleet.routes.most_urgent_rank,
        ):
            return
        wait_ms = target.stats.expected_wait_ms(now_s)
        raise self._not_run_refusal(
            state,
            results.OVERLOADED,
            f"target {target.name} has a queue of {wait_ms:.0f} ms, "
            f"{left_ms:.0f} ms are left",
            int(max(SHED_RETRY_AFTER_MS, wait_ms / 2)),
        )

    async def _choose_owner(
        self, state: dispatch_state.DispatchState
    ) -> fleet_map.TrackedTarget:
        """Return the owner of the key; wait briefly while the key moves.

        :raises RefusedError: without a key, or without an available owner
        """
        key = state.request.key
        if key is None:
            raise self._not_run_refusal(
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
                raise self._not_run_refusal(
                    state,
                    results.KEY_MOVING,
                    f"key {key} of {state.service!r} has no owner",
                    LOST_OWNER_RETRY_AFTER_MS,
                )
            await self._fleet.wait_change(wait_s)
        if owner.record.lost or owner.stats.is_backing_off(self._clock()):
            raise self._not_run_refusal(
                state,
                results.NO_TARGET,
                f"owner {owner.name} of key {key} does not answer",
                LOST_OWNER_RETRY_AFTER_MS,
            )
        if owner.has_left(self._clock(), keyed=True):
            raise self._not_run_refusal(
                state,
                results.KEY_MOVING,
                f"owner {owner.name} of key {key} leaves",
                LOST_OWNER_RETRY_AFTER_MS,
            )
        if not owner.rest.may_send(self._clock()):
            raise self._rest_refusal(state, [owner])
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
        return self._not_run_refusal(
            state,
            results.OVERLOADED,
            f"target {resting[0].name} asked for rest",
            retry_after_ms,
        )

    def _choose_from_pool(
        self, state: dispatch_state.DispatchState
    ) -> fleet_map.TrackedTarget:
        pool = self._fleet.available_targets(state.service)
        now_s = self._clock()
        pool = [t for t in pool if not t.has_left(now_s, keyed=False)]
        awake = [t for t in pool if t.rest.may_send(now_s)]
        if pool and not awake:
            raise self._rest_refusal(state, pool)
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
            raise self._not_run_refusal(
                state,
                results.NO_TARGET,
                f"none of {len(pool)} targets of {state.service!r} answers",
                LOST_OWNER_RETRY_AFTER_MS,
            )
        return self._fleet.targets[chosen.target]

    def _with_room(
        self, targets: list[fleet_map.TrackedTarget]
    ) -> list[fleet_map.TrackedTarget]:
        """Return the targets whose limits allow another request."""
        now_s, hosts = self._clock(), self._fleet.entry_hosts
        return [t for t in targets if t.request_limit.has_room(now_s, hosts)]

    def _not_run_refusal(
        self,
        state: dispatch_state.DispatchState,
        code: int,
        text: str,
        retry_after_ms: int,
    ) -> errors.RefusedError:
        """Return a refusal with ``code``, unless an attempt may have run.

        Then the outcome of that attempt decides the refusal. Retry-After is
        spread at random.
        """
        if state.may_have_run:
            return self._final_refusal(state)
        spread = 1 + RETRY_SPREAD * self._rng.random()
        return results.refusal(code, text, int(retry_after_ms * spread))

    def _final_refusal(
        self, state: dispatch_state.DispatchState
    ) -> errors.RefusedError:
        """Return the refusal that the failures of all attempts call for.

        Any attempt that may have run makes the outcome unknown.
        """
        last = state.failures[-1]
        for failure in state.failures:
            match failure:
                case fleet_retries.MaybeRun(text=text, timed_out=True):
                    return results.refusal(results.DEADLINE_UNKNOWN, text)
                case fleet_retries.MaybeRun(text=text):
                    return results.refusal(results.OUTCOME_UNKNOWN, text)
                case fleet_retries.Failed(status=status):
                    return results.refusal(
                        results.OUTCOME_UNKNOWN, f"target answered {status}"
                    )
                case fleet_retries.NotRun():
                    pass
        match last:
            case fleet_retries.NotRun(
                text=text, refused=refused, rest_ms=rest_ms
            ):
                code = (
                    results.TARGET_REFUSED
                    if refused
                    else results.TARGET_UNREACHABLE
                )
                return self._not_run_refusal(
                    state, code, text, max(SHED_RETRY_AFTER_MS, int(rest_ms))
                )
            case _:
                return results.refusal(results.INTERNAL, "no failure")

    def _log(
        self,
        state: dispatch_state.DispatchState,
        outcome: str,
        started_s: float,
    ) -> None:
        telemetry.log_event(
            LOG,
            "entries: request done",
            request_id=state.request.request_id,
            route=state.named_route.name,
            route_version=state.named_route.version,
            service=state.service,
            key=state.request.key,
            sent_to=state.sent_to,
            asked_hosts=state.asked_hosts,
            passed_on=state.request.passed_on,
            connects_ms=state.connects_ms,
            failures=[str(failure) for failure in state.failures],
            outcome=outcome,
            ms=round((self._clock() - started_s) * 1000, 1),
            map_revision=self._fleet.revision,
            map_age_ms=self._fleet.age_ms,
        )

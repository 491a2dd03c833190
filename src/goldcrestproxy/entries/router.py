"""Routing of callers' requests to the targets of desks."""

from __future__ import annotations

import asyncio
import logging
import random
import typing as ty

import attrs

from goldcrestproxy import control
from goldcrestproxy.entries import active_configuration
from goldcrestproxy.entries import attempt as attempts
from goldcrestproxy.entries import body_identity
from goldcrestproxy.entries import caller_request
from goldcrestproxy.entries import claims
from goldcrestproxy.entries import control_link
from goldcrestproxy.entries import fingerprints
from goldcrestproxy.entries import hedging
from goldcrestproxy.entries import refusals
from goldcrestproxy.entries import replay
from goldcrestproxy.entries import running_requests
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import classification
from goldcrestproxy.routing import partitions
from goldcrestproxy.routing import power_of_two
from goldcrestproxy.routing import retries
from goldcrestproxy.routing import retry_budget
from goldcrestproxy import telemetry

LOG = logging.getLogger(__name__)

# How long a request waits for its key to get an owner, or for any target.
TARGET_WAIT_S: ty.Final = 2.0
MAP_WAIT_S: ty.Final = 0.05
# Refusals that a newer configuration might not give.
_UNKNOWN_CODES: ty.Final = frozenset(
    {results.UNKNOWN_CUSTOMER, results.UNKNOWN_DESK, results.UNKNOWN_ROUTE}
)
BEHIND_RETRY_AFTER_MS: ty.Final = 200
# Another entry host can take the request at once.
STOPPING_RETRY_AFTER_MS: ty.Final = 100


class Router:
    """Classifies requests, selects their targets and makes the attempts."""

    def __init__(
        self,
        link: control_link.ControlLink,
        configuration: active_configuration.ActiveConfiguration,
        attempt_runner: attempts.AttemptRunner,
        claimer: claims.Claimer,
        tracing: telemetry.Tracing,
        metrics: telemetry.Metrics,
        clock: ty.Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Create a router.

        :param clock: monotonic time in seconds
        """
        self._link = link
        self._active_configuration = configuration
        self._attempt_runner = attempt_runner
        self._claimer = claimer
        self._tracing = tracing
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._budgets: dict[str, retry_budget.RetryTokenBucket] = {}
        self._views: dict[str, power_of_two.TargetMeasurements] = {}
        self._hedge_delays = hedging.HedgeDelays()
        self._running = running_requests.RunningRequests()

    def classify(
        self, method: str, request_target: str
    ) -> classification.ClassifiedRequest:
        """Match a request line against the configuration.

        :raises RefusedError: without a configuration, or when the request line
            is invalid or matches no route; as not run if a configuration that
            this host has not received may have one
        """
        try:
            return self._active_configuration.get().classify(
                method, request_target
            )
        except errors.RefusedError as error:
            # The leader grants leases only to hosts that are up to date.
            if error.code in _UNKNOWN_CODES and not self._link.has_lease:
                raise results.refusal(
                    results.STATE_BEHIND,
                    f"{error.text} here, as far as is known",
                    BEHIND_RETRY_AFTER_MS,
                ) from None
            raise

    async def route(
        self,
        request: caller_request.CallerRequest,
        classified: classification.ClassifiedRequest,
    ) -> caller_request.RoutedAnswer:
        """Run a request at a target and return the answer.

        :raises RefusedError: with a result code, whose outcome says whether
            the request ran
        """
        progress = attempts.Progress()
        return await self._running.run(
            self._route(request, classified, progress),
            lambda: _refuse_at_stop(progress),
        )

    def end_all(self) -> None:
        """End the requests in flight, each with a refusal."""
        self._running.end_all()

    async def _route(
        self,
        request: caller_request.CallerRequest,
        classified: classification.ClassifiedRequest,
        progress: attempts.Progress,
    ) -> caller_request.RoutedAnswer:
        started_s = self._clock()
        deadline_ms = min(
            request.deadline_ms or classified.route.deadline_ms,
            classified.route.deadline_ms,
        )
        with self._tracing.start_span("entry", request.trace_parent) as span:
            span.set_attribute("goldcrestproxy.request_id", request.request_id)
            plan = await self._plan(
                request,
                classified,
                started_s + deadline_ms / 1000,
                span.trace_parent,
                progress,
            )
            try:
                if plan.claims_key:
                    return await self._claimer.run_once(
                        plan, lambda: self._run_with_retries(plan)
                    )
                return await self._run_with_retries(plan)
            except errors.RefusedError as error:
                raise refusals.after_run(
                    error, may_have_run=progress.possible_runs > 0
                ) from None

    async def _plan(
        self,
        request: caller_request.CallerRequest,
        classified: classification.ClassifiedRequest,
        deadline_s: float,
        trace_parent: str,
        progress: attempts.Progress,
    ) -> attempts.RequestPlan:
        body = replay.ReplayableBody(request.body)
        if request.body_bytes <= body_identity.SHORT_BODY_BYTES_MAX:
            await self._read_by(deadline_s, body.read_ahead())
        plan = attempts.RequestPlan(
            request=request,
            classified=classified,
            key_hash=partitions.key_hash(classified.customer, classified.key),
            deadline_s=deadline_s,
            body=body,
            identity=body.identity,
            trace_parent=trace_parent,
            progress=progress,
        )
        match plan.identity:
            case body_identity.Unread():
                if not plan.claims_key:
                    # A refusal does not wait for a long body.
                    await self._find_target(plan, set())
                await self._read_by(deadline_s, body.read_ahead_long())
                plan = attrs.evolve(plan, identity=body.identity)
        return plan

    async def _read_by(
        self, deadline_s: float, reading: ty.Coroutine[ty.Any, ty.Any, None]
    ) -> None:
        """Await the reading of a body.

        :raises RefusedError: if it does not arrive within the deadline
        """
        try:
            async with asyncio.timeout(deadline_s - self._clock()):
                await reading
        except TimeoutError:
            raise results.refusal(
                results.DEADLINE_NOT_RUN,
                "the body did not arrive within the deadline",
            ) from None

    async def _run_with_retries(
        self, plan: attempts.RequestPlan
    ) -> caller_request.RoutedAnswer:
        """Make attempts until one is answered or no retry is allowed."""
        retry_tokens = self._retry_tokens(plan.classified)
        retry_tokens.record_request()
        self._refuse_quarantined(plan)
        tried: set[str] = set()
        while True:
            target = await self._find_target(plan, tried)
            try:
                return await self._attempt_hedged(plan, target, retry_tokens)
            except attempts.AttemptFailed as failed:
                await plan.body.stop_feed()
                decision = retries.decide(
                    code=failed.refusal.code,
                    keyed=plan.classified.desk.kind == "keyed",
                    idempotent=plan.may_repeat,
                    body_replayable=plan.body.replayable,
                    time_left_s=plan.deadline_s - self._clock(),
                    take_budget=retry_tokens.take,
                )
                match decision:
                    case retries.GiveUp():
                        raise failed.refusal from failed
                    case retries.Reroute():
                        await self._wait_for_map(failed.map_index)
                    case retries.Retry():
                        tried.add(target.target)
                self._metrics.retries.add(
                    1, {"code": str(failed.refusal.code)}
                )

    async def _attempt_hedged(
        self,
        plan: attempts.RequestPlan,
        target: control.TargetRecord,
        retry_tokens: retry_budget.RetryTokenBucket,
    ) -> caller_request.RoutedAnswer:
        delay_ms = self._hedge_delays.delay_ms(plan)
        if delay_ms is None:
            return await self._attempt(plan, target)

        def choose_second() -> hedging.Attempt | None:
            alternative = self._choose_from_pool(
                plan.classified.desk_name, {target.target}
            )
            if alternative is None or alternative.target == target.target:
                return None
            if not retry_tokens.take():
                return None
            self._metrics.retries.add(1, {"code": "hedge"})
            return lambda: self._attempt(plan, alternative)

        return await hedging.hedge(
            lambda: self._attempt(plan, target), delay_ms, choose_second
        )

    async def _attempt(
        self, plan: attempts.RequestPlan, target: control.TargetRecord
    ) -> caller_request.RoutedAnswer:
        view = self._view(target)
        view.record_start()
        sent_s = self._clock()
        try:
            answer, backlog = await self._attempt_runner.run(plan, target)
        except asyncio.CancelledError:
            # A cancelled attempt would have taken at least this long.
            now_s = self._clock()
            view.record_answer(now_s, (now_s - sent_s) * 1000, 0)
            raise
        except BaseException:
            view.record_abandoned()
            raise
        now_s = self._clock()
        view.record_answer(now_s, (now_s - sent_s) * 1000, backlog)
        self._hedge_delays.record(plan, (now_s - sent_s) * 1000)
        return answer

    async def _find_target(
        self, plan: attempts.RequestPlan, tried: set[str]
    ) -> control.TargetRecord:
        """Return the key's owner, or a target of the pool.

        Waits for one up to ``TARGET_WAIT_S`` within the deadline.

        :raises RefusedError: when none became available in time
        """
        wait_until_s = min(plan.deadline_s, self._clock() + TARGET_WAIT_S)
        while True:
            target = self._available_target(plan, tried)
            if target is not None:
                return target
            left_s = wait_until_s - self._clock()
            if left_s <= 0:
                raise self._no_target_refusal(plan)
            await self._link.wait_change(left_s)

    def _available_target(
        self, plan: attempts.RequestPlan, tried: set[str]
    ) -> control.TargetRecord | None:
        state = self._link.state
        if plan.classified.desk.kind == "pool":
            return self._choose_from_pool(plan.classified.desk_name, tried)
        desk = state.desks.get(plan.classified.desk_name)
        if desk is None:
            return None
        slot = desk.slot(desk.slot_of(plan.key_hash))
        if slot is None or not slot.owner or slot.revoking:
            return None
        target = state.targets.get(slot.owner)
        if target is None or not target.coordinated:
            return None
        return target if state.may_take_work(target) else None

    def _choose_from_pool(
        self, desk_name: str, tried: set[str]
    ) -> control.TargetRecord | None:
        state = self._link.state
        candidates = {
            target.target: target
            for target in state.targets.values()
            if target.desk == desk_name
            and target.coordinated
            and not target.revoking
            and state.may_take_work(target)
        }
        untried = {
            n: t for n, t in candidates.items() if n not in tried
        } or candidates
        views = {name: self._view(target) for name, target in untried.items()}
        name = power_of_two.choose_target(views, self._clock(), self._rng)
        return untried[name] if name is not None else None

    def _view(
        self, target: control.TargetRecord
    ) -> power_of_two.TargetMeasurements:
        view = self._views.get(target.target)
        if view is None:
            view = power_of_two.TargetMeasurements(slots=target.slots)
            self._views[target.target] = view
        return view

    def _no_target_refusal(
        self, plan: attempts.RequestPlan
    ) -> errors.RefusedError:
        desk = plan.classified.desk_name
        if plan.classified.desk.kind == "keyed":
            return results.refusal(
                results.KEY_MOVING, f"the key of desk {desk} has no owner", 500
            )
        return results.refusal(
            results.NO_TARGET, f"desk {desk} has no target", 500
        )

    async def _wait_for_map(self, map_index: int) -> None:
        """Wait until the state that the refusing coordinator had arrives."""
        state = self._link.state
        if state.applied_index >= map_index > 0 or not map_index:
            await self._link.wait_change(MAP_WAIT_S)
            return
        wait_until_s = self._clock() + MAP_WAIT_S
        while (
            self._link.state.applied_index < map_index
            and self._clock() < wait_until_s
        ):
            await self._link.wait_change(wait_until_s - self._clock())

    def _refuse_quarantined(self, plan: attempts.RequestPlan) -> None:
        quarantine = self._link.state.quarantine
        if (
            not quarantine.crashes
            or plan.body_digest == fingerprints.UNREAD_DIGEST
        ):
            return
        fingerprint = fingerprints.of_parts(
            plan.classified.customer,
            plan.classified.desk_name,
            plan.request.method,
            plan.classified.path,
            plan.body_digest,
        )
        if quarantine.is_quarantined(fingerprint):
            raise refusals.quarantined(fingerprint)

    def _retry_tokens(
        self, classified: classification.ClassifiedRequest
    ) -> retry_budget.RetryTokenBucket:
        retry_tokens = self._budgets.get(classified.customer)
        if retry_tokens is None:
            retry_tokens = retry_budget.RetryTokenBucket.of(
                classified.retry_budget
            )
            self._budgets[classified.customer] = retry_tokens
        return retry_tokens


def _refuse_at_stop(progress: attempts.Progress) -> ty.NoReturn:
    """Raise the refusal of a request that the end of a stop ended."""
    if progress.possible_runs:
        raise results.refusal(
            results.OUTCOME_UNKNOWN,
            "this entry host stopped before a target answered",
        )
    raise results.refusal(
        results.STOPPING,
        "this entry host is stopping",
        STOPPING_RETRY_AFTER_MS,
    )

"""Dispatch of callers' requests to targets of the registry."""

from __future__ import annotations

import logging
import math
import typing as ty

from goldcrestproxy.entries import customer_quotas
from goldcrestproxy.entries import dispatch_refusals
from goldcrestproxy.entries import dispatch_state
from goldcrestproxy.entries import fleet_map
from goldcrestproxy.entries import fleet_request
from goldcrestproxy.entries import passing
from goldcrestproxy.entries import replay
from goldcrestproxy.entries import running_requests
from goldcrestproxy.entries import sending
from goldcrestproxy.entries import suitability
from goldcrestproxy.entries import suspects
from goldcrestproxy.entries import target_selection
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import customers
from goldcrestproxy.routing import fleet_retries
from goldcrestproxy.routing import route_table
from goldcrestproxy import telemetry

LOG = logging.getLogger(__name__)

# A host that has just started receives its routes within about this time.
NO_ROUTES_RETRY_AFTER_MS: ty.Final = 500
# Longest time that a request without a route waits for a newer state.
ROUTE_WAIT_S: ty.Final = 0.4
# Share of the remaining time that it waits.
ROUTE_WAIT_SHARE: ty.Final = 0.3
# Another entry host can take the request at once.
STOPPING_RETRY_AFTER_MS: ty.Final = 100
# For requests without a deadline header.
DEADLINE_MS_DEFAULT: ty.Final = 30_000
# How often a request may be turned away before it is refused.
TURNS_MAX: ty.Final = 16
_ANSWERED: ty.Final = str(results.ANSWERED)


class Dispatcher:
    """Selects a target for each request, sends the request and retries it.

    One instance serves all requests of an entry host, in its event loop.
    """

    def __init__(
        self,
        fleet: fleet_map.FleetMap,
        sender: sending.Sender,
        request_passing: passing.RequestPassing,
        selection: target_selection.TargetSelection,
        request_suspects: suspects.Suspects,
        refusals: dispatch_refusals.DispatchRefusals,
        budgets: fleet_retries.ServiceRetryBudgets,
        quotas: customer_quotas.CustomerQuotas,
        metrics: telemetry.Metrics,
        clock: ty.Callable[[], float],
    ) -> None:
        """Create a dispatcher.

        :param request_passing: passes requests on to other entry hosts
        :param clock: monotonic time in seconds
        """
        self._fleet = fleet
        self._sender = sender
        self._passing = request_passing
        self._selection = selection
        self._suspects = request_suspects
        self._refusals = refusals
        self._budgets = budgets
        self._quotas = quotas
        self._metrics = metrics
        self._clock = clock
        self._running = running_requests.RunningRequests()
        self._latest_deadline_s = math.inf

    def limit_deadlines(self, left_s: float) -> None:
        """Let all further requests have their deadlines within ``left_s``."""
        self._latest_deadline_s = self._clock() + left_s

    def end_all(self) -> None:
        """End the requests in flight, each with an answer or a refusal."""
        self._running.end_all()

    def describe_copy(self) -> dict[str, ty.Any]:
        """Return how recent this host's state is, for log lines."""
        return self._fleet.describe_copy()

    def find_route(
        self, request: fleet_request.FleetRequest
    ) -> route_table.NamedRoute:
        """Return the named route of a request.

        :raises RefusedError: without routes or without a matching route; as
            not run while a newer state may have one
        """
        if not self._fleet.current:
            raise results.refusal(
                results.NO_CONFIGURATION,
                "this entry host does not have the routes in force yet",
                NO_ROUTES_RETRY_AFTER_MS,
            )
        if not self._fleet.may_serve:
            raise self._refusals.behind(
                "this entry host has not received the last change yet"
            )
        named_route = self._fleet.routes.match(request.host, request.path)
        if named_route is not None:
            return named_route
        text = f"no route of host {request.host!r} begins {request.path!r}"
        if not self._fleet.may_refuse_unknown:
            raise self._refusals.behind(f"{text} here, as far as is known")
        raise results.refusal(results.UNKNOWN_ROUTE, text)

    async def await_route(
        self, request: fleet_request.FleetRequest
    ) -> route_table.NamedRoute:
        """Return the named route of a request, from the newest state.

        If it has none here, waits briefly for a control host to say whether
        the state here is the newest one.

        :raises RefusedError: see ``find_route``
        """
        deadline_ms = request.deadline_ms or DEADLINE_MS_DEFAULT
        wait_until_s = self._clock() + min(
            ROUTE_WAIT_S, deadline_ms / 1000 * ROUTE_WAIT_SHARE
        )
        fleet = self._fleet
        while (
            fleet.current
            and fleet.connected
            and not fleet.may_refuse_unknown
            and self._clock() < wait_until_s
            and not self._is_known(request)
        ):
            await fleet.ask_if_newest(wait_until_s - self._clock())
        return self.find_route(request)

    def _is_known(self, request: fleet_request.FleetRequest) -> bool:
        """Whether the route and the customer of a request are known here."""
        named_route = self._fleet.routes.match(request.host, request.path)
        if named_route is None:
            return False
        match self._identity(request, named_route):
            case customers.UnknownKey():
                return False
            case customers.Anonymous():
                return request.credential is None
            case _:
                return True

    def _identity(
        self,
        request: fleet_request.FleetRequest,
        named_route: route_table.NamedRoute,
    ) -> customers.Identity:
        return self._fleet.customers.identify(
            request.credential, public=named_route.route.public
        )

    def identify(
        self,
        request: fleet_request.FleetRequest,
        named_route: route_table.NamedRoute,
    ) -> str | None:
        """Return the customer of a request; see ``FleetRequest.customer``.

        :raises RefusedError: if no customer holds its key; as not run while a
            newer state may have one
        """
        match self._identity(request, named_route):
            case customers.Anybody():
                return None
            case customers.Anonymous():
                return ""
            case customers.KnownCustomer(name=name):
                return name
            case customers.UnknownKey(missing=missing):
                text = (
                    "the request has no key of a customer"
                    if missing
                    else "no customer holds the key of the request"
                )
        if not self._fleet.may_refuse_unknown:
            raise self._refusals.behind(f"{text} here, as far as is known")
        raise results.refusal(results.UNKNOWN_CUSTOMER_KEY, text)

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
            code = _ANSWERED
            return answer
        except errors.RefusedError as error:
            outcome = f"refused {error.code}: {error.text}"
            code = str(error.code)
            raise
        finally:
            if state.counted and not (state.may_have_run or code == _ANSWERED):
                self._quotas.give_back(state.customer)
            self._log(state, outcome, started_s)
            self._metrics.requests.add(1, {"code": code})
            self._metrics.duration.record((self._clock() - started_s) * 1000)

    async def _send_with_retries(
        self, state: dispatch_state.DispatchState
    ) -> fleet_request.FleetAnswer:
        if state.customer and not state.request.passed_on:
            await self._quotas.take(state.customer, state.deadline_s)
            state.counted = True
        while True:
            try:
                self._refuse_if_stuck(state)
                await self._suspects.refuse_quarantined(state)
                answer = await self._pass_on(state)
                if answer is not None:
                    return answer
                target = await self._selection.choose(state)
            except errors.RefusedError:
                if state.answer is not None:
                    return state.answer
                raise
            try:
                return await self._send(state, target)
            except sending.TurnedAwayError:
                continue
            except sending.SendError as error:
                state.awaiting_answer = False
                state.failures.append(error.failure)
                if error.broken_rule is not None:
                    self._metrics.malformed_answers.add(
                        1, {"rule": error.broken_rule.value}
                    )
                state.answer = error.answer or state.answer
                if not self._may_retry(state, error.failure):
                    if state.answer is not None:
                        return state.answer
                    raise self._refusals.final(state) from error
                self._mark_if_misdirected(state, error.failure)

    def _refuse_if_stuck(self, state: dispatch_state.DispatchState) -> None:
        """Refuse a request that was turned away and cannot be sent any more.

        :raises RefusedError: as not run, unless an attempt may have run
        """
        turns = len(state.turned_away)
        if not turns or (state.body.replayable and turns < TURNS_MAX):
            return
        raise self._refusals.not_run(
            state,
            results.NO_TARGET,
            f"turned away before it was sent: {', '.join(state.turned_away)}",
            dispatch_refusals.SHED_RETRY_AFTER_MS,
        )

    async def _pass_on(
        self, state: dispatch_state.DispatchState
    ) -> fleet_request.FleetAnswer | None:
        """Pass a request on if this host does not reach its target.

        Returns None if it is to be sent from here.

        :raises RefusedError: with the result of another host; for a request
            that was passed on to this host, as not run
        """
        unreached = self._selection.unreached(state)
        if unreached is None:
            return None
        if state.request.passed_on and not state.sent_to:
            raise results.refusal(
                results.HOST_ISOLATED
                if self._selection.isolated
                else results.TARGET_OUT_OF_REACH,
                f"this entry host does not reach {unreached}",
                dispatch_refusals.SHED_RETRY_AFTER_MS,
            )
        if not self._passing.may_pass(state, unreached):
            return None
        answer = await self._passing.pass_on(state, unreached)
        outcome = "declined" if answer is None else "answered"
        self._metrics.passed_on.add(1, {"outcome": outcome})
        if answer is None and not state.body.replayable:
            raise self._refusals.not_run(
                state,
                results.TARGET_OUT_OF_REACH,
                "no entry host took it, and too much of its body is read",
                dispatch_refusals.SHED_RETRY_AFTER_MS,
            )
        return answer

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
        raise self._refusals.not_run(
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
            keyed=self._fleet.is_keyed(state.service),
            body_replayable=state.body.replayable,
            attempts=len(state.sent_to),
            attempts_max=state.route.attempts_max,
            time_left_s=state.deadline_s - self._clock(),
            take_budget=lambda: (
                self._take_budget(state.service)
                and self._take_quota(state, failure)
            ),
        )

    async def _send(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> fleet_request.FleetAnswer:
        chosen_s = self._clock()

        def sent(connect_s: float) -> None:
            age_ms = (self._clock() - chosen_s) * 1000
            state.choice_ages_ms.append(round(age_ms))
            self._metrics.choice_age.record(age_ms)
            self._record_sent(state, target, connect_s)

        return await self._sender.send(
            state.request,
            state.body,
            target,
            idempotent=state.route.idempotent,
            new_connection=target.name in state.sent_to,
            deadline_s=state.deadline_s,
            queue_first=bool(state.turned_away),
            may_start=lambda: self._may_start(state, target),
            is_allowed=lambda: self._may_send(state, target),
            on_sent=sent,
        )

    def _record_sent(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
        connect_s: float,
    ) -> None:
        state.connects_ms.append(round(connect_s * 1000))
        cold_left_ms = self._fleet.cold_left_ms(target)
        state.cold_left_ms.append(cold_left_ms)
        if cold_left_ms:
            self._metrics.cold_requests.add(
                1, {"service": state.service, "outcome": "sent"}
            )
        if state.sent_to:
            kind = type(state.failures[-1]).__name__
            self._metrics.retries.add(1, {"reason": kind})
        else:
            self._budgets.of(state.service).record_request()
        state.sent_to.append(target.name)
        state.awaiting_answer = True

    def _may_start(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> bool:
        """Whether the target that was chosen may still get the request.

        Otherwise the request is turned away, and the reason is recorded.
        """
        reason = self._find_reason_against(state, target)
        if reason is not None:
            state.turned_away.append(f"{target.name} {reason}")
            self._metrics.turned_away.add(1, {"reason": reason})
        return reason is None

    def _may_send(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> bool:
        """Whether a request may go to a target, right before it is sent."""
        if not self._may_start(state, target):
            return False
        now_s = self._clock()
        return target.rest.take(now_s, target.stats.overdue_ms(now_s) / 1000)

    def _find_reason_against(
        self,
        state: dispatch_state.DispatchState,
        target: fleet_map.TrackedTarget,
    ) -> str | None:
        """Return why a request may not go to the target chosen for it."""
        if not self._suspects.may_send(state):
            return "quarantine"
        now_s = self._clock()
        hindrance = suitability.find_hindrance(
            self._fleet, state, target, now_s
        )
        if hindrance is not None:
            return hindrance.value
        if self._fleet.is_cold(target) and now_s > state.permitted_until_s:
            return "cold"
        return None

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

    def _take_quota(
        self,
        state: dispatch_state.DispatchState,
        failure: fleet_retries.Failure,
    ) -> bool:
        """Count a further attempt, unless the last one has not run."""
        match failure:
            case fleet_retries.NotRun():
                return True
            case _ if not state.customer:
                return True
            case _:
                return self._quotas.take_further(state.customer)

    def _take_budget(self, service: str) -> bool:
        return self._budgets.of(service).take(
            self._clock(), self._fleet.entry_hosts
        )

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
            customer=state.request.customer,
            sent_to=state.sent_to,
            asked_hosts=state.asked_hosts,
            passed_on=state.request.passed_on,
            choice_ages_ms=state.choice_ages_ms,
            turned_away=state.turned_away,
            connects_ms=state.connects_ms,
            cold_left_ms=state.cold_left_ms,
            failures=[str(failure) for failure in state.failures],
            outcome=outcome,
            ms=round((self._clock() - started_s) * 1000, 1),
            map_revision=self._fleet.revision,
            **self._fleet.describe_copy(),
        )

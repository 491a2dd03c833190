"""Requests that this host passes on to other entry hosts."""

from __future__ import annotations

import asyncio
import math
import random
import typing as ty

import attrs

from goldcrestproxy.entries import dispatch_state
from goldcrestproxy.entries import fleet_request
from goldcrestproxy.entries import passed_requests
from goldcrestproxy.entries import relay_headers
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import fleet_retries
from goldcrestproxy.routing import passing_on
from goldcrestproxy import wire

# Time for the way between two entry hosts and back.
WAY_MS: ty.Final = 10
# Answers up to this size are read whole before any byte is forwarded.
BUFFERED_ANSWER_BYTES_MAX: ty.Final = 64 * 1024
# Refusals of a host that does not reach the target either.
_UNREACHED_CODES: ty.Final = frozenset(
    {results.NO_TARGET, results.TARGET_UNREACHABLE}
)
# Refusals of a host that takes no requests now.
_UNWILLING_CODES: ty.Final = frozenset(
    {
        results.HOST_ISOLATED,
        results.NO_CONFIGURATION,
        results.STATE_BEHIND,
        results.STOPPING,
        results.UNKNOWN_ROUTE,
    }
)


@attrs.frozen(kw_only=True)
class _Declined:
    """A neighbour did not take a request, which has not run.

    ``target_unreached`` means that it reaches other targets, but not this
    one. Otherwise it takes no requests at all.
    """

    target_unreached: bool


class RequestPassing:
    """Passes requests on to neighbours that reach their targets.

    A request that is passed on is never passed on again.
    """

    def __init__(
        self,
        peers: wire.Peers,
        zone: str,
        clock: ty.Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Start without neighbours.

        :param clock: monotonic time in seconds
        """
        self._peers = peers
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._neighbours: tuple[passing_on.Neighbour, ...] = ()
        self._listed_s = -math.inf
        self._loads: dict[str, passing_on.NeighbourLoad] = {}
        self._target_back_off = passing_on.TargetBackOff()

    def set_neighbours(self, hosts: list[wire.ttypes.EntryHost]) -> None:
        """Replace the hosts that take requests.

        An empty list takes effect after ``NEIGHBOURS_AGE_S``.
        """
        now_s = self._clock()
        if hosts:
            self._listed_s = now_s
        elif now_s < self._listed_s + passing_on.NEIGHBOURS_AGE_S:
            return
        self._neighbours = tuple(
            passing_on.Neighbour(
                host=host.host,
                zone=host.zone,
                address=host.address,
                peer_port=host.peer_port,
            )
            for host in hosts
        )
        names = {neighbour.host for neighbour in self._neighbours}
        for name, load in list(self._loads.items()):
            if name not in names and not load.in_flight:
                del self._loads[name]

    @property
    def has_neighbours(self) -> bool:
        """Whether any host is known that takes requests."""
        return bool(self._neighbours)

    def retain_targets(self, targets: set[str]) -> None:
        """Forget what is known of all other targets."""
        self._target_back_off.retain(targets)

    def may_pass(
        self, state: dispatch_state.DispatchState, target: str
    ) -> bool:
        """Whether another host may send a request to a target.

        No target may have received the request before.
        """
        now_s = self._clock()
        return (
            self.has_neighbours
            and not state.request.passed_on
            and not state.sent_to
            and not state.asked_hosts
            and state.body.replayable
            and state.deadline_s - now_s > passing_on.TIME_LEFT_MIN_S
            and not self._target_back_off.applies(target, now_s)
        )

    async def pass_on(
        self, state: dispatch_state.DispatchState, target: str
    ) -> fleet_request.FleetAnswer | None:
        """Let another host send a request; return the answer.

        Returns None if no host took it; the request has not run then.

        :param target: name of the target, or of the pool's service
        :raises RefusedError: with the result of the host that took it
        """
        unreached_by = 0
        while unreached_by < passing_on.UNREACHED_BY_MAX:
            neighbour = self._next_neighbour(state)
            if neighbour is None:
                break
            state.asked_hosts.append(neighbour.host)
            load = self._loads.setdefault(
                neighbour.host, passing_on.NeighbourLoad()
            )
            load.in_flight += 1
            try:
                outcome = await self._ask_once(state, neighbour, target)
            finally:
                load.in_flight -= 1
            match outcome:
                case _Declined(target_unreached=True):
                    unreached_by += 1
                case _Declined():
                    load.back_off_until_s = (
                        self._clock() + passing_on.NEIGHBOUR_BACK_OFF_S
                    )
                case fleet_request.FleetAnswer():
                    load.back_off_until_s = 0.0
                    self._target_back_off.record_success(target)
                    return outcome
        if unreached_by:
            self._target_back_off.record_failure(target, self._clock())
        return None

    def _next_neighbour(
        self, state: dispatch_state.DispatchState
    ) -> passing_on.Neighbour | None:
        """Return the host to ask next, None if none is left or too late."""
        left_s = state.deadline_s - self._clock()
        if left_s < passing_on.TIME_LEFT_MIN_S or not state.body.replayable:
            return None
        return passing_on.choose_neighbour(
            [
                neighbour
                for neighbour in self._neighbours
                if neighbour.host not in state.asked_hosts
            ],
            self._loads,
            self._zone,
            self._clock(),
            self._rng,
        )

    async def _ask_once(
        self,
        state: dispatch_state.DispatchState,
        neighbour: passing_on.Neighbour,
        target: str,
    ) -> fleet_request.FleetAnswer | _Declined:
        """Pass a request on to a neighbour, unless it declines.

        :raises RefusedError: with the result of a neighbour that took it
        """
        try:
            return await self._ask(state, neighbour)
        except errors.ChannelClosedError:
            return _Declined(target_unreached=False)
        except errors.RefusedError as error:
            if error.code == results.TARGET_OUT_OF_REACH:
                return _Declined(target_unreached=True)
            if error.code in _UNWILLING_CODES:
                return _Declined(target_unreached=False)
            if error.code in _UNREACHED_CODES:
                self._target_back_off.record_failure(target, self._clock())
            raise

    async def _ask(
        self,
        state: dispatch_state.DispatchState,
        neighbour: passing_on.Neighbour,
    ) -> fleet_request.FleetAnswer:
        """Pass a request on to a neighbour and return the answer.

        :raises ChannelClosedError: when the neighbour got nothing
        :raises RefusedError: when the neighbour refused it, or when it is
            unknown whether it has run
        """
        left_s = state.deadline_s - self._clock()
        exchange = wire.Exchange(
            passed_requests.encode(
                state.request,
                state.service,
                left_ms=max(1, int(left_s * 1000) - WAY_MS),
            )
        )
        answer = None
        try:
            await self._open(exchange, neighbour, left_s)
            state.awaiting_answer = True
            if state.request.body is not None:
                state.body.feed(exchange.request_body)
            answer = await self._answer(exchange, state, neighbour)
            return answer
        finally:
            if answer is None:
                exchange.cancel()
            if answer is None or answer.remaining_body is None:
                await state.body.stop_feed()

    async def _open(
        self,
        exchange: wire.Exchange,
        neighbour: passing_on.Neighbour,
        left_s: float,
    ) -> None:
        address = wire.PeerAddress(neighbour.address, neighbour.peer_port)
        try:
            async with asyncio.timeout(left_s * passing_on.OPEN_SHARE):
                await self._peers.open(address, exchange)
        except TimeoutError as error:
            raise errors.ChannelClosedError(
                f"{neighbour.host} was not reached in time"
            ) from error

    async def _answer(
        self,
        exchange: wire.Exchange,
        state: dispatch_state.DispatchState,
        neighbour: passing_on.Neighbour,
    ) -> fleet_request.FleetAnswer:
        timeout_s = state.deadline_s + WAY_MS / 1000 - self._clock()
        try:
            async with asyncio.timeout(timeout_s):
                head = await exchange.response
                if head.code != results.ANSWERED:
                    raise relay_headers.refusal_of(head)
                read = bytearray()
                complete = False
                while len(read) <= BUFFERED_ANSWER_BYTES_MAX and not complete:
                    chunk = await exchange.response_body.read()
                    read += chunk
                    complete = not chunk
        except TimeoutError:
            state.failures.append(
                fleet_retries.MaybeRun(
                    text=f"{neighbour.host} did not answer", timed_out=True
                )
            )
            raise results.refusal(
                results.DEADLINE_UNKNOWN,
                f"{neighbour.host} did not answer in time",
            ) from None
        except errors.RefusedError as error:
            state.awaiting_answer = False
            if results.BY_CODE[error.code].outcome is not (
                results.Outcome.NOT_RUN
            ):
                state.failures.append(fleet_retries.MaybeRun(text=error.text))
            raise
        except errors.GoldcrestProxyError as error:
            state.failures.append(fleet_retries.MaybeRun(text=str(error)))
            raise results.refusal(
                results.OUTCOME_UNKNOWN,
                f"{neighbour.host} took it and broke off: {error}",
            ) from error
        state.awaiting_answer = False
        return passed_requests.decode_answer(
            head,
            bytes(read),
            None if complete else exchange.response_body,
            exchange.cancel,
        )

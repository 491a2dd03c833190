"""Single attempts to run a request at a target of a desk."""

from __future__ import annotations

import asyncio
import typing as ty

import attrs

from goldcrestproxy import control
from goldcrestproxy.entries import body_identity
from goldcrestproxy.entries import caller_request
from goldcrestproxy.entries import control_link
from goldcrestproxy.entries import coordinator as coordinators
from goldcrestproxy.entries import fingerprints
from goldcrestproxy.entries import relay_headers
from goldcrestproxy.entries import replay
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import classification
from goldcrestproxy import wire

# The coordinator answers by the deadline; this covers the way back.
DEADLINE_GRACE_S: ty.Final = 0.02
BUFFERED_BYTES_MAX: ty.Final = 64 * 1024


@attrs.define
class Progress:
    """How far the attempts of a request have come.

    ``possible_runs`` counts those that a target may have run or may still
    run.
    """

    possible_runs: int = 0


@attrs.frozen(kw_only=True)
class RequestPlan:
    """The data that all attempts of a request share.

    ``deadline_s`` is monotonic time.
    """

    request: caller_request.CallerRequest
    classified: classification.ClassifiedRequest
    key_hash: int
    deadline_s: float
    body: replay.ReplayableBody
    identity: body_identity.BodyIdentity
    trace_parent: str
    progress: Progress

    @property
    def may_repeat(self) -> bool:
        """Whether the request may run more than once."""
        return self.classified.route.idempotent

    @property
    def claims_key(self) -> bool:
        """Whether its Idempotency-Key is claimed before it runs."""
        return bool(self.request.idempotency_key) and not self.may_repeat

    @property
    def body_digest(self) -> str:
        """The body's part of the request's fingerprint."""
        return fingerprints.digest_of(self.identity)


class AttemptFailed(errors.GoldcrestProxyError):
    """An attempt ended with a refusal.

    ``map_index`` is the index of the replicated state at the coordinator
    that refused, 0 if unknown.
    """

    def __init__(self, refusal: errors.RefusedError, map_index: int) -> None:
        """Wrap a refusal."""
        self.refusal = refusal
        self.map_index = map_index
        super().__init__(str(refusal))

    @property
    def outcome(self) -> results.Outcome:
        """Whether the request ran, as far as it is known."""
        return results.BY_CODE[self.refusal.code].outcome


class AttemptRunner:
    """Sends requests to the coordinators of targets."""

    def __init__(
        self,
        link: control_link.ControlLink,
        peers: wire.Peers,
        coordinator: coordinators.Coordinator,
        clock: ty.Callable[[], float],
    ) -> None:
        """Create a runner.

        :param coordinator: used directly for targets that this daemon
            coordinates itself
        :param clock: monotonic time in seconds
        """
        self._link = link
        self._peers = peers
        self._coordinator = coordinator
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self, plan: RequestPlan, target: control.TargetRecord
    ) -> tuple[caller_request.RoutedAnswer, int]:
        """Run an attempt; return the answer and the coordinator's backlog.

        The backlog is a number of requests.

        :raises AttemptFailed: when the attempt was refused or broke off
        """
        exchange = wire.Exchange(self._relay_request(plan, target))
        try:
            await self._open(exchange, target)
            plan.progress.possible_runs += 1
            if exchange.request.body_bytes != 0:
                plan.body.feed(exchange.request_body)
            return await self._answer(plan, exchange, target)
        except BaseException:
            exchange.cancel()
            raise

    def _relay_request(
        self, plan: RequestPlan, target: control.TargetRecord
    ) -> wire.ttypes.RelayRequest:
        left_ms = int((plan.deadline_s - self._clock()) * 1000)
        return wire.ttypes.RelayRequest(
            request_id=plan.request.request_id,
            customer=plan.classified.customer,
            desk=plan.classified.desk_name,
            method=plan.request.method,
            path=plan.classified.path,
            headers=[
                wire.ttypes.Header(name=name, value=value)
                for name, value in plan.request.headers
            ],
            target=target.target,
            key_hash=plan.key_hash,
            deadline_ms=max(1, left_ms),
            idempotent=plan.may_repeat,
            body_bytes=plan.request.body_bytes,
            trace_parent=plan.trace_parent,
            operation=plan.classified.route.operation,
            body_digest=plan.body_digest,
        )

    async def _open(
        self, exchange: wire.Exchange, target: control.TargetRecord
    ) -> None:
        if target.session == self._link.session:
            task = asyncio.create_task(self._coordinator.serve(exchange))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        address = wire.PeerAddress(target.peer_address, target.peer_port)
        try:
            await self._peers.open(address, exchange)
        except errors.WireError as error:
            raise AttemptFailed(
                results.refusal(
                    results.COORDINATOR_UNREACHABLE,
                    f"coordinator {target.host}: {error}",
                    100,
                ),
                0,
            ) from error

    async def _answer(
        self,
        plan: RequestPlan,
        exchange: wire.Exchange,
        target: control.TargetRecord,
    ) -> tuple[caller_request.RoutedAnswer, int]:
        until_s = plan.deadline_s + DEADLINE_GRACE_S - self._clock()
        try:
            async with asyncio.timeout(max(0.0, until_s)):
                head = await exchange.response
                if head.code != results.ANSWERED:
                    failed = AttemptFailed(
                        relay_headers.refusal_of(head), head.map_index
                    )
                    if failed.outcome is results.Outcome.NOT_RUN:
                        plan.progress.possible_runs -= 1
                    raise failed
                answer = _routed_answer(head, exchange, target)
                if 0 <= answer.body_bytes <= BUFFERED_BYTES_MAX:
                    body = await answer.body.read_all(BUFFERED_BYTES_MAX)
                    _check_length(answer, body, plan.request.method)
                    answer = attrs.evolve(answer, whole_body=body)
                return answer, head.backlog_requests
        except TimeoutError:
            raise AttemptFailed(
                results.refusal(
                    results.DEADLINE_UNKNOWN,
                    f"no answer of {target.target} came in time",
                ),
                0,
            ) from None
        except AttemptFailed:
            raise
        except errors.RefusedError as error:
            raise AttemptFailed(error, 0) from error
        except errors.GoldcrestProxyError as error:
            code = _broken_channel_code(exchange)
            raise AttemptFailed(results.refusal(code, str(error)), 0) from (
                error
            )


def _broken_channel_code(exchange: wire.Exchange) -> int:
    """Return the result code of an attempt whose channel broke."""
    answer_started = (
        exchange.response.done() and not exchange.response.exception()
    )
    return (
        results.ANSWER_INCOMPLETE
        if answer_started
        else results.OUTCOME_UNKNOWN
    )


def _routed_answer(
    head: wire.ttypes.RelayResponse,
    exchange: wire.Exchange,
    target: control.TargetRecord,
) -> caller_request.RoutedAnswer:
    return caller_request.RoutedAnswer(
        status=head.status,
        headers=tuple((item.name, item.value) for item in head.headers),
        body=exchange.response_body,
        body_bytes=head.body_bytes,
        target=target.target,
    )


def _check_length(
    answer: caller_request.RoutedAnswer, body: bytes, method: str
) -> None:
    if len(body) != answer.body_bytes:
        raise results.refusal(
            results.ANSWER_INCOMPLETE,
            f"{len(body)} of {answer.body_bytes} bytes arrived",
        )

"""A target that this daemon coordinates: admission, transfer, answer."""

from __future__ import annotations

import asyncio
import logging
import typing as ty

from goldcrestproxy import control
from goldcrestproxy.control import clock as clocks
from goldcrestproxy.entries import control_link
from goldcrestproxy.entries import in_flight
from goldcrestproxy.entries import ownership
from goldcrestproxy.entries import refusals
from goldcrestproxy.entries import relay_headers
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import admission
from goldcrestproxy.routing import concurrency
from goldcrestproxy.routing import rates
from goldcrestproxy.routing import request_limits
from goldcrestproxy.routing import rest_time
from goldcrestproxy import targets
from goldcrestproxy.targets import protocol
from goldcrestproxy import telemetry
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

GRANT_WAIT_S: ty.Final = 1.5
CRASH_WINDOW_S: ty.Final = 3.0
CANCEL_TIMEOUT_MS: ty.Final = 200
# After a rest, other requests wait this long for the answer to the first.
REST_PROBE_S: ty.Final = 1.0
# A reused connection that is silent for longer is replaced by a new one.
SILENCE_MS_MIN: ty.Final = 300.0
SILENCE_RATIO: ty.Final = 10.0
# The duration of an upload depends on its caller, so it is not measured.
MEASURED_BODY_BYTES_MAX: ty.Final = 64 * 1024


class SilentConnectionError(errors.GoldcrestProxyError):
    """A reused connection was silent for far longer than usual."""


class CoordinatedTarget:
    """One target for the duration of one assignment to this daemon.

    An assignment is identified by the target's incarnation and its epoch.
    """

    def __init__(
        self,
        record: control.TargetRecord,
        link: control_link.ControlLink,
        times: targets.AgentTimes,
        limit: concurrency.ConcurrencyLimit,
        queue_requests_max: int,
        clock: ty.Callable[[], float],
        host: str,
    ) -> None:
        """Prepare coordination; ``start`` begins to send grant orders.

        :param clock: monotonic time in seconds
        """
        self.target = record.target
        self.incarnation = record.incarnation
        self.epoch = record.epoch
        self.limit = limit
        self.handing_over = False
        self.in_flight = in_flight.InFlight()
        request_limit = request_limits.RequestLimit()
        self._rest = rest_time.RestTime()
        self.admission = admission.Admission(
            limit, queue_requests_max, clock, request_limit, self._rest
        )
        self.slot_rates = rates.RateMeter()
        self.hot_keys = rates.HotKeySketch()
        self._link = link
        self._clock = clock
        self._supports = record.supports
        self._client = targets.TargetClient(record.address, record.slots)
        self._broken_at_s: dict[str, float] = {}
        self._cancel_tasks: set[asyncio.Task[None]] = set()
        self.agent = targets.TargetAgent(
            record,
            link,
            self._client,
            times,
            clock,
            self._in_flight_of,
            self.report_crash,
            host,
            request_limit,
        )
        self._agent_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to send grant orders to the target."""
        self._agent_task = asyncio.create_task(self.agent.run())

    async def stop_orders(self) -> None:
        """Stop sending grant orders and refuse new requests."""
        self.agent.stopping = True
        self.admission.refuse_all(
            results.WRONG_COORDINATOR, "the target has another coordinator"
        )
        self.agent.wake()
        if self._agent_task is not None:
            # Wait for an order in flight: none may arrive after the release.
            await asyncio.wait([self._agent_task])

    async def stop(self) -> None:
        """Stop, and close the connections once nothing is in flight."""
        await self.stop_orders()
        await self._client.close()

    async def report_crash(self) -> None:
        """Report the requests whose connections the target broke recently.

        Those within ``CRASH_WINDOW_S`` are suspected of the crash.
        """
        since_s = self._clock() - CRASH_WINDOW_S
        fingerprints = [
            f for f, at_s in self._broken_at_s.items() if at_s >= since_s
        ]
        self._broken_at_s.clear()
        if not fingerprints:
            return
        command = control.ReportCrash(
            target=self.target,
            incarnation=self.incarnation,
            fingerprints=tuple(fingerprints),
            time_s=clocks.wall_s(),
        )
        try:
            await self._link.propose(command)
        except errors.RefusedError as error:
            LOG.warning("entries: failed to record a crash: %s", error)

    async def serve(
        self,
        exchange: wire.Exchange,
        fingerprint: str | None,
        deadline_s: float,
    ) -> bool:
        """Run a request and send the answer on ``exchange``.

        :param fingerprint: None if the body is not identified
        :param deadline_s: monotonic time
        :return: whether the target answered, False for a cancelled request
        :raises RefusedError: when the target did not run it, or when it is
            unknown whether it did
        """
        request = exchange.request
        owned = await self._wait_for_slot(request, deadline_s)
        work = admission.AdmissionRequest(
            customer=request.customer,
            operation=request.operation,
            deadline_s=deadline_s,
        )
        await self.admission.acquire(work)
        try:
            if exchange.cancelled:
                return False
            # The state may have changed while the request was queued.
            owned = self._usable_slot(request)
            if self._link.state.quarantine.is_quarantined(fingerprint):
                raise refusals.quarantined(fingerprint)
            self.in_flight.enter(request.key_hash)
            try:
                await self._send(exchange, fingerprint, owned, deadline_s)
                return True
            finally:
                self.in_flight.leave(request.key_hash)
                self._wake_agent_if_moving(owned)
        finally:
            self.admission.release()

    def _wake_agent_if_moving(self, owned: targets.OwnedSlot | None) -> None:
        """Wake the agent if the slot of an ended request was revoked."""
        record = self._link.state.targets.get(self.target)
        desk = self._link.state.desks.get(record.desk) if record else None
        if desk is None or owned is None:
            return
        owner = desk.slot(owned.slot)
        if owner is None or owner.revoking or owner.token != owned.token:
            self.agent.wake()

    def _in_flight_of(self, owned: targets.OwnedSlot) -> int:
        record = self._link.state.targets.get(self.target)
        desk = self._link.state.desks.get(record.desk) if record else None
        if desk is None:
            return 0
        return self.in_flight.of_slot(desk, owned.slot)

    async def _wait_for_slot(
        self, request: wire.ttypes.RelayRequest, deadline_s: float
    ) -> targets.OwnedSlot | None:
        """Return the request's slot once its grant is in force.

        None for a request of a pool desk.

        :raises RefusedError: at once when the state assigns the key elsewhere,
            or when the grant is not confirmed within ``GRANT_WAIT_S``
        """
        until_s = min(deadline_s, self._clock() + GRANT_WAIT_S)
        while True:
            owned = self._expected_slot(request)
            if owned is None or self.agent.is_usable(owned):
                return owned
            left_s = until_s - self._clock()
            if left_s <= 0:
                raise results.refusal(
                    results.KEY_MOVING,
                    f"{self.target} has not confirmed its grant of the key",
                    100,
                )
            await self.agent.wait_change(left_s)

    def _usable_slot(
        self, request: wire.ttypes.RelayRequest
    ) -> targets.OwnedSlot | None:
        owned = self._expected_slot(request)
        if owned is not None and not self.agent.is_usable(owned):
            raise results.refusal(
                results.KEY_MOVING,
                f"the grant of the key to {self.target} is not in force",
                100,
            )
        return owned

    def _expected_slot(
        self, request: wire.ttypes.RelayRequest
    ) -> targets.OwnedSlot | None:
        """Check the lease and the state; return the slot of a keyed request.

        :raises RefusedError: when the target must not get this request
        """
        if self.handing_over or not self._link.has_lease:
            raise results.refusal(
                results.WRONG_COORDINATOR,
                f"{self.target} is not coordinated here now",
            )
        return ownership.expected_slot(
            self._link.state,
            self.target,
            request.key_hash,
            reachable=self.agent.reachable,
        )

    async def _send(
        self,
        exchange: wire.Exchange,
        fingerprint: str | None,
        owned: targets.OwnedSlot | None,
        deadline_s: float,
    ) -> None:
        """Send a request, and an idempotent one again on a new connection.

        It is sent again only if the first transfer used a reused connection
        that was silent for far longer than usual: a device on the path may
        have dropped the connection's state.
        """
        request = exchange.request
        self._count_key(request, owned)
        may_have_run = False
        try:
            try:
                transfer = self._start_transfer(
                    exchange,
                    fingerprint,
                    owned,
                    deadline_s,
                    new_connection=not request.idempotent,
                )
                await self._transfer(
                    exchange, transfer, self._silence_timeout_s(request)
                )
            except SilentConnectionError:
                may_have_run = True
                LOG.warning(
                    "entries: connection to %s is silent; using a new one",
                    self.target,
                )
                transfer = self._start_transfer(
                    exchange,
                    fingerprint,
                    owned,
                    deadline_s,
                    new_connection=True,
                )
                await self._transfer(exchange, transfer, None)
        except targets.TransferError as error:
            not_sent = error.stage is targets.Stage.NOT_SENT
            if not_sent and not self._rest.may_send(self._clock()):
                raise refusals.after_run(
                    self.admission.rest_refusal(), may_have_run=may_have_run
                ) from error
            self._handle_transfer_error(error, request, fingerprint)
            refusal = refusals.refusal_of(error, self.target)
            raise refusals.after_run(
                refusal, may_have_run=may_have_run
            ) from error
        except errors.RefusedError as error:
            raise refusals.after_run(
                error, may_have_run=may_have_run
            ) from None

    async def _transfer(
        self,
        exchange: wire.Exchange,
        transfer: targets.Transfer,
        silence_timeout_s: float | None,
    ) -> None:
        request = exchange.request
        sent_s = self._clock()
        exchange.on_cancel(lambda: self._on_cancelled(transfer, request))
        with self._client.in_use():
            transfer_task = asyncio.create_task(transfer.run())
            try:
                await asyncio.wait([transfer.head], timeout=silence_timeout_s)
                if not transfer.head.done() and transfer.reused:
                    raise SilentConnectionError(self.target)
                head = await transfer.head
                self._record_rest(head)
                body_bytes = refusals.check_head(
                    request, head, self.target, self.limit.reset_to_cold
                )
                answered_s = self._clock()
                await self._relay_answer(exchange, transfer, head, body_bytes)
            finally:
                transfer.cancel()
                await transfer_task
        self._record_duration(request, (answered_s - sent_s) * 1000)

    def _record_rest(self, head: targets.AnswerHead) -> None:
        """Apply the rest that a target asks for, or note that it is over."""
        now_s = self._clock()
        self._rest.record_answer(now_s)
        rest_ms = protocol.read_rest_ms(head.headers)
        if rest_ms <= 0:
            return
        LOG.info("entries: %s asks for %d ms of rest", self.target, rest_ms)
        self._rest.record_request_to_rest(rest_ms, now_s)
        self.admission.refuse_resting()

    def _silence_timeout_s(
        self, request: wire.ttypes.RelayRequest
    ) -> float | None:
        """Return the permitted silence of a reused connection, if limited."""
        if not request.idempotent or request.body_bytes != 0:
            return None
        typical_ms = self.limit.baseline_ms(request.operation)
        return max(SILENCE_MS_MIN, typical_ms * SILENCE_RATIO) / 1000

    def _count_key(
        self,
        request: wire.ttypes.RelayRequest,
        owned: targets.OwnedSlot | None,
    ) -> None:
        if owned is None:
            return
        self.hot_keys.count(request.key_hash)
        if not owned.slot.hot:
            self.slot_rates.count(owned.slot.number)

    def _start_transfer(
        self,
        exchange: wire.Exchange,
        fingerprint: str | None,
        owned: targets.OwnedSlot | None,
        deadline_s: float,
        *,
        new_connection: bool,
    ) -> targets.Transfer:
        request = exchange.request

        def may_send() -> bool:
            now_s = self._clock()
            if now_s >= deadline_s or not self._link.has_lease:
                return False
            if self._link.state.quarantine.is_quarantined(fingerprint):
                return False
            if owned is not None and not self.agent.is_usable(owned):
                return False
            try:
                self._expected_slot(request)
            except errors.RefusedError:
                return False
            return self._rest.take(now_s, REST_PROBE_S)

        has_body = request.body_bytes != 0
        left_ms = max(1, int((deadline_s - self._clock()) * 1000))
        return self._client.start(
            request.method,
            request.path,
            relay_headers.request_headers(
                request, owned, self._supports, left_ms
            ),
            body=exchange.request_body if has_body else None,
            body_bytes=request.body_bytes,
            timeout_ms=left_ms,
            new_connection=new_connection,
            may_send=may_send,
            expected_header=(protocol.REQUEST_ID, request.request_id),
        )

    async def _relay_answer(
        self,
        exchange: wire.Exchange,
        transfer: targets.Transfer,
        head: targets.AnswerHead,
        body_bytes: int,
    ) -> None:
        exchange.set_response(
            relay_headers.answer_head(
                head,
                body_bytes,
                map_index=self._link.state.applied_index,
                backlog_requests=self.admission.backlog_requests,
            )
        )
        try:
            while True:
                chunk = await transfer.answer_body.read()
                if not chunk:
                    break
                await exchange.response_body.put(chunk)
        except targets.TransferError as error:
            exchange.response_body.fail(
                refusals.refusal_of(error, self.target, answering=True)
            )
            raise
        exchange.response_body.finish()

    def _on_cancelled(
        self, transfer: targets.Transfer, request: wire.ttypes.RelayRequest
    ) -> None:
        """Cancel the transfer, unless a non-idempotent request was sent."""
        if transfer.stage is targets.Stage.SENT and not request.idempotent:
            return
        transfer.cancel()
        if transfer.stage is targets.Stage.SENT:
            self._cancel_at_target(request)

    def _cancel_at_target(self, request: wire.ttypes.RelayRequest) -> None:
        if self._supports.cancellation:
            task = asyncio.create_task(
                self._client.cancel(request.request_id, CANCEL_TIMEOUT_MS)
            )
            self._cancel_tasks.add(task)
            task.add_done_callback(self._cancel_tasks.discard)

    def _handle_transfer_error(
        self,
        error: targets.TransferError,
        request: wire.ttypes.RelayRequest,
        fingerprint: str | None,
    ) -> None:
        self.agent.wake()
        if error.stage is targets.Stage.NOT_SENT or error.mismatched:
            return
        if error.broken_rule is not None:
            telemetry.log_event(
                LOG,
                "entries: malformed answer",
                level=logging.WARNING,
                request_id=request.request_id,
                target=self.target,
                rule=error.broken_rule.value,
                text=str(error),
            )
        if error.timed_out:
            self.limit.record_timeout()
            self._cancel_at_target(request)
        else:
            if error.was_reset:
                self.limit.record_reset(self.admission.running)
            if fingerprint is not None:
                self._broken_at_s[fingerprint] = self._clock()

    def _record_duration(
        self, request: wire.ttypes.RelayRequest, duration_ms: float
    ) -> None:
        if 0 <= request.body_bytes <= MEASURED_BODY_BYTES_MAX:
            self.limit.record_completion(request.operation, duration_ms)

"""A single attempt at a target of the registry."""

from __future__ import annotations

import asyncio
import logging
import typing as ty

import pycurl

from goldcrestproxy.control import observations
from goldcrestproxy.entries import fleet_map
from goldcrestproxy.entries import fleet_request
from goldcrestproxy.entries import replay
from goldcrestproxy.entries import target_records
from goldcrestproxy import errors
from goldcrestproxy.routing import fleet_retries
from goldcrestproxy.routing import target_contact
from goldcrestproxy import targets
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

# Answers up to this size are buffered whole before any byte is forwarded, so
# that a request whose answer breaks off can be retried.
BUFFERED_ANSWER_BYTES_MAX: ty.Final = 64 * 1024
# Targets close idle connections after some seconds. A request that is sent
# while its connection is being closed has an unknown outcome.
IDEMPOTENT_IDLE_S_MAX: ty.Final = 4
NON_IDEMPOTENT_IDLE_S_MAX: ty.Final = 1


class SendError(errors.GoldcrestProxyError):
    """An attempt did not succeed.

    ``answer`` is the answer of a target that reported a failure itself.
    ``may_have_crashed`` is whether the target may have ended by the request.
    ``broken_rule`` is the rule that a malformed answer broke.
    """

    def __init__(
        self,
        failure: fleet_retries.Failure,
        answer: fleet_request.FleetAnswer | None = None,
        *,
        may_have_crashed: bool = False,
        broken_rule: targets.AnswerRule | None = None,
    ) -> None:
        """Store whether the request may have run, and the answer if any."""
        self.failure = failure
        self.answer = answer
        self.may_have_crashed = may_have_crashed
        self.broken_rule = broken_rule
        super().__init__(str(failure))


class TurnedAwayError(SendError):
    """A request may no longer go to its target; nothing was sent."""

    def __init__(self) -> None:
        """Create an error for an attempt that costs nothing."""
        super().__init__(
            fleet_retries.NotRun(text="its target may no longer get it")
        )


class Sender:
    """Sends requests to targets, reads the answers and records statistics."""

    def __init__(
        self,
        client: targets.SharedClient,
        conventions: targets.HeaderConventions,
        target_observations: observations.Observations,
        contact: target_contact.TargetContact,
        clock: ty.Callable[[], float],
    ) -> None:
        """Create a sender.

        :param conventions: adds and reads the headers that targets expect
        :param target_observations: collects durations and broken requests
        :param contact: records which targets are reached
        :param clock: monotonic time in seconds
        """
        self._observations = target_observations
        self._records = target_records.TargetRecords(target_observations)
        self._contact = contact
        self._client = client
        self._conventions = conventions
        self._clock = clock

    async def send(
        self,
        request: fleet_request.FleetRequest,
        body: replay.ReplayableBody,
        target: fleet_map.TrackedTarget,
        *,
        idempotent: bool,
        new_connection: bool,
        deadline_s: float,
        queue_first: bool = False,
        may_start: ty.Callable[[], bool] = lambda: True,
        is_allowed: ty.Callable[[], bool],
        on_sent: ty.Callable[[float], None],
    ) -> fleet_request.FleetAnswer:
        """Send a request once and return the successful answer.

        Reports a request that may have crashed its target, once its body is
        identified.

        :param new_connection: do not reuse a connection: it may still carry
            another answer with the id of this request
        :param deadline_s: monotonic time
        :param queue_first: wait for a handle before all other requests
        :param may_start: asked after a wait for a handle
        :param is_allowed: asked once there is a connection; if either returns
            False, nothing is sent
        :param on_sent: called before the first byte is sent, with the
            seconds that it took to get a connection
        :raises TurnedAwayError: when it was not allowed to be sent
        :raises SendError: when the attempt did not succeed
        """
        try:
            return await self._send(
                request,
                body,
                target,
                idle_s_max=_idle_s_max(
                    idempotent=idempotent, new_connection=new_connection
                ),
                deadline_s=deadline_s,
                queue_first=queue_first,
                may_start=may_start,
                is_allowed=is_allowed,
                on_sent=on_sent,
            )
        except SendError as error:
            if error.may_have_crashed:
                await self._records.record_broken_run(
                    target, request, body, deadline_s - self._clock()
                )
            raise

    async def _send(
        self,
        request: fleet_request.FleetRequest,
        body: replay.ReplayableBody,
        target: fleet_map.TrackedTarget,
        *,
        idle_s_max: int,
        deadline_s: float,
        queue_first: bool,
        may_start: ty.Callable[[], bool],
        is_allowed: ty.Callable[[], bool],
        on_sent: ty.Callable[[float], None],
    ) -> fleet_request.FleetAnswer:
        left_ms = max(1.0, (deadline_s - self._clock()) * 1000)
        pipe = wire.Pipe() if request.body is not None else None
        adaptive_timeout = self._client.adaptive_timeout

        denied = False

        def may_take_handle() -> bool:
            nonlocal denied
            denied = not may_start()
            return not denied

        def may_send() -> bool:
            nonlocal denied
            denied = not is_allowed()
            if denied:
                return False
            on_sent(transfer.connect_s)
            if not transfer.reused:
                self._contact.record_connection(target.name)
                adaptive_timeout.record_connection(transfer.connect_s * 1000)
            return True

        transfer = self._client.start(
            targets.OutgoingRequest(
                address=target.record.address,
                method=request.method,
                path=request.request_target,
                headers=self._conventions.request_headers(
                    request.headers, target=target.name, left_ms=int(left_ms)
                ),
                body=pipe,
                body_bytes=request.body_bytes,
                timeout_ms=left_ms,
                queue_reserve_ms=target.stats.answer_ms_min,
                idle_s_max=idle_s_max,
                expected_header=(
                    self._conventions.request_id_header,
                    request.request_id,
                ),
                deadline_header=self._conventions.deadline_header,
                queue_first=queue_first,
            ),
            may_take_handle,
            may_send,
        )
        if pipe is not None:
            body.feed(pipe)
        started_s = self._clock()
        target.stats.record_start()
        transfer_task = asyncio.create_task(transfer.run())
        answer: fleet_request.FleetAnswer | None = None
        try:
            answer = await self._read(transfer, target, request, started_s)
            return answer
        except targets.TransferError as error:
            if denied:
                raise TurnedAwayError() from error
            failure = _failure_of(transfer, error)
            if error.timed_out and error.stage is targets.Stage.NOT_SENT:
                adaptive_timeout.record_timeout()
            waited_s = self._clock() - started_s - transfer.queued_s
            self._record_failure(
                transfer, target, error, failure, waited_s * 1000
            )
            raise SendError(
                failure,
                may_have_crashed=_may_have_crashed(transfer, failure),
                broken_rule=error.broken_rule,
            ) from error
        except SendError:
            raise
        except Exception as error:
            # A cancelled transfer is not sent later, so its stage is final.
            transfer.cancel()
            LOG.exception("entries: an answer of %s is unusable", target.name)
            unusable = targets.TransferError(transfer.stage, 0, repr(error))
            raise SendError(_failure_of(transfer, unusable)) from error
        finally:
            if answer is None:
                transfer.cancel()
            if answer is not None and answer.remaining_body is not None:
                # The target may still be reading the request body.
                transfer_task.add_done_callback(
                    lambda _: target.stats.record_end()
                )
                transfer_task.add_done_callback(lambda _: body.cancel_feed())
            else:
                target.stats.record_end()
                await body.stop_feed()

    async def _read(
        self,
        transfer: targets.Transfer,
        target: fleet_map.TrackedTarget,
        request: fleet_request.FleetRequest,
        started_s: float,
    ) -> fleet_request.FleetAnswer:
        head = await transfer.head
        self._contact.record_answer()
        metadata = self._conventions.read_metadata(head.status, head.headers)
        now_s = self._clock()
        if metadata.load is not None:
            target.stats.record_load(metadata.load, now_s)
        self._records.record_limit(target, metadata.limit_per_s, now_s)
        self._records.record_rest(target, metadata.rest_ms, now_s)
        if metadata.leaving:
            self._records.record_leaving(target, now_s)
        body, complete = await self._read_start(transfer)
        answer = fleet_request.FleetAnswer(
            status=head.status,
            headers=self._conventions.caller_headers(head.headers),
            body=body,
            remaining_body=None if complete else transfer.answer_body,
            body_bytes=head.body_bytes,
            cancel=transfer.cancel,
        )
        if metadata.not_run:
            raise SendError(
                fleet_retries.NotRun(
                    text=f"target {target.name} answered {head.status}",
                    misdirected=metadata.misdirected,
                    refused=True,
                    full=metadata.load is not None
                    and metadata.load.running >= metadata.load.slots,
                    rest_ms=metadata.rest_ms,
                )
            )
        duration_ms = (now_s - started_s - transfer.queued_s) * 1000
        target.stats.record_answer(duration_ms)
        self._observations.record_answer(
            target.name, target.record.incarnation, duration_ms, metadata.load
        )
        if head.status >= 500 and answer.remaining_body is None:
            raise SendError(fleet_retries.Failed(status=head.status), answer)
        return answer

    async def _read_start(
        self, transfer: targets.Transfer
    ) -> tuple[bytes, bool]:
        """Read the start of an answer body, up to the buffer limit.

        Returns the bytes read and whether they are the whole body.
        """
        read = bytearray()
        while len(read) <= BUFFERED_ANSWER_BYTES_MAX:
            chunk = await transfer.answer_body.read()
            if not chunk:
                return bytes(read), True
            read += chunk
        return bytes(read), False

    def _record_failure(
        self,
        transfer: targets.Transfer,
        target: fleet_map.TrackedTarget,
        error: targets.TransferError,
        failure: fleet_retries.Failure,
        waited_ms: float,
    ) -> None:
        if transfer.mismatched or not transfer.started:
            return
        now_s = self._clock()
        match failure:
            case fleet_retries.MaybeRun(timed_out=True) if not (
                target.stats.is_overdue(waited_ms, now_s)
            ):
                # Too short a time was left for an answer, so the time-out
                # says nothing about the target.
                return
            case fleet_retries.MaybeRun() if (
                error.was_reset
                and not transfer.answered
                and target.room.is_busy(target.stats.requests_ahead(now_s))
            ):
                self._records.record_full(target, now_s)
            case _:
                target.stats.record_failure(now_s)
                if _is_out_of_reach(transfer, failure):
                    self._contact.record_failure(target.name)


def _idle_s_max(*, idempotent: bool, new_connection: bool) -> int:
    if new_connection:
        return 0
    return IDEMPOTENT_IDLE_S_MAX if idempotent else NON_IDEMPOTENT_IDLE_S_MAX


def _is_out_of_reach(
    transfer: targets.Transfer, failure: fleet_retries.Failure
) -> bool:
    """Whether a failure says that the target cannot be reached.

    A new connection, and any byte of an answer, show that it can.
    """
    match failure:
        case fleet_retries.NotRun():
            return True
        case fleet_retries.MaybeRun(timed_out=True):
            return transfer.reused and not transfer.answered
        case _:
            return False


def _may_have_crashed(
    transfer: targets.Transfer, failure: fleet_retries.Failure
) -> bool:
    """Whether the target may have ended while it ran the request."""
    match failure:
        case fleet_retries.MaybeRun(timed_out=False):
            return transfer.started and not transfer.mismatched
        case _:
            return False


def _failure_of(
    transfer: targets.Transfer, error: targets.TransferError
) -> fleet_retries.Failure:
    """Return whether a request may have run after its transfer failed."""
    if error.stage is targets.Stage.NOT_SENT:
        return fleet_retries.NotRun(text=str(error))
    if transfer.mismatched:
        return fleet_retries.MaybeRun(
            text="the answer belongs to another request"
        )
    return fleet_retries.MaybeRun(
        text=str(error),
        timed_out=error.curl_code == pycurl.E_OPERATION_TIMEDOUT,
    )

"""At most one run per Idempotency-Key, across all entry hosts."""

from __future__ import annotations

import asyncio
import base64
import logging
import typing as ty
import uuid

from goldcrestproxy import control
from goldcrestproxy.control import clock as clocks
from goldcrestproxy.entries import attempt as attempts
from goldcrestproxy.entries import body_identity
from goldcrestproxy.entries import caller_request
from goldcrestproxy.entries import control_link
from goldcrestproxy.entries import fingerprints
from goldcrestproxy.entries import refusals
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

RUNNING_RETRY_AFTER_MS: ty.Final = 200
UNKNOWN_ANSWER: ty.Final = control.Answer(code=results.OUTCOME_UNKNOWN)

Run = ty.Callable[[], ty.Awaitable[caller_request.RoutedAnswer]]


class Claimer:
    """Claims idempotency keys in the replicated state, records answers."""

    def __init__(self, host: str, link: control_link.ControlLink) -> None:
        """Create a claimer for this daemon's host and session."""
        self._host = host
        self._link = link
        self._settle_tasks: set[asyncio.Task[None]] = set()

    async def run_once(
        self, plan: attempts.RequestPlan, run: Run
    ) -> caller_request.RoutedAnswer:
        """Claim the key and run the request, or return the recorded answer.

        :raises RefusedError: also when a request with the same key is running,
            or ran without a recorded answer, and when its body cannot be
            told from others
        """
        if plan.body_digest == fingerprints.UNREAD_DIGEST:
            raise results.refusal(
                results.OVERLOADED,
                "there is no room to read the body that belongs to the "
                "Idempotency-Key",
                refusals.SHED_RETRY_AFTER_MS,
            )
        claim = self._claim(plan)
        try:
            outcome = await self._link.propose(claim)
        except BaseException:
            # The claim may have been committed all the same.
            self._settle(claim, UNKNOWN_ANSWER, not_run=True)
            raise
        match outcome:
            case control.Claimed():
                return await self._run_claimed(plan, claim, run)
            case control.AlreadyClaimed():
                return _recorded_answer(outcome)
            case _:
                raise results.refusal(results.INTERNAL, f"claim: {outcome}")

    async def wait_settled(self) -> None:
        """Wait until all answers so far have been recorded."""
        while self._settle_tasks:
            await asyncio.wait(set(self._settle_tasks))

    def _claim(self, plan: attempts.RequestPlan) -> control.Claim:
        length = str(plan.request.body_bytes)
        earlier_fingerprint = ""
        match plan.identity:
            case body_identity.LongBody():
                earlier_fingerprint = _fingerprint(plan, length)
        return control.Claim(
            customer=plan.classified.customer,
            idempotency_key=plan.request.idempotency_key,
            fingerprint=_fingerprint(plan, plan.body_digest or length),
            earlier_fingerprint=earlier_fingerprint,
            request_id=plan.request.request_id,
            claim_id=uuid.uuid4().hex,
            host=self._host,
            session=self._link.session,
            time_s=clocks.wall_s(),
        )

    async def _run_claimed(
        self, plan: attempts.RequestPlan, claim: control.Claim, run: Run
    ) -> caller_request.RoutedAnswer:
        try:
            answer = await run()
        except errors.RefusedError as error:
            result = results.BY_CODE[error.code]
            not_run = result.outcome is results.Outcome.NOT_RUN
            code = error.code if not_run else results.OUTCOME_UNKNOWN
            self._settle(claim, control.Answer(code=code), not_run=not_run)
            raise
        except BaseException:
            not_run = plan.progress.possible_runs == 0
            self._settle(claim, UNKNOWN_ANSWER, not_run=not_run)
            raise
        self._settle(claim, _answer_of(answer), not_run=False)
        return answer

    def _settle(
        self, claim: control.Claim, answer: control.Answer, *, not_run: bool
    ) -> None:
        """Record the answer in the background."""
        command = control.SettleClaim(
            customer=claim.customer,
            idempotency_key=claim.idempotency_key,
            claim_id=claim.claim_id,
            answer=answer,
            not_run=not_run,
        )
        task = asyncio.create_task(self._propose(command))
        self._settle_tasks.add(task)
        task.add_done_callback(self._settle_tasks.discard)

    async def _propose(self, command: control.SettleClaim) -> None:
        try:
            await self._link.propose(command)
        except errors.RefusedError as error:
            LOG.warning(
                "entries: failed to record the answer for key %s: %s",
                command.idempotency_key,
                error,
            )


def _fingerprint(plan: attempts.RequestPlan, digest: str) -> str:
    return fingerprints.of_parts(
        plan.classified.customer,
        plan.classified.desk_name,
        plan.request.method,
        plan.classified.path,
        digest,
    )


def _answer_of(answer: caller_request.RoutedAnswer) -> control.Answer:
    """Return the answer to record.

    Without its whole body an answer is recorded as an unknown outcome.
    """
    if answer.whole_body is None:
        return UNKNOWN_ANSWER
    return control.Answer(
        code=results.ANSWERED,
        status=answer.status,
        headers=answer.headers,
        body_base64=base64.b64encode(answer.whole_body).decode(),
    )


def _recorded_answer(
    claimed: control.AlreadyClaimed,
) -> caller_request.RoutedAnswer:
    """Return the recorded answer of an earlier request with the same key.

    :raises RefusedError: when the earlier request differs, is still running,
        or has no recorded answer
    """
    if not claimed.same_request:
        raise results.refusal(
            results.IDEMPOTENCY_KEY_REUSED,
            "the Idempotency-Key belongs to a different request",
        )
    if claimed.answer is None:
        raise results.refusal(
            results.STILL_RUNNING,
            f"request {claimed.request_id} with this key is running",
            RUNNING_RETRY_AFTER_MS,
        )
    if claimed.answer.code != results.ANSWERED:
        raise results.refusal(
            results.OUTCOME_UNKNOWN,
            f"request {claimed.request_id} with this key was sent; its "
            "answer was not seen",
        )
    body = base64.b64decode(claimed.answer.body_base64)
    pipe = wire.Pipe()
    pipe.finish()
    return caller_request.RoutedAnswer(
        status=claimed.answer.status,
        headers=claimed.answer.headers,
        body=pipe,
        body_bytes=len(body),
        whole_body=body,
    )

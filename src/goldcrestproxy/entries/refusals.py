"""Refusals for failed transfers and invalid answers of targets."""

from __future__ import annotations

import typing as ty

import pycurl

from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy import targets
from goldcrestproxy.targets import protocol
from goldcrestproxy import wire

SHED_RETRY_AFTER_MS: ty.Final = 100


def quarantined(fingerprint: str | None) -> errors.RefusedError:
    """Return the refusal of a request that crashed targets."""
    return results.refusal(
        results.QUARANTINED,
        f"requests like this one ({fingerprint}) crashed targets",
    )


def refusal_of(
    error: targets.TransferError, target: str, *, answering: bool = False
) -> errors.RefusedError:
    """Return the refusal of a request whose transfer failed.

    Only a request of which no byte was sent counts as not run.

    :param answering: whether the head of the answer had arrived
    """
    if error.stage is targets.Stage.NOT_SENT:
        if error.curl_code == pycurl.E_ABORTED_BY_CALLBACK:
            return results.refusal(
                results.KEY_MOVING,
                f"the right to use {target} ended before sending",
                50,
            )
        return results.refusal(
            results.TARGET_UNREACHABLE, f"{target}: {error}", 100
        )
    if error.mismatched:
        return results.refusal(
            results.ANSWER_MISMATCHED,
            f"{target} answered another request on this connection",
        )
    if error.timed_out:
        return results.refusal(
            results.DEADLINE_UNKNOWN, f"{target} did not answer in time"
        )
    if answering or error.curl_code == pycurl.E_PARTIAL_FILE:
        return results.refusal(results.ANSWER_INCOMPLETE, f"{target}: {error}")
    return results.refusal(results.OUTCOME_UNKNOWN, f"{target}: {error}")


def after_run(
    error: errors.RefusedError, *, may_have_run: bool
) -> errors.RefusedError:
    """Return the refusal of a request that an earlier sending may have run.

    Only the last sending is known not to have run it.
    """
    not_run = results.BY_CODE[error.code].outcome is results.Outcome.NOT_RUN
    if not may_have_run or not not_run:
        return error
    return results.refusal(
        results.OUTCOME_UNKNOWN,
        f"it was sent before and may have run; then: {error.text}",
    )


def raise_not_run(
    head: targets.AnswerHead, target: str, on_shed: ty.Callable[[], None]
) -> None:
    """Raise if the target reports that it did not run a request.

    :param on_shed: called when the reason is overload, a cold target, or
        missing
    :raises RefusedError: with the target's reason
    """
    if head.headers.get(protocol.OUTCOME, "").lower() != "not-run":
        return
    reason = head.headers.get(protocol.REASON, "")
    if reason in ("shed", "cold", ""):
        on_shed()
    raise results.refusal(
        results.TARGET_REFUSED,
        f"{target} did not run it: {reason or 'no reason given'}",
        max(SHED_RETRY_AFTER_MS, protocol.read_rest_ms(head.headers)),
    )


def check_head(
    request: wire.ttypes.RelayRequest,
    head: targets.AnswerHead,
    target: str,
    on_shed: ty.Callable[[], None],
) -> int:
    """Check the head of an answer; return the body length, -1 if chunked.

    :param on_shed: see ``raise_not_run``
    :raises RefusedError: for a refusal by the target, or an answer whose end
        cannot be detected
    """
    raise_not_run(head, target, on_shed)
    body_bytes = head.body_bytes
    if body_bytes is None:
        raise results.refusal(
            results.ANSWER_INCOMPLETE,
            f"{target} sent an answer without a length",
        )
    return body_bytes

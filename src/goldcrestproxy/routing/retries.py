"""Retry decisions for failed attempts of requests to desks."""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy import results

# Refusals caused only by an outdated map.
REROUTED_CODES: ty.Final = frozenset(
    {results.WRONG_COORDINATOR, results.KEY_MOVING, results.STOPPING}
)
RETRIED_CODES: ty.Final = frozenset(
    {
        results.COORDINATOR_UNREACHABLE,
        results.TARGET_REFUSED,
        results.TARGET_UNREACHABLE,
        results.NO_TARGET,
        results.OVERLOADED,
    }
)
# The owner of the key is replaced soon; an attempt before that would fail.
KEYED_REROUTED_CODES: ty.Final = frozenset(
    {
        results.COORDINATOR_UNREACHABLE,
        results.NO_TARGET,
        results.TARGET_UNREACHABLE,
    }
)
# Sent without a usable answer: safe to repeat only if idempotent.
UNKNOWN_OUTCOME_CODES: ty.Final = frozenset(
    {
        results.OUTCOME_UNKNOWN,
        results.ANSWER_INCOMPLETE,
        results.ANSWER_MISMATCHED,
    }
)


@attrs.frozen
class Reroute:
    """Look up the owner again; costs no retry budget."""


@attrs.frozen
class Retry:
    """Make another attempt, at another target if there is one."""


@attrs.frozen
class GiveUp:
    """Answer the caller with the attempt's result code."""


Decision = Reroute | Retry | GiveUp


def decide(
    *,
    code: int,
    keyed: bool,
    idempotent: bool,
    body_replayable: bool,
    time_left_s: float,
    take_budget: ty.Callable[[], bool],
) -> Decision:
    """Return how to proceed after a failed attempt.

    :param code: the result code of the attempt
    :param keyed: whether only one target may run the request
    :param body_replayable: whether the body can be sent again
    :param take_budget: takes a retry from the customer's budget
    """
    if time_left_s <= 0 or not body_replayable:
        return GiveUp()
    if code in REROUTED_CODES or (keyed and code in KEYED_REROUTED_CODES):
        return Reroute()
    not_run = results.BY_CODE[code].outcome is results.Outcome.NOT_RUN
    retried = code in RETRIED_CODES and not_run
    repeated = code in UNKNOWN_OUTCOME_CODES and idempotent
    if not retried and not repeated:
        return GiveUp()
    if keyed and code == results.OVERLOADED:
        # No other target may run it, and the owner's queue is not expected
        # to shorten in time.
        return GiveUp()
    return Retry() if take_budget() else GiveUp()

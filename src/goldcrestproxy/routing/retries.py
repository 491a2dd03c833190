"""Whether a request that failed gets another attempt."""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy import results

# Refusals that only say that the map was old.
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
# The owner of a key is replaced soon; another attempt before is in vain.
KEYED_REROUTED_CODES: ty.Final = frozenset(
    {
        results.COORDINATOR_UNREACHABLE,
        results.NO_TARGET,
        results.TARGET_UNREACHABLE,
    }
)
# Sent once, without an answer: only harmless when idempotent.
UNKNOWN_OUTCOME_CODES: ty.Final = frozenset(
    {
        results.OUTCOME_UNKNOWN,
        results.ANSWER_INCOMPLETE,
        results.ANSWER_MISMATCHED,
    }
)


@attrs.frozen
class Reroute:
    """Look the owner up anew; costs no budget."""


@attrs.frozen
class Retry:
    """Make another attempt, elsewhere where there is a choice."""


@attrs.frozen
class GiveUp:
    """Answer now with the attempt's code."""


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
    """Decide on a failed attempt.

    :param code: the result code of the attempt
    :param keyed: whether one target alone may run the request
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
        # No other target may run it; its queue is no shorter a moment later.
        return GiveUp()
    return Retry() if take_budget() else GiveUp()

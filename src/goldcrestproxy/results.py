"""Result codes; docs/result-codes.md holds the same table."""

from __future__ import annotations

import enum
import typing as ty

import attrs

from goldcrestproxy import errors


class Outcome(enum.Enum):
    """Whether a target ran a request."""

    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"


@attrs.frozen(kw_only=True)
class Result:
    """Row of the table of result codes; ``status`` is the HTTP status."""

    code: int
    name: str
    status: int
    outcome: Outcome
    meaning: str
    remedy: str


def _row(
    code: int,
    name: str,
    status: int,
    outcome: Outcome,
    meaning: str,
    remedy: str,
) -> Result:
    return Result(
        code=code,
        name=name,
        status=status,
        outcome=outcome,
        meaning=meaning,
        remedy=remedy,
    )


_NOT_RUN = Outcome.NOT_RUN
_RETRY_LATER = "Send it again after Retry-After."

ANSWERED = 0
BAD_REQUEST = 1001
UNKNOWN_CUSTOMER = 1002
UNKNOWN_DESK = 1003
UNKNOWN_ROUTE = 1004
KEY_TOO_LONG = 1005
BODY_TOO_LARGE = 1006
BODY_INCOMPLETE = 1007
BAD_DEADLINE = 1008
IDEMPOTENCY_KEY_REUSED = 1009
UNKNOWN_CUSTOMER_KEY = 1010
NO_CONFIGURATION = 2001
NO_TARGET = 2002
KEY_MOVING = 2003
WRONG_COORDINATOR = 2004
COORDINATOR_UNREACHABLE = 2005
STOPPING = 2006
NO_LEADER = 2007
STATE_BEHIND = 2008
OVERLOADED = 3001
DEADLINE_NOT_RUN = 3002
TARGET_REFUSED = 3003
TARGET_UNREACHABLE = 3004
QUARANTINED = 3006
STILL_RUNNING = 3007
TARGET_OUT_OF_REACH = 3008
HOST_ISOLATED = 3009
OVER_QUOTA = 3010
OUTCOME_UNKNOWN = 4001
DEADLINE_UNKNOWN = 4002
ANSWER_INCOMPLETE = 4003
ANSWER_MISMATCHED = 4004
INTERNAL = 5001
REVISION_CONFLICT = 6001
INVALID_CONFIGURATION = 6002
CHANGE_ID_REUSED = 6003
NOT_FOUND = 6004
BAD_ANNOUNCEMENT = 6005
MEMBERSHIP_REFUSED = 6006

TABLE: ty.Final[tuple[Result, ...]] = (
    _row(
        ANSWERED,
        "answered",
        200,
        Outcome.RAN,
        "The target answered; its own status and body follow.",
        "Nothing to do.",
    ),
    _row(
        BAD_REQUEST,
        "bad-request",
        400,
        _NOT_RUN,
        "The request line, a header or a message cannot be read.",
        "Correct the request.",
    ),
    _row(
        UNKNOWN_CUSTOMER,
        "unknown-customer",
        404,
        _NOT_RUN,
        "No customer of this name is in the configuration in force.",
        "Check the name, or apply the customer first.",
    ),
    _row(
        UNKNOWN_DESK,
        "unknown-desk",
        404,
        _NOT_RUN,
        "The customer's template has no desk of this name.",
        "Check the name of the desk.",
    ),
    _row(
        UNKNOWN_ROUTE,
        "unknown-route",
        404,
        _NOT_RUN,
        "No route of the desk fits the method and path.",
        "Check the method and path against the template.",
    ),
    _row(
        KEY_TOO_LONG,
        "key-too-long",
        400,
        _NOT_RUN,
        "The key is longer than the desk's key_bytes_max.",
        "Send a shorter key.",
    ),
    _row(
        BODY_TOO_LARGE,
        "body-too-large",
        413,
        _NOT_RUN,
        "The body is larger than the route's body_bytes_max.",
        "Send a smaller body, or raise the limit in the template.",
    ),
    _row(
        BODY_INCOMPLETE,
        "body-incomplete",
        400,
        Outcome.UNKNOWN,
        "The caller's body ended before its announced length.",
        "Send the whole body again.",
    ),
    _row(
        BAD_DEADLINE,
        "bad-deadline",
        400,
        _NOT_RUN,
        "Goldcrest-Deadline-Ms is not a whole number above 0.",
        "Send the time left in whole milliseconds.",
    ),
    _row(
        IDEMPOTENCY_KEY_REUSED,
        "idempotency-key-reused",
        422,
        _NOT_RUN,
        "The Idempotency-Key was used for a different request.",
        "Use a new Idempotency-Key for a new request.",
    ),
    _row(
        UNKNOWN_CUSTOMER_KEY,
        "unknown-customer-key",
        401,
        _NOT_RUN,
        "The request has no key, or one that no customer holds.",
        "Send a key of the customer, or ask the operators for one.",
    ),
    _row(
        NO_CONFIGURATION,
        "no-configuration",
        503,
        _NOT_RUN,
        "No configuration has reached this entry host yet.",
        _RETRY_LATER,
    ),
    _row(
        NO_TARGET,
        "no-target",
        503,
        _NOT_RUN,
        "No target of the desk may take this work now.",
        _RETRY_LATER,
    ),
    _row(
        KEY_MOVING,
        "key-moving",
        503,
        _NOT_RUN,
        "The key's owner is changing and the deadline came first.",
        _RETRY_LATER,
    ),
    _row(
        WRONG_COORDINATOR,
        "wrong-coordinator",
        503,
        _NOT_RUN,
        "The daemon asked does not hold the target or key any more.",
        _RETRY_LATER,
    ),
    _row(
        COORDINATOR_UNREACHABLE,
        "coordinator-unreachable",
        503,
        _NOT_RUN,
        "The target's coordinator could not be reached.",
        _RETRY_LATER,
    ),
    _row(
        STOPPING,
        "stopping",
        503,
        _NOT_RUN,
        "This daemon is stopping and takes no new work.",
        _RETRY_LATER,
    ),
    _row(
        NO_LEADER,
        "no-leader",
        503,
        _NOT_RUN,
        "The control leader cannot be reached at the moment.",
        _RETRY_LATER,
    ),
    _row(
        STATE_BEHIND,
        "state-behind",
        503,
        _NOT_RUN,
        "This host may not know the last changes yet.",
        _RETRY_LATER,
    ),
    _row(
        OVERLOADED,
        "overloaded",
        503,
        _NOT_RUN,
        "The target's queue is full, or the work cannot end in time.",
        _RETRY_LATER,
    ),
    _row(
        DEADLINE_NOT_RUN,
        "deadline-not-run",
        504,
        _NOT_RUN,
        "The deadline passed before the request was sent to a target.",
        "Send it again with more time.",
    ),
    _row(
        TARGET_REFUSED,
        "target-refused",
        503,
        _NOT_RUN,
        "The target itself said that it did not run the request.",
        _RETRY_LATER,
    ),
    _row(
        TARGET_UNREACHABLE,
        "target-unreachable",
        503,
        _NOT_RUN,
        "No connection to the target could be opened.",
        _RETRY_LATER,
    ),
    _row(
        QUARANTINED,
        "quarantined",
        503,
        _NOT_RUN,
        "Targets crashed while they ran this request.",
        "Ask the operators; they can release it.",
    ),
    _row(
        STILL_RUNNING,
        "still-running",
        409,
        Outcome.UNKNOWN,
        "An earlier request with this Idempotency-Key is running.",
        _RETRY_LATER,
    ),
    _row(
        TARGET_OUT_OF_REACH,
        "target-out-of-reach",
        503,
        _NOT_RUN,
        "The entry host that was asked does not reach the target either.",
        _RETRY_LATER,
    ),
    _row(
        HOST_ISOLATED,
        "host-isolated",
        503,
        _NOT_RUN,
        "The entry host that was asked reaches no target.",
        _RETRY_LATER,
    ),
    _row(
        OVER_QUOTA,
        "over-quota",
        429,
        _NOT_RUN,
        "The customer's quota is used up for the moment.",
        _RETRY_LATER,
    ),
    _row(
        OUTCOME_UNKNOWN,
        "outcome-unknown",
        502,
        Outcome.UNKNOWN,
        "The request was sent; no answer came before the connection or "
        "the daemon ended.",
        "Look whether it ran before sending it again.",
    ),
    _row(
        DEADLINE_UNKNOWN,
        "deadline-unknown",
        504,
        Outcome.UNKNOWN,
        "The request was sent and no answer came in time.",
        "Look whether it ran before sending it again.",
    ),
    _row(
        ANSWER_INCOMPLETE,
        "answer-incomplete",
        502,
        Outcome.UNKNOWN,
        "The target's answer ended before its length.",
        "Look whether it ran before sending it again.",
    ),
    _row(
        ANSWER_MISMATCHED,
        "answer-mismatched",
        502,
        Outcome.UNKNOWN,
        "The target answered with the id of another request.",
        "Look whether it ran before sending it again.",
    ),
    _row(
        INTERNAL,
        "internal",
        500,
        Outcome.UNKNOWN,
        "A fault in goldcrestproxy.",
        "Report it with the request id.",
    ),
    _row(
        REVISION_CONFLICT,
        "revision-conflict",
        409,
        _NOT_RUN,
        "Another change was accepted since the expected revision.",
        "Read the new revision, look at the diff and apply again.",
    ),
    _row(
        INVALID_CONFIGURATION,
        "invalid-configuration",
        400,
        _NOT_RUN,
        "The configuration was refused; nothing was changed.",
        "Mend the place that the message names.",
    ),
    _row(
        CHANGE_ID_REUSED,
        "change-id-reused",
        409,
        _NOT_RUN,
        "The change id was used for a different change.",
        "Use a new change id for a new change.",
    ),
    _row(
        NOT_FOUND,
        "not-found",
        404,
        _NOT_RUN,
        "The named thing does not exist.",
        "Check the name.",
    ),
    _row(
        BAD_ANNOUNCEMENT,
        "bad-announcement",
        400,
        _NOT_RUN,
        "A target announced something that cannot be used.",
        "Mend the field that the message names.",
    ),
    _row(
        MEMBERSHIP_REFUSED,
        "membership-refused",
        409,
        _NOT_RUN,
        "The change of control members is not possible now.",
        "Read the message; wait for the change in progress.",
    ),
)

BY_CODE: ty.Final[dict[int, Result]] = {row.code: row for row in TABLE}


def refusal(
    code: int, text: str, retry_after_ms: int = 0
) -> errors.RefusedError:
    """Return the exception that refuses a request with a result code.

    :param code: a code of this module
    :param text: one sentence on what was found and what was expected
    :param retry_after_ms: time until a retry, 0 if a retry does not help
    """
    return errors.RefusedError(code, text, retry_after_ms)

"""Retry decisions and budgets for requests to the targets of a fleet."""

from __future__ import annotations

import typing as ty

import attrs


@attrs.frozen(kw_only=True)
class NotRun:
    """The target rejected the request without running it, or never got it.

    ``misdirected`` means that the target does not own the key or is not the
    expected one, ``full`` that its queue was full. ``rest_ms`` is how long it
    wants no requests from this host.
    """

    text: str
    misdirected: bool = False
    refused: bool = False
    full: bool = False
    rest_ms: float = 0.0


@attrs.frozen(kw_only=True)
class MaybeRun:
    """The request was sent but no usable answer was received."""

    text: str
    timed_out: bool = False


@attrs.frozen(kw_only=True)
class Failed:
    """The target ran the request and answered with a failure."""

    status: int


Failure = NotRun | MaybeRun | Failed

# An attempt that cannot be answered within this time is not worth its budget.
TIME_LEFT_MIN_S: ty.Final = 0.02


def may_retry(
    failure: Failure,
    *,
    idempotent: bool,
    keyed: bool,
    body_replayable: bool,
    attempts: int,
    attempts_max: int,
    time_left_s: float,
    take_budget: ty.Callable[[], bool],
) -> bool:
    """Return whether to make another attempt.

    :param keyed: whether only one target may run the request
    :param attempts: number of attempts that reached a target so far
    :param attempts_max: maximum number of targets that a request may reach
    :param take_budget: takes a retry from the budget shared by all hosts
    """
    if time_left_s < TIME_LEFT_MIN_S or not body_replayable:
        return False
    if attempts >= attempts_max:
        return False
    match failure:
        case NotRun(full=full, rest_ms=rest_ms):
            # The owner's queue is not expected to shorten in time.
            retryable = not (keyed and (full or rest_ms > 0))
        case MaybeRun(timed_out=timed_out):
            retryable = idempotent and not timed_out
        case Failed(status=status):
            retryable = idempotent and status >= 500
    return retryable and (attempts == 0 or take_budget())


@attrs.define(kw_only=True)
class SharedRetryBudget:
    """One host's part of a retry budget that all entry hosts share.

    Token bucket refilled by ``ratio`` tokens with each first attempt of the
    host, and over time by an equal part of the ``slack`` tokens that the
    budget grants in each window.
    """

    ratio: float
    slack: float
    window_s: float
    _tokens: float = attrs.field(init=False, default=0.0)
    _refilled_s: float | None = attrs.field(init=False, default=None)

    def record_request(self) -> None:
        """Add ``ratio`` tokens for a first attempt."""
        self._tokens = min(self._capacity(1), self._tokens + self.ratio)

    def take(self, now_s: float, hosts: int) -> bool:
        """Take one token; return whether one was available.

        :param hosts: entry hosts that share the slack
        """
        self._refill(now_s, hosts)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _refill(self, now_s: float, hosts: int) -> None:
        capacity = self._capacity(hosts)
        if self._refilled_s is None:
            self._tokens = capacity
        else:
            elapsed_s = now_s - self._refilled_s
            per_s = self.slack / hosts / self.window_s
            self._tokens = min(capacity, self._tokens + per_s * elapsed_s)
        self._refilled_s = now_s

    def _capacity(self, hosts: int) -> float:
        return max(1.0, self.slack / hosts)


@attrs.define(kw_only=True)
class ServiceRetryBudgets:
    """A budget per service: requests to one do not fund retries of another."""

    ratio: float
    slack: float
    window_s: float
    _budgets: dict[str, SharedRetryBudget] = attrs.field(
        init=False, factory=dict
    )

    def of(self, service: str) -> SharedRetryBudget:
        """Return the budget of a service, created on first use."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(
                ratio=self.ratio, slack=self.slack, window_s=self.window_s
            )
            self._budgets[service] = budget
        return budget

"""Refusals of requests, by what their attempts have come to."""

from __future__ import annotations

import random
import typing as ty

from goldcrestproxy.entries import dispatch_state
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import fleet_retries

# A target refuses when its queue is full; it has room again after about this.
SHED_RETRY_AFTER_MS: ty.Final = 200
# Most callers come back to another entry host.
BEHIND_RETRY_AFTER_MS: ty.Final = 200
# Random extension of Retry-After, so that callers do not retry all at once.
RETRY_SPREAD: ty.Final = 0.5


class DispatchRefusals:
    """Builds refusals that say truly whether a request has run."""

    def __init__(self, rng: random.Random) -> None:
        """Spread Retry-After with ``rng``."""
        self._rng = rng

    def not_run(
        self,
        state: dispatch_state.DispatchState,
        code: int,
        text: str,
        retry_after_ms: int,
    ) -> errors.RefusedError:
        """Return a refusal with ``code``, unless an attempt may have run.

        Then the outcome of that attempt decides the refusal. Retry-After is
        spread at random.
        """
        if state.may_have_run:
            return self.final(state)
        return self.spread(code, text, retry_after_ms)

    def spread(
        self, code: int, text: str, retry_after_ms: int
    ) -> errors.RefusedError:
        """Return the refusal of a request that was not sent.

        Retry-After is spread at random.
        """
        spread = 1 + RETRY_SPREAD * self._rng.random()
        return results.refusal(code, text, int(retry_after_ms * spread))

    def behind(self, text: str) -> errors.RefusedError:
        """Return the refusal of a request for which the state is too old."""
        return self.spread(results.STATE_BEHIND, text, BEHIND_RETRY_AFTER_MS)

    def final(
        self, state: dispatch_state.DispatchState
    ) -> errors.RefusedError:
        """Return the refusal that the failures of all attempts call for.

        Any attempt that may have run makes the outcome unknown.
        """
        last = state.failures[-1]
        for failure in state.failures:
            match failure:
                case fleet_retries.MaybeRun(text=text, timed_out=True):
                    return results.refusal(results.DEADLINE_UNKNOWN, text)
                case fleet_retries.MaybeRun(text=text):
                    return results.refusal(results.OUTCOME_UNKNOWN, text)
                case fleet_retries.Failed(status=status):
                    return results.refusal(
                        results.OUTCOME_UNKNOWN, f"target answered {status}"
                    )
                case fleet_retries.NotRun():
                    pass
        match last:
            case fleet_retries.NotRun(
                text=text, refused=refused, rest_ms=rest_ms
            ):
                code = (
                    results.TARGET_REFUSED
                    if refused
                    else results.TARGET_UNREACHABLE
                )
                return self.not_run(
                    state, code, text, max(SHED_RETRY_AFTER_MS, int(rest_ms))
                )
            case _:
                return results.refusal(results.INTERNAL, "no failure")

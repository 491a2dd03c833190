"""Requests that are suspected of ending targets, at one entry host."""

from __future__ import annotations

import asyncio
import typing as ty

from goldcrestproxy.entries import dispatch_refusals
from goldcrestproxy.entries import dispatch_state
from goldcrestproxy.entries import fleet_map
from goldcrestproxy.entries import fleet_request
from goldcrestproxy.entries import refusals
from goldcrestproxy import errors
from goldcrestproxy import results

# A target that reports a failure may have been the second one that ran the
# request; the first may have crashed.
FAILURE_STATUS_MIN: ty.Final = 500


class Suspects:
    """Refuses quarantined requests and reports those that are answered."""

    def __init__(
        self,
        fleet: fleet_map.FleetMap,
        request_refusals: dispatch_refusals.DispatchRefusals,
        clock: ty.Callable[[], float],
    ) -> None:
        """Read crashes and quarantine from the replicated state.

        :param clock: monotonic time in seconds
        """
        self._fleet = fleet
        self._refusals = request_refusals
        self._clock = clock

    async def refuse_quarantined(
        self, state: dispatch_state.DispatchState
    ) -> None:
        """Refuse a request that crashed targets, once its body is read.

        :raises RefusedError: for a quarantined request, or when its body
            does not arrive within the deadline; as not run, unless an
            attempt may have run
        """
        if not self._fleet.quarantined:
            return
        try:
            await self._check_quarantine(state)
        except errors.RefusedError as error:
            if state.may_have_run:
                raise self._refusals.final(state) from error
            raise

    async def _check_quarantine(
        self, state: dispatch_state.DispatchState
    ) -> None:
        try:
            async with asyncio.timeout(state.deadline_s - self._clock()):
                await state.body.read_ahead()
        except TimeoutError:
            raise results.refusal(
                results.DEADLINE_NOT_RUN,
                "the body did not arrive within the deadline",
            ) from None
        if self.is_quarantined(state):
            raise refusals.quarantined(state.fingerprint)

    def is_quarantined(self, state: dispatch_state.DispatchState) -> bool:
        """Whether a request, with the body as read so far, is quarantined."""
        quarantined = self._fleet.quarantined
        return bool(quarantined) and state.fingerprint in quarantined

    def record_answer(
        self,
        state: dispatch_state.DispatchState,
        answer: fleet_request.FleetAnswer,
    ) -> None:
        """Report that a suspected request has not ended its target."""
        if self._fleet.has_suspects and answer.status < FAILURE_STATUS_MIN:
            self._fleet.clear_suspicion(state.fingerprint)

"""Requests that are suspected of ending targets, at one entry host."""

from __future__ import annotations

import asyncio
import logging
import typing as ty

from goldcrestproxy.entries import body_identity
from goldcrestproxy.entries import dispatch_refusals
from goldcrestproxy.entries import dispatch_state
from goldcrestproxy.entries import fleet_map
from goldcrestproxy.entries import fleet_request
from goldcrestproxy.entries import refusals
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy import telemetry

LOG = logging.getLogger(__name__)

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
                await self._read_body(state)
        except TimeoutError:
            raise results.refusal(
                results.DEADLINE_NOT_RUN,
                "the body did not arrive within the deadline",
            ) from None
        fingerprint = state.fingerprint
        if fingerprint is not None and fingerprint in self._fleet.quarantined:
            raise refusals.quarantined(fingerprint)

    async def _read_body(self, state: dispatch_state.DispatchState) -> None:
        """Read as much of the body as tells whether it is quarantined.

        :raises RefusedError: if there is no room for it
        """
        if self._is_undecided(state):
            await state.body.read_ahead()
        if not self._is_undecided(state):
            return
        await state.body.read_ahead_long()
        if self._is_undecided(state):
            raise self._refusals.spread(
                results.OVERLOADED,
                "requests like this one crashed targets, and there is no "
                "room to read its body before it is sent",
                dispatch_refusals.SHED_RETRY_AFTER_MS,
            )

    def _is_undecided(self, state: dispatch_state.DispatchState) -> bool:
        """Whether a request may turn out to be quarantined."""
        match state.body.identity:
            case body_identity.Unread(is_long=is_long):
                length_bytes = state.request.body_bytes
                if (
                    is_long
                    or length_bytes > body_identity.SHORT_BODY_BYTES_MAX
                ):
                    return self._is_family_suspect(state)
                return True
            case _:
                return False

    def _is_family_suspect(self, state: dispatch_state.DispatchState) -> bool:
        """Whether a quarantined request may differ only in its long body."""
        family = state.request.family
        return any(
            fingerprint.startswith(family)
            for fingerprint in self._fleet.quarantined
        )

    def may_send(self, state: dispatch_state.DispatchState) -> bool:
        """Whether a request is not quarantined, right before it is sent.

        False also if too little of its body has been read to tell.
        """
        quarantined = self._fleet.quarantined
        if not quarantined:
            return True
        fingerprint = state.fingerprint
        if fingerprint is None:
            return not self._is_undecided(state)
        return fingerprint not in quarantined

    def record_answer(
        self,
        state: dispatch_state.DispatchState,
        answer: fleet_request.FleetAnswer,
    ) -> None:
        """Report that a suspected request has not ended its target.

        An answer that comes before the body is identified tells nothing.
        """
        if not self._fleet.has_suspects or answer.status >= FAILURE_STATUS_MIN:
            return
        fingerprint = state.fingerprint
        if fingerprint is not None and self._fleet.clear_suspicion(
            fingerprint
        ):
            telemetry.log_event(
                LOG,
                "entries: a suspected request was answered",
                request_id=state.request.request_id,
                fingerprint=fingerprint,
                status=answer.status,
                sent_to=state.sent_to,
            )

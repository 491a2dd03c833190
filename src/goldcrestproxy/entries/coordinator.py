"""The targets that this daemon coordinates."""

from __future__ import annotations

import asyncio
import logging
import typing as ty

from goldcrestproxy import control
from goldcrestproxy.control import clock as clocks
from goldcrestproxy.entries import catalogues
from goldcrestproxy.entries import fingerprints
from goldcrestproxy.entries import held_target
from goldcrestproxy.entries import link as links
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import concurrency
from goldcrestproxy.routing import leases
from goldcrestproxy import settings
from goldcrestproxy import targets
from goldcrestproxy import telemetry
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

HANDOVER_WAIT_S: ty.Final = 0.3
HANDOVER_POLL_S: ty.Final = 0.005
REPORTED_SLOTS_MAX: ty.Final = 256
REPORT_INTERVAL_S: ty.Final = 0.5


class Coordinator:
    """Serves requests for the targets that are assigned to this daemon."""

    def __init__(
        self,
        host_settings: settings.HostSettings,
        link: links.ControlLink,
        catalogue: catalogues.CurrentCatalogue,
        tracing: telemetry.Tracing,
        clock: clocks.Clock = clocks.monotonic,
    ) -> None:
        """Follow the map; targets are taken over as they are assigned."""
        self._link = link
        self._catalogue = catalogue
        self._tracing = tracing
        self._clock = clock
        self._host = host_settings.host
        self._times = targets.AgentTimes(
            renewal_ms=host_settings.timeouts.renewal_ms,
            terms=leases.LeaseTerms(
                lease_s=host_settings.timeouts.grant_ms / 1000,
                drift_parts_per_million=(
                    host_settings.timeouts.drift_parts_per_million
                ),
            ),
        )
        self._held: dict[str, held_target.HeldTarget] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._read_s = clock()
        self.serving = 0
        link.listen(self.reconcile)
        link.read_loads = self.read_loads

    @property
    def held_targets(self) -> list[str]:
        """Names of the targets that are coordinated here."""
        return sorted(self._held)

    def reconcile(self) -> None:
        """Take over and give up targets as the map says."""
        state = self._link.state
        assigned = {
            target.target: target
            for target in state.targets.values()
            if target.session == self._link.session
        }
        for name, held in list(self._held.items()):
            record = assigned.get(name)
            if record is None or not _same(record, held):
                del self._held[name]
                self._spawn(self._let_go(held, record))
        for name, record in assigned.items():
            held = self._held.get(name)
            if held is None:
                held = self._take_over(record)
            elif record.revoking and not held.handing_over:
                held.handing_over = True
                self._spawn(self._hand_over(held))
            if not state.may_take_work(record):
                held.admission.refuse_all(
                    results.NO_TARGET, f"{name} takes no new work"
                )
            held.agent.on_map_change()

    async def serve(self, exchange: wire.Exchange) -> None:
        """Answer an exchange of this or another entry host."""
        request = exchange.request
        deadline_s = self._clock() + request.deadline_ms / 1000
        self.serving += 1
        try:
            with self._tracing.hop("coordinator", request.trace_parent) as hop:
                request.trace_parent = hop.trace_parent
                hop.note("goldcrestproxy.target", request.target)
                await self._serve(exchange, deadline_s)
        except errors.RefusedError as error:
            self._refuse(exchange, error)
        except errors.GoldcrestProxyError as error:
            exchange.fail(error)
        except Exception as error:
            LOG.exception("entries: request %s failed", request.request_id)
            exchange.fail(errors.GoldcrestProxyError(str(error)))
        finally:
            self.serving -= 1

    def read_loads(self) -> list[wire.ttypes.TargetLoad]:
        """Return what was measured, at most twice a second."""
        elapsed_s = self._clock() - self._read_s
        if elapsed_s < REPORT_INTERVAL_S:
            return []
        self._read_s = self._clock()
        return [_load_of(held, elapsed_s) for held in self._held.values()]

    async def _serve(self, exchange: wire.Exchange, deadline_s: float) -> None:
        request = exchange.request
        held = self._held.get(request.target)
        if held is None:
            raise results.refusal(
                results.WRONG_COORDINATOR,
                f"{request.target} is not coordinated by {self._host}",
            )
        fingerprint = fingerprints.of_relayed(request)
        suspicion = self._link.state.quarantine
        if suspicion.is_quarantined(fingerprint):
            raise results.refusal(
                results.QUARANTINED,
                f"requests like this one ({fingerprint}) crashed targets",
            )
        await held.serve(exchange, fingerprint, deadline_s)
        if fingerprint in suspicion.crashes:
            # It ended well, so it was not what crashed the target.
            self._spawn(
                self._propose(
                    control.ReleaseQuarantine(fingerprint=fingerprint)
                )
            )

    def _refuse(
        self, exchange: wire.Exchange, error: errors.RefusedError
    ) -> None:
        exchange.answer(
            wire.ttypes.RelayResponse(
                code=error.code,
                status=0,
                headers=[],
                body_bytes=0,
                text=error.text,
                map_index=self._link.state.applied_index,
                retry_after_ms=error.retry_after_ms,
                backlog_requests=0,
            )
        )
        exchange.response_body.finish()

    def _take_over(
        self, record: control.TargetRecord
    ) -> held_target.HeldTarget:
        desk = self._catalogue.desk(record.desk)
        held = held_target.HeldTarget(
            record,
            self._link,
            self._times,
            concurrency.ConcurrencyLimit(
                slots=record.slots,
                cold_concurrency=desk.cold_concurrency if desk else 1,
                found_warm=record.warm,
            ),
            desk.queue_requests_max if desk else 0,
            self._clock,
            self._host,
        )
        LOG.info("entries: coordinates %s", record.target)
        self._held[record.target] = held
        held.start()
        return held

    async def _let_go(
        self,
        held: held_target.HeldTarget,
        record: control.TargetRecord | None,
    ) -> None:
        """Stop coordinating; report a crash when the target restarted."""
        LOG.info("entries: coordinates %s no more", held.target)
        if record is not None and record.incarnation != held.incarnation:
            await held.report_crash()
        await held.stop()

    async def _hand_over(self, held: held_target.HeldTarget) -> None:
        """Let work in flight end, stop, and give the target up."""
        held.admission.refuse_all(
            results.WRONG_COORDINATOR, "the coordinator is changing"
        )
        give_up_s = self._clock() + HANDOVER_WAIT_S
        while held.in_flight.total() and self._clock() < give_up_s:
            await asyncio.sleep(HANDOVER_POLL_S)
        await held.stop_orders()
        await self._propose(
            control.ReleaseCoordinators(
                host=self._host,
                session=self._link.session,
                targets=(held.target,),
            )
        )

    async def _propose(self, command: control.Command) -> None:
        try:
            await self._link.propose(command)
        except errors.RefusedError as error:
            LOG.warning("entries: %s", error)

    def _spawn(self, work: ty.Coroutine[ty.Any, ty.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _same(record: control.TargetRecord, held: held_target.HeldTarget) -> bool:
    return (
        record.incarnation == held.incarnation and record.epoch == held.epoch
    )


def _load_of(
    held: held_target.HeldTarget, elapsed_s: float
) -> wire.ttypes.TargetLoad:
    rates = held.slot_rates.read(elapsed_s)
    busiest = sorted(rates.items(), key=lambda item: -item[1])
    return wire.ttypes.TargetLoad(
        target=held.target,
        cold=held.limit.cold,
        incarnation=held.incarnation,
        partitions=_key_loads(busiest[:REPORTED_SLOTS_MAX]),
        hot_keys=_key_loads(held.hot_keys.read(elapsed_s).items()),
    )


def _key_loads(
    rates: ty.Iterable[tuple[int, float]],
) -> list[wire.ttypes.KeyLoad]:
    return [
        wire.ttypes.KeyLoad(key=number, rate_per_s=rate)
        for number, rate in rates
    ]

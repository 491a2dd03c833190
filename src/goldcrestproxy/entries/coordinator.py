"""Coordination of the targets that are assigned to this daemon."""

from __future__ import annotations

import asyncio
import logging
import typing as ty

from goldcrestproxy import control
from goldcrestproxy.control import clock as clocks
from goldcrestproxy.entries import active_configuration
from goldcrestproxy.entries import control_link
from goldcrestproxy.entries import coordinated_target
from goldcrestproxy.entries import fingerprints
from goldcrestproxy.entries import refusals
from goldcrestproxy.entries import relay_headers
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
    """Serves the requests for the targets assigned to this daemon.

    Requests come from this and other entry hosts.
    """

    def __init__(
        self,
        host_settings: settings.HostSettings,
        link: control_link.ControlLink,
        configuration: active_configuration.ActiveConfiguration,
        tracing: telemetry.Tracing,
        clock: clocks.Clock = clocks.monotonic,
    ) -> None:
        """Create a coordinator that follows the assignments in the state.

        :param clock: monotonic time in seconds
        """
        self._link = link
        self._active_configuration = configuration
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
        self._targets: dict[str, coordinated_target.CoordinatedTarget] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._loads_read_s = clock()
        self.running_requests = 0
        link.add_listener(self.reconcile)
        link.read_loads = self.read_loads

    @property
    def coordinated_targets(self) -> list[str]:
        """Sorted names of the targets that this daemon coordinates."""
        return sorted(self._targets)

    def reconcile(self) -> None:
        """Start and stop coordinating targets as the state assigns them."""
        state = self._link.state
        assigned = {
            target.target: target
            for target in state.targets.values()
            if target.session == self._link.session
        }
        for name, coordinated in list(self._targets.items()):
            record = assigned.get(name)
            if record is None or not _is_same_assignment(record, coordinated):
                del self._targets[name]
                self._spawn(self._stop_coordinating(coordinated, record))
        for name, record in assigned.items():
            coordinated = self._targets.get(name)
            if coordinated is None:
                coordinated = self._start_coordinating(record)
            elif record.revoking and not coordinated.handing_over:
                coordinated.handing_over = True
                self._spawn(self._hand_over(coordinated))
            if not state.may_take_work(record):
                coordinated.admission.refuse_all(
                    results.NO_TARGET, f"{name} takes no new work"
                )
            coordinated.agent.on_map_change()

    async def serve(self, exchange: wire.Exchange) -> None:
        """Answer an exchange of this or another entry host."""
        request = exchange.request
        deadline_s = self._clock() + request.deadline_ms / 1000
        self.running_requests += 1
        try:
            with self._tracing.start_span(
                "coordinator", request.trace_parent
            ) as span:
                request.trace_parent = span.trace_parent
                span.set_attribute("goldcrestproxy.target", request.target)
                await self._serve(exchange, deadline_s)
        except errors.RefusedError as error:
            self._refuse(exchange, error)
        except errors.GoldcrestProxyError as error:
            exchange.fail(error)
        except Exception as error:
            LOG.exception("entries: request %s failed", request.request_id)
            exchange.fail(errors.GoldcrestProxyError(str(error)))
        finally:
            self.running_requests -= 1

    def read_loads(self) -> list[wire.ttypes.TargetLoad]:
        """Return the load of each target since the last reading.

        Returns nothing within ``REPORT_INTERVAL_S`` of the last reading.
        """
        elapsed_s = self._clock() - self._loads_read_s
        if elapsed_s < REPORT_INTERVAL_S:
            return []
        self._loads_read_s = self._clock()
        return [
            _load_of(coordinated, elapsed_s)
            for coordinated in self._targets.values()
        ]

    async def _serve(self, exchange: wire.Exchange, deadline_s: float) -> None:
        request = exchange.request
        coordinated = self._targets.get(request.target)
        if coordinated is None:
            raise results.refusal(
                results.WRONG_COORDINATOR,
                f"{request.target} is not coordinated by {self._host}",
            )
        fingerprint = fingerprints.of_relayed(request)
        if self._link.state.quarantine.is_quarantined(fingerprint):
            raise refusals.quarantined(fingerprint)
        answered = await coordinated.serve(exchange, fingerprint, deadline_s)
        if (
            answered
            and fingerprint is not None
            and fingerprint in self._link.state.quarantine.crashes
        ):
            # The request was answered, so it did not cause the crashes.
            self._spawn(
                self._propose(
                    control.ReleaseQuarantine(fingerprint=fingerprint)
                )
            )

    def _refuse(
        self, exchange: wire.Exchange, error: errors.RefusedError
    ) -> None:
        exchange.set_response(
            relay_headers.refusal_head(
                error, map_index=self._link.state.applied_index
            )
        )
        exchange.response_body.finish()

    def _start_coordinating(
        self, record: control.TargetRecord
    ) -> coordinated_target.CoordinatedTarget:
        desk = self._active_configuration.desk(record.desk)
        coordinated = coordinated_target.CoordinatedTarget(
            record,
            self._link,
            self._times,
            concurrency.ConcurrencyLimit(
                slots=record.slots,
                cold_concurrency=desk.cold_concurrency if desk else 1,
                previously_warm=record.warm,
            ),
            desk.queue_requests_max if desk else 0,
            self._clock,
            self._host,
        )
        LOG.info("entries: coordinating %s", record.target)
        self._targets[record.target] = coordinated
        coordinated.start()
        return coordinated

    async def _stop_coordinating(
        self,
        coordinated: coordinated_target.CoordinatedTarget,
        record: control.TargetRecord | None,
    ) -> None:
        """Stop coordinating; report a crash if the target has restarted."""
        LOG.info("entries: stopped coordinating %s", coordinated.target)
        if (
            record is not None
            and record.incarnation != coordinated.incarnation
        ):
            await coordinated.report_crash()
        await coordinated.stop()

    async def _hand_over(
        self, coordinated: coordinated_target.CoordinatedTarget
    ) -> None:
        """Refuse new requests, wait for those in flight, release the target.

        The wait is limited to ``HANDOVER_WAIT_S``.
        """
        coordinated.admission.refuse_all(
            results.WRONG_COORDINATOR, "the coordinator is changing"
        )
        wait_until_s = self._clock() + HANDOVER_WAIT_S
        while coordinated.in_flight.total() and self._clock() < wait_until_s:
            await asyncio.sleep(HANDOVER_POLL_S)
        await coordinated.stop_orders()
        await self._propose(
            control.ReleaseCoordinators(
                host=self._host,
                session=self._link.session,
                targets=(coordinated.target,),
            )
        )

    async def _propose(self, command: control.Command) -> None:
        try:
            await self._link.propose(command)
        except errors.RefusedError as error:
            LOG.warning("entries: proposal failed: %s", error)

    def _spawn(self, work: ty.Coroutine[ty.Any, ty.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _is_same_assignment(
    record: control.TargetRecord,
    coordinated: coordinated_target.CoordinatedTarget,
) -> bool:
    return (
        record.incarnation == coordinated.incarnation
        and record.epoch == coordinated.epoch
    )


def _load_of(
    coordinated: coordinated_target.CoordinatedTarget, elapsed_s: float
) -> wire.ttypes.TargetLoad:
    rates = coordinated.slot_rates.read(elapsed_s)
    busiest = sorted(rates.items(), key=lambda item: -item[1])
    return wire.ttypes.TargetLoad(
        target=coordinated.target,
        cold=coordinated.limit.cold,
        incarnation=coordinated.incarnation,
        partitions=_key_loads(busiest[:REPORTED_SLOTS_MAX]),
        hot_keys=_key_loads(coordinated.hot_keys.read(elapsed_s).items()),
    )


def _key_loads(
    rates: ty.Iterable[tuple[int, float]],
) -> list[wire.ttypes.KeyLoad]:
    return [
        wire.ttypes.KeyLoad(key=number, rate_per_s=rate)
        for number, rate in rates
    ]

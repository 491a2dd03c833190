"""Detection of lost and crashed targets, and release of their keys."""

from __future__ import annotations

import logging
import typing as ty

from goldcrestproxy.control import broken_runs
from goldcrestproxy.control import clock as clocks
from goldcrestproxy.control import commands
from goldcrestproxy.control import replica as replicas
from goldcrestproxy.control import target_views
from goldcrestproxy import registry
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

# Consecutive missed heartbeats after which a target counts as lost.
MISSED_HEARTBEATS_MAX: ty.Final = 3


class TargetLosses:
    """Detect lost targets, expired holds and crashes for one term."""

    def __init__(
        self,
        replica: replicas.Replica,
        views: target_views.TargetViews,
        heartbeat_s: float,
    ) -> None:
        """Create a detector for a replica's registered targets.

        :param heartbeat_s: interval at which targets send heartbeats
        """
        self._replica = replica
        self._views = views
        self._heartbeat_s = heartbeat_s
        self._broken_runs = broken_runs.BrokenRuns()
        self._cleared: set[str] = set()
        # Processes of targets whose answers said that they leave.
        self._leaving: set[tuple[str, int]] = set()

    @property
    def _registry(self) -> registry.RegistryState:
        return self._replica.state.registry

    def observe(self, report: wire.ttypes.WatchRequest) -> None:
        """Record the broken and cleared runs reported by an entry host."""
        now_s = self._replica.clock()
        for run in report.broken or ():
            self._broken_runs.record(
                run.target, run.incarnation, run.fingerprint, now_s
            )
        self._cleared.update(report.cleared or ())
        self._leaving.update(
            (process.target, process.incarnation)
            for process in report.leaving or ()
        )

    def due_commands(self, now_s: float) -> list[commands.Command]:
        """Return the commands due for losses, ended holds and answers."""
        return [
            *self._lost_targets(now_s),
            *self._crash_reports(),
            *self._ended_holds(now_s),
            *self._releases(),
            *self._leaving_targets(),
        ]

    def _releases(self) -> list[commands.Command]:
        """Release requests that a target has answered since a crash."""
        cleared, self._cleared = self._cleared, set()
        return [
            commands.ReleaseQuarantine(fingerprint=fingerprint)
            for fingerprint in sorted(cleared)
            if fingerprint in self._replica.state.quarantine.crashes
        ]

    def _leaving_targets(self) -> list[commands.Command]:
        """Register as leaving the targets whose answers say so."""
        proposals: list[commands.Command] = []
        for name, incarnation in sorted(self._leaving):
            target = self._registry.targets.get(name)
            if target is None or target.incarnation != incarnation:
                self._leaving.discard((name, incarnation))
            elif target.accepts_work:
                LOG.info("registry: an answer of %s says that it leaves", name)
                proposals.append(
                    registry.RegisterTarget(
                        target=name,
                        incarnation=incarnation,
                        service=target.service,
                        zone=target.zone,
                        address=target.address,
                        slots=target.slots,
                        leaving=True,
                        cold_ms=target.cold_ms,
                    )
                )
        return proposals

    def crashes_implied_by(
        self, registration: registry.RegisterTarget
    ) -> list[commands.Command]:
        """Return crash reports for the processes that a new one replaces.

        A newer incarnation of a target, or a newer process at its address,
        implies that the old process has ended. Leaving targets are excluded.
        """
        for registered in self._registry.targets.values():
            same = registration.target == registered.target
            if not same and registration.address != registered.address:
                continue
            if (
                registered.incarnation < registration.incarnation
                and not registered.leaving
            ):
                self._record_crash(registered)
        return self._crash_reports()

    def _record_crash(self, registered: registry.RegisteredTarget) -> None:
        self._broken_runs.record_crash(
            registered.target, registered.incarnation, self._replica.clock()
        )

    def _crash_reports(self) -> list[commands.Command]:
        """Return reports of the requests that ran when targets crashed."""
        proposals: list[commands.Command] = []
        crashes = self._broken_runs.pop_crashes(self._replica.clock())
        for (target, incarnation), fingerprints in crashes.items():
            if not fingerprints:
                continue
            LOG.info(
                "registry: target %s, incarnation %d, crashed while running "
                "%s",
                target,
                incarnation,
                ",".join(fingerprints),
            )
            proposals.append(
                commands.ReportCrash(
                    target=target,
                    incarnation=str(incarnation),
                    fingerprints=fingerprints,
                    time_s=clocks.wall_s(),
                    crashes_needed=broken_runs.CRASHES_TO_QUARANTINE,
                )
            )
        return proposals

    def _lost_targets(self, now_s: float) -> list[commands.Command]:
        silence_s_max = self._heartbeat_s * MISSED_HEARTBEATS_MAX
        proposals: list[commands.Command] = []
        for target in self._registry.targets.values():
            view = self._views.get(target.target)
            if target.lost or view is None:
                continue
            silent_s = now_s - view.last_heartbeat_s
            if silent_s > silence_s_max:
                LOG.warning(
                    "registry: target %s lost, no heartbeat for %d ms",
                    target.target,
                    silent_s * 1000,
                )
                proposals.append(
                    registry.LoseTarget(
                        target=target.target,
                        incarnation=target.incarnation,
                        gone=False,
                    )
                )
                self._record_crash(target)
        self._broken_runs.evict_expired(now_s)
        return proposals

    def _ended_holds(self, now_s: float) -> list[commands.Command]:
        """Free the blocks of lost targets whose hold has expired."""
        proposals: list[commands.Command] = []
        for service, keyspace in self._registry.keyspaces.items():
            for target in self._registry.targets_of(service):
                view = self._views.get(target.target)
                if not target.lost or view is None:
                    continue
                owned = keyspace.owned_by(target.target)
                if not owned or now_s < view.hold_end_s:
                    continue
                LOG.info(
                    "registry: hold of %s expired, freeing %d blocks",
                    target.target,
                    len(owned),
                )
                proposals.append(
                    registry.FreeBlocks(
                        service=service,
                        target=target.target,
                        incarnation=target.incarnation,
                        freed=tuple(
                            registry.FreedBlock(first_key=first)
                            for first in owned
                        ),
                    )
                )
        return proposals

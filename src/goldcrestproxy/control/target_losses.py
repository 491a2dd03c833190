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

    def due_commands(self) -> list[commands.Command]:
        """Return the commands due for quarantined requests."""
        return [*self._crash_reports(), *self._releases()]

    def due_targets(self, now_s: float) -> list[str]:
        """Return the targets about which a command is due."""
        return [
            target.target
            for target in self._registry.targets.values()
            if self._is_silent(target, now_s)
            or self._has_ended_hold(target, now_s)
            or self._says_it_leaves(target)
        ]

    def due_command(self, name: str, now_s: float) -> commands.Command | None:
        """Return the command that is due about a target, if any.

        The caller holds the target's lock until the command is applied:
        otherwise the target may be granted what is about to be freed.
        """
        target = self._registry.targets.get(name)
        if target is None:
            return None
        if self._is_silent(target, now_s):
            return self._lose(target, now_s)
        if self._has_ended_hold(target, now_s):
            return self._free_keys(target)
        if self._says_it_leaves(target):
            return self._register_as_leaving(target)
        return None

    def evict_expired(self, now_s: float) -> None:
        """Forget old reports of broken runs and ended processes."""
        self._broken_runs.evict_expired(now_s)
        self._leaving = {
            (name, incarnation)
            for name, incarnation in self._leaving
            if (target := self._registry.targets.get(name)) is not None
            and target.incarnation == incarnation
        }

    def _releases(self) -> list[commands.Command]:
        """Release requests that a target has answered since a crash."""
        cleared, self._cleared = self._cleared, set()
        return [
            commands.ReleaseQuarantine(fingerprint=fingerprint)
            for fingerprint in sorted(cleared)
            if fingerprint in self._replica.state.quarantine.crashes
        ]

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

    def _is_silent(
        self, target: registry.RegisteredTarget, now_s: float
    ) -> bool:
        """Whether a target that is not lost has missed its heartbeats."""
        view = self._views.get(target.target)
        if target.lost or view is None:
            return False
        silence_s_max = self._heartbeat_s * MISSED_HEARTBEATS_MAX
        return now_s - view.last_heartbeat_s > silence_s_max

    def _lose(
        self, target: registry.RegisteredTarget, now_s: float
    ) -> commands.Command:
        silent_s = now_s - self._views[target.target].last_heartbeat_s
        LOG.warning(
            "registry: target %s lost, no heartbeat for %d ms",
            target.target,
            silent_s * 1000,
        )
        self._record_crash(target)
        return registry.LoseTarget(
            target=target.target,
            incarnation=target.incarnation,
            gone=False,
        )

    def _owned(self, target: registry.RegisteredTarget) -> list[int]:
        keyspace = self._registry.keyspaces.get(target.service)
        return keyspace.owned_by(target.target) if keyspace else []

    def _has_ended_hold(
        self, target: registry.RegisteredTarget, now_s: float
    ) -> bool:
        """Whether a lost target owns keys that it no longer holds."""
        if not target.lost:
            return False
        view = self._views.get(target.target)
        return (
            view is not None
            and now_s >= view.hold_end_s
            and bool(self._owned(target))
        )

    def _free_keys(
        self, target: registry.RegisteredTarget
    ) -> commands.Command:
        owned = self._owned(target)
        LOG.info(
            "registry: hold of %s expired, freeing %d blocks",
            target.target,
            len(owned),
        )
        return registry.FreeBlocks(
            service=target.service,
            target=target.target,
            incarnation=target.incarnation,
            freed=tuple(
                registry.FreedBlock(first_key=first) for first in owned
            ),
        )

    def _says_it_leaves(self, target: registry.RegisteredTarget) -> bool:
        """Whether answers of a target in service say that it leaves."""
        if not self._leaving:
            return False
        process = (target.target, target.incarnation)
        return target.accepts_work and process in self._leaving

    def _register_as_leaving(
        self, target: registry.RegisteredTarget
    ) -> commands.Command:
        LOG.info(
            "registry: an answer of %s says that it leaves", target.target
        )
        return registry.RegisterTarget(
            target=target.target,
            incarnation=target.incarnation,
            service=target.service,
            zone=target.zone,
            address=target.address,
            slots=target.slots,
            leaving=True,
            cold_ms=target.cold_ms,
        )

"""Targets that fall silent or crash, and what becomes of their keys."""

from __future__ import annotations

import logging
import typing as ty

from goldcrestproxy.control import clock as clocks
from goldcrestproxy.control import commands
from goldcrestproxy.control import replica as replicas
from goldcrestproxy.control import suspects
from goldcrestproxy.control import target_views
from goldcrestproxy import registry
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

# Heartbeats that a target may miss before it counts as lost.
MISSED_HEARTBEATS_MAX: ty.Final = 3


class TargetLosses:
    """Finds lost targets, ended holds and crashes, for one term."""

    def __init__(
        self,
        replica: replicas.Replica,
        views: target_views.TargetViews,
        heartbeat_s: float,
    ) -> None:
        """Judge by the replicated state and when targets were heard."""
        self._replica = replica
        self._views = views
        self._heartbeat_s = heartbeat_s
        self._suspects = suspects.Suspects()

    @property
    def _registry(self) -> registry.RegistryState:
        return self._replica.state.registry

    def observe(self, report: wire.ttypes.WatchRequest) -> None:
        """Take which runs broke off with their targets."""
        now_s = self._replica.clock()
        for run in report.broken or ():
            self._suspects.broke_off(
                run.target, run.incarnation, run.fingerprint, now_s
            )

    def due(self, now_s: float) -> list[commands.Command]:
        """Return what follows from silence by now."""
        return [*self._lost_targets(now_s), *self._ended_holds(now_s)]

    def crashes_before(
        self, wanted: registry.RegisterTarget
    ) -> list[commands.Command]:
        """Report the processes that a new one shows to be over."""
        found: list[commands.Command] = []
        for known in self._registry.targets.values():
            same = wanted.target == known.target
            if not same and wanted.address != known.address:
                continue
            if known.incarnation < wanted.incarnation and not known.leaving:
                found.extend(self._crash(known))
        return found

    def _crash(
        self, known: registry.RegisteredTarget
    ) -> list[commands.Command]:
        """Report which requests a target was running when it crashed."""
        fingerprints = self._suspects.crashed(
            known.target, known.incarnation, self._replica.clock()
        )
        if not fingerprints:
            return []
        LOG.info(
            "registry: target %s, incarnation %d, crashed; it ran %s",
            known.target,
            known.incarnation,
            ",".join(fingerprints),
        )
        return [
            commands.ReportCrash(
                target=known.target,
                incarnation=str(known.incarnation),
                fingerprints=fingerprints,
                time_s=clocks.wall_s(),
                crashes_needed=suspects.CRASHES_NEEDED,
            )
        ]

    def _lost_targets(self, now_s: float) -> list[commands.Command]:
        patience_s = self._heartbeat_s * MISSED_HEARTBEATS_MAX
        found: list[commands.Command] = []
        for target in self._registry.targets.values():
            view = self._views.get(target.target)
            if target.lost or view is None:
                continue
            silent_s = now_s - view.heard_s
            if silent_s > patience_s:
                LOG.warning(
                    "registry: lost target %s, silent for %d ms",
                    target.target,
                    silent_s * 1000,
                )
                found.append(
                    registry.LoseTarget(
                        target=target.target,
                        incarnation=target.incarnation,
                        gone=False,
                    )
                )
                found.extend(self._crash(target))
        self._suspects.forget_old(now_s)
        return found

    def _ended_holds(self, now_s: float) -> list[commands.Command]:
        """Free what lost targets owned, once their hold has run out."""
        found: list[commands.Command] = []
        for service, space in self._registry.keyspaces.items():
            for target in self._registry.targets_of(service):
                view = self._views.get(target.target)
                if not target.lost or view is None:
                    continue
                owned = space.owned_by(target.target)
                if not owned or now_s < view.hold_over_s:
                    continue
                LOG.info(
                    "registry: hold of %s is over, frees %d blocks",
                    target.target,
                    len(owned),
                )
                found.append(
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
        return found

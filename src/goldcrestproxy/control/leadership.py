"""Tasks of the control leader for daemons: leases, plans and feeds."""

from __future__ import annotations

import asyncio
import logging
import typing as ty

from goldcrestproxy.control import build_levels
from goldcrestproxy.control import clock as clocks
from goldcrestproxy.control import commands
from goldcrestproxy.control import entry_directory
from goldcrestproxy.control import feed
from goldcrestproxy.control import formation
from goldcrestproxy.control import membership_manager
from goldcrestproxy.control import planner
from goldcrestproxy.control import registrar as registrars
from goldcrestproxy.control import replica as replicas
from goldcrestproxy.control import replication as replications
from goldcrestproxy.control import sessions
from goldcrestproxy import errors
from goldcrestproxy.routing import leases
from goldcrestproxy.routing import unreached_targets
from goldcrestproxy import settings
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

# Interval of the checks for expired leases and for due plans.
PLAN_POLL_INTERVAL_MS: ty.Final = 40
# A plan is made after each change of the map, and at this interval to take
# new measurements into account.
PLAN_INTERVAL_S: ty.Final = 0.5
CLAIM_RETENTION_S: ty.Final = 24 * 3600.0
LOST_TARGET_RETENTION_S: ty.Final = 3600.0
SWEEP_INTERVAL_S: ty.Final = 60.0
# Followers report their entry hosts more often than this. After a change of
# leader, the count is unknown for as long.
ENTRY_HOST_COUNT_WINDOW_S: ty.Final = 2.0


class Leadership:
    """One term of leadership on this replica."""

    def __init__(
        self,
        replica: replicas.Replica,
        replication: replications.Replication,
        timeouts: settings.Timeouts,
        feeder: feed.Feeder,
        registrar_settings: registrars.RegistrarSettings | None = None,
        directory: entry_directory.EntryDirectory | None = None,
        *,
        losses_tolerated: int | None = None,
    ) -> None:
        """Bind to a replica that has just won an election.

        :param feeder: feeds the daemons that send requests to this host
        :param registrar_settings: None where targets are coordinated and do
            not register themselves
        :param directory: the entry hosts that this control host knows
        :param losses_tolerated: number of control hosts that may be lost at
            once; None where operators replace them
        """
        self._replica = replica
        self._directory = directory or entry_directory.EntryDirectory()
        self.membership_manager = membership_manager.MembershipManager(
            replica,
            replication,
            losses_tolerated=losses_tolerated,
        )
        self.registrar = (
            registrars.Registrar(
                replica,
                replication,
                registrar_settings,
                build_level=self._lowest_build_level,
            )
            if registrar_settings is not None
            else None
        )
        self._feeder = feeder
        # Entry hosts fed by each follower, and the time of its last report.
        self._relayed_watchers: dict[str, tuple[int, float]] = {}
        # What their builds understand, as far as followers say.
        self._relayed_levels: dict[str, int | None] = {}
        self._started_s = replica.clock()
        self._replication = replication
        self._lease_timing = leases.LeaseTerms(
            lease_s=timeouts.lease_ms / 1000,
            drift_parts_per_million=timeouts.drift_parts_per_million,
        )
        self._lease_ms = timeouts.lease_ms
        self._inherited_leases_assumed = False
        self._last_sweep_s = clocks.wall_s()
        # Sessions whose end is proposed but not applied yet.
        self._ending_sessions: set[str] = set()
        self._lost_since_s: dict[str, float] = {}
        self._unreached_targets = unreached_targets.UnreachedTargets()
        self._last_plan_inputs: object = None
        self._last_plan_s = 0.0
        self.sessions = sessions.Sessions()

    async def run(self) -> None:
        """Run the leader's tasks until the term is over."""
        replicating = asyncio.create_task(self._replication.run())
        planning = (
            self._run_planner()
            if self.registrar is None
            else self.registrar.run()
        )
        tasks = [
            asyncio.create_task(planning),
            asyncio.create_task(self.membership_manager.run()),
        ]
        try:
            await replicating
        finally:
            self.membership_manager.close()
            for task in tasks:
                task.cancel()

    def watch(
        self, channel: wire.Channel, request: wire.ttypes.WatchRequest
    ) -> wire.ttypes.WatchReply:
        """Answer a watch request of a daemon without a lease.

        A follower sends such requests too, with the aggregated reports of
        the daemons that it feeds.
        """
        leading = self._replication.has_leader_lease()
        now_s = self._replica.clock()
        entry_hosts = None
        if request.relayed_watchers is not None:
            self._directory.merge(request.entry_host_list)
            entry_hosts = self._directory.known()
            self._relayed_watchers[request.host] = (
                request.relayed_watchers,
                now_s,
            )
            self._relayed_levels[request.host] = request.build_level
        elif leading:
            self._feeder.feed(
                channel,
                request.applied_index,
                entry=bool(request.entry),
                takes_parts=bool(request.takes_parts),
                build_level=request.build_level,
            )
            self._directory.record(request)
            entry_hosts = self._directory.neighbours(request)
        limits = None
        if leading and self.registrar is not None:
            self.registrar.observe(request)
            limits = self.registrar.target_limits()
        return wire.ttypes.WatchReply(
            serving=leading,
            leader_address="",
            leader_peer_port=0,
            entry_hosts=self._entry_hosts(now_s),
            map_index=self._replica.state.map_index,
            limits=limits,
            entry_host_list=entry_hosts,
            binding_index=self._replica.state.binding_index,
            binding_age_ms=0 if leading else None,
        )

    def permit(
        self, request: wire.ttypes.PermitRequest
    ) -> wire.ttypes.PermitReply:
        """Decide whether an entry host may send a request to a target.

        :raises RefusedError: while another leader may decide
        """
        if self.registrar is None or not self._replication.has_leader_lease():
            raise formation.no_leader_refusal(self._replica)
        hosts = self._entry_hosts(self._replica.clock())
        return self.registrar.permit(request, hosts)

    def quota(
        self, request: wire.ttypes.QuotaRequest
    ) -> wire.ttypes.QuotaReply:
        """Answer an entry host that asks for tokens of quotas.

        :raises RefusedError: while another leader may decide
        """
        if self.registrar is None or not self._replication.has_leader_lease():
            raise formation.no_leader_refusal(self._replica)
        return self.registrar.quotas.serve(request)

    def _lowest_build_level(self) -> int:
        """Return what all control hosts and entry hosts in touch understand.

        Followers without entry hosts say nothing of builds.
        """
        now_s = self._replica.clock()
        relayed = [
            self._relayed_levels.get(host)
            for host, (watchers, reported_s) in self._relayed_watchers.items()
            if watchers and now_s < reported_s + ENTRY_HOST_COUNT_WINDOW_S
        ]
        return build_levels.lowest(
            [
                *relayed,
                self._feeder.lowest_build_level(),
                self._replication.lowest_build_level(),
            ]
        )

    def _entry_hosts(self, now_s: float) -> int:
        """Return the number of entry hosts, 0 while it is unknown."""
        if now_s < self._started_s + ENTRY_HOST_COUNT_WINDOW_S:
            return 0
        relayed = sum(
            watchers
            for watchers, reported_s in self._relayed_watchers.values()
            if now_s < reported_s + ENTRY_HOST_COUNT_WINDOW_S
        )
        return self._feeder.entry_hosts + relayed

    def renew(
        self, channel: wire.Channel, request: wire.ttypes.RenewRequest
    ) -> wire.ttypes.RenewReply:
        """Renew a daemon's lease if no other leader can exist."""
        host = self._replica.host
        if not self._replication.has_leader_lease():
            return wire.ttypes.RenewReply(
                granted=False, lease_ms=0, leader_host=host
            )
        self._assume_inherited_leases()
        now_s = self._replica.clock()
        session = self.sessions.record_report(request, channel, now_s)
        self._feeder.feed(
            channel,
            request.applied_index,
            entry=False,
            takes_parts=bool(request.takes_parts),
        )
        if not self._may_renew(request):
            return wire.ttypes.RenewReply(
                granted=False, lease_ms=0, leader_host=host
            )
        if session.is_stale(self._replica.state.map_index, now_s):
            LOG.warning(
                "control: map of %s is stale; lease refused", request.host
            )
            return wire.ttypes.RenewReply(
                granted=False, lease_ms=0, leader_host=host
            )
        lease_end_s = self._lease_timing.grantor_expiry_s(now_s)
        session.lease_end_s = max(session.lease_end_s, lease_end_s)
        session.leased = True
        return wire.ttypes.RenewReply(
            granted=True, lease_ms=self._lease_ms, leader_host=host
        )

    def _may_renew(self, request: wire.ttypes.RenewRequest) -> bool:
        """Return whether the daemon has applied every end of its session.

        Otherwise a lease would let it coordinate targets by its old map
        while another daemon coordinates them.
        """
        if request.session in self._ending_sessions:
            return False
        return self._replica.state.has_applied_end_of(
            request.session, request.applied_index
        )

    def check_current(self) -> None:
        """Check that no newer leader can exist.

        :raises NotLeaderError: when one may, so this state may be stale
        """
        if not self._replication.has_leader_lease():
            raise errors.NotLeaderError("")

    @property
    def replication(self) -> replications.Replication:
        """Log replication of this term."""
        return self._replication

    def _assume_inherited_leases(self) -> None:
        """Assume a full lease for each session that the state names.

        It starts when this leader can first grant leases; every lease that
        an earlier leader granted ends within it.
        """
        if self._inherited_leases_assumed:
            return
        self._inherited_leases_assumed = True
        lease_end_s = self._lease_timing.grantor_expiry_s(
            self._replica.clock()
        )
        state = self._replica.state
        self.sessions.assume_leases(state.targets.values(), lease_end_s)
        self.sessions.assume_leases(state.claims.unsettled(), lease_end_s)

    async def _run_planner(self) -> None:
        """Propose due commands, at each poll and after each commit."""
        while self._replication.leading:
            if self._replication.has_leader_lease():
                try:
                    await self._propose_due()
                except (errors.NotLeaderError, errors.ProposalLostError):
                    return
                except Exception:
                    LOG.exception("control: planning failed; continuing")
            await self._replica.wait_change(PLAN_POLL_INTERVAL_MS / 1000)

    async def _propose_due(self) -> None:
        self._assume_inherited_leases()
        due: list[commands.Command] = []
        for session in self.sessions.expired(self._replica.clock()):
            LOG.warning("control: lease of %s expired", session.host)
            due.append(
                commands.EndSession(host=session.host, session=session.session)
            )
            self.sessions.remove(session.session)
            self._ending_sessions.add(session.session)
        due.extend(self._sweep())
        if due:
            await self._propose_all(due)
            self._ending_sessions.clear()
        if not self._plan_is_due():
            return
        reports = planner.Reports(
            daemons=tuple(self.sessions.daemons()),
            measurements=self.sessions.measurements,
            unreached_by=self._unreached_by(),
        )
        planned = planner.plan(self._replica.state, reports)
        if planned:
            await self._propose_all(planned)

    def _unreached_by(self) -> dict[str, frozenset[str]]:
        """Return by target the sessions that did not reach it."""
        return self._unreached_targets.update(
            (
                unreached_targets.CoordinatedTarget(
                    target=target.target,
                    incarnation=target.incarnation,
                    session=target.session,
                    epoch=target.epoch,
                    reachable=target.reachable,
                )
                for target in self._replica.state.targets.values()
            ),
            self._replica.clock(),
        )

    def _plan_is_due(self) -> bool:
        """Return whether the inputs changed or the plan interval passed."""
        now_s = self._replica.clock()
        plan_inputs = (
            self._replica.state.map_index,
            tuple(self.sessions.daemons()),
        )
        if (
            plan_inputs == self._last_plan_inputs
            and now_s < self._last_plan_s + PLAN_INTERVAL_S
        ):
            return False
        self._last_plan_inputs, self._last_plan_s = plan_inputs, now_s
        return True

    def _sweep(self) -> list[commands.Command]:
        """Return commands that delete old claims and long lost targets."""
        now_s = clocks.wall_s()
        if now_s < self._last_sweep_s + SWEEP_INTERVAL_S:
            return []
        self._last_sweep_s = now_s
        self.sessions.evict_disconnected()
        return [
            commands.ForgetClaims(before_s=now_s - CLAIM_RETENTION_S),
            *self._forget_lost_targets(now_s),
        ]

    def _forget_lost_targets(self, now_s: float) -> list[commands.Command]:
        targets = self._replica.state.targets.values()
        lost = {t.target: t for t in targets if not t.reachable}
        for name in set(self._lost_since_s) - set(lost):
            del self._lost_since_s[name]
        expired: list[commands.Command] = []
        for name, target in lost.items():
            since_s = self._lost_since_s.setdefault(name, now_s)
            if now_s - since_s >= LOST_TARGET_RETENTION_S:
                expired.append(
                    commands.ForgetTarget(
                        target=name, incarnation=target.incarnation
                    )
                )
        return expired

    async def _propose_all(self, due: list[commands.Command]) -> None:
        await asyncio.gather(
            *(self._replica.propose(command) for command in due)
        )

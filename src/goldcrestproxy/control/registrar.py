"""The leader's side of the registry: heartbeats of targets and holds.

A target's heartbeat is answered with the key ranges that it is to hold and
for how long. The arithmetic:

- A hold counts from when the target sent its heartbeat, on a clock that may
  run slow. The leader counts from when it received the heartbeat, with the
  drift on top, so that it never ends a hold too early.
- A range is only granted after its assignment is committed, and only while
  no other leader can exist.
- A leader that is new presumes that every owner got the longest hold just
  before its term.
- A range moves by release, by the end of the owner's process (a newer
  incarnation is registered), or by the end of the hold.
"""

from __future__ import annotations

import asyncio
import logging
import random
import typing as ty

import attrs

from goldcrestproxy.control import commands
from goldcrestproxy.control import granted_ranges
from goldcrestproxy.control import key_planner
from goldcrestproxy.control import outcomes
from goldcrestproxy.control import replica as replicas
from goldcrestproxy.control import replication as replications
from goldcrestproxy.control import target_losses
from goldcrestproxy.control import target_views
from goldcrestproxy import errors
from goldcrestproxy import registry
from goldcrestproxy.routing import key_placement
from goldcrestproxy.routing import leases
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

TICK_INTERVAL_S: ty.Final = 0.1
# A target whose clock is within the drift has let go of its keys this long
# after the end of its hold.
HOLD_MARGIN_S: ty.Final = 0.1
# Part of the load that may be without an owner for the sake of balance.
FREE_LOAD_SHARE_MAX: ty.Final = 0.15
# A target gives up blocks for balance this often, unless it has more than
# this multiple of its share: each move costs a key about 0.3 s.
REBALANCE_INTERVAL_S: ty.Final = 2.5
OVERLOAD_FACTOR: ty.Final = 1.5
# An older start time is believed after the newer one was silent so long.
OLDER_INCARNATION_SILENCE_S: ty.Final = 10.0


@attrs.frozen(kw_only=True)
class RegistrarTiming:
    """Times of the registry, from the settings."""

    heartbeat_ms: float
    hold_ms: int
    # How much slower than the leader's a target's clock may run.
    drift_parts_per_million: int = 20_000


class Registrar:
    """Serves targets and operators for one term of leadership."""

    def __init__(
        self,
        replica: replicas.Replica,
        replication: replications.Replication,
        timing: RegistrarTiming,
        rng: random.Random | None = None,
    ) -> None:
        """Bind to a replica that has just won an election."""
        self._replica = replica
        self._replication = replication
        self._timing = timing
        self._hold_terms = leases.LeaseTerms(
            lease_s=timing.hold_ms / 1000,
            drift_parts_per_million=timing.drift_parts_per_million,
        )
        self._rng = rng or random.Random()
        self._views = target_views.TargetViews()
        self._planner = key_planner.KeyPlanner(replica, self._views)
        self._losses = target_losses.TargetLosses(
            replica, self._views, timing.heartbeat_ms / 1000
        )
        self._deregistered: dict[str, int] = {}
        self._holds_assumed = False

    @property
    def _registry(self) -> registry.RegistryState:
        return self._replica.state.registry

    async def run(self) -> None:
        """Look for lost targets and ended holds until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            if not self._replication.has_leader_lease():
                continue
            try:
                await self._tick()
            except (errors.NotLeaderError, errors.ProposalLostError):
                return
            except Exception:
                LOG.exception("registry: tick failed; goes on")

    def observe(self, report: wire.ttypes.WatchRequest) -> None:
        """Take what an entry host measured."""
        self._planner.observe(report)
        self._losses.observe(report)

    async def serve(self, call: registry.Call) -> registry.Answer:
        """Answer a call.

        :raises NotLeaderError: when another leader may exist
        :raises ProposalLostError: when the outcome is not known
        """
        self._check_leadership()
        match call:
            case registry.Heartbeat():
                return await self._serve_heartbeat(call)
            case registry.Goodbye():
                return await self._serve_goodbye(call)
            case registry.ChangeItemsCall(changed=changed):
                return await self._propose_change(
                    registry.ChangeItems(changed=changed)
                )
            case registry.SetZoneCall(zone=zone, out=out):
                return await self._propose_change(
                    registry.SetZone(zone=zone, out=out)
                )
            case registry.ReadItemsCall():
                return registry.ItemsAnswer(
                    items=tuple(self._registry.standing_items)
                )

    def _check_leadership(self) -> None:
        """Refuse when a newer leader may exist.

        :raises NotLeaderError: when this state may be stale
        """
        if not self._replication.has_leader_lease():
            raise errors.NotLeaderError("")
        if not self._holds_assumed:
            self._holds_assumed = True
            self._assume_full_holds()

    def _assume_full_holds(self) -> None:
        """Count one whole hold for each target that the state names."""
        now_s = self._replica.clock()
        for target in self._registry.targets.values():
            self._views[target.target] = target_views.TargetView(
                incarnation=target.incarnation,
                last_heartbeat_s=now_s,
                hold_end_s=self._hold_end_s(now_s),
            )

    def _hold_end_s(self, received_s: float) -> float:
        return self._hold_terms.grantor_until_s(received_s) + HOLD_MARGIN_S

    async def _propose_change(
        self, command: commands.Command
    ) -> registry.Answer:
        outcome = await self._replica.propose(command)
        match outcome:
            case outcomes.Refused(text=text):
                LOG.warning("registry: refused a change: %s", text)
                return registry.Declined(text=text)
            case _:
                return registry.Accepted()

    async def _serve_goodbye(self, call: registry.Goodbye) -> registry.Answer:
        registered = self._registry.targets.get(call.target)
        stale = (
            registered is not None
            and call.incarnation is not None
            and call.incarnation != registered.incarnation
        )
        if registered is None or stale:
            LOG.info("registry: goodbye of unknown target %s", call.target)
            return registry.Accepted()
        self._deregistered[call.target] = registered.incarnation
        await self._replica.propose(
            registry.LoseTarget(
                target=call.target,
                incarnation=registered.incarnation,
                gone=True,
            )
        )
        LOG.info("registry: target %s said goodbye", call.target)
        return registry.Accepted()

    async def _serve_heartbeat(
        self, heartbeat: registry.Heartbeat
    ) -> registry.HeartbeatAnswer | registry.Declined:
        received_s = self._replica.clock()
        services = self._registry.services()
        if services and heartbeat.service not in services:
            return registry.Declined(
                text=f"service {heartbeat.service!r} is not known"
            )
        if self._is_stale(heartbeat, received_s):
            LOG.info(
                "registry: ignored a late heartbeat of %s, sequence %d",
                heartbeat.target,
                heartbeat.sequence,
            )
            return registry.HeartbeatAnswer()
        view = self._update_view(heartbeat, received_s)
        await self._register(heartbeat)
        keyspace = self._registry.keyspaces.get(heartbeat.service)
        if keyspace is None:
            return registry.HeartbeatAnswer()
        await self._commit_released(heartbeat, view)
        self._plan_releases(heartbeat, view, keyspace)
        await self._assign_free_blocks(heartbeat, view)
        superseded = self._views.get(heartbeat.target) is not view
        if superseded or view.sequence != heartbeat.sequence:
            # A newer heartbeat came meanwhile.
            return registry.HeartbeatAnswer()
        self._check_leadership()
        ranges = granted_ranges.ranges_for(
            heartbeat.target, self._registry.keyspaces[heartbeat.service], view
        )
        view.hold_end_s = max(view.hold_end_s, self._hold_end_s(received_s))
        return registry.HeartbeatAnswer(
            ranges=ranges, hold_ms=self._timing.hold_ms
        )

    def _is_stale(self, heartbeat: registry.Heartbeat, now_s: float) -> bool:
        """Whether a report is a late one, or of a process that is over."""
        if self._deregistered.get(heartbeat.target) == heartbeat.incarnation:
            registered = self._registry.targets.get(heartbeat.target)
            if registered is None:
                return True
        registered = self._registry.targets.get(heartbeat.target)
        if registered is None:
            return self._is_superseded(heartbeat)
        view = self._views.get(heartbeat.target)
        if heartbeat.incarnation < registered.incarnation:
            silent_s = (
                now_s - view.last_heartbeat_s if view is not None else 0.0
            )
            return silent_s < OLDER_INCARNATION_SILENCE_S
        if heartbeat.incarnation > registered.incarnation or view is None:
            return False
        return (
            view.incarnation == heartbeat.incarnation
            and heartbeat.sequence <= view.sequence
        )

    def _is_superseded(self, heartbeat: registry.Heartbeat) -> bool:
        """Whether a newer process has the address of an unknown target."""
        return any(
            other.address == heartbeat.address
            and other.incarnation > heartbeat.incarnation
            and not other.lost
            for other in self._registry.targets.values()
        )

    def _update_view(
        self, heartbeat: registry.Heartbeat, now_s: float
    ) -> target_views.TargetView:
        view = self._views.get(heartbeat.target)
        if view is None or view.incarnation != heartbeat.incarnation:
            view = target_views.TargetView(
                incarnation=heartbeat.incarnation, last_heartbeat_s=now_s
            )
            self._views[heartbeat.target] = view
        view.last_heartbeat_s = now_s
        view.sequence = heartbeat.sequence
        view.cold = heartbeat.cold_ms > 0
        return view

    async def _register(self, heartbeat: registry.Heartbeat) -> None:
        """Commit what is new in a report."""
        registered = self._registry.targets.get(heartbeat.target)
        registration = registry.RegisterTarget(
            target=heartbeat.target,
            incarnation=heartbeat.incarnation,
            service=heartbeat.service,
            zone=heartbeat.zone,
            address=heartbeat.address,
            slots=heartbeat.slots,
            leaving=heartbeat.leaving,
            cold_ms=heartbeat.cold_ms,
        )
        if registered is not None and not _differs(registered, registration):
            return
        if (
            registered is None
            or registered.incarnation != registration.incarnation
        ):
            self._planner.record_registration()
        LOG.info(
            "registry: target %s of %s at %s, incarnation %d, %s, cold for "
            "%d ms",
            heartbeat.target,
            heartbeat.service,
            heartbeat.address,
            heartbeat.incarnation,
            "leaving" if heartbeat.leaving else "in service",
            heartbeat.cold_ms,
        )
        crashes = self._losses.crashes_implied_by(registration)
        await self._replica.propose(registration)
        for crash in crashes:
            await self._replica.propose(crash)

    async def _commit_released(
        self, heartbeat: registry.Heartbeat, view: target_views.TargetView
    ) -> None:
        """Commit what the target released before anything else."""
        keyspace = self._registry.keyspaces[heartbeat.service]
        self._update_held(heartbeat, view, keyspace)
        if not heartbeat.released and not view.releasing:
            return
        owned = set(keyspace.owned_by(heartbeat.target))
        handovers = {
            first: released.handover
            for released in heartbeat.released
            for first in keyspace.blocks_within(
                released.first_key, released.last_key
            )
        }
        now_s = self._replica.clock()
        # A hold that ran out before the release was heard is not reported.
        for first, over_s in view.releasing.items():
            if now_s >= over_s:
                handovers.setdefault(first, "")
        freed = [
            registry.FreedBlock(first_key=first, handover=handover)
            for first, handover in handovers.items()
            if first in owned and first not in view.held
        ]
        for first in set(view.releasing) - owned:
            del view.releasing[first]
        if not freed:
            return
        await self._replica.propose(
            registry.FreeBlocks(
                service=heartbeat.service,
                target=heartbeat.target,
                incarnation=heartbeat.incarnation,
                freed=tuple(freed),
            )
        )
        for block in freed:
            view.releasing.pop(block.first_key, None)

    def _update_held(
        self,
        heartbeat: registry.Heartbeat,
        view: target_views.TargetView,
        keyspace: registry.Keyspace,
    ) -> None:
        """Read which blocks the target holds, if that has changed."""
        blocks = len(keyspace.firsts)
        if (
            view.held_block_count == blocks
            and view.held_rows == heartbeat.held
        ):
            return
        view.held_rows = heartbeat.held
        view.held_block_count = blocks
        view.held = {
            first: held.token
            for held in heartbeat.held
            for first in keyspace.blocks_overlapping(
                held.first_key, held.last_key
            )
        }

    def _plan_releases(
        self,
        heartbeat: registry.Heartbeat,
        view: target_views.TargetView,
        keyspace: registry.Keyspace,
    ) -> None:
        """Choose blocks that this answer leaves out."""
        plan = self._planner.plan(heartbeat.service)
        share = self._planner.share(heartbeat.service, heartbeat.target)
        if share <= 0 and self._planner.is_unplanned(
            heartbeat.service, heartbeat.target
        ):
            return
        owned = {
            first: plan.weights.get(first, 0.0)
            for first in keyspace.owned_by(heartbeat.target)
            if first not in view.releasing
        }
        if share > 0:
            free_load = sum(
                plan.weights.get(f, 0.0) for f in keyspace.free_blocks()
            )
            below_overload = sum(owned.values()) < share * OVERLOAD_FACTOR
            since_rebalance_s = self._replica.clock() - view.last_rebalance_s
            if free_load > FREE_LOAD_SHARE_MAX or (
                below_overload and since_rebalance_s < REBALANCE_INTERVAL_S
            ):
                return
        chosen = key_placement.blocks_to_release(owned, share)
        if chosen:
            view.last_rebalance_s = self._replica.clock()
            LOG.info(
                "registry: asks %s to release %d of %d blocks, %.4f of %.4f "
                "of the load, share %.4f",
                heartbeat.target,
                len(chosen),
                len(owned),
                sum(owned[first] for first in chosen),
                sum(owned.values()),
                share,
            )
            view.releasing.update(dict.fromkeys(chosen, view.hold_end_s))

    async def _assign_free_blocks(
        self, heartbeat: registry.Heartbeat, view: target_views.TargetView
    ) -> None:
        """Give the target free blocks up to its share."""
        keyspace = self._registry.keyspaces[heartbeat.service]
        free = keyspace.free_blocks()
        if not free:
            return
        plan = self._planner.plan(heartbeat.service)
        owned = keyspace.owned_by(heartbeat.target)
        taken = key_placement.blocks_to_take(
            {first: plan.weights.get(first, 0.0) for first in free},
            {first: plan.weights.get(first, 0.0) for first in owned},
            self._planner.share(heartbeat.service, heartbeat.target),
            self._rng,
            overdue=self._planner.overdue(heartbeat.service, free),
        )
        if not taken:
            return
        await self._replica.propose(
            registry.GiveBlocks(
                service=heartbeat.service,
                target=heartbeat.target,
                incarnation=heartbeat.incarnation,
                first_keys=tuple(taken),
            )
        )
        LOG.info(
            "registry: gave %s %d of %d free blocks, it had %d",
            heartbeat.target,
            len(taken),
            len(free),
            len(owned),
        )

    async def _tick(self) -> None:
        self._check_leadership()
        now_s = self._replica.clock()
        due: list[commands.Command] = []
        due.extend(self._losses.due_commands(now_s))
        due.extend(self._planner.initial_layouts(now_s))
        due.extend(self._planner.block_splits())
        if due:
            await asyncio.gather(
                *(self._replica.propose(command) for command in due)
            )


def _differs(
    registered: registry.RegisteredTarget,
    registration: registry.RegisterTarget,
) -> bool:
    """Whether a report says anything that the registry does not know."""
    if registered.gone and registered.incarnation == registration.incarnation:
        return False
    return (
        registered.incarnation != registration.incarnation
        or registered.lost
        or registered.leaving != registration.leaving
        or registered.service != registration.service
        or registered.zone != registration.zone
        or registered.address != registration.address
        or registered.slots != registration.slots
        or (registered.cold_ms > 0) != (registration.cold_ms > 0)
    )

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

TICK_S: ty.Final = 0.1
# A target whose clock is within the drift has let go of its keys this long
# after the end of its hold.
HOLD_MARGIN_S: ty.Final = 0.1
# Part of the load that may be without an owner for the sake of balance.
FREE_PART_MAX: ty.Final = 0.15
# A target gives up blocks for balance this often, unless it has more than
# this multiple of its share: each move costs a key about 0.3 s.
BALANCE_REST_S: ty.Final = 2.5
OVERLOADED_PART: ty.Final = 1.5
# An older start time is believed after the newer one was silent so long.
OLDER_INCARNATION_AFTER_S: ty.Final = 10.0


@attrs.frozen(kw_only=True)
class RegistrarTerms:
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
        terms: RegistrarTerms,
        rng: random.Random | None = None,
    ) -> None:
        """Bind to a replica that has just won an election."""
        self._replica = replica
        self._replication = replication
        self._terms = terms
        self._hold = leases.LeaseTerms(
            lease_s=terms.hold_ms / 1000,
            drift_parts_per_million=terms.drift_parts_per_million,
        )
        self._rng = rng or random.Random()
        self._views = target_views.TargetViews()
        self._planner = key_planner.KeyPlanner(replica, self._views)
        self._losses = target_losses.TargetLosses(
            replica, self._views, terms.heartbeat_ms / 1000
        )
        self._gone: dict[str, int] = {}
        self._started = False

    @property
    def _registry(self) -> registry.RegistryState:
        return self._replica.state.registry

    async def run(self) -> None:
        """Look for lost targets and ended holds until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
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
        self._check_current()
        match call:
            case registry.Heartbeat():
                return await self._heartbeat(call)
            case registry.Goodbye():
                return await self._goodbye(call)
            case registry.ChangeItemsCall(changed=changed):
                return await self._change(
                    registry.ChangeItems(changed=changed)
                )
            case registry.SetZoneCall(zone=zone, out=out):
                return await self._change(registry.SetZone(zone=zone, out=out))
            case registry.ReadItemsCall():
                return registry.ItemsAnswer(
                    items=tuple(self._registry.standing_items)
                )

    def _check_current(self) -> None:
        """Refuse when a newer leader may exist.

        :raises NotLeaderError: when this state may be stale
        """
        if not self._replication.has_leader_lease():
            raise errors.NotLeaderError("")
        if not self._started:
            self._started = True
            self._presume_holds()

    def _presume_holds(self) -> None:
        """Count one whole hold for each target that the state names."""
        now_s = self._replica.clock()
        for target in self._registry.targets.values():
            self._views[target.target] = target_views.TargetView(
                incarnation=target.incarnation,
                heard_s=now_s,
                hold_over_s=self._over_s(now_s),
            )

    def _over_s(self, received_s: float) -> float:
        return self._hold.grantor_until_s(received_s) + HOLD_MARGIN_S

    async def _change(self, command: commands.Command) -> registry.Answer:
        outcome = await self._replica.propose(command)
        match outcome:
            case outcomes.Refused(text=text):
                LOG.warning("registry: refused a change: %s", text)
                return registry.Declined(text=text)
            case _:
                return registry.Accepted()

    async def _goodbye(self, call: registry.Goodbye) -> registry.Answer:
        known = self._registry.targets.get(call.target)
        stale = (
            known is not None
            and call.incarnation is not None
            and call.incarnation != known.incarnation
        )
        if known is None or stale:
            LOG.info("registry: goodbye of unknown target %s", call.target)
            return registry.Accepted()
        self._gone[call.target] = known.incarnation
        await self._replica.propose(
            registry.LoseTarget(
                target=call.target, incarnation=known.incarnation, gone=True
            )
        )
        LOG.info("registry: target %s said goodbye", call.target)
        return registry.Accepted()

    async def _heartbeat(
        self, beat: registry.Heartbeat
    ) -> registry.HeartbeatAnswer | registry.Declined:
        received_s = self._replica.clock()
        services = self._registry.services()
        if services and beat.service not in services:
            return registry.Declined(
                text=f"service {beat.service!r} is not known"
            )
        if self._is_stale(beat, received_s):
            LOG.info(
                "registry: ignored a late heartbeat of %s, sequence %d",
                beat.target,
                beat.sequence,
            )
            return registry.HeartbeatAnswer()
        view = self._note(beat, received_s)
        await self._register(beat)
        space = self._registry.keyspaces.get(beat.service)
        if space is None:
            return registry.HeartbeatAnswer()
        await self._take_released(beat, view)
        self._plan_release(beat, view, space)
        await self._take_blocks(beat, view)
        superseded = self._views.get(beat.target) is not view
        if superseded or view.sequence != beat.sequence:
            # A newer heartbeat came meanwhile.
            return registry.HeartbeatAnswer()
        self._check_current()
        ranges = granted_ranges.ranges_for(
            beat.target, self._registry.keyspaces[beat.service], view
        )
        view.hold_over_s = max(view.hold_over_s, self._over_s(received_s))
        return registry.HeartbeatAnswer(
            ranges=ranges, hold_ms=self._terms.hold_ms
        )

    def _is_stale(self, beat: registry.Heartbeat, now_s: float) -> bool:
        """Whether a report is a late one, or of a process that is over."""
        if self._gone.get(beat.target) == beat.incarnation:
            known = self._registry.targets.get(beat.target)
            if known is None:
                return True
        known = self._registry.targets.get(beat.target)
        if known is None:
            return self._is_superseded(beat)
        view = self._views.get(beat.target)
        if beat.incarnation < known.incarnation:
            silent_s = now_s - view.heard_s if view is not None else 0.0
            return silent_s < OLDER_INCARNATION_AFTER_S
        if beat.incarnation > known.incarnation or view is None:
            return False
        return (
            view.incarnation == beat.incarnation
            and beat.sequence <= view.sequence
        )

    def _is_superseded(self, beat: registry.Heartbeat) -> bool:
        """Whether a newer process has the address of an unknown target."""
        return any(
            other.address == beat.address
            and other.incarnation > beat.incarnation
            and not other.lost
            for other in self._registry.targets.values()
        )

    def _note(
        self, beat: registry.Heartbeat, now_s: float
    ) -> target_views.TargetView:
        view = self._views.get(beat.target)
        if view is None or view.incarnation != beat.incarnation:
            view = target_views.TargetView(
                incarnation=beat.incarnation, heard_s=now_s
            )
            self._views[beat.target] = view
        view.heard_s = now_s
        view.sequence = beat.sequence
        view.cold = beat.cold_ms > 0
        return view

    async def _register(self, beat: registry.Heartbeat) -> None:
        """Commit what is new in a report."""
        known = self._registry.targets.get(beat.target)
        wanted = registry.RegisterTarget(
            target=beat.target,
            incarnation=beat.incarnation,
            service=beat.service,
            zone=beat.zone,
            address=beat.address,
            slots=beat.slots,
            leaving=beat.leaving,
            cold_ms=beat.cold_ms,
        )
        if known is not None and not _differs(known, wanted):
            return
        if known is None or known.incarnation != wanted.incarnation:
            self._planner.note_registration()
        LOG.info(
            "registry: target %s of %s at %s, incarnation %d, %s, cold for "
            "%d ms",
            beat.target,
            beat.service,
            beat.address,
            beat.incarnation,
            "leaving" if beat.leaving else "in service",
            beat.cold_ms,
        )
        crashes = self._losses.crashes_before(wanted)
        await self._replica.propose(wanted)
        for crash in crashes:
            await self._replica.propose(crash)

    async def _take_released(
        self, beat: registry.Heartbeat, view: target_views.TargetView
    ) -> None:
        """Commit what the target released before anything else."""
        space = self._registry.keyspaces[beat.service]
        self._note_held(beat, view, space)
        if not beat.released and not view.releasing:
            return
        owned = set(space.owned_by(beat.target))
        handovers = {
            first: released.handover
            for released in beat.released
            for first in space.blocks_within(
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
                service=beat.service,
                target=beat.target,
                incarnation=beat.incarnation,
                freed=tuple(freed),
            )
        )
        for done in freed:
            view.releasing.pop(done.first_key, None)

    def _note_held(
        self,
        beat: registry.Heartbeat,
        view: target_views.TargetView,
        space: registry.Keyspace,
    ) -> None:
        """Read which blocks the target holds, if that has changed."""
        blocks = len(space.firsts)
        if view.held_blocks == blocks and view.held_rows == beat.held:
            return
        view.held_rows = beat.held
        view.held_blocks = blocks
        view.held = {
            first: held.token
            for held in beat.held
            for first in space.blocks_overlapping(
                held.first_key, held.last_key
            )
        }

    def _plan_release(
        self,
        beat: registry.Heartbeat,
        view: target_views.TargetView,
        space: registry.Keyspace,
    ) -> None:
        """Choose blocks that this answer leaves out."""
        plan = self._planner.plan(beat.service)
        share = self._planner.share(beat.service, beat.target)
        if share <= 0 and self._planner.misses(beat.service, beat.target):
            return
        owned = {
            first: plan.weights.get(first, 0.0)
            for first in space.owned_by(beat.target)
            if first not in view.releasing
        }
        if share > 0:
            free = sum(plan.weights.get(f, 0.0) for f in space.free_blocks())
            mild = sum(owned.values()) < share * OVERLOADED_PART
            rested_s = self._replica.clock() - view.balanced_s
            if free > FREE_PART_MAX or (mild and rested_s < BALANCE_REST_S):
                return
        chosen = key_placement.blocks_to_release(owned, share)
        if chosen:
            view.balanced_s = self._replica.clock()
            LOG.info(
                "registry: asks %s to release %d of %d blocks, %.4f of %.4f "
                "of the load, share %.4f",
                beat.target,
                len(chosen),
                len(owned),
                sum(owned[first] for first in chosen),
                sum(owned.values()),
                share,
            )
            view.releasing.update(dict.fromkeys(chosen, view.hold_over_s))

    async def _take_blocks(
        self, beat: registry.Heartbeat, view: target_views.TargetView
    ) -> None:
        """Give the target free blocks up to its share."""
        space = self._registry.keyspaces[beat.service]
        free = space.free_blocks()
        if not free:
            return
        plan = self._planner.plan(beat.service)
        owned = space.owned_by(beat.target)
        taken = key_placement.blocks_to_take(
            {first: plan.weights.get(first, 0.0) for first in free},
            {first: plan.weights.get(first, 0.0) for first in owned},
            self._planner.share(beat.service, beat.target),
            self._rng,
            overdue=self._planner.overdue(beat.service, free),
        )
        if not taken:
            return
        await self._replica.propose(
            registry.GiveBlocks(
                service=beat.service,
                target=beat.target,
                incarnation=beat.incarnation,
                first_keys=tuple(taken),
            )
        )
        LOG.info(
            "registry: gave %s %d of %d free blocks, it had %d",
            beat.target,
            len(taken),
            len(free),
            len(owned),
        )

    async def _tick(self) -> None:
        self._check_current()
        now_s = self._replica.clock()
        due: list[commands.Command] = []
        due.extend(self._losses.due(now_s))
        due.extend(self._planner.first_layouts(now_s))
        due.extend(self._planner.splits())
        if due:
            await asyncio.gather(
                *(self._replica.propose(command) for command in due)
            )


def _differs(
    known: registry.RegisteredTarget, wanted: registry.RegisterTarget
) -> bool:
    """Whether a report says anything that the registry does not know."""
    if known.gone and known.incarnation == wanted.incarnation:
        return False
    return (
        known.incarnation != wanted.incarnation
        or known.lost
        or known.leaving != wanted.leaving
        or known.service != wanted.service
        or known.zone != wanted.zone
        or known.address != wanted.address
        or known.slots != wanted.slots
        or (known.cold_ms > 0) != (wanted.cold_ms > 0)
    )

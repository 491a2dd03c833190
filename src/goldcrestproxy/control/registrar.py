"""Leader side of the registry: target heartbeats and leases on key ranges.

The answer to a target's heartbeat lists the key ranges that the target
owns and the duration of its hold, a lease on all of them. Invariants:

- The target measures a hold from when it sent the heartbeat, on a clock that
  may run slow. The leader measures it from when it received the heartbeat
  and adds the maximum drift, so it never ends a hold too early.
- A range is granted only after its assignment is committed, and only while
  no other leader can exist.
- A new leader assumes that every owner received a full hold immediately
  before the term began.
- The entry of a grant names the heartbeat that it answers. A later leader
  takes no heartbeat up to that one: it may report releases of ranges that
  were granted again since.
- A range changes owner only after a release, after the end of the owner's
  process (a newer incarnation registers), or after the hold expires.
- While a command about a target is not applied yet, nothing else is decided
  about it: its keys are not freed while its return is being registered, and
  not granted while they are being freed.
"""

from __future__ import annotations

import asyncio
import logging
import random
import typing as ty

import attrs

from goldcrestproxy.control import build_levels
from goldcrestproxy.control import commands
from goldcrestproxy.control import granted_ranges
from goldcrestproxy.control import key_planner
from goldcrestproxy.control import limit_reports
from goldcrestproxy.control import outcomes
from goldcrestproxy.control import quota_service
from goldcrestproxy.control import replica as replicas
from goldcrestproxy.control import replication as replications
from goldcrestproxy.control import target_locks
from goldcrestproxy.control import target_losses
from goldcrestproxy.control import target_views
from goldcrestproxy import errors
from goldcrestproxy import registry
from goldcrestproxy import results
from goldcrestproxy.routing import key_placement
from goldcrestproxy.routing import leases
from goldcrestproxy.routing import quota_terms
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

TICK_INTERVAL_S: ty.Final = 0.1
# Time after which a refused order may be sent again. A host that was behind
# has applied the last order by then.
ORDER_RETRY_MS: ty.Final = 200
# Added to the computed end of a hold. A target whose clock is within the
# drift limit has released its keys by then.
HOLD_MARGIN_S: ty.Final = 0.1
# No rebalancing while blocks with more than this share of the load are free.
FREE_LOAD_SHARE_MAX: ty.Final = 0.15
# Minimum interval between two rebalancing releases of one target, because
# each move makes a key unavailable for about 0.3 s. Does not apply to a target
# whose load exceeds its share by OVERLOAD_FACTOR.
REBALANCE_INTERVAL_S: ty.Final = 2.5
OVERLOAD_FACTOR: ty.Final = 1.5
# A cold time that ends later by more than this is registered anew. Heartbeats
# arrive with less variation.
COLD_EXTENSION_S_MIN: ty.Final = 0.25
# A lower incarnation is accepted once the registered one has been silent for
# this long.
OLDER_INCARNATION_SILENCE_S: ty.Final = 10.0


@attrs.frozen(kw_only=True)
class RegistrarSettings:
    """Heartbeat and hold durations, from the settings."""

    heartbeat_ms: float
    hold_ms: int
    # Maximum rate by which a target's clock may lag behind the leader's.
    drift_parts_per_million: int = 20_000
    # By how much customers may exceed their quotas, and in which window.
    quota_tolerance: quota_terms.QuotaTolerance = attrs.field(
        factory=quota_terms.QuotaTolerance
    )


class Registrar:
    """Serve the calls of targets and operators for one leader term."""

    def __init__(
        self,
        replica: replicas.Replica,
        replication: replications.Replication,
        settings: RegistrarSettings,
        rng: random.Random | None = None,
        build_level: ty.Callable[[], int] = lambda: build_levels.OWN,
    ) -> None:
        """Create the registrar of a replica that has just won an election.

        :param rng: chooses among free blocks; seeded in tests
        :param build_level: what all hosts understand
        """
        self._build_level = build_level
        self.quotas = quota_service.QuotaService(
            replica, settings.quota_tolerance
        )
        self._replica = replica
        self._replication = replication
        self._settings = settings
        self._hold_terms = leases.LeaseTerms(
            lease_s=settings.hold_ms / 1000,
            drift_parts_per_million=settings.drift_parts_per_million,
        )
        self._rng = rng or random.Random()
        self._views = target_views.TargetViews()
        self._limits = limit_reports.LimitReports(replica)
        self._planner = key_planner.KeyPlanner(
            replica, self._views, self._limits
        )
        self._losses = target_losses.TargetLosses(
            replica, self._views, settings.heartbeat_ms / 1000
        )
        self._locks = target_locks.TargetLocks()
        self._zone_lock = asyncio.Lock()
        self._holds_assumed = False

    @property
    def _registry(self) -> registry.RegistryState:
        return self._replica.state.registry

    async def run(self) -> None:
        """Detect lost targets and expired holds until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            if not self._replication.has_leader_lease():
                continue
            try:
                await self._tick()
            except (errors.NotLeaderError, errors.ProposalLostError):
                return
            except Exception:
                LOG.exception("registry: periodic check failed; continuing")

    def observe(self, report: wire.ttypes.WatchRequest) -> None:
        """Record the measurements reported by an entry host."""
        self._planner.observe(report)
        self._losses.observe(report)
        self._limits.observe(report)

    def target_limits(self) -> list[wire.ttypes.TargetLimit]:
        """Return the limits that targets name, for entry hosts."""
        return self._limits.reply()

    def permit(
        self, request: wire.ttypes.PermitRequest, hosts: int
    ) -> wire.ttypes.PermitReply:
        """Decide whether a host may send a request to a target."""
        return self._limits.permit(request, hosts)

    async def serve(self, call: registry.Call) -> registry.Answer:
        """Execute a call and return the answer.

        :raises NotLeaderError: when another leader may exist
        :raises ProposalLostError: when the outcome of the call is unknown
        :raises RefusedError: for an order that later ones may have replaced
        """
        self._check_leadership()
        match call:
            case registry.Heartbeat(target=target):
                received_s = self._replica.clock()
                async with self._locks.of(target):
                    self._check_leadership()
                    return await self._serve_heartbeat(call, received_s)
            case registry.Goodbye(target=target):
                async with self._locks.of(target):
                    self._check_leadership()
                    return await self._serve_goodbye(call)
            case registry.ChangeItemsCall(changed=changed):
                self._check_understood(changed)
                return await self._propose_change(
                    registry.ChangeItems(changed=changed)
                )
            case registry.SetZoneCall():
                async with self._zone_lock:
                    return await self._serve_zone_order(call)
            case registry.ReadItemsCall():
                return registry.ItemsAnswer(
                    items=tuple(self._registry.current_items)
                )

    def _check_leadership(self) -> None:
        """Verify that no newer leader can exist.

        The first call in a term starts a full hold for each target.

        :raises NotLeaderError: when this state may be stale
        """
        if not self._replication.has_leader_lease():
            raise errors.NotLeaderError("")
        if not self._holds_assumed:
            self._holds_assumed = True
            self._assume_full_holds()

    def _assume_full_holds(self) -> None:
        """Start a full hold for each registered target."""
        now_s = self._replica.clock()
        for target in self._registry.targets.values():
            self._views[target.target] = target_views.TargetView(
                incarnation=target.incarnation,
                last_heartbeat_s=now_s,
                hold_end_s=self._hold_end_s(now_s),
            )

    def _hold_end_s(self, received_s: float) -> float:
        return self._hold_terms.grantor_expiry_s(received_s) + HOLD_MARGIN_S

    def _check_understood(self, changed: tuple[registry.Item, ...]) -> None:
        """Check that all hosts can read items of these kinds.

        :raises RefusedError: for customers, while a host of an earlier build
            is in the fleet
        """
        customers = any(
            item.key.kind is registry.ItemKind.CUSTOMER for item in changed
        )
        if (
            customers
            and not self._registry.names_customers
            and self._build_level() < build_levels.CUSTOMERS
        ):
            raise results.refusal(
                results.STATE_BEHIND,
                "a host in the fleet may not understand customers yet",
                ORDER_RETRY_MS,
            )

    async def _propose_change(
        self, command: commands.Command
    ) -> registry.Answer:
        outcome = await self._replica.propose(command)
        match outcome:
            case outcomes.Refused(text=text):
                LOG.warning("registry: change refused: %s", text)
                return registry.Declined(text=text)
            case _:
                return registry.Accepted()

    async def _serve_zone_order(
        self, call: registry.SetZoneCall
    ) -> registry.Answer:
        """Apply an order unless it may undo a later one.

        Orders have no version, so one that was held up on its way would undo
        those that its sender gave by way of other hosts. One that asks for
        what is so already is accepted again.

        :raises RefusedError: when the host that received the order did not
            know the last one about this zone
        """
        self._check_leadership()
        last_index = self._registry.zone_orders.get(call.zone, 0)
        changes_zone = call.out != (call.zone in self._registry.zones_out)
        if (
            changes_zone
            and call.known_index is not None
            and call.known_index < last_index
        ):
            LOG.info(
                "registry: refused an order about zone %s received at index "
                "%d; the last one has index %d",
                call.zone,
                call.known_index,
                last_index,
            )
            raise results.refusal(
                results.STATE_BEHIND,
                f"there is a later order about zone {call.zone}",
                ORDER_RETRY_MS,
            )
        return await self._propose_change(
            registry.SetZone(zone=call.zone, out=call.out)
        )

    async def _serve_goodbye(self, call: registry.Goodbye) -> registry.Answer:
        registered = self._registry.targets.get(call.target)
        stale = (
            registered is not None
            and call.incarnation is not None
            and call.incarnation != registered.incarnation
        )
        if registered is None or stale:
            LOG.info(
                "registry: deregistration of unknown target %s", call.target
            )
            return registry.Accepted()
        await self._replica.propose(
            registry.LoseTarget(
                target=call.target,
                incarnation=registered.incarnation,
                gone=True,
            )
        )
        LOG.info("registry: target %s deregistered", call.target)
        return registry.Accepted()

    async def _serve_heartbeat(
        self, heartbeat: registry.Heartbeat, received_s: float
    ) -> registry.HeartbeatAnswer | registry.Declined:
        services = self._registry.services()
        if services and heartbeat.service not in services:
            return registry.Declined(
                text=f"service {heartbeat.service!r} is not known"
            )
        if self._is_stale(heartbeat, received_s):
            LOG.info(
                "registry: ignored stale heartbeat of %s, sequence %d",
                heartbeat.target,
                heartbeat.sequence,
            )
            return registry.HeartbeatAnswer()
        view = self._update_view(heartbeat, received_s)
        await self._register(heartbeat, view, received_s)
        keyspace = self._registry.keyspaces.get(heartbeat.service)
        if keyspace is None:
            return registry.HeartbeatAnswer()
        await self._commit_released(heartbeat, view)
        self._plan_releases(heartbeat, view, keyspace)
        await self._assign_free_blocks(heartbeat, view)
        self._check_leadership()
        ranges = granted_ranges.ranges_for(
            heartbeat.target, self._registry.keyspaces[heartbeat.service], view
        )
        view.hold_end_s = max(view.hold_end_s, self._hold_end_s(received_s))
        return registry.HeartbeatAnswer(
            ranges=ranges, hold_ms=self._settings.hold_ms
        )

    def _is_stale(self, heartbeat: registry.Heartbeat, now_s: float) -> bool:
        """Whether a heartbeat is out of order or of an ended process."""
        registered = self._registry.targets.get(heartbeat.target)
        if registered is None:
            departed = self._registry.departed.get(heartbeat.target)
            if departed is not None and heartbeat.incarnation <= departed:
                return True
            return self._is_superseded(heartbeat)
        view = self._views.get(heartbeat.target)
        if heartbeat.incarnation < registered.incarnation:
            silent_s = (
                now_s - view.last_heartbeat_s if view is not None else 0.0
            )
            return silent_s < OLDER_INCARNATION_SILENCE_S
        if heartbeat.incarnation > registered.incarnation:
            return False
        if heartbeat.sequence <= registered.sequence:
            return True
        return (
            view is not None
            and view.incarnation == heartbeat.incarnation
            and heartbeat.sequence <= view.sequence
        )

    def _is_superseded(self, heartbeat: registry.Heartbeat) -> bool:
        """Whether a newer process uses the address of an unknown target."""
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

    async def _register(
        self,
        heartbeat: registry.Heartbeat,
        view: target_views.TargetView,
        received_s: float,
    ) -> None:
        """Commit the registration if the heartbeat changes it."""
        registered = self._registry.targets.get(heartbeat.target)
        # Its answers to requests may have said so before its heartbeats do.
        already_leaving = (
            registered is not None
            and registered.incarnation == heartbeat.incarnation
            and registered.leaving
        )
        registration = registry.RegisterTarget(
            target=heartbeat.target,
            incarnation=heartbeat.incarnation,
            service=heartbeat.service,
            zone=heartbeat.zone,
            address=heartbeat.address,
            slots=heartbeat.slots,
            leaving=heartbeat.leaving or already_leaving,
            cold_ms=heartbeat.cold_ms,
            sequence=heartbeat.sequence,
        )
        cold_until_s = received_s + heartbeat.cold_ms / 1000
        colder = (
            heartbeat.cold_ms > 0
            and cold_until_s
            > view.registered_cold_until_s + COLD_EXTENSION_S_MIN
        )
        if registered is not None and not _differs(
            registered, registration, colder=colder
        ):
            return
        if (
            registered is None
            or registered.incarnation != registration.incarnation
        ):
            self._planner.record_registration()
        LOG.info(
            "registry: registering target %s of %s at %s, incarnation %d, "
            "%s, cold for %d ms",
            heartbeat.target,
            heartbeat.service,
            heartbeat.address,
            heartbeat.incarnation,
            "leaving" if heartbeat.leaving else "in service",
            heartbeat.cold_ms,
        )
        crashes = self._losses.crashes_implied_by(registration)
        await self._replica.propose(registration)
        view.registered_cold_until_s = cold_until_s
        for crash in crashes:
            await self._replica.propose(crash)

    async def _commit_released(
        self, heartbeat: registry.Heartbeat, view: target_views.TargetView
    ) -> None:
        """Commit the target's releases.

        They precede any new assignment in this answer.
        """
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
        # A target whose hold expired before it received the request to
        # release does not report the release.
        for first, end_s in view.releasing.items():
            if now_s >= end_s:
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
        """Update the held blocks if the held ranges or the blocks changed."""
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
        """Choose the blocks to withdraw by omitting them from the answer."""
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
                "registry: requesting release by %s of %d of %d blocks, "
                "%.4f of %.4f of the load, share %.4f",
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
        """Assign free blocks to the target, up to its share."""
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
                sequence=heartbeat.sequence,
            )
        )
        LOG.info(
            "registry: assigned %s %d of %d free blocks, %d owned before",
            heartbeat.target,
            len(taken),
            len(free),
            len(owned),
        )

    async def _tick(self) -> None:
        self._check_leadership()
        now_s = self._replica.clock()
        # A target whose lock is held has just been heard of.
        await asyncio.gather(
            *(
                self._propose_due(target)
                for target in self._losses.due_targets(now_s)
                if not self._locks.is_held(target)
            )
        )
        self._losses.evict_expired(now_s)
        due = [
            *self._losses.due_commands(),
            *self._planner.initial_layouts(now_s),
            *self._planner.block_splits(),
            *self.quotas.due_commands(),
        ]
        if due:
            await asyncio.gather(
                *(self._replica.propose(command) for command in due)
            )

    async def _propose_due(self, target: str) -> None:
        """Propose what is due about a target once nothing else is."""
        async with self._locks.of(target):
            command = self._losses.due_command(target, self._replica.clock())
            if command is not None:
                await self._replica.propose(command)


def _differs(
    registered: registry.RegisteredTarget,
    registration: registry.RegisterTarget,
    *,
    colder: bool,
) -> bool:
    """Whether a registration differs from the registered target.

    Cold times count down, so they are not compared.

    :param colder: whether the cold time ends later than was registered
    """
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
        or (registered.cold_ms > 0 and registration.cold_ms == 0)
        or colder
    )

"""What the targets of keyed services should own, and what they do.

Entry hosts report requests by block and work by target; from these come the
weights of blocks, the shares of targets, and the blocks to cut up.
"""

from __future__ import annotations

import logging
import typing as ty

import attrs

from goldcrestproxy.control import commands
from goldcrestproxy.control import replica as replicas
from goldcrestproxy.control import target_views
from goldcrestproxy import registry
from goldcrestproxy.routing import demand
from goldcrestproxy.routing import key_placement
from goldcrestproxy.routing import load_split
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

# Targets that register within this time of each other, a little more than
# their usual heartbeat, are laid out together.
LAYOUT_DELAY_S: ty.Final = 1.2
# After this, a free block goes to whoever asks, whatever its share. Most
# targets have sent a heartbeat since, and none below its share took it.
FREE_BLOCK_S_MAX: ty.Final = 0.6
# With a smaller part of warm targets, cold ones own keys too.
WARM_SHARE_MIN: ty.Final = 0.5
# Blocks of a service for each of its targets, pieces included.
BLOCKS_PER_TARGET_MAX: ty.Final = 60
# Weights and shares are worked out anew this often, and after a change of
# targets at once, unless changes follow each other.
PLAN_AGE_S_MAX: ty.Final = 0.3
OUTDATED_PLAN_AGE_S_MAX: ty.Final = 0.1


@attrs.frozen(kw_only=True)
class Plan:
    """What targets should own: weights of blocks and shares of targets."""

    created_s: float
    revision: int
    block_count: int
    weights: dict[int, float]
    shares: dict[str, float]


class KeyPlanner:
    """Weights, shares and layouts of keyed services, for one term."""

    def __init__(
        self, replica: replicas.Replica, views: target_views.TargetViews
    ) -> None:
        """Plan from the replicated state and what is reported."""
        self._replica = replica
        self._views = views
        self._plans: dict[str, Plan] = {}
        # When blocks were first seen free, by service and first key.
        self._free_since_s: dict[str, dict[int, float]] = {}
        self._demands: dict[str, demand.KeyDemand] = {}
        self._speeds: dict[tuple[str, int], demand.TargetSpeed] = {}
        self._last_registration_s = 0.0
        # When the plan was made by which blocks were last cut up.
        self._split_plan_created_s: dict[str, float] = {}

    @property
    def _registry(self) -> registry.RegistryState:
        return self._replica.state.registry

    def record_registration(self) -> None:
        """Wait a moment more with first layouts: a target has come."""
        self._last_registration_s = self._replica.clock()

    def plan(self, service: str) -> Plan:
        """Return shares and weights, made anew when they are old."""
        now_s = self._replica.clock()
        current = self._plans.get(service)
        revision = self._registry.revision
        space = self._registry.keyspaces[service]
        if current is not None:
            changed = current.revision != revision
            age_s_max = OUTDATED_PLAN_AGE_S_MAX if changed else PLAN_AGE_S_MAX
            same_blocks = current.block_count == len(space.firsts)
            if same_blocks and now_s < current.created_s + age_s_max:
                return current
        sizes = space.sizes()
        shares = self._shares(service)
        plan = Plan(
            created_s=now_s,
            revision=revision,
            block_count=len(space.firsts),
            weights=self.demand_of(service).weights(
                sizes,
                now_s,
                presumed_requests=len(shares)
                * demand.PRESUMED_REQUESTS_A_TARGET,
            ),
            shares=shares,
        )
        self._plans[service] = plan
        return plan

    def share(self, service: str, target: str) -> float:
        """Return a target's part of the requests, 0 if it gets no work."""
        registered = self._registry.targets.get(target)
        if registered is None or not self._registry.may_get_work(registered):
            return 0.0
        return self.plan(service).shares.get(target, 0.0)

    def is_unplanned(self, service: str, target: str) -> bool:
        """Whether a target has come into service since the last plan."""
        registered = self._registry.targets.get(target)
        return (
            registered is not None
            and self._registry.may_get_work(registered)
            and self.plan(service).revision != self._registry.revision
        )

    def demand_of(self, service: str) -> demand.KeyDemand:
        """Return the measured demand of a service."""
        return self._demands.setdefault(service, demand.KeyDemand())

    def observe(self, report: wire.ttypes.WatchRequest) -> None:
        """Take what an entry host measured."""
        now_s = self._replica.clock()
        for observation in report.observations or ():
            registered = self._registry.targets.get(observation.target)
            if (
                registered is None
                or registered.incarnation != observation.incarnation
            ):
                continue
            key = (observation.target, observation.incarnation)
            speed = self._speeds.setdefault(key, demand.TargetSpeed())
            speed.take(observation.work_ms, observation.answers, now_s)
        for block in report.blocks or ():
            self.demand_of(block.service_name).count(
                block.first_key, block.requests, now_s
            )

    def _shares(self, service: str) -> dict[str, float]:
        """Return what part of the requests each target should get."""
        now_s = self._replica.clock()
        eligible = self._eligible_targets(service)
        speeds = {
            target.target: self._speeds.get(
                (target.target, target.incarnation)
            )
            for target in eligible
        }
        usual_ms = demand.usual_work_ms(
            [speed for speed in speeds.values() if speed is not None], now_s
        )
        workers = {
            target.target: load_split.Worker(
                slots=target.slots,
                work_ms=demand.work_ms(speeds[target.target], usual_ms, now_s),
            )
            for target in eligible
        }
        return load_split.divide(
            workers, self.demand_of(service).requests_per_s(now_s)
        )

    def _eligible_targets(
        self, service: str
    ) -> list[registry.RegisteredTarget]:
        """Return the targets that may own keys.

        Cold ones are left out as long as enough are warm.
        """
        eligible = [
            target
            for target in self._registry.targets_of(service)
            if self._registry.may_get_work(target)
            and self._views.is_tracked(target.target)
        ]
        warm = [t for t in eligible if not self._views.is_cold(t.target)]
        return (
            warm if len(warm) >= WARM_SHARE_MIN * len(eligible) else eligible
        )

    def overdue(self, service: str, free: list[int]) -> list[int]:
        """Return the blocks that have been free for too long."""
        now_s = self._replica.clock()
        previous_since_s = self._free_since_s.get(service, {})
        since_s = {first: previous_since_s.get(first, now_s) for first in free}
        self._free_since_s[service] = since_s
        return [
            first
            for first, at_s in since_s.items()
            if now_s - at_s > FREE_BLOCK_S_MAX
        ]

    def block_splits(self) -> list[commands.Command]:
        """Cut up blocks that are too busy for one target."""
        proposals: list[commands.Command] = []
        for service, space in self._registry.keyspaces.items():
            if len(space.firsts) > self._blocks_max(service):
                continue
            plan = self.plan(service)
            if plan.created_s == self._split_plan_created_s.get(service):
                continue
            self._split_plan_created_s[service] = plan.created_s
            cuts = self._block_cuts(service, space, plan)
            if cuts:
                proposals.append(
                    registry.SplitBlocks(service=service, cuts=tuple(cuts))
                )
        return proposals

    def _block_cuts(
        self, service: str, space: registry.Keyspace, plan: Plan
    ) -> list[registry.BlockCut]:
        mean_share = 1 / max(1, len(plan.shares))
        key_demand = self.demand_of(service)
        requests_by_block = key_demand.requests(self._replica.clock())
        cuts: list[registry.BlockCut] = []
        for first, requests in requests_by_block.items():
            if requests < demand.CUT_REQUESTS_MIN:
                continue
            index = space.find(first)
            if index is None or not space.owners[index]:
                continue
            weight = plan.weights.get(first, 0.0)
            pieces = key_placement.pieces_of(
                weight, space.size(index), mean_share
            )
            if pieces < 2:
                continue
            cuts.append(registry.BlockCut(first_key=first, pieces=pieces))
            key_demand.split(first, space.pieces_of(index, pieces))
            LOG.info(
                "registry: cuts block %d of %s into %d, %.4f of the load",
                first,
                service,
                pieces,
                weight,
            )
        return cuts

    def _blocks_max(self, service: str) -> int:
        return BLOCKS_PER_TARGET_MAX * max(
            1, len(self._eligible_targets(service))
        )

    def initial_layouts(self, now_s: float) -> list[commands.Command]:
        """Lay a keyed service out once its targets have registered."""
        if now_s < self._last_registration_s + LAYOUT_DELAY_S:
            return []
        proposals: list[commands.Command] = []
        for name, service in self._registry.services().items():
            if not service.keyed or name in self._registry.keyspaces:
                continue
            shares = self._shares(name)
            if not shares:
                continue
            block_keys = key_placement.block_keys_for(len(shares))
            proposals.append(
                registry.LayOutKeys(
                    service=name,
                    block_keys=block_keys,
                    targets=tuple(shares),
                    owners=tuple(
                        key_placement.lay_out(
                            list(shares.values()),
                            key_placement.block_count(block_keys),
                        )
                    ),
                )
            )
            LOG.info(
                "registry: lays %s out over %d targets, %d keys a block",
                name,
                len(shares),
                block_keys,
            )
        return proposals

"""Planning of key block ownership for keyed services.

Entry hosts report requests per block and processing time per target. The
planner derives block weights, target shares, and the blocks to split.
"""

from __future__ import annotations

import logging
import math
import typing as ty

import attrs

from goldcrestproxy.control import commands
from goldcrestproxy.control import limit_reports
from goldcrestproxy.control import replica as replicas
from goldcrestproxy.control import target_views
from goldcrestproxy import registry
from goldcrestproxy.routing import demand
from goldcrestproxy.routing import key_placement
from goldcrestproxy.routing import load_split
from goldcrestproxy.routing import request_limits
from goldcrestproxy.routing import rest_time
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

# The first layout of a service waits until no target has registered for this
# long, slightly more than the usual heartbeat interval, so that it covers all
# targets that start together.
LAYOUT_DELAY_S: ty.Final = 1.2
# A block that has been free for longer is assigned to any target regardless
# of share. Most targets have sent a heartbeat by then, and none below its
# share has taken the block.
FREE_BLOCK_S_MAX: ty.Final = 0.6
# Below this share of warm targets, cold targets own keys too.
WARM_SHARE_MIN: ty.Final = 0.5
# Maximum blocks of a service per target, including the results of splits.
BLOCKS_PER_TARGET_MAX: ty.Final = 60
# A plan is recomputed at this age, or at the lower one after the registry has
# changed, which limits recomputation during a series of changes.
PLAN_AGE_S_MAX: ty.Final = 0.3
OUTDATED_PLAN_AGE_S_MAX: ty.Final = 0.1


@attrs.frozen(kw_only=True)
class Plan:
    """Desired ownership: weights of blocks and shares of targets.

    Weights and shares are fractions of the service's load.
    """

    created_s: float
    revision: int
    block_count: int
    weights: dict[int, float]
    shares: dict[str, float]


class KeyPlanner:
    """Compute block weights, target shares and layouts for one term."""

    def __init__(
        self,
        replica: replicas.Replica,
        views: target_views.TargetViews,
        limits: limit_reports.LimitReports,
    ) -> None:
        """Create a planner without measurements."""
        self._replica = replica
        self._limits = limits
        self._views = views
        self._plans: dict[str, Plan] = {}
        # When each block was first seen free, by service and first key.
        self._free_since_s: dict[str, dict[int, float]] = {}
        self._demands: dict[str, demand.KeyDemand] = {}
        self._work_times: dict[tuple[str, int], demand.TargetWorkTime] = {}
        self._rests_until_s: dict[tuple[str, int], float] = {}
        self._last_registration_s = 0.0
        # Creation time of the plan used for the last splits, by service.
        self._split_plan_created_s: dict[str, float] = {}

    @property
    def _registry(self) -> registry.RegistryState:
        return self._replica.state.registry

    def record_registration(self) -> None:
        """Restart the delay before the first layout of a service."""
        self._last_registration_s = self._replica.clock()

    def plan(self, service: str) -> Plan:
        """Return the current plan, recomputed if it is out of date."""
        now_s = self._replica.clock()
        current = self._plans.get(service)
        revision = self._registry.revision
        keyspace = self._registry.keyspaces[service]
        if current is not None:
            changed = current.revision != revision
            age_s_max = OUTDATED_PLAN_AGE_S_MAX if changed else PLAN_AGE_S_MAX
            same_blocks = current.block_count == len(keyspace.firsts)
            if same_blocks and now_s < current.created_s + age_s_max:
                return current
        sizes = keyspace.sizes()
        shares = self._shares(service)
        plan = Plan(
            created_s=now_s,
            revision=revision,
            block_count=len(keyspace.firsts),
            weights=self.demand_of(service).weights(
                sizes,
                now_s,
                prior_requests=len(shares) * demand.PRIOR_REQUESTS_PER_TARGET,
            ),
            shares=shares,
        )
        self._plans[service] = plan
        return plan

    def share(self, service: str, target: str) -> float:
        """Return a target's share of the requests, 0 if it gets no work."""
        registered = self._registry.targets.get(target)
        if registered is None or not self._registry.is_eligible(registered):
            return 0.0
        return self.plan(service).shares.get(target, 0.0)

    def is_unplanned(self, service: str, target: str) -> bool:
        """Whether a target in service may be missing from the plan.

        True while the registry has changed since the plan was computed.
        """
        registered = self._registry.targets.get(target)
        return (
            registered is not None
            and self._registry.is_eligible(registered)
            and self.plan(service).revision != self._registry.revision
        )

    def demand_of(self, service: str) -> demand.KeyDemand:
        """Return the measured demand of a service."""
        return self._demands.setdefault(service, demand.KeyDemand())

    def observe(self, report: wire.ttypes.WatchRequest) -> None:
        """Record the measurements reported by an entry host."""
        now_s = self._replica.clock()
        for observation in report.observations or ():
            registered = self._registry.targets.get(observation.target)
            if (
                registered is None
                or registered.incarnation != observation.incarnation
            ):
                continue
            key = (observation.target, observation.incarnation)
            work_time = self._work_times.setdefault(
                key, demand.TargetWorkTime()
            )
            work_time.record(observation.work_ms, observation.answers, now_s)
        for rest in report.rests or ():
            if rest.rest_ms >= rest_time.MOVING_REST_MS:
                self._rests_until_s[rest.target, rest.incarnation] = (
                    now_s + rest.rest_ms / 1000
                )
        for block in report.blocks or ():
            self.demand_of(block.service_name).count(
                block.first_key, block.requests, now_s
            )

    def _shares(self, service: str) -> dict[str, float]:
        """Return the share of the requests that each target should get."""
        now_s = self._replica.clock()
        eligible = self._eligible_targets(service)
        work_times = {
            target.target: self._work_times.get(
                (target.target, target.incarnation)
            )
            for target in eligible
        }
        mean_ms = demand.mean_work_ms(
            [
                work_time
                for work_time in work_times.values()
                if work_time is not None
            ],
            now_s,
        )
        capacities = {
            target.target: load_split.TargetCapacity(
                slots=target.slots,
                work_ms=demand.estimated_work_ms(
                    work_times[target.target], mean_ms, now_s
                ),
                limit_per_s=self._usable_limit_per_s(target),
            )
            for target in eligible
        }
        return load_split.divide(
            capacities, self.demand_of(service).requests_per_s(now_s)
        )

    def _usable_limit_per_s(self, target: registry.RegisteredTarget) -> float:
        limit_per_s = self._limits.limit_per_s(target)
        if limit_per_s is None:
            return math.inf
        return (
            max(request_limits.LIMIT_PER_S_MIN, limit_per_s)
            * request_limits.USED_SHARE
        )

    def _eligible_targets(
        self, service: str
    ) -> list[registry.RegisteredTarget]:
        """Return the targets that may own keys.

        Cold targets are excluded while enough targets are warm.
        """
        eligible = [
            target
            for target in self._registry.targets_of(service)
            if self._registry.is_eligible(target)
            and self._views.is_tracked(target.target)
        ]
        eligible = self._without_resting(eligible)
        warm = [t for t in eligible if not self._views.is_cold(t.target)]
        return (
            warm if len(warm) >= WARM_SHARE_MIN * len(eligible) else eligible
        )

    def _without_resting(
        self, targets: list[registry.RegisteredTarget]
    ) -> list[registry.RegisteredTarget]:
        """Return the targets that do not rest, all if too many rest."""
        now_s = self._replica.clock()
        for key, until_s in list(self._rests_until_s.items()):
            if until_s <= now_s:
                del self._rests_until_s[key]
        awake = [
            target
            for target in targets
            if (target.target, target.incarnation) not in self._rests_until_s
        ]
        resting = len(targets) - len(awake)
        move = rest_time.may_move_keys(resting, len(targets))
        return awake if move else targets

    def overdue(self, service: str, free: list[int]) -> list[int]:
        """Return the blocks that have been free for over FREE_BLOCK_S_MAX."""
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
        """Return commands that split blocks too busy for one target."""
        proposals: list[commands.Command] = []
        for service, keyspace in self._registry.keyspaces.items():
            if len(keyspace.firsts) > self._blocks_max(service):
                continue
            plan = self.plan(service)
            if plan.created_s == self._split_plan_created_s.get(service):
                continue
            self._split_plan_created_s[service] = plan.created_s
            cuts = self._block_cuts(service, keyspace, plan)
            if cuts:
                proposals.append(
                    registry.SplitBlocks(service=service, cuts=tuple(cuts))
                )
        return proposals

    def _block_cuts(
        self, service: str, keyspace: registry.Keyspace, plan: Plan
    ) -> list[registry.BlockCut]:
        mean_share = 1 / max(1, len(plan.shares))
        key_demand = self.demand_of(service)
        requests_by_block = key_demand.requests(self._replica.clock())
        cuts: list[registry.BlockCut] = []
        for first, requests in requests_by_block.items():
            if requests < demand.SPLIT_REQUESTS_MIN:
                continue
            index = keyspace.position_of_block(first)
            if index is None or not keyspace.owners[index]:
                continue
            weight = plan.weights.get(first, 0.0)
            pieces = key_placement.piece_count(
                weight, keyspace.size(index), mean_share
            )
            if pieces < 2:
                continue
            cuts.append(registry.BlockCut(first_key=first, pieces=pieces))
            key_demand.split(first, keyspace.piece_first_keys(index, pieces))
            LOG.info(
                "registry: splitting block %d of %s into %d, %.4f of the load",
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
        """Return the first layouts of keyed services.

        A service is laid out once its targets have registered.
        """
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
                        key_placement.assign_blocks(
                            list(shares.values()),
                            key_placement.block_count(block_keys),
                        )
                    ),
                )
            )
            LOG.info(
                "registry: laying out %s over %d targets, %d keys a block",
                name,
                len(shares),
                block_keys,
            )
        return proposals

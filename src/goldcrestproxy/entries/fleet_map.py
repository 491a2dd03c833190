"""An entry host's view of the registry: routes, key owners, targets."""

from __future__ import annotations

import logging
import math
import random
import typing as ty

import attrs

from goldcrestproxy.control import clock as clocks
from goldcrestproxy.control import observations
from goldcrestproxy.entries import state_watcher
from goldcrestproxy import errors
from goldcrestproxy import registry
from goldcrestproxy.routing import cold_rate
from goldcrestproxy.routing import customers
from goldcrestproxy.routing import leaving
from goldcrestproxy.routing import request_limits
from goldcrestproxy.routing import rest_time
from goldcrestproxy.routing import route_table
from goldcrestproxy.routing import target_choice
from goldcrestproxy.routing import target_room
from goldcrestproxy import telemetry
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

# A quarantined request is let through again after this, since a harmless one
# may have the same fingerprint; the next crash quarantines it anew.
QUARANTINE_S: ty.Final = 120.0
# By then a block whose owner answered "misdirected" has a new owner, or its
# owner holds it.
MISDIRECTED_S: ty.Final = 0.25


@attrs.frozen(kw_only=True)
class Quarantine:
    """A quarantined request at this host.

    ``crash_s`` is when it last crashed a target, on the leader's wall clock;
    ``until_s`` is when it is let through again, on this host's clock.
    """

    crash_s: float
    until_s: float


@attrs.frozen(kw_only=True)
class Ownership:
    """A key block, its owner and the fencing token of the grant."""

    service: str
    first_key: int
    owner: str
    token: int


@attrs.define(kw_only=True)
class TrackedTarget:
    """A target's record with this host's statistics and its limits.

    The target is cold until ``cold_until_s``, monotonic time. ``available``
    is whether the state lets it receive requests of a pool.
    """

    record: registry.RegisteredTarget
    stats: target_choice.TargetStats
    available: bool = False
    cold_index: int = 0
    cold_until_s: float = 0.0
    rate: cold_rate.ColdRateLimiter
    # The limit that the target names in its answers.
    request_limit: request_limits.RequestLimit = attrs.field(
        factory=request_limits.RequestLimit
    )
    rest: rest_time.RestTime = attrs.field(factory=rest_time.RestTime)
    room: target_room.TargetRoom = attrs.field(
        default=attrs.Factory(
            lambda self: target_room.TargetRoom(slots=self.stats.slots),
            takes_self=True,
        )
    )
    # When an answer to this host first said that the target leaves.
    leaving_s: float | None = None
    leaving_grace_s: float = leaving.keyed_grace_s(leaving.DRAIN_MS_DEFAULT)

    def has_room(self, now_s: float) -> bool:
        """Whether it is expected to have room for another request."""
        return self.room.has_room(self.stats.requests_ahead(now_s), now_s)

    def has_left(self, now_s: float, *, keyed: bool) -> bool:
        """Whether it gets nothing more, by its answers to this host."""
        return not leaving.may_send(
            self.leaving_s, now_s, keyed=keyed, grace_s=self.leaving_grace_s
        )

    @property
    def name(self) -> str:
        """The target's name in the registry."""
        return self.record.target


class FleetMap:
    """Indexes the registry and is rebuilt whenever its revision changes.

    Statistics of a target last as long as its incarnation.
    """

    def __init__(
        self,
        watcher: state_watcher.StateWatcher,
        clock: ty.Callable[[], float],
        rng: random.Random,
        drain_ms: float = leaving.DRAIN_MS_DEFAULT,
    ) -> None:
        """Create a map without routes and targets, updated by ``watcher``.

        :param clock: monotonic time in seconds
        :param drain_ms: time for which a leaving target serves
        """
        self.routes = route_table.RouteTable(())
        self.targets: dict[str, TrackedTarget] = {}
        self.services: dict[str, registry.Service] = {}
        self.customers = customers.CustomerTable(())
        self._by_service: dict[str, list[TrackedTarget]] = {}
        # Until when blocks are treated as moving to another owner.
        self._misdirected_until_s: dict[Ownership, float] = {}
        self._watcher = watcher
        self._clock = clock
        self._rng = rng
        self._leaving_grace_s = leaving.keyed_grace_s(drain_ms)
        self._revision = -1
        self._items_revision = -1
        # By fingerprint. Each request reads it; looking through all suspects
        # takes too long for that.
        self._quarantines: dict[str, Quarantine] = {}
        # No request waits for a permit again until then, whatever its target;
        # permits for cold targets apart.
        self._permits_fail_until_s = {False: 0.0, True: 0.0}
        watcher.add_listener(self._refresh)
        watcher.add_listener(self._refresh_quarantine)
        watcher.add_limit_listener(self._apply_limits)

    @property
    def registry(self) -> registry.RegistryState:
        """The registry's part of the replicated state."""
        return self._watcher.state.registry

    @property
    def revision(self) -> int:
        """Revision of the registry at the last update, -1 before the first."""
        return self._revision

    @property
    def current(self) -> bool:
        """Whether the replicated state is up to date and contains routes."""
        return self._watcher.current and not self.routes.empty

    @property
    def age_ms(self) -> int:
        """Milliseconds since a control host last answered, -1 before that."""
        return self._watcher.age_ms

    @property
    def may_refuse_unknown(self) -> bool:
        """Whether a route that is missing here is in force nowhere."""
        return self._watcher.may_refuse_unknown

    @property
    def may_serve(self) -> bool:
        """Whether the routes here may still be used."""
        return self._watcher.may_serve

    @property
    def connected(self) -> bool:
        """Whether a control host answered this host's last report."""
        return self._watcher.connected

    async def ask_if_newest(self, timeout_s: float) -> None:
        """Ask a control host whether the state here is the newest one.

        Returns when there is an answer or a change, or after ``timeout_s``.
        """
        await self._watcher.ask_if_newest(timeout_s)

    def describe_copy(self) -> dict[str, ty.Any]:
        """Return how recent the state here is, for log lines."""
        return {
            "applied_index": self._watcher.state.applied_index,
            "binding_index": self.registry.binding_index,
            "map_age_ms": self.age_ms,
            "copy_age_ms": self._watcher.copy_age_ms,
        }

    @property
    def entry_hosts(self) -> int:
        """Number of entry hosts, this one included, that share limits."""
        return self._watcher.entry_hosts

    async def ask_permit(self, target: TrackedTarget) -> bool:
        """Ask the leader whether a target may get a request from here."""
        limit = target.request_limit
        limit_per_s = limit.limit_per_s
        if limit_per_s is None:
            return True
        retry_after_ms = await self._ask_leader(
            target, limit_per_s, cold=False
        )
        if retry_after_ms is None:
            retry_after_ms = max(1, self._permits_fail_for_ms(cold=False))
        if retry_after_ms:
            limit.record_denial(retry_after_ms, self._clock())
        return not retry_after_ms

    async def ask_cold_permit(self, target: TrackedTarget) -> bool:
        """Ask the leader whether a cold target may get a request from here.

        Without an answer, the slots of this host decide.
        """
        service = self.services.get(target.record.service)
        rate_per_s = service.cold_requests_per_s if service else 0.0
        retry_after_ms = await self._ask_leader(target, rate_per_s, cold=True)
        now_s = self._clock()
        if retry_after_ms is None:
            return target.rate.take_slot(now_s, rate_per_s, self.entry_hosts)
        if retry_after_ms:
            target.rate.record_denial(retry_after_ms, now_s)
        return not retry_after_ms

    async def _ask_leader(
        self, target: TrackedTarget, limit_per_s: float, *, cold: bool
    ) -> int | None:
        """Ask for a permit; return 0 or when to ask again, in milliseconds.

        Returns None without an answer, now or a moment ago.
        """
        if self._permits_fail_for_ms(cold=cold):
            return None
        try:
            return await self._watcher.ask_permit(
                target.name, target.record.incarnation, limit_per_s, cold=cold
            )
        except (errors.WireError, errors.RefusedError) as error:
            LOG.info("entries: no permit for %s: %s", target.name, error)
            self._permits_fail_until_s[cold] = (
                self._clock() + request_limits.PERMIT_FAILURE_MS / 1000
            )
            return None

    async def ask_quota(
        self, request: wire.ttypes.QuotaRequest, timeout_s: float
    ) -> wire.ttypes.QuotaReply:
        """Ask the leader for tokens; see ``StateWatcher.ask_quota``."""
        return await self._watcher.ask_quota(request, timeout_s)

    def _permits_fail_for_ms(self, *, cold: bool) -> int:
        left_s = self._permits_fail_until_s[cold] - self._clock()
        return max(0, math.ceil(left_s * 1000))

    def available_targets(self, service: str) -> list[TrackedTarget]:
        """Return the targets of a service that may receive requests."""
        return self._by_service.get(service, [])

    def is_available(self, target: TrackedTarget) -> bool:
        """Whether a target, in its lifetime, may receive requests."""
        return target.available and self.targets.get(target.name) is target

    def is_keyed(self, name: str) -> bool:
        """Whether a service is divided by key."""
        service = self.services.get(name)
        return service is not None and service.keyed

    def ownership(self, service: str, key: int) -> Ownership | None:
        """Return the owner of a key's block, None without a key space."""
        keyspace = self.registry.keyspaces.get(service)
        if keyspace is None:
            return None
        block_index = keyspace.position_of(key)
        return Ownership(
            service=service,
            first_key=keyspace.firsts[block_index],
            owner=keyspace.owners[block_index],
            token=keyspace.tokens[block_index],
        )

    def owner(self, service: str, key: int) -> TrackedTarget | None:
        """Return the target that owns a key, None if there is none.

        Also None shortly after the owner answered "misdirected".
        """
        ownership = self.ownership(service, key)
        if ownership is None or self._is_misdirected(ownership):
            return None
        return self.targets.get(ownership.owner)

    def mark_misdirected(self, service: str, key: int) -> None:
        """Treat the block of a key as moving for ``MISDIRECTED_S`` seconds."""
        ownership = self.ownership(service, key)
        if ownership is not None:
            self._misdirected_until_s[ownership] = (
                self._clock() + MISDIRECTED_S
            )

    def _is_misdirected(self, ownership: Ownership) -> bool:
        until_s = self._misdirected_until_s.get(ownership)
        if until_s is None:
            return False
        if self._clock() < until_s:
            return True
        del self._misdirected_until_s[ownership]
        return False

    @property
    def observations(self) -> observations.Observations:
        """Observations of targets that are reported to the leader."""
        return self._watcher.observations

    def count_request(self, service: str, key: int) -> None:
        """Count a request towards the load of the key's block."""
        keyspace = self.registry.keyspaces.get(service)
        if keyspace is not None:
            first_key = keyspace.firsts[keyspace.position_of(key)]
            self.observations.count_request(service, first_key)

    async def wait_change(self, timeout_s: float) -> None:
        """Wait for the next change of the state, at most ``timeout_s``."""
        await self._watcher.wait_change(timeout_s)

    @property
    def quarantined(self) -> set[str]:
        """Fingerprints of requests that recently crashed targets."""
        if not self._quarantines:
            return set()
        now_s = self._clock()
        return {
            fingerprint
            for fingerprint, quarantine in self._quarantines.items()
            if now_s < quarantine.until_s
        }

    @property
    def has_suspects(self) -> bool:
        """Whether any requests are suspected of having crashed targets."""
        return bool(self._watcher.state.quarantine.crashes)

    def clear_suspicion(self, fingerprint: str) -> bool:
        """Report that a target has answered a request, if it is suspected.

        Returns whether it was suspected.
        """
        suspected = fingerprint in self._watcher.state.quarantine.crashes
        if suspected:
            self.observations.record_cleared(fingerprint)
        return suspected

    def is_cold(self, target: TrackedTarget) -> bool:
        """Whether a target is still in its cold period."""
        return self._clock() < target.cold_until_s

    def cold_left_ms(self, target: TrackedTarget) -> int:
        """Return the rest of a target's cold period, 0 if it is warm."""
        left_s = target.cold_until_s - self._clock()
        return max(0, math.ceil(left_s * 1000))

    def _apply_limits(self, limits: list[wire.ttypes.TargetLimit]) -> None:
        """Store the limits that all hosts together know."""
        now_s = self._clock()
        known = {(limit.target, limit.incarnation): limit for limit in limits}
        for tracked in self.targets.values():
            limit = known.get((tracked.name, tracked.record.incarnation))
            if limit is not None:
                tracked.request_limit.record_fleet(
                    request_limits.FleetLimit(
                        limit_per_s=limit.limit_per_s,
                        offered_per_s=limit.offered_per_s,
                    ),
                    now_s,
                )
            elif tracked.request_limit.limit_per_s is not None:
                tracked.request_limit.record_unknown(now_s)

    def _refresh_quarantine(self) -> None:
        crashes_s = self._watcher.state.quarantine.last_crashes_s()
        self._quarantines = {
            fingerprint: self._quarantine(fingerprint, crash_s)
            for fingerprint, crash_s in crashes_s.items()
        }

    def _quarantine(self, fingerprint: str, crash_s: float) -> Quarantine:
        """Return a quarantine, which starts when this host hears of a crash.

        The wall clocks of the leader and this host may differ. They are
        compared only for crashes from before this host caught up.
        """
        known = self._quarantines.get(fingerprint)
        if known is not None and known.crash_s == crash_s:
            return known
        left_s = QUARANTINE_S
        if not self._watcher.current:
            left_s = min(left_s, crash_s + QUARANTINE_S - clocks.wall_s())
        return Quarantine(crash_s=crash_s, until_s=self._clock() + left_s)

    def _refresh(self) -> None:
        state = self.registry
        if state.revision == self._revision:
            return
        self._revision = state.revision
        now_s = self._clock()
        self._misdirected_until_s = {
            ownership: until_s
            for ownership, until_s in self._misdirected_until_s.items()
            if until_s > now_s
        }
        if state.items_revision != self._items_revision:
            routes = route_table.RouteTable(state.items.values())
            routes.reuse_schedules(self.routes)
            self.routes = routes
            self.services = state.services()
            self.customers = customers.CustomerTable(state.items.values())
            self._items_revision = state.items_revision
            LOG.info(
                "entries: items in force as of index %d, applied %d, "
                "routes built in %d ms",
                state.binding_index,
                self._watcher.state.applied_index,
                (self._clock() - now_s) * 1000,
            )
        self.targets = {
            name: self._track(record)
            for name, record in state.targets.items()
            if self._is_tracked(record) or record.usable
        }
        self._by_service = {}
        for tracked in self.targets.values():
            tracked.available = state.is_eligible(tracked.record)
            if tracked.available:
                self._by_service.setdefault(tracked.record.service, []).append(
                    tracked
                )

    def _is_tracked(self, record: registry.RegisteredTarget) -> bool:
        tracked = self.targets.get(record.target)
        return tracked is not None and tracked.record is record

    def _track(self, record: registry.RegisteredTarget) -> TrackedTarget:
        now_s = self._clock()
        tracked = self.targets.get(record.target)
        if tracked is None or tracked.record.incarnation != record.incarnation:
            tracked = TrackedTarget(
                record=record,
                stats=target_choice.TargetStats(slots=max(1, record.slots)),
                rate=cold_rate.ColdRateLimiter(phase=self._rng.random()),
                request_limit=request_limits.RequestLimit(
                    tokens=self._rng.random()
                ),
                leaving_grace_s=self._leaving_grace_s,
            )
        tracked.record = record
        if record.cold_index != tracked.cold_index:
            tracked.cold_index = record.cold_index
            tracked.cold_until_s = now_s + record.cold_ms / 1000
            if record.cold_ms:
                tracked.rate.start(now_s, self._rng.random())
                self._log_cold(tracked)
        return tracked

    def _log_cold(self, tracked: TrackedTarget) -> None:
        telemetry.log_event(
            LOG,
            "entries: a target is cold",
            target=tracked.name,
            incarnation=tracked.record.incarnation,
            service=tracked.record.service,
            zone=tracked.record.zone,
            cold_ms=tracked.record.cold_ms,
            cold_index=tracked.cold_index,
            entry_hosts=self.entry_hosts,
            **self.describe_copy(),
        )

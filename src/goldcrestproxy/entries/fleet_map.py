"""The registry as an entry host uses it: routes, owners, targets."""

from __future__ import annotations

import random
import typing as ty

import attrs

from goldcrestproxy.control import clock as clocks
from goldcrestproxy.control import observations
from goldcrestproxy.entries import fleet_request
from goldcrestproxy.entries import state_watcher
from goldcrestproxy import registry
from goldcrestproxy.routing import cold_rate
from goldcrestproxy.routing import route_table
from goldcrestproxy.routing import target_choice

# A request that crashed targets is tried again after this, and quarantined
# anew with its next crash: another request may only look like it.
QUARANTINE_S: ty.Final = 120.0
# A block that its owner denied has another one, or is held, after this.
MISDIRECTED_S: ty.Final = 0.25


@attrs.frozen(kw_only=True)
class Ownership:
    """A block of keys, its owner and the token by which it was given."""

    service: str
    first_key: int
    owner: str
    token: int


@attrs.define(kw_only=True)
class TrackedTarget:
    """A target's record, what this host measured, and its cold time."""

    record: registry.RegisteredTarget
    stats: target_choice.TargetStats
    cold_index: int = 0
    cold_until_s: float = 0.0
    rate: cold_rate.ColdRate = attrs.field()

    @property
    def name(self) -> str:
        """The target's id."""
        return self.record.target


class FleetMap:
    """Follows the registry; keeps measures of targets over its changes."""

    def __init__(
        self,
        watcher: state_watcher.StateWatcher,
        clock: ty.Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Start with no routes and no targets."""
        self.routes = route_table.RouteTable(())
        self.targets: dict[str, TrackedTarget] = {}
        self.services: dict[str, registry.Service] = {}
        self._by_service: dict[str, list[TrackedTarget]] = {}
        # Until when blocks are taken to be on their way to another owner.
        self._misdirected_until_s: dict[Ownership, float] = {}
        self._watcher = watcher
        self._clock = clock
        self._rng = rng
        self._revision = -1
        self._items_revision = -1
        watcher.add_listener(self._refresh)

    @property
    def registry(self) -> registry.RegistryState:
        """The registry's state here."""
        return self._watcher.state.registry

    @property
    def revision(self) -> int:
        """The newest change of items, targets or zones known here."""
        return self._revision

    @property
    def current(self) -> bool:
        """Whether the routes in force have reached this host."""
        return self._watcher.current and not self.routes.empty

    @property
    def age_ms(self) -> int:
        """Milliseconds since the leader was last heard."""
        return self._watcher.age_ms

    @property
    def entry_hosts(self) -> int:
        """Entry hosts that share limits with this one."""
        return self._watcher.entry_hosts

    def pool(self, service: str) -> list[TrackedTarget]:
        """Return the targets of a service that may get work."""
        return self._by_service.get(service, [])

    def ownership(self, service: str, key: int) -> Ownership | None:
        """Return who owns the block of a key by the newest state here."""
        keyspace = self.registry.keyspaces.get(service)
        if keyspace is None:
            return None
        block_index = keyspace.at(key)
        return Ownership(
            service=service,
            first_key=keyspace.firsts[block_index],
            owner=keyspace.owners[block_index],
            token=keyspace.tokens[block_index],
        )

    def owner(self, service: str, key: int) -> TrackedTarget | None:
        """Return the target that owns a key, None while nobody does.

        Nor while its owner has just said that it does not.
        """
        ownership = self.ownership(service, key)
        if ownership is None or self._is_misdirected(ownership):
            return None
        return self.targets.get(ownership.owner)

    def mark_misdirected(self, service: str, key: int) -> None:
        """Note that the owner of a key does not hold it now."""
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
        """What this host reports to the leader."""
        return self._watcher.observations

    def count_request(self, service: str, key: int) -> None:
        """Count a request for a key."""
        keyspace = self.registry.keyspaces.get(service)
        if keyspace is not None:
            first_key = keyspace.firsts[keyspace.at(key)]
            self.observations.count_request(service, first_key)

    async def wait_change(self, timeout_s: float) -> None:
        """Wait for the next change, at most ``timeout_s``."""
        await self._watcher.wait_change(timeout_s)

    def is_quarantined(self, request: fleet_request.FleetRequest) -> bool:
        """Whether requests like this one lately crashed their targets."""
        quarantine = self._watcher.state.quarantine
        # Nearly always empty; a fingerprint for each request is not free.
        return bool(quarantine.crashes) and quarantine.is_quarantined_since(
            request.fingerprint, clocks.wall_s() - QUARANTINE_S
        )

    def is_cold(self, target: TrackedTarget) -> bool:
        """Whether a target is in its cold time."""
        return self._clock() < target.cold_until_s

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
            self._items_revision = state.items_revision
            routes = route_table.RouteTable(state.items.values())
            routes.keep_turns(self.routes)
            self.routes = routes
            self.services = state.services()
        self.targets = {
            name: self._track(record) for name, record in state.targets.items()
        }
        self._by_service = {}
        for tracked in self.targets.values():
            if state.may_get_work(tracked.record):
                self._by_service.setdefault(tracked.record.service, []).append(
                    tracked
                )

    def _track(self, record: registry.RegisteredTarget) -> TrackedTarget:
        now_s = self._clock()
        tracked = self.targets.get(record.target)
        if tracked is None or tracked.record.incarnation != record.incarnation:
            tracked = TrackedTarget(
                record=record,
                stats=target_choice.TargetStats(slots=max(1, record.slots)),
                rate=cold_rate.ColdRate(
                    tokens=self._rng.random(), filled_s=now_s
                ),
            )
        tracked.record = record
        if record.cold_index != tracked.cold_index:
            tracked.cold_index = record.cold_index
            tracked.cold_until_s = now_s + record.cold_ms / 1000
        return tracked

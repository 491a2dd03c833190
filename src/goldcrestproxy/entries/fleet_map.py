"""The registry as an entry host uses it: routes, owners, targets."""

from __future__ import annotations

import random
import typing as ty

import attrs

from goldcrestproxy.control import clock as clocks
from goldcrestproxy.control import observations
from goldcrestproxy.entries import fleet_request
from goldcrestproxy.entries import map_link
from goldcrestproxy import registry
from goldcrestproxy.routing import cold_rate
from goldcrestproxy.routing import route_table
from goldcrestproxy.routing import target_choice

# A request that crashed targets is tried again after this, and quarantined
# anew with its next crash: another request may only look like it.
QUARANTINE_S: ty.Final = 120.0
# A block that its owner denied has another one, or is held, after this.
DENIED_S: ty.Final = 0.25


@attrs.frozen(kw_only=True)
class Ownership:
    """A block of keys, its owner and the token by which it was given."""

    service: str
    first_key: int
    owner: str
    token: int


@attrs.define(kw_only=True)
class KnownTarget:
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
        link: map_link.MapLink,
        clock: ty.Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Start with no routes and no targets."""
        self.routes = route_table.RouteTable(())
        self.targets: dict[str, KnownTarget] = {}
        self.services: dict[str, registry.Service] = {}
        self._by_service: dict[str, list[KnownTarget]] = {}
        # Until when blocks are taken to be on their way to another owner.
        self._denied: dict[Ownership, float] = {}
        self._link = link
        self._clock = clock
        self._rng = rng
        self._revision = -1
        self._items_revision = -1
        link.listen(self._refresh)

    @property
    def registry(self) -> registry.RegistryState:
        """The registry's state here."""
        return self._link.state.registry

    @property
    def revision(self) -> int:
        """The newest change of items, targets or zones known here."""
        return self._revision

    @property
    def current(self) -> bool:
        """Whether the routes in force have reached this host."""
        return self._link.current and not self.routes.empty

    @property
    def age_ms(self) -> int:
        """Milliseconds since the leader was last heard."""
        return self._link.age_ms

    @property
    def entry_hosts(self) -> int:
        """Entry hosts that share limits with this one."""
        return self._link.entry_hosts

    def pool(self, service: str) -> list[KnownTarget]:
        """Return the targets of a service that may get work."""
        return self._by_service.get(service, [])

    def ownership(self, service: str, key: int) -> Ownership | None:
        """Return who owns the block of a key by the newest state here."""
        space = self.registry.keyspaces.get(service)
        if space is None:
            return None
        at = space.at(key)
        return Ownership(
            service=service,
            first_key=space.firsts[at],
            owner=space.owners[at],
            token=space.tokens[at],
        )

    def owner(self, service: str, key: int) -> KnownTarget | None:
        """Return the target that owns a key, None while nobody does.

        Nor while its owner has just said that it does not.
        """
        owned = self.ownership(service, key)
        if owned is None or self._is_denied(owned):
            return None
        return self.targets.get(owned.owner)

    def note_denied(self, service: str, key: int) -> None:
        """Note that the owner of a key does not hold it now."""
        owned = self.ownership(service, key)
        if owned is not None:
            self._denied[owned] = self._clock() + DENIED_S

    def _is_denied(self, owned: Ownership) -> bool:
        until_s = self._denied.get(owned)
        if until_s is None:
            return False
        if self._clock() < until_s:
            return True
        del self._denied[owned]
        return False

    @property
    def observations(self) -> observations.Observations:
        """What this host reports to the leader."""
        return self._link.observations

    def count(self, service: str, key: int) -> None:
        """Count a request for a key."""
        space = self.registry.keyspaces.get(service)
        if space is not None:
            block = space.firsts[space.at(key)]
            self.observations.count_request(service, block)

    async def wait_change(self, timeout_s: float) -> None:
        """Wait for the next change, at most ``timeout_s``."""
        await self._link.wait_change(timeout_s)

    def is_quarantined(self, request: fleet_request.FleetRequest) -> bool:
        """Whether requests like this one lately crashed their targets."""
        quarantine = self._link.state.quarantine
        # Nearly always empty; a fingerprint for each request is not free.
        return bool(quarantine.crashes) and quarantine.is_quarantined_since(
            request.fingerprint, clocks.wall_s() - QUARANTINE_S
        )

    def is_cold(self, target: KnownTarget) -> bool:
        """Whether a target is in its cold time."""
        return self._clock() < target.cold_until_s

    def _refresh(self) -> None:
        state = self.registry
        if state.revision == self._revision:
            return
        self._revision = state.revision
        now_s = self._clock()
        self._denied = {
            owned: until_s
            for owned, until_s in self._denied.items()
            if until_s > now_s
        }
        if state.items_revision != self._items_revision:
            self._items_revision = state.items_revision
            routes = route_table.RouteTable(state.items.values())
            routes.keep_turns(self.routes)
            self.routes = routes
            self.services = state.services()
        self.targets = {
            name: self._known(record) for name, record in state.targets.items()
        }
        self._by_service = {}
        for known in self.targets.values():
            if state.may_get_work(known.record):
                self._by_service.setdefault(known.record.service, []).append(
                    known
                )

    def _known(self, record: registry.RegisteredTarget) -> KnownTarget:
        now_s = self._clock()
        known = self.targets.get(record.target)
        if known is None or known.record.incarnation != record.incarnation:
            known = KnownTarget(
                record=record,
                stats=target_choice.TargetStats(slots=max(1, record.slots)),
                rate=cold_rate.ColdRate(
                    tokens=self._rng.random(), filled_s=now_s
                ),
            )
        known.record = record
        if record.cold_index != known.cold_index:
            known.cold_index = record.cold_index
            known.cold_until_s = now_s + record.cold_ms / 1000
        return known

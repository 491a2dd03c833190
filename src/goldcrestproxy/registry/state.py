"""State of the registry: items, targets and owners of keys.

Part of the replicated state: every replica and every daemon applies the same
commands in the same order, so nothing here reads a clock.
"""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy.registry import commands
from goldcrestproxy.registry import endpoints
from goldcrestproxy.registry import items
from goldcrestproxy.registry import keyspace

# Peers' messages hold integers of 64 bits.
INTEGER_MAX: ty.Final = (1 << 63) - 1
# Far above what a target runs at once. A higher number would draw all keys.
SLOTS_MAX: ty.Final = 10_000
LOST_TARGETS_MAX: ty.Final = 1_000
# Far more than may leave while a late heartbeat of one is on its way.
DEPARTED_TARGETS_MAX: ty.Final = 1_000


@attrs.define(kw_only=True)
class RegisteredTarget:
    """A target with the state that it last reported.

    ``lost`` targets stopped sending heartbeats; ``gone`` ones sent a goodbye.
    """

    target: str
    incarnation: int
    service: str
    zone: str
    address: str
    slots: int
    leaving: bool = False
    lost: bool = False
    gone: bool = False
    # Remaining cold time when the log entry ``cold_index`` was applied.
    cold_ms: int = 0
    cold_index: int = 0
    # Highest sequence number of a heartbeat of this incarnation that the log
    # tells of. Heartbeats up to it are out of date for every later leader.
    sequence: int = -1

    @property
    def usable(self) -> bool:
        """Whether hosts can send to the target and report about it.

        Earlier builds accepted heartbeats with values out of range.
        """
        return (
            0 <= self.incarnation <= INTEGER_MAX
            and 0 < self.slots <= SLOTS_MAX
            and endpoints.is_endpoint(self.address)
        )

    @property
    def accepts_work(self) -> bool:
        """Whether the target accepts requests, regardless of its zone."""
        return not (self.leaving or self.lost or self.gone)


@attrs.define(kw_only=True)
class RegistryState:
    """Result of applying the registry's commands in order."""

    items: dict[str, items.Item] = attrs.field(factory=dict)
    zones_out: list[str] = attrs.field(factory=list)
    # Log index of the last order about each zone, also of repeated ones.
    zone_orders: dict[str, int] = attrs.field(factory=dict)
    targets: dict[str, RegisteredTarget] = attrs.field(factory=dict)
    keyspaces: dict[str, keyspace.Keyspace] = attrs.field(factory=dict)
    # Last incarnation of each removed target, the latest removal last.
    departed: dict[str, int] = attrs.field(factory=dict)
    # Incremented by each change of items, targets or zones.
    revision: int = 0
    # The revision of the last change of items.
    items_revision: int = 0
    # Log index of the last change that binds all hosts within a time: of
    # items, of zones, or of targets that leave.
    binding_index: int = 0
    # Entry hosts that may hold shares of customers' quotas.
    quota_hosts: list[str] = attrs.field(factory=list)

    def apply(self, index: int, command: commands.Command) -> str:
        """Apply the command of the log entry ``index``.

        Returns why the command was refused, or an empty string.
        """
        match command:
            case commands.ChangeItems():
                return self._change_items(index, command)
            case commands.SetZone():
                self._set_zone(index, command)
            case commands.RegisterTarget():
                self._register(index, command)
            case commands.LoseTarget():
                self._mark_lost(index, command)
            case commands.LayOutKeys():
                self._lay_out(index, command)
            case commands.FreeBlocks():
                self._free_blocks(command)
            case commands.GiveBlocks():
                self._give_blocks(index, command)
            case commands.SplitBlocks():
                space = self.keyspaces.get(command.service)
                for cut in command.cuts if space is not None else ():
                    space.split(cut.first_key, cut.pieces)
            case commands.SetQuotaHosts(hosts=hosts):
                self.quota_hosts = list(hosts)
        return ""

    @property
    def current_items(self) -> list[items.Item]:
        """The items that are not removed."""
        return [item for item in self.items.values() if not item.removed]

    def services(self) -> dict[str, items.Service]:
        """Return the services by name."""
        return {
            item.key.name: item.value
            for item in self.items.values()
            if isinstance(item.value, items.Service)
        }

    def without_keys(self) -> RegistryState:
        """Return the state without text that may hold customers' keys."""
        return attrs.evolve(
            self,
            items={
                name: item.without_keys() for name, item in self.items.items()
            },
        )

    def customer(self, name: str) -> items.Customer | None:
        """Return a customer in force, None if there is none of this name."""
        key = items.ItemKey(kind=items.ItemKind.CUSTOMER, name=name)
        item = self.items.get(key.text())
        if item is None or not isinstance(item.value, items.Customer):
            return None
        return item.value

    @property
    def names_customers(self) -> bool:
        """Whether any item is or was about a customer."""
        return any(
            item.key.kind is items.ItemKind.CUSTOMER
            for item in self.items.values()
        )

    def is_eligible(self, target: RegisteredTarget) -> bool:
        """Whether a target may get new requests."""
        return target.accepts_work and target.zone not in self.zones_out

    def targets_of(self, service: str) -> list[RegisteredTarget]:
        """Return the targets of a service, whatever their state."""
        return [
            target
            for target in self.targets.values()
            if target.service == service
        ]

    def _change_items(self, index: int, command: commands.ChangeItems) -> str:
        merged = dict(self.items)
        for item in command.changed:
            existing = merged.get(item.key.text())
            if existing is None or item.version > existing.version:
                merged[item.key.text()] = item
        undefined = items.undefined_services(
            [*merged.values(), *self._sent_routes(command)]
        )
        if undefined:
            return f"routes name unknown services: {sorted(undefined)}"
        if merged != self.items:
            self.items = merged
            self.revision += 1
            self.items_revision = self.revision
            self.binding_index = index
        return ""

    def _sent_routes(self, command: commands.ChangeItems) -> list[items.Item]:
        """Return the sent routes, which must be valid even if outdated."""
        return [
            item
            for item in command.changed
            if isinstance(item.value, items.Route)
        ]

    def _set_zone(self, index: int, command: commands.SetZone) -> None:
        self.zone_orders[command.zone] = index
        zones = set(self.zones_out)
        if command.out:
            zones.add(command.zone)
        else:
            zones.discard(command.zone)
        if sorted(zones) != self.zones_out:
            self.zones_out = sorted(zones)
            self.revision += 1
            self.binding_index = index

    def _register(self, index: int, command: commands.RegisterTarget) -> None:
        existing = self.targets.get(command.target)
        if (
            existing is not None
            and existing.incarnation != command.incarnation
        ):
            # The earlier process has ended and no longer holds any keys.
            self._free_all(existing)
        self._remove_predecessors(command)
        sequence = command.sequence
        if existing and existing.incarnation == command.incarnation:
            sequence = max(sequence, existing.sequence)
        self.targets[command.target] = RegisteredTarget(
            target=command.target,
            incarnation=command.incarnation,
            service=command.service,
            zone=command.zone,
            address=command.address,
            slots=command.slots,
            leaving=command.leaving,
            cold_ms=command.cold_ms,
            cold_index=index,
            sequence=sequence,
        )
        self.revision += 1
        if command.leaving:
            self.binding_index = index

    def _remove_predecessors(self, command: commands.RegisterTarget) -> None:
        """Remove earlier targets whose address is in use again."""
        for other in list(self.targets.values()):
            if (
                other.address == command.address
                and other.target != command.target
                and other.incarnation < command.incarnation
            ):
                self._free_all(other)
                self._remove(other)

    def _mark_lost(self, index: int, command: commands.LoseTarget) -> None:
        target = self.targets.get(command.target)
        if target is None or target.incarnation != command.incarnation:
            return
        target.lost = True
        target.gone = target.gone or command.gone
        self.revision += 1
        if command.gone:
            self.binding_index = index
        self._remove_gone()

    def _remove_gone(self) -> None:
        """Remove gone and surplus lost targets that own no keys."""
        owners = set[str]().union(
            *(space.owner_names() for space in self.keyspaces.values())
        )
        for target in list(self.targets.values()):
            if target.gone and target.target not in owners:
                self._remove(target)
        lost = [name for name, t in self.targets.items() if t.lost]
        for name in lost[: max(0, len(lost) - LOST_TARGETS_MAX)]:
            if name not in owners:
                del self.targets[name]

    def _remove(self, target: RegisteredTarget) -> None:
        """Remove a target whose process has ended."""
        del self.targets[target.target]
        self.departed.pop(target.target, None)
        self.departed[target.target] = target.incarnation
        if len(self.departed) > DEPARTED_TARGETS_MAX:
            del self.departed[next(iter(self.departed))]

    def _lay_out(self, index: int, command: commands.LayOutKeys) -> None:
        if command.service in self.keyspaces:
            return
        owners = [
            name if self._may_own_keys(name, command.service) else ""
            for name in (command.targets[at] for at in command.owners)
        ]
        self.keyspaces[command.service] = keyspace.Keyspace(
            firsts=[
                number * command.block_keys for number in range(len(owners))
            ],
            owners=owners,
            tokens=[index] * len(owners),
        )

    def _may_own_keys(self, target: str, service: str) -> bool:
        existing = self.targets.get(target)
        return (
            existing is not None
            and existing.service == service
            and existing.accepts_work
        )

    def _free_blocks(self, command: commands.FreeBlocks) -> None:
        space = self.keyspaces.get(command.service)
        target = self.targets.get(command.target)
        if space is None or target is None:
            return
        if target.incarnation != command.incarnation:
            return
        for freed in command.freed:
            space.free(freed.first_key, command.target, freed.handover)
        if target.gone:
            self._remove_gone()

    def _give_blocks(self, index: int, command: commands.GiveBlocks) -> None:
        space = self.keyspaces.get(command.service)
        target = self.targets.get(command.target)
        if space is None or target is None:
            return
        if target.incarnation != command.incarnation or target.lost:
            return
        target.sequence = max(target.sequence, command.sequence)
        for first_key in command.first_keys:
            space.assign(first_key, command.target, index)

    def _free_all(self, target: RegisteredTarget) -> None:
        space = self.keyspaces.get(target.service)
        if space is None:
            return
        for first_key in space.owned_by(target.target):
            space.free(first_key, target.target)

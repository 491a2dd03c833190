"""Slots that a target owns according to the map."""

from __future__ import annotations

import attrs

from goldcrestproxy import control


@attrs.frozen(cache_hash=True)
class OwnedSlot:
    """A slot of a desk with its fencing token."""

    slot: control.Slot
    token: int


@attrs.frozen
class SlotOwnership:
    """A target's slots in one version of the map.

    ``elsewhere`` lists the hot keys in its partitions that belong to other
    targets.
    """

    all: frozenset[OwnedSlot]
    revoking: frozenset[OwnedSlot]
    elsewhere: tuple[int, ...]


class OwnershipReader:
    """Reads a target's slots; caches them until the map changes."""

    def __init__(self, target: str) -> None:
        self._target = target
        self._read_version: tuple[int, int] | None = None
        self.latest = SlotOwnership(frozenset(), frozenset(), ())

    def read(
        self, state: control.ControlState, record: control.TargetRecord
    ) -> SlotOwnership:
        """Return the slots that the target owns in ``state``."""
        version = (id(state), state.map_index)
        if version != self._read_version:
            self.latest = self._read(state, record)
            self._read_version = version
        return self.latest

    def _read(
        self, state: control.ControlState, record: control.TargetRecord
    ) -> SlotOwnership:
        desk = state.desks.get(record.desk)
        if desk is None:
            return SlotOwnership(frozenset(), frozenset(), ())
        slots = [
            (OwnedSlot(slot, owner.token), owner.revoking)
            for slot, owner in state.owned_by(record)
        ]
        elsewhere = tuple(
            key_hash
            for key_hash, hot in desk.hot_keys.items()
            if hot.owner != self._target
            and desk.parent(key_hash).owner == self._target
        )
        return SlotOwnership(
            frozenset(owned for owned, _ in slots),
            frozenset(owned for owned, revoking in slots if revoking),
            elsewhere,
        )

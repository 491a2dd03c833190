"""Requests in flight at one target, by key."""

from __future__ import annotations

import collections

import attrs

from goldcrestproxy import control


@attrs.define
class InFlight:
    """Counts the requests in flight by key hash."""

    _keys: collections.Counter[int] = attrs.field(factory=collections.Counter)

    def enter(self, key_hash: int) -> None:
        """Count the start of a request."""
        self._keys[key_hash] += 1

    def leave(self, key_hash: int) -> None:
        """Count the end of a request."""
        self._keys[key_hash] -= 1
        if self._keys[key_hash] <= 0:
            del self._keys[key_hash]

    def total(self) -> int:
        """Return the number of requests in flight."""
        return sum(self._keys.values())

    def of_slot(self, desk: control.DeskRecord, slot: control.Slot) -> int:
        """Return the number of requests in flight for the keys of a slot."""
        return sum(
            count
            for key_hash, count in self._keys.items()
            if desk.slot_of(key_hash) == slot
        )

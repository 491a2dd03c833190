"""Ownership of a service's keys."""

from __future__ import annotations

import bisect
import collections
import typing as ty

import attrs

KEY_COUNT: ty.Final = 65_536


@attrs.define(kw_only=True)
class Keyspace:
    """Blocks of consecutive keys with the owner and fencing token of each.

    A block is identified by its first key and ends before the next block. An
    empty owner means that the block is free.
    """

    firsts: list[int]
    owners: list[str]
    tokens: list[int]
    # Values with which the next owner takes over its predecessor's state.
    handovers: dict[int, str] = attrs.field(factory=dict)
    # Sorted first keys by owner. Each heartbeat reads them, and a search of
    # all blocks would cost more with each target.
    _owned: dict[str, list[int]] = attrs.field(
        init=False, eq=False, repr=False, factory=dict
    )

    # Number of changes to the blocks of each owner in this process.
    _changes: collections.Counter[str] = attrs.field(
        init=False, eq=False, repr=False, factory=collections.Counter
    )

    def __attrs_post_init__(self) -> None:
        for first, owner in zip(self.firsts, self.owners, strict=True):
            self._owned.setdefault(owner, []).append(first)

    def position_of(self, key: int) -> int:
        """Return the position of the block that contains a key."""
        return bisect.bisect_right(self.firsts, key) - 1

    def position_of_block(self, first_key: int) -> int | None:
        """Return the position of the block that starts with a key, if any."""
        position = self.position_of(first_key)
        return position if self.firsts[position] == first_key else None

    def last_key(self, position: int) -> int:
        """Return the last key of the block at a position."""
        next_position = position + 1
        if next_position < len(self.firsts):
            return self.firsts[next_position] - 1
        return KEY_COUNT - 1

    def owner_of(self, key: int) -> str:
        """Return the owner of a key, empty while it is free."""
        return self.owners[self.position_of(key)]

    def owned_by(self, target: str) -> list[int]:
        """Return the first keys of a target's blocks, in order."""
        return list(self._owned.get(target, ()))

    def free_blocks(self) -> list[int]:
        """Return the first keys of the blocks without an owner."""
        return self.owned_by("")

    def change_count(self, owner: str) -> int:
        """Return the number of changes to an owner's blocks.

        The count is valid only within this process.
        """
        return self._changes[owner]

    def owner_names(self) -> set[str]:
        """Return all owners, with an empty name if any block is free."""
        return {owner for owner, firsts in self._owned.items() if firsts}

    def blocks_within(self, first_key: int, last_key: int) -> list[int]:
        """Return the blocks that lie entirely within a range of keys."""
        return [
            first
            for first in self.blocks_overlapping(first_key, last_key)
            if first >= first_key
            and self.last_key(self.position_of(first)) <= last_key
        ]

    def blocks_overlapping(self, first_key: int, last_key: int) -> list[int]:
        """Return the blocks that overlap a range of keys."""
        end = bisect.bisect_right(self.firsts, last_key)
        return self.firsts[self.position_of(first_key) : end]

    def assign(self, first_key: int, target: str, token: int) -> None:
        """Assign a block to a target if the block is free."""
        position = self.position_of_block(first_key)
        if position is not None and not self.owners[position]:
            self._set_owner(position, target)
            self.tokens[position] = token

    def free(self, first_key: int, target: str, handover: str = "") -> None:
        """Free a block if the target is its owner."""
        position = self.position_of_block(first_key)
        if position is None or self.owners[position] != target:
            return
        self._set_owner(position, "")
        if handover:
            self.handovers[first_key] = handover
        else:
            self.handovers.pop(first_key, None)

    def size(self, position: int) -> int:
        """Return the number of keys in the block at a position."""
        return self.last_key(position) + 1 - self.firsts[position]

    def sizes(self) -> dict[int, int]:
        """Return the number of keys in each block, by first key."""
        ends = [*self.firsts[1:], KEY_COUNT]
        return {
            first: end - first
            for first, end in zip(self.firsts, ends, strict=True)
        }

    def piece_first_keys(self, position: int, pieces: int) -> list[int]:
        """Return the first keys of a block's pieces, including its own."""
        keys = self.size(position)
        pieces = min(pieces, keys)
        return [
            self.firsts[position] + keys * n // pieces for n in range(pieces)
        ]

    def split(self, first_key: int, pieces: int) -> None:
        """Split a block into pieces with the same owner and token."""
        position = self.position_of_block(first_key)
        if position is None or not self.owners[position]:
            return
        cuts = self.piece_first_keys(position, pieces)[1:]
        for cut in cuts:
            bisect.insort(self._owned[self.owners[position]], cut)
        self._changes[self.owners[position]] += 1
        self.firsts[position + 1 : position + 1] = cuts
        self.owners[position + 1 : position + 1] = [
            self.owners[position]
        ] * len(cuts)
        self.tokens[position + 1 : position + 1] = [
            self.tokens[position]
        ] * len(cuts)
        handover = self.handovers.get(first_key)
        if handover:
            self.handovers.update(dict.fromkeys(cuts, handover))

    def _set_owner(self, position: int, owner: str) -> None:
        first = self.firsts[position]
        self._changes[self.owners[position]] += 1
        self._changes[owner] += 1
        previous = self._owned[self.owners[position]]
        del previous[bisect.bisect_left(previous, first)]
        bisect.insort(self._owned.setdefault(owner, []), first)
        self.owners[position] = owner

"""Who owns which keys of a service."""

from __future__ import annotations

import bisect
import collections
import typing as ty

import attrs

KEYS: ty.Final = 65_536


@attrs.define(kw_only=True)
class Keyspace:
    """Blocks of neighbouring keys, with owner and fencing token of each.

    A block is named by its first key and ends before the next one. An empty
    owner means that it is free.
    """

    firsts: list[int]
    owners: list[str]
    tokens: list[int]
    # Values by which the next owner takes over its predecessor's state.
    handovers: dict[int, str] = attrs.field(factory=dict)
    # First keys by owner, in order. Each heartbeat asks for them, and a
    # search of all blocks would cost more with each target.
    _owned: dict[str, list[int]] = attrs.field(
        init=False, eq=False, repr=False, factory=dict
    )

    # How often the blocks of each owner have changed here.
    _changes: collections.Counter[str] = attrs.field(
        init=False, eq=False, repr=False, factory=collections.Counter
    )

    def __attrs_post_init__(self) -> None:
        for first, owner in zip(self.firsts, self.owners, strict=True):
            self._owned.setdefault(owner, []).append(first)

    def at(self, key: int) -> int:
        """Return the position of the block that a key belongs to."""
        return bisect.bisect_right(self.firsts, key) - 1

    def find(self, first_key: int) -> int | None:
        """Return the position of the block that begins with a key."""
        at = self.at(first_key)
        return at if self.firsts[at] == first_key else None

    def last_key(self, at: int) -> int:
        """Return the last key of the block at a position."""
        following = at + 1
        if following < len(self.firsts):
            return self.firsts[following] - 1
        return KEYS - 1

    def owner_of(self, key: int) -> str:
        """Return the owner of a key, empty while it is free."""
        return self.owners[self.at(key)]

    def owned_by(self, target: str) -> list[int]:
        """Return the first keys of a target's blocks, in order."""
        return list(self._owned.get(target, ()))

    def free_blocks(self) -> list[int]:
        """Return the first keys of the blocks without an owner."""
        return self.owned_by("")

    def changes_of(self, owner: str) -> int:
        """Return a number that grows with each change of an owner's blocks.

        It says nothing beyond this process.
        """
        return self._changes[owner]

    def owner_names(self) -> set[str]:
        """Return every owner, and an empty name if blocks are free."""
        return {owner for owner, firsts in self._owned.items() if firsts}

    def blocks_within(self, first_key: int, last_key: int) -> list[int]:
        """Return the blocks that lie wholly inside a range of keys."""
        return [
            first
            for first in self.blocks_overlapping(first_key, last_key)
            if first >= first_key and self.last_key(self.at(first)) <= last_key
        ]

    def blocks_overlapping(self, first_key: int, last_key: int) -> list[int]:
        """Return the blocks that share keys with a range."""
        past = bisect.bisect_right(self.firsts, last_key)
        return self.firsts[self.at(first_key) : past]

    def give(self, first_key: int, target: str, token: int) -> None:
        """Make a target the owner of a block if it is free."""
        at = self.find(first_key)
        if at is not None and not self.owners[at]:
            self._set_owner(at, target)
            self.tokens[at] = token

    def free(self, first_key: int, target: str, handover: str = "") -> None:
        """Take a block from a target, if it is the owner."""
        at = self.find(first_key)
        if at is None or self.owners[at] != target:
            return
        self._set_owner(at, "")
        if handover:
            self.handovers[first_key] = handover
        else:
            self.handovers.pop(first_key, None)

    def size(self, at: int) -> int:
        """Return how many keys the block at a position has."""
        return self.last_key(at) + 1 - self.firsts[at]

    def sizes(self) -> dict[int, int]:
        """Return how many keys each block has, by its first key."""
        ends = [*self.firsts[1:], KEYS]
        return {
            first: end - first
            for first, end in zip(self.firsts, ends, strict=True)
        }

    def pieces_of(self, at: int, pieces: int) -> list[int]:
        """Return the first keys of a block's pieces, its own among them."""
        keys = self.size(at)
        pieces = min(pieces, keys)
        return [self.firsts[at] + keys * n // pieces for n in range(pieces)]

    def split(self, first_key: int, pieces: int) -> None:
        """Cut a block into pieces with the same owner and token."""
        at = self.find(first_key)
        if at is None or not self.owners[at]:
            return
        cuts = self.pieces_of(at, pieces)[1:]
        for cut in cuts:
            bisect.insort(self._owned[self.owners[at]], cut)
        self._changes[self.owners[at]] += 1
        self.firsts[at + 1 : at + 1] = cuts
        self.owners[at + 1 : at + 1] = [self.owners[at]] * len(cuts)
        self.tokens[at + 1 : at + 1] = [self.tokens[at]] * len(cuts)
        handover = self.handovers.get(first_key)
        if handover:
            self.handovers.update(dict.fromkeys(cuts, handover))

    def _set_owner(self, at: int, owner: str) -> None:
        first = self.firsts[at]
        self._changes[self.owners[at]] += 1
        self._changes[owner] += 1
        before = self._owned[self.owners[at]]
        del before[bisect.bisect_left(before, first)]
        bisect.insort(self._owned.setdefault(owner, []), first)
        self.owners[at] = owner

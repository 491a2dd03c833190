"""Locks that order the leader's decisions about each target."""

from __future__ import annotations

import asyncio
import weakref


class TargetLocks:
    """One lock for each target, for one leader term.

    What the leader proposes about a target, and what it grants, depends on
    the target's registration and keys. A decision holds the lock until its
    command is applied, so that no other one rests on a state that this
    command is about to change.
    """

    def __init__(self) -> None:
        """Create locks that nobody holds."""
        # An entry lives as long as its lock is held or awaited.
        self._locks: weakref.WeakValueDictionary[str, asyncio.Lock] = (
            weakref.WeakValueDictionary()
        )

    def of(self, target: str) -> asyncio.Lock:
        """Return the lock of a target."""
        return self._locks.setdefault(target, asyncio.Lock())

    def is_held(self, target: str) -> bool:
        """Whether a decision about the target is in progress."""
        lock = self._locks.get(target)
        return lock is not None and lock.locked()

"""The sum of the body bytes that a daemon buffers."""

from __future__ import annotations

import typing as ty

import attrs

BUFFERED_BYTES_MAX: ty.Final = 32 * 1024 * 1024
# What each buffer may hold even while all together are above their limit, so
# that each body goes on.
BUFFER_BYTES_MIN: ty.Final = 64 * 1024


@attrs.define
class BufferBudget:
    """Counts what all buffers of a daemon hold.

    Each buffer has a limit of its own. With hundreds of bodies whose readers
    are slow, these add up to more than a host's memory.
    """

    limit_bytes: int = BUFFERED_BYTES_MAX
    used_bytes: int = 0

    @property
    def exhausted(self) -> bool:
        """Whether buffers may hold no more than ``BUFFER_BYTES_MIN``."""
        return self.used_bytes >= self.limit_bytes

    def take(self, size_bytes: int) -> None:
        """Count bytes that are buffered."""
        self.used_bytes += size_bytes

    def give_back(self, size_bytes: int) -> None:
        """Count bytes that are no longer buffered."""
        self.used_bytes -= size_bytes


# One for all bodies of the process, since they share its memory.
BUDGET: ty.Final = BufferBudget()

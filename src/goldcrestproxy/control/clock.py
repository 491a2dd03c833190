"""Monotonic and wall clocks of a process."""

from __future__ import annotations

import time
import typing as ty

Clock = ty.Callable[[], float]


def monotonic() -> float:
    """Return seconds since the start of the host.

    Keeps counting while the process is stopped and while the host is
    suspended, which leases rely on; ``time.monotonic`` stops during a
    suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_s() -> float:
    """Return seconds since the epoch, only for display and retention."""
    return time.time()

"""Adaptive timeout for connections to targets.

On a host whose link is saturated, each connection takes a few hundred
milliseconds. With a fixed timeout none would succeed, and every target would
appear to be down.
"""

from __future__ import annotations

import typing as ty

import attrs

# Timeout as a multiple of the typical connect time.
TYPICAL_RATIO: ty.Final = 4.0
# Covers several round trips between availability zones and a lost packet.
TIMEOUT_MS_MIN: ty.Final = 250.0
# Callers abandon a request that is not read within a second.
TIMEOUT_MS_MAX: ty.Final = 1000.0
# Weight of one connection in the typical connect time, low enough that one
# unreachable target in ten does not shift it.
SMOOTHING: ty.Final = 0.1


@attrs.define
class ConnectTimeout:
    """Connect timeout derived from recent connections of this host."""

    _typical_ms: float = 0.0

    @property
    def timeout_ms(self) -> float:
        """Timeout of the next connection."""
        wanted_ms = self._typical_ms * TYPICAL_RATIO
        return min(TIMEOUT_MS_MAX, max(TIMEOUT_MS_MIN, wanted_ms))

    def record_connection(self, duration_ms: float) -> None:
        """Update the typical connect time with a successful connection."""
        self._typical_ms += SMOOTHING * (duration_ms - self._typical_ms)

    def record_timeout(self) -> None:
        """Count a connection that timed out as twice the timeout."""
        self.record_connection(2 * self.timeout_ms)

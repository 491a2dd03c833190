"""How long a host waits for a connection to a target.

The load that it answers: a host whose own link is full, where each
connection takes a few hundred milliseconds. With a fixed limit none would
succeed, and every target would seem to be down.
"""

from __future__ import annotations

import typing as ty

import attrs

# The limit is this multiple of what connections usually take.
TYPICAL_RATIO: ty.Final = 4.0
# Several round trips between availability zones, and one lost packet.
TIMEOUT_MS_MIN: ty.Final = 250.0
# A caller abandons what was not read after a second.
TIMEOUT_MS_MAX: ty.Final = 1000.0
# Part by which one connection moves what is usual: one dead target among
# ten does not.
SMOOTHING: ty.Final = 0.1


@attrs.define
class ConnectTimeout:
    """Learns from connections what is usual on this host."""

    _typical_ms: float = 0.0

    @property
    def timeout_ms(self) -> float:
        """How long to wait for the next connection."""
        wanted_ms = self._typical_ms * TYPICAL_RATIO
        return min(TIMEOUT_MS_MAX, max(TIMEOUT_MS_MIN, wanted_ms))

    def record_connection(self, duration_ms: float) -> None:
        """Learn from a connection that was made."""
        self._typical_ms += SMOOTHING * (duration_ms - self._typical_ms)

    def record_timeout(self) -> None:
        """Learn from one that was not: it would have taken longer."""
        self.record_connection(2 * self.timeout_ms)

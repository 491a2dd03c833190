"""Lease arithmetic.

The holder of a lease counts from before it sent the request and the grantor
from after it sent the answer, each on its own monotonic clock. ``drift``
bounds how much faster one clock may run than another.
"""

from __future__ import annotations

import typing as ty

import attrs

# The clock reading and the expiry are both rounded down to milliseconds.
CLOCK_ROUNDING_S: ty.Final = 0.002


@attrs.frozen(kw_only=True)
class LeaseTerms:
    """Duration of a lease and the bound on clock drift."""

    lease_s: float
    drift_parts_per_million: int

    @property
    def _drift(self) -> float:
        return self.drift_parts_per_million / 1_000_000

    def holder_expiry_s(self, requested_s: float) -> float:
        """Return when the lease ends for the holder, on its own clock."""
        return requested_s + self.lease_s * (1 - self._drift)

    def grantor_expiry_s(self, answered_s: float) -> float:
        """Return when the lease has surely ended, on the grantor's clock."""
        return answered_s + self.lease_s * (1 + self._drift)


@attrs.frozen(kw_only=True)
class ClockReading:
    """A target's clock, read between ``requested_s`` and ``answered_s``."""

    target_clock_ms: int
    requested_s: float
    answered_s: float


@attrs.frozen(kw_only=True)
class GrantTimes:
    """Expiry of a grant on the clocks of the target and the grantor.

    ``until_clock_ms`` is on the target's clock. ``usable_until_s`` is the
    latest time at which the target certainly still holds the grant and
    ``expired_s`` the earliest at which it certainly no longer does, both on
    the grantor's clock.
    """

    until_clock_ms: int
    usable_until_s: float
    expired_s: float


def grant_times(
    reading: ClockReading,
    terms: LeaseTerms,
    grantor_lease_until_s: float,
) -> GrantTimes:
    """Return the expiry times of a new grant.

    The expiry is stated on the target's own clock, so that an order that is
    delivered late, or read by the target after a pause, grants nothing. The
    grant never outlasts the grantor's own lease.

    :param reading: the latest reading of the target's clock
    :param terms: duration of a grant and bound on clock drift
    :param grantor_lease_until_s: expiry of the coordinator's lease
    """
    drift = terms.drift_parts_per_million / 1_000_000
    lease_left_s = grantor_lease_until_s - reading.answered_s
    duration_s = max(0.0, min(terms.lease_s, lease_left_s * (1 - drift)))
    return GrantTimes(
        until_clock_ms=reading.target_clock_ms + int(duration_s * 1000),
        usable_until_s=(
            reading.requested_s + duration_s * (1 - drift) - CLOCK_ROUNDING_S
        ),
        expired_s=reading.answered_s + duration_s * (1 + drift),
    )

"""Lease arithmetic.

The holder of a lease counts from before it asked and the grantor from after
it answered, each on its own monotonic clock. ``drift`` bounds how much
faster one clock may run than another.
"""

from __future__ import annotations

import typing as ty

import attrs

# The reading and the end are whole milliseconds, both rounded down.
CLOCK_ROUNDING_S: ty.Final = 0.002


@attrs.frozen(kw_only=True)
class LeaseTerms:
    """How long a lease lasts and how far clocks may differ."""

    lease_s: float
    drift_parts_per_million: int

    @property
    def _drift(self) -> float:
        return self.drift_parts_per_million / 1_000_000

    def holder_expiry_s(self, requested_s: float) -> float:
        """Return until when the holder may use the lease, its own clock."""
        return requested_s + self.lease_s * (1 - self._drift)

    def grantor_expiry_s(self, answered_s: float) -> float:
        """Return when the grantor may count on its end, its own clock."""
        return answered_s + self.lease_s * (1 + self._drift)


@attrs.frozen(kw_only=True)
class ClockReading:
    """A target's clock, read at some moment between asked and answered."""

    target_clock_ms: int
    requested_s: float
    answered_s: float


@attrs.frozen(kw_only=True)
class GrantTimes:
    """When a grant ends, by three clocks.

    ``until_clock_ms`` is on the target's clock. ``usable_until_s`` is the
    latest moment at which the target is sure to hold the grant still and
    ``expired_s`` the earliest at which it is sure to hold it no more, both on
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
    """Return the times of a grant that is about to be given.

    A grant names its end on the target's own clock, so that an order that
    is delivered late, or read by a target after a pause, grants nothing.
    It never outlasts the grantor's own lease.

    :param reading: the newest reading of the target's clock
    :param terms: length of a grant and drift margin
    :param grantor_lease_until_s: end of the coordinator's lease
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

"""Lease arithmetic: never two holders despite delays, pauses and drift."""

from __future__ import annotations

from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st

from goldcrestproxy.routing import leases

DRIFT = 1_000
TERMS = leases.LeaseTerms(lease_s=0.5, drift_parts_per_million=DRIFT)

# Clock rates may differ by the drift bound in total, so half of it each way.
rates = st.floats(1 - DRIFT / 2.1e6, 1 + DRIFT / 2.1e6)
delays = st.floats(0, 5)


@given(rates, rates, delays, delays)
def test_holder_stops_before_the_grantor_counts_on_it(
    holder_rate, grantor_rate, to_grantor_s, pause_s
):
    """The answer may be delayed, and the holder may pause after it."""
    requested_true_s = 100.0
    answered_true_s = requested_true_s + to_grantor_s
    holder_expiry = TERMS.holder_expiry_s(requested_true_s * holder_rate)
    grantor_expiry = TERMS.grantor_expiry_s(answered_true_s * grantor_rate)
    holder_end_true_s = holder_expiry / holder_rate
    grantor_end_true_s = grantor_expiry / grantor_rate
    assert holder_end_true_s <= grantor_end_true_s + 1e-9


@given(rates, rates, delays, delays, delays, st.floats(0, 2), delays)
@example(1.0001497292555874, 1.0, 0.0, 0.0, 0.0, 0.5, 0.0)
def test_grant_on_the_targets_clock_ends_in_time(
    target_rate,
    grantor_rate,
    to_target_s,
    to_grantor_s,
    until_order_s,
    lease_left_s,
    delivery_s,
):
    """The order may reach the target at any time after it was created."""
    requested_true_s = 100.0
    read_true_s = requested_true_s + to_target_s
    answered_true_s = read_true_s + to_grantor_s
    reading = leases.ClockReading(
        target_clock_ms=int(read_true_s * target_rate * 1000),
        requested_s=requested_true_s * grantor_rate,
        answered_s=answered_true_s * grantor_rate,
    )
    order_true_s = answered_true_s + until_order_s
    grantor_lease_until_s = (order_true_s + lease_left_s) * grantor_rate
    times = leases.grant_times(reading, TERMS, grantor_lease_until_s)
    # Whenever the order arrives, the target stops at this true time.
    target_end_true_s = times.until_clock_ms / 1000 / target_rate
    expired_true_s = times.expired_s / grantor_rate
    usable_true_s = times.usable_until_s / grantor_rate
    assert target_end_true_s <= expired_true_s + 1e-6
    assert usable_true_s <= target_end_true_s + 1e-6
    lease_true_s = grantor_lease_until_s / grantor_rate
    assert target_end_true_s <= max(lease_true_s, read_true_s) + 1e-6


def test_order_from_an_old_reading_grants_nothing_now():
    reading = leases.ClockReading(
        target_clock_ms=1_000, requested_s=10.0, answered_s=10.01
    )
    times = leases.grant_times(reading, TERMS, 100.0)
    assert times.until_clock_ms == 1_500
    assert times.usable_until_s < 10.51

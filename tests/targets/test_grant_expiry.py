"""Grant expiry when orders are lost, late or out of sequence."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from goldcrestproxy import control
from goldcrestproxy import targets
from goldcrestproxy.targets import grant_expiry

SLOTS = [
    targets.OwnedSlot(control.Slot(number=number), 1) for number in range(3)
]
steps = st.lists(
    st.tuples(
        st.sets(st.sampled_from(SLOTS)).map(frozenset),
        st.booleans(),
        st.floats(0, 0.3),
    ),
    max_size=15,
)
GRANT_S = 0.5


@given(steps, st.booleans(), st.floats(0, 1))
def test_no_slot_is_over_while_the_target_may_hold_it(
    given_steps, checks_order, wait_s
):
    """An order may take effect at any later time, in any sequence, or never.

    A target that checks the sequence applies no order older than one that it
    has answered.
    """
    expiry = grant_expiry.GrantExpiry()
    # Unanswered orders that the target may still apply, and the newest order
    # that it has acknowledged.
    late: list[tuple[frozenset, float]] = []
    acknowledged_orders: list[tuple[frozenset, float]] = []
    now_s = 0.0
    for slots, answered, pause_s in given_steps:
        now_s += pause_s
        order = (slots, now_s + GRANT_S)
        expiry.record_order(*order)
        if answered:
            expiry.record_acknowledgement(now_s, checks_order=checks_order)
            acknowledged_orders = [order]
            late = [] if checks_order else late
        else:
            expiry.record_unanswered()
            late.append(order)
    possible_orders = late + acknowledged_orders
    now_s += wait_s
    for owned in SLOTS:
        may_hold = any(
            owned in slots and now_s < expiry_s
            for slots, expiry_s in possible_orders
        )
        if may_hold:
            assert not expiry.is_expired(owned, now_s)
            assert not expiry.all_expired(now_s)

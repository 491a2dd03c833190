"""Placement of slots: bounds, few moves and balance."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from goldcrestproxy.routing import placement

NAMES = [f"t{number}" for number in range(6)]

targets = st.lists(
    st.builds(
        placement.EligibleTarget,
        target=st.sampled_from(NAMES),
        capacity=st.sampled_from([1.0, 2.0, 4.0]),
        cold=st.booleans(),
    ),
    max_size=6,
    unique_by=lambda target: target.target,
)
slots = st.lists(
    st.builds(
        placement.PlacedSlot,
        name=st.integers(0, 200),
        owner=st.sampled_from(["", "gone", *NAMES]),
        revoking=st.booleans(),
        rate_per_s=st.floats(0, 1000),
    ),
    max_size=60,
    unique_by=lambda slot: slot.name,
)


@given(slots, targets)
def test_plan_keeps_its_bounds(given_slots, given_targets):
    plan = placement.plan_slots(given_slots, given_targets)
    by_name = {slot.name: slot for slot in given_slots}
    eligible = {target.target: target for target in given_targets}
    for name, target in plan.grant:
        assert not by_name[name].owner
        assert target in eligible
    for name in plan.revoke:
        assert by_name[name].owner
        assert not by_name[name].revoking
    assert len(set(plan.revoke)) == len(plan.revoke)
    balancing = [n for n in plan.revoke if by_name[n].owner in eligible]
    assert len(balancing) <= placement.balancing_moves_max(len(given_slots))
    assert len(plan.revoke) - len(balancing) <= placement.EVACUATION_MOVES_MAX
    if any(not target.cold for target in given_targets):
        to_cold: dict[str, int] = {}
        for _, target in plan.grant:
            if eligible[target].cold:
                to_cold[target] = to_cold.get(target, 0) + 1
        assert all(n <= placement.COLD_MOVES_MAX for n in to_cold.values())
    if given_targets:
        free = sum(not slot.owner for slot in given_slots)
        warm = any(not target.cold for target in given_targets)
        assert len(plan.grant) == free or not warm


@given(slots)
def test_without_targets_nothing_is_granted(
    given_slots,
):
    plan = placement.plan_slots(given_slots, [])
    assert not plan.grant


def settle(owners, rates, names, rounds=400):
    """Apply plans until they are empty; return owners and moves."""
    eligible = [
        placement.EligibleTarget(target=n, capacity=4.0) for n in names
    ]
    moves = 0
    for _ in range(rounds):
        plan = placement.plan_slots(
            [
                placement.PlacedSlot(
                    name=name, owner=owner, rate_per_s=rates[name]
                )
                for name, owner in owners.items()
            ],
            eligible,
        )
        if not plan.grant and not plan.revoke:
            return owners, moves
        for name, target in plan.grant:
            owners[name] = target
        for name in plan.revoke:
            owners[name] = ""
            moves += 1
    raise AssertionError("placement does not settle")


def imbalance(owners, rates, names):
    loads = {name: 0.0 for name in names}
    for slot, owner in owners.items():
        loads[owner] += rates[slot]
    return max(loads.values()) / (sum(loads.values()) / len(names))


@pytest.mark.parametrize("seed", range(5))
def test_placement_settles_balanced_with_few_moves(seed):
    rng = random.Random(seed)
    names = [f"t{number}" for number in range(20)]
    weights = [1 / (rank + 1) ** 0.6 for rank in range(1024)]
    rng.shuffle(weights)
    rates = dict(enumerate(weights))
    owners = dict.fromkeys(rates, "")
    owners, moves = settle(owners, rates, names)
    assert imbalance(owners, rates, names) < 1.3
    assert moves <= 1024 * 0.05


def test_loss_of_a_target_moves_its_slots_and_few_others():
    names = [f"t{number}" for number in range(20)]
    rates = dict.fromkeys(range(1024), 1.0)
    owners, _ = settle(dict.fromkeys(rates, ""), rates, names)
    before = dict(owners)
    lost = [slot for slot, owner in owners.items() if owner == "t3"]
    for slot in lost:
        owners[slot] = ""
    owners, moves = settle(owners, rates, [n for n in names if n != "t3"])
    moved = [s for s in owners if owners[s] != before[s] and s not in lost]
    assert moves == len(moved) <= 1024 * 0.02

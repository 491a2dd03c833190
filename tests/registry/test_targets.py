"""Registration of targets: incarnations, addresses and goodbyes."""

from __future__ import annotations

import attrs
import pytest

from goldcrestproxy import registry
from goldcrestproxy.registry import state as registry_state

FIRST = registry.RegisterTarget(
    target="t1",
    incarnation=100,
    service="desk",
    zone="zone-a",
    address="10.0.0.1:80",
    slots=4,
    leaving=False,
    cold_ms=0,
)


@pytest.fixture
def state():
    state = registry.RegistryState()
    state.apply(1, FIRST)
    state.apply(
        2,
        registry.LayOutKeys(
            service="desk", block_keys=4096, targets=("t1",), owners=(0,) * 16
        ),
    )
    return state


def test_a_newer_incarnation_owns_nothing_of_the_old_one(state):
    state.apply(3, attrs.evolve(FIRST, incarnation=200))
    assert state.keyspaces["desk"].owned_by("t1") == []


def test_reuse_of_an_address_removes_the_earlier_target(state):
    state.apply(
        3, attrs.evolve(FIRST, target="t2", incarnation=200, service="vault")
    )
    assert "t1" not in state.targets
    assert len(state.keyspaces["desk"].free_blocks()) == 16


def test_a_change_of_state_keeps_the_keys(state):
    state.apply(3, attrs.evolve(FIRST, leaving=True))
    assert len(state.keyspaces["desk"].owned_by("t1")) == 16
    assert not state.is_eligible(state.targets["t1"])


def test_a_gone_target_is_removed_only_without_keys(state):
    state.apply(
        3, registry.LoseTarget(target="t1", incarnation=100, gone=True)
    )
    assert state.targets["t1"].gone
    state.apply(
        4,
        registry.FreeBlocks(
            service="desk",
            target="t1",
            incarnation=100,
            freed=tuple(
                registry.FreedBlock(first_key=first)
                for first in state.keyspaces["desk"].firsts
            ),
        ),
    )
    assert "t1" not in state.targets


def test_an_older_incarnation_neither_frees_nor_gets_blocks(state):
    state.apply(
        3,
        registry.FreeBlocks(
            service="desk",
            target="t1",
            incarnation=99,
            freed=(registry.FreedBlock(first_key=0),),
        ),
    )
    assert state.keyspaces["desk"].owner_of(0) == "t1"
    state.keyspaces["desk"].free(0, "t1")
    state.apply(
        4,
        registry.GiveBlocks(
            service="desk", target="t1", incarnation=99, first_keys=(0,)
        ),
    )
    assert state.keyspaces["desk"].owner_of(0) == ""


def test_tokens_only_grow(state):
    space = state.keyspaces["desk"]
    space.free(0, "t1")
    state.apply(
        9,
        registry.GiveBlocks(
            service="desk", target="t1", incarnation=100, first_keys=(0,)
        ),
    )
    assert space.tokens[0] == 9
    assert space.tokens[1] == 2


def test_a_zone_that_is_out_gets_no_work(state):
    state.apply(3, registry.SetZone(zone="zone-a", out=True))
    assert not state.is_eligible(state.targets["t1"])
    state.apply(4, registry.SetZone(zone="zone-a", out=False))
    assert state.is_eligible(state.targets["t1"])


def test_only_the_latest_targets_that_left_are_kept_in_mind(monkeypatch):
    monkeypatch.setattr(registry_state, "DEPARTED_TARGETS_MAX", 3)
    state = registry.RegistryState()
    for number in range(5):
        name = f"t{number}"
        state.apply(
            2 * number,
            attrs.evolve(FIRST, target=name, address=f"10.0.0.{number}:80"),
        )
        state.apply(
            2 * number + 1,
            registry.LoseTarget(target=name, incarnation=100, gone=True),
        )
    assert state.targets == {}
    assert list(state.departed) == ["t2", "t3", "t4"]

"""Versioned items: the highest version wins in any order."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st

from goldcrestproxy import registry

SERVICE = registry.Service(
    health_path="/healthz",
    connections_max=10,
    cold_ms=3000,
    cold_requests_per_s=5.0,
)


def service_item(name="desk", version=1, removed=False):
    return registry.Item(
        key=registry.ItemKey(kind=registry.ItemKind.SERVICE, name=name),
        version=version,
        value=None if removed else SERVICE,
        source="{}",
    )


def route_item(name="r", version=1, service="desk", timeout_ms=500):
    return registry.Item(
        key=registry.ItemKey(kind=registry.ItemKind.ROUTE, name=name),
        version=version,
        value=registry.Route(
            host="a.example",
            path_prefix="/x/",
            kind=registry.RouteKind.SAFE,
            timeout_ms=timeout_ms,
            target_latency_ms=200,
            rank=1,
            attempts_max=2,
            shares=(registry.ServiceShare(service=service, weight=1.0),),
        ),
        source="{}",
    )


def removed_route(name="r", version=1):
    return registry.Item(
        key=registry.ItemKey(kind=registry.ItemKind.ROUTE, name=name),
        version=version,
    )


def changed(*items):
    return registry.ChangeItems(changed=items)


def versions_of(state):
    return {key: item.version for key, item in state.items.items()}


@given(st.lists(st.tuples(st.integers(1, 9), st.booleans()), min_size=1))
def test_the_highest_version_wins_in_any_order(changes):
    newest = {}
    for version, removed in changes:
        newest.setdefault(version, removed)
    states = []
    for seed in range(3):
        order = list(newest.items())
        random.Random(seed).shuffle(order)
        state = registry.RegistryState()
        state.apply(1, changed(service_item()))
        for version, removed in order:
            item = (
                removed_route(version=version)
                if removed
                else route_item(version=version)
            )
            assert state.apply(2, changed(item)) == ""
        states.append(state.items)
    assert states[0] == states[1] == states[2]
    assert states[0]["route/r"].version == max(newest)
    assert states[0]["route/r"].removed is newest[max(newest)]


def test_an_equal_version_changes_nothing():
    state = registry.RegistryState()
    state.apply(1, changed(service_item(), route_item(timeout_ms=500)))
    revision = state.revision
    assert state.apply(2, changed(route_item(timeout_ms=900))) == ""
    assert state.items["route/r"].value.timeout_ms == 500
    assert state.revision == revision


def test_a_removed_item_does_not_come_back_by_an_older_change():
    state = registry.RegistryState()
    state.apply(1, changed(service_item(), route_item(version=3)))
    state.apply(2, changed(removed_route(version=5)))
    assert state.apply(3, changed(route_item(version=4))) == ""
    assert [item.key.name for item in state.current_items] == ["desk"]


def test_a_call_with_an_unknown_service_is_refused_whole():
    state = registry.RegistryState()
    state.apply(1, changed(service_item()))
    before = versions_of(state)
    refused = state.apply(
        2, changed(route_item("good"), route_item("bad", service="nowhere"))
    )
    assert "nowhere" in refused
    assert versions_of(state) == before


def test_a_stale_route_of_an_unknown_service_is_refused_too():
    state = registry.RegistryState()
    state.apply(1, changed(service_item(), route_item(version=7)))
    assert state.apply(2, changed(route_item(version=3, service="nowhere")))


def test_a_service_that_routes_use_cannot_be_removed():
    state = registry.RegistryState()
    state.apply(1, changed(service_item(), route_item()))
    assert state.apply(2, changed(service_item(version=2, removed=True)))
    assert not state.items["service/desk"].removed

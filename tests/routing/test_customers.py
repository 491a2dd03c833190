"""Which customer a request comes from, and how urgent it is."""

from __future__ import annotations

import pytest

from goldcrestproxy import registry
from goldcrestproxy.routing import customers


def item(name, keys, version=1, **terms):
    return registry.Item(
        key=registry.ItemKey(kind=registry.ItemKind.CUSTOMER, name=name),
        version=version,
        value=registry.Customer(
            key_digests=tuple(map(registry.key_digest, keys)), **terms
        ),
    )


def route(rank):
    return registry.Route(
        host="a.example",
        path_prefix="/",
        kind=registry.RouteKind.SAFE,
        timeout_ms=500,
        target_latency_ms=200,
        rank=rank,
        attempts_max=1,
        shares=(),
    )


@pytest.fixture
def table():
    return customers.CustomerTable(
        [
            item("town", ["key-1", "key-2"], rank=1),
            item("firm", ["key-3"], rank=2),
        ]
    )


def test_each_key_of_a_customer_names_it(table):
    for key, name in (("key-1", "town"), ("key-2", "town"), ("key-3", "firm")):
        assert table.identify(key, public=False) == customers.KnownCustomer(
            name=name
        )


def test_an_unknown_or_missing_key_is_nobodys(table):
    for key in ("key-4", "", "KEY-1", "key-1 "):
        assert table.identify(key, public=False) == customers.UnknownKey(
            missing=False
        )
    assert table.identify(None, public=False) == customers.UnknownKey(
        missing=True
    )


def test_public_routes_name_the_customer_if_there_is_one(table):
    assert table.identify("key-9", public=True) == customers.Anonymous()
    assert table.identify(None, public=True) == customers.Anonymous()
    assert table.identify("key-3", public=True) == customers.KnownCustomer(
        name="firm"
    )


def test_without_customers_nobody_needs_a_key():
    table = customers.CustomerTable([])
    assert table.identify("key-1", public=False) == customers.Anybody()


def test_a_key_that_moves_belongs_to_the_newer_item():
    old, new = item("town", ["key"], version=3), item("firm", ["key"], 4)
    for items in ([old, new], [new, old]):
        table = customers.CustomerTable(items)
        assert table.identify("key", public=False) == customers.KnownCustomer(
            name="firm"
        )


def test_a_customers_rank_goes_before_the_routes(table):
    ordered = [("town", 1), ("town", 2), ("firm", 0), ("firm", 1)]
    urgencies = [table.urgency(name, route(rank)) for name, rank in ordered]
    assert urgencies == sorted(urgencies)
    assert table.most_urgent(1) == urgencies[0]


def test_without_customers_the_routes_rank_decides():
    table = customers.CustomerTable([])
    assert table.urgency("", route(2)) <= table.most_urgent(2)
    assert not table.urgency("", route(3)) <= table.most_urgent(2)


def test_no_key_stands_in_what_is_printed(table):
    shown = repr(item("town", ["key-1"])) + repr(vars(table))
    source = registry.Item(
        key=registry.ItemKey(kind=registry.ItemKind.CUSTOMER, name="town"),
        version=1,
        source='{"api_keys":["key-1"]}',
    )
    assert "key-1" not in shown + repr(source)

"""Which customer a request comes from, by its key.

Answers a load in which each request has a key: the cost of a look-up does not
depend on the number of customers or keys.
"""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy import registry


@attrs.frozen
class Anybody:
    """No customers are configured; requests need no key."""


@attrs.frozen
class Anonymous:
    """A caller of a public route without the key of a customer."""


@attrs.frozen(kw_only=True)
class KnownCustomer:
    """The customer that holds the key of a request."""

    name: str


@attrs.frozen(kw_only=True)
class UnknownKey:
    """No customer here holds the key, or the request has none."""

    missing: bool


Identity = Anybody | Anonymous | KnownCustomer | UnknownKey


@attrs.frozen(order=True)
class Urgency:
    """Rank of a request; lower values are more urgent."""

    customer_rank: int
    route_rank: int


class CustomerTable:
    """The customers in force, by the digests of their keys."""

    def __init__(self, items: ty.Iterable[registry.Item]) -> None:
        """Index the customers among ``items``."""
        named = [
            (item.version, item.key.name, item.value)
            for item in items
            if isinstance(item.value, registry.Customer)
        ]
        self.by_name: dict[str, registry.Customer] = {
            name: customer for _, name, customer in named
        }
        # Whether any customer has a quota.
        self.has_quotas = any(
            customer.requests_per_s > 0 for _, _, customer in named
        )
        self._ranks = {customer.rank for _, _, customer in named}
        # A key that two customers hold belongs to the newer item.
        self._names = {
            digest: name
            for _, name, customer in sorted(named, key=lambda row: row[:2])
            for digest in customer.key_digests
        }

    def identify(self, key: str | None, *, public: bool) -> Identity:
        """Return who sent a request.

        :param key: the key that the request brings, None without one
        :param public: whether its route needs none
        """
        if not self.by_name:
            return Anybody()
        name = None
        if key is not None:
            name = self._names.get(registry.key_digest(key))
        if name is not None:
            return KnownCustomer(name=name)
        return Anonymous() if public else UnknownKey(missing=key is None)

    def urgency(self, customer: str, route: registry.Route) -> Urgency:
        """Return the rank of a customer's requests on a route.

        :param customer: empty for callers that are no customers
        """
        known = self.by_name.get(customer)
        if known is None or known.rank is None:
            return Urgency(route.rank, route.rank)
        return Urgency(known.rank, route.rank)

    def most_urgent(self, route_rank: int) -> Urgency:
        """Return the most urgent rank that a request can have.

        :param route_rank: the most urgent rank of any route
        """
        ranks = (route_rank if rank is None else rank for rank in self._ranks)
        return Urgency(min(ranks, default=route_rank), route_rank)

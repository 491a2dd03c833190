"""Matching of requests to routes, and of routes to services."""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy import registry
from goldcrestproxy.routing import weighted_round_robin


@attrs.frozen
class NamedRoute:
    """A route with the name and version of its item."""

    name: str
    version: int
    route: registry.Route


class RouteTable:
    """The routes in force, by host and longest path prefix."""

    def __init__(self, items: ty.Iterable[registry.Item]) -> None:
        """Index the routes among ``items`` by host."""
        self._by_host: dict[str, list[NamedRoute]] = {}
        self._schedules: dict[
            str, weighted_round_robin.WeightedRoundRobin
        ] = {}
        # The lowest rank of any route.
        self.most_urgent_rank = 0
        for item in items:
            if isinstance(item.value, registry.Route):
                self._add(item, item.value)
        for routes in self._by_host.values():
            routes.sort(key=lambda named: -len(named.route.path_prefix))
        ranks = [
            named.route.rank
            for routes in self._by_host.values()
            for named in routes
        ]
        self.most_urgent_rank = min(ranks, default=0)

    @property
    def empty(self) -> bool:
        """Whether there are no routes."""
        return not self._by_host

    def match(self, host: str, path: str) -> NamedRoute | None:
        """Return the route with the longest matching prefix of ``path``.

        :param host: the host name of the request, without a port
        """
        for named in self._by_host.get(host.lower(), ()):
            if path.startswith(named.route.path_prefix):
                return named
        return None

    def choose_service(self, named: NamedRoute) -> str | None:
        """Return the next service of a route by weighted round robin."""
        shares = named.route.shares
        if len(shares) == 1:
            return shares[0].service
        return self._schedules[named.name].next()

    def reuse_schedules(self, previous: RouteTable) -> None:
        """Keep the schedules of routes whose weights did not change."""
        for name, schedule in previous._schedules.items():
            own = self._schedules.get(name)
            if own is not None and own.weights == schedule.weights:
                self._schedules[name] = schedule

    def _add(self, item: registry.Item, route: registry.Route) -> None:
        named = NamedRoute(item.key.name, item.version, route)
        self._by_host.setdefault(route.host.lower(), []).append(named)
        if len(route.shares) > 1:
            weights: dict[str, float] = {}
            for share in route.shares:
                weights[share.service] = (
                    weights.get(share.service, 0.0) + share.weight
                )
            self._schedules[item.key.name] = (
                weighted_round_robin.WeightedRoundRobin(weights)
            )

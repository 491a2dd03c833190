"""Classification of requests by customer, desk, route and key."""

from __future__ import annotations

import re
import typing as ty
import urllib.parse

import attrs

from goldcrestproxy import results
from goldcrestproxy import settings

_PLACEHOLDER: ty.Final = re.compile(r"\{([a-z_]+)\}")


@attrs.frozen(kw_only=True)
class ClassifiedRequest:
    """A request with the customer, desk, route and key that it matches."""

    customer: str
    desk_name: str
    desk: settings.Desk
    route: settings.Route
    key: str
    path: str
    retry_budget: settings.RetryBudget


@attrs.frozen
class _CompiledRoute:
    route: settings.Route
    pattern: re.Pattern[str]


class RequestClassifier:
    """Classifier for requests under the configuration in force."""

    def __init__(self, checked: settings.CheckedDeployment) -> None:
        """Create a classifier; routes are compiled when first matched."""
        self._customers = checked.customers
        self._compiled: dict[settings.Route, _CompiledRoute] = {}

    @property
    def customers(self) -> dict[str, settings.FilledTemplate]:
        """Filled templates by customer."""
        return self._customers

    def classify(self, method: str, target: str) -> ClassifiedRequest:
        """Return the customer, desk, route and key of a request.

        :param target: the request target, ``/customer/desk/...``
        :raises RefusedError: with a result code for each kind of mismatch
        """
        path, separator, query = target.partition("?")
        parts = path.split("/", 3)
        if len(parts) < 4 or parts[0]:
            raise results.refusal(
                results.BAD_REQUEST,
                f"path {path!r} is not /CUSTOMER/DESK/...",
            )
        customer, desk_name, rest = parts[1], parts[2], f"/{parts[3]}"
        filled = self._customers.get(customer)
        if filled is None:
            raise results.refusal(
                results.UNKNOWN_CUSTOMER,
                f"no customer {customer!r} is configured",
            )
        desk = filled.desks.get(desk_name)
        if desk is None:
            desk_names = ", ".join(sorted(filled.desks))
            raise results.refusal(
                results.UNKNOWN_DESK,
                f"customer {customer!r} has no desk {desk_name!r}; "
                f"it has: {desk_names}",
            )
        route, key = self._match(desk, method, rest)
        if len(key.encode()) > desk.key_bytes_max:
            raise results.refusal(
                results.KEY_TOO_LONG,
                f"the key has {len(key.encode())} bytes; "
                f"{desk.key_bytes_max} are allowed",
            )
        return ClassifiedRequest(
            customer=customer,
            desk_name=desk_name,
            desk=desk,
            route=route,
            key=key,
            path=f"{rest}{separator}{query}",
            retry_budget=filled.retry_budget,
        )

    def _match(
        self, desk: settings.Desk, method: str, path: str
    ) -> tuple[settings.Route, str]:
        for route in desk.routes:
            if route.method != method:
                continue
            match = self._compile(route).pattern.fullmatch(path)
            if match is not None:
                key = match.groupdict().get("key", "")
                return route, urllib.parse.unquote(key)
        raise results.refusal(
            results.UNKNOWN_ROUTE, f"no route takes {method} {path}"
        )

    def _compile(self, route: settings.Route) -> _CompiledRoute:
        compiled = self._compiled.get(route)
        if compiled is None:
            compiled = _CompiledRoute(route, compile_path(route.path))
            self._compiled[route] = compiled
        return compiled


def compile_path(path: str) -> re.Pattern[str]:
    """Compile a route's path to a regular expression.

    ``{name}`` matches one path segment.
    """
    pattern = ""
    position = 0
    for placeholder in _PLACEHOLDER.finditer(path):
        pattern += re.escape(path[position : placeholder.start()])
        pattern += f"(?P<{placeholder.group(1)}>[^/]+)"
        position = placeholder.end()
    return re.compile(pattern + re.escape(path[position:]))

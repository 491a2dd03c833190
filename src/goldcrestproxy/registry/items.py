"""Versioned configuration items that operators change one by one."""

from __future__ import annotations

import enum
import typing as ty

import attrs


class RouteKind(enum.Enum):
    """Kind of a route's requests, which decides whether they may be retried.

    Only ``SAFE`` requests are idempotent. ``UPLOAD`` requests have large
    bodies and run at most once, like ``UNSAFE`` ones.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


@attrs.frozen(kw_only=True)
class ServiceShare:
    """Share of a route's requests that goes to one service."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Handling of requests for one host name and path prefix."""

    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: int
    target_latency_ms: int
    # 0 is the most urgent.
    rank: int
    attempts_max: int
    shares: tuple[ServiceShare, ...]

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE


@attrs.frozen(kw_only=True)
class Service:
    """Settings of a service, a set of targets that do the same work."""

    health_path: str
    # Connections that a target accepts from all hosts together.
    connections_max: int
    cold_ms: int
    cold_requests_per_s: float
    keyed: bool = False
    # How long keys that were taken over without a handover value are slow.
    key_warm_up_ms: int = 0


@attrs.frozen(kw_only=True)
class CallerLimits:
    """Size limits and timeouts for requests of callers."""

    header_bytes_max: int
    body_bytes_max: int
    header_timeout_ms: int
    idle_timeout_ms: int


ItemValue = Route | Service | CallerLimits


class ItemKind(enum.Enum):
    """Kind of value that an item holds."""

    ROUTE = "route"
    SERVICE = "service"
    LIMITS = "limits"


@attrs.frozen(kw_only=True)
class ItemKey:
    """Identity of an item; limits have an empty name."""

    kind: ItemKind
    name: str

    def text(self) -> str:
        """Return the key as ``KIND/NAME``."""
        return f"{self.kind.value}/{self.name}"


@attrs.frozen(kw_only=True)
class Item:
    """An item as sent by an operator; no value means that it was removed.

    ``source`` is the operator's original text, returned unchanged on reads.
    """

    key: ItemKey
    version: int
    value: ItemValue | None = None
    source: str = ""

    @property
    def removed(self) -> bool:
        """Whether the item was removed."""
        return self.value is None


def undefined_services(items: ty.Iterable[Item]) -> set[str]:
    """Return the services that routes refer to but no item defines."""
    referenced: set[str] = set()
    defined: set[str] = set()
    for item in items:
        match item.value:
            case Route(shares=shares):
                referenced.update(share.service for share in shares)
            case Service():
                defined.add(item.key.name)
            case _:
                pass
    return referenced - defined

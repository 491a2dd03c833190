"""Versioned items of the configuration that operators change one by one."""

from __future__ import annotations

import enum
import typing as ty

import attrs


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests.

    Only ``SAFE`` requests are idempotent. ``UPLOAD`` requests have large
    bodies and run at most once, like ``UNSAFE`` ones.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    UPLOAD = "upload"


@attrs.frozen(kw_only=True)
class ServiceShare:
    """A part of a route's requests that goes to one service."""

    service: str
    weight: float


@attrs.frozen(kw_only=True)
class Route:
    """Requests of one host name and path prefix."""

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
    """Targets that do the same work."""

    health_path: str
    # Connections that a target accepts from all hosts together.
    connections_max: int
    cold_ms: int
    cold_requests_per_s: float
    keyed: bool = False
    # How long keys are slow that came without a handover value.
    key_warm_up_ms: int = 0


@attrs.frozen(kw_only=True)
class CallerLimits:
    """What callers may send, and how long they may take."""

    header_bytes_max: int
    body_bytes_max: int
    header_timeout_ms: int
    idle_timeout_ms: int


ItemValue = Route | Service | CallerLimits


class ItemKind(enum.Enum):
    """What an item holds."""

    ROUTE = "route"
    SERVICE = "service"
    LIMITS = "limits"


@attrs.frozen(kw_only=True)
class ItemKey:
    """Names an item; limits have an empty name."""

    kind: ItemKind
    name: str

    def text(self) -> str:
        """Return the key as one word."""
        return f"{self.kind.value}/{self.name}"


@attrs.frozen(kw_only=True)
class Item:
    """An item as an operator sent it; no value means that it was removed.

    ``source`` is the operator's own text, for reading it back unchanged.
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
    """Return the services that routes name and no item describes."""
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

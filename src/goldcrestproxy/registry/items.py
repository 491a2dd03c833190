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
    # Public routes need no customer's key.
    public: bool = False

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


@attrs.frozen(kw_only=True)
class Customer:
    """A customer that may send requests, and how many.

    The quota is ``requests_per_s`` and a burst of ``burst_requests`` over all
    hosts together; a rate of 0 means that there is none.
    """

    key_digests: tuple[str, ...]
    # Goes before the rank of routes; None leaves it to them.
    rank: int | None = None
    requests_per_s: float = 0.0
    burst_requests: float = 0.0


ItemValue = Route | Service | CallerLimits | Customer


class ItemKind(enum.Enum):
    """Kind of value that an item holds."""

    ROUTE = "route"
    SERVICE = "service"
    LIMITS = "limits"
    CUSTOMER = "customer"


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
    It may hold keys of customers, so entry hosts do not get it.
    """

    key: ItemKey
    version: int
    value: ItemValue | None = None
    source: str = attrs.field(default="", repr=False)

    @property
    def removed(self) -> bool:
        """Whether the item was removed."""
        return self.value is None

    def without_keys(self) -> Item:
        """Return the item without text that may hold keys of customers."""
        if self.key.kind is not ItemKind.CUSTOMER:
            return self
        return attrs.evolve(self, source="")


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

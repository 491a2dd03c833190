"""Messages from targets and operators to the registry, and its answers."""

from __future__ import annotations

import attrs

from goldcrestproxy.registry import items


@attrs.frozen(kw_only=True)
class HeldRange:
    """Keys that a target holds or for which it has requests in flight."""

    first_key: int
    last_key: int
    token: int


@attrs.frozen(kw_only=True)
class ReleasedRange:
    """Keys that a target released, with the handover to their next owner."""

    first_key: int
    last_key: int
    handover: str


@attrs.frozen(kw_only=True)
class Heartbeat:
    """A target's periodic report of its state.

    ``sequence`` increases with each heartbeat of an incarnation, so that a
    delayed one is detected.
    """

    target: str
    incarnation: int
    service: str
    zone: str
    address: str
    slots: int
    leaving: bool
    cold_ms: int
    sequence: int
    held: tuple[HeldRange, ...] = ()
    released: tuple[ReleasedRange, ...] = ()


@attrs.frozen(kw_only=True)
class Goodbye:
    """Notice that a target is shutting down; it may still serve briefly."""

    target: str
    incarnation: int | None = None


@attrs.frozen(kw_only=True)
class ChangeItemsCall:
    """Request of an operator to change items."""

    changed: tuple[items.Item, ...]


@attrs.frozen(kw_only=True)
class SetZoneCall:
    """Request to take a zone out of service or bring it back."""

    zone: str
    out: bool
    # Last entry that the host which received the call had applied then; None
    # from a host of an earlier build.
    known_index: int | None = None


@attrs.frozen(kw_only=True)
class ReadItemsCall:
    """Request of an operator for the current items."""


@attrs.frozen(kw_only=True)
class GrantedRange:
    """Keys that are granted to a target."""

    first_key: int
    last_key: int
    token: int
    handover: str = ""


@attrs.frozen(kw_only=True)
class HeartbeatAnswer:
    """All ranges that are granted to a target, and for how long.

    ``hold_ms`` counts from when the target sent its heartbeat. Without
    ranges the answer renews nothing.
    """

    ranges: tuple[GrantedRange, ...] | None = None
    hold_ms: int = 0


@attrs.frozen(kw_only=True)
class Accepted:
    """The call was applied and its effect is durable."""


@attrs.frozen(kw_only=True)
class Declined:
    """The call is invalid and had no effect."""

    text: str


@attrs.frozen(kw_only=True)
class ItemsAnswer:
    """The current items."""

    items: tuple[items.Item, ...]


Call = Heartbeat | Goodbye | ChangeItemsCall | SetZoneCall | ReadItemsCall
Answer = HeartbeatAnswer | Accepted | Declined | ItemsAnswer

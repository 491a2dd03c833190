"""Commands of the replicated log that change the registry."""

from __future__ import annotations

import attrs

from goldcrestproxy.registry import items


@attrs.frozen(kw_only=True)
class ChangeItems:
    """Set and remove items; the highest version of each item wins."""

    changed: tuple[items.Item, ...]


@attrs.frozen(kw_only=True)
class SetZone:
    """Take an availability zone out of service, or bring it back."""

    zone: str
    out: bool


@attrs.frozen(kw_only=True)
class RegisterTarget:
    """Register a target or update its registration.

    ``incarnation`` orders the starts of a target: a higher one is newer.
    """

    target: str
    incarnation: int
    service: str
    zone: str
    address: str
    slots: int
    leaving: bool
    cold_ms: int
    # Sequence number of the heartbeat that said so, -1 if none did.
    sequence: int = -1


@attrs.frozen(kw_only=True)
class LoseTarget:
    """Mark a target as lost after missed heartbeats or a goodbye."""

    target: str
    incarnation: int
    # A target that sent a goodbye is removed once it owns no keys.
    gone: bool


@attrs.frozen(kw_only=True)
class LayOutKeys:
    """Divide a service's keys into blocks and assign each to a target.

    ``owners`` holds one index into ``targets`` for each block.
    """

    service: str
    block_keys: int
    targets: tuple[str, ...]
    owners: tuple[int, ...]


@attrs.frozen(kw_only=True)
class FreedBlock:
    """A block that no target holds any longer.

    ``handover`` lets the next owner take over the state of the last holder.
    """

    first_key: int
    handover: str = ""


@attrs.frozen(kw_only=True)
class FreeBlocks:
    """Free blocks that an owner released or whose hold has expired."""

    service: str
    target: str
    incarnation: int
    freed: tuple[FreedBlock, ...]


@attrs.frozen(kw_only=True)
class GiveBlocks:
    """Assign free blocks to a target; the log index is the fencing token."""

    service: str
    target: str
    incarnation: int
    first_keys: tuple[int, ...]
    # Sequence number of the heartbeat that is answered with the blocks.
    sequence: int = -1


@attrs.frozen(kw_only=True)
class BlockCut:
    """A block to split and its number of pieces."""

    first_key: int
    pieces: int


@attrs.frozen(kw_only=True)
class SplitBlocks:
    """Split busy blocks into pieces that can move independently."""

    service: str
    cuts: tuple[BlockCut, ...]


@attrs.frozen(kw_only=True)
class SetQuotaHosts:
    """Name the entry hosts that may hold shares of customers' quotas."""

    hosts: tuple[str, ...]


Command = (
    ChangeItems
    | SetZone
    | RegisterTarget
    | LoseTarget
    | LayOutKeys
    | FreeBlocks
    | GiveBlocks
    | SplitBlocks
    | SetQuotaHosts
)

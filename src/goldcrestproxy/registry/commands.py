"""Commands of the replicated log that change the registry."""

from __future__ import annotations

import attrs

from goldcrestproxy.registry import items


@attrs.frozen(kw_only=True)
class ChangeItems:
    """Sets and removes items; of each, the highest version wins."""

    changed: tuple[items.Item, ...]


@attrs.frozen(kw_only=True)
class SetZone:
    """Takes an availability zone out, or brings it back."""

    zone: str
    out: bool


@attrs.frozen(kw_only=True)
class RegisterTarget:
    """A target said that it is there, or that something changed.

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


@attrs.frozen(kw_only=True)
class LoseTarget:
    """A target fell silent, or said that it is gone."""

    target: str
    incarnation: int
    # A target that said goodbye is forgotten once it owns no keys.
    gone: bool


@attrs.frozen(kw_only=True)
class LayOutKeys:
    """Cuts a service's keys into blocks and gives each to a target.

    ``owners`` are indexes into ``targets``, one for each block.
    """

    service: str
    block_keys: int
    targets: tuple[str, ...]
    owners: tuple[int, ...]


@attrs.frozen(kw_only=True)
class FreedBlock:
    """A block that nobody holds any more.

    ``handover`` lets the next owner take over its last holder's state.
    """

    first_key: int
    handover: str = ""


@attrs.frozen(kw_only=True)
class FreeBlocks:
    """An owner released blocks, or its hold has run out."""

    service: str
    target: str
    incarnation: int
    freed: tuple[FreedBlock, ...]


@attrs.frozen(kw_only=True)
class GiveBlocks:
    """Gives free blocks to a target; the entry's index is the token."""

    service: str
    target: str
    incarnation: int
    first_keys: tuple[int, ...]


@attrs.frozen(kw_only=True)
class BlockCut:
    """A busy block and into how many pieces it is cut."""

    first_key: int
    pieces: int


@attrs.frozen(kw_only=True)
class SplitBlocks:
    """Cuts busy blocks into pieces, which may then move apart."""

    service: str
    cuts: tuple[BlockCut, ...]


Command = (
    ChangeItems
    | SetZone
    | RegisterTarget
    | LoseTarget
    | LayOutKeys
    | FreeBlocks
    | GiveBlocks
    | SplitBlocks
)

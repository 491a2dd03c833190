"""What the leader knows of targets beyond the replicated state."""

from __future__ import annotations

import attrs

from goldcrestproxy import registry


@attrs.frozen(kw_only=True)
class GrantInputs:
    """What the ranges in an answer depend on."""

    space: registry.Keyspace = attrs.field(eq=id)
    # The keyspace's count of changes of the target's blocks.
    changes: int
    releasing: frozenset[int]
    held: dict[int, int]


@attrs.define(kw_only=True)
class TargetView:
    """What the leader knows of a target beyond the replicated state."""

    incarnation: int
    last_heartbeat_s: float
    hold_end_s: float = 0.0
    sequence: int = -1
    cold: bool = False
    # When the target last gave up blocks for the sake of balance.
    last_rebalance_s: float = 0.0
    # Blocks that answers leave out, and when an earlier grant of each ends.
    releasing: dict[int, float] = attrs.field(factory=dict)
    # Tokens by block, as the target last said that it holds them.
    held: dict[int, int] = attrs.field(factory=dict)
    # The rows that ``held`` was read from, and how many blocks there were.
    held_rows: tuple[registry.HeldRange, ...] = ()
    held_block_count: int = 0
    # The ranges of the last answer, and what they were worked out from.
    granted: tuple[registry.GrantedRange, ...] = ()
    grant_inputs: GrantInputs | None = None


class TargetViews(dict[str, TargetView]):
    """Views by target."""

    def is_tracked(self, target: str) -> bool:
        """Whether the target was heard of in this term."""
        return target in self

    def is_cold(self, target: str) -> bool:
        """Whether the target said that it is in its cold time."""
        return self[target].cold

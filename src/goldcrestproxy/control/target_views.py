"""The leader's volatile state of each target, outside the replicated state."""

from __future__ import annotations

import attrs

from goldcrestproxy import registry


@attrs.frozen(kw_only=True)
class GrantInputs:
    """Inputs of the granted ranges in a heartbeat answer."""

    keyspace: registry.Keyspace = attrs.field(eq=id)
    # The keyspace's change counter for the target's blocks.
    changes: int
    releasing: frozenset[int]
    held: dict[int, int]


@attrs.define(kw_only=True)
class TargetView:
    """Volatile state of a target, lost on a change of leader.

    Times are on the leader's monotonic clock.
    """

    incarnation: int
    last_heartbeat_s: float
    hold_end_s: float = 0.0
    sequence: int = -1
    cold: bool = False
    # End of the cold time as last registered, which entry hosts go by.
    registered_cold_until_s: float = 0.0
    # When the target was last requested to release blocks for balance.
    last_rebalance_s: float = 0.0
    # Blocks omitted from answers, and when the last grant of each expires.
    releasing: dict[int, float] = attrs.field(factory=dict)
    # Tokens by block, as last reported by the target.
    held: dict[int, int] = attrs.field(factory=dict)
    # The ranges from which ``held`` was computed, and the number of blocks in
    # the keyspace at that time.
    held_rows: tuple[registry.HeldRange, ...] = ()
    held_block_count: int = 0
    # The ranges of the last answer, and the inputs of their computation.
    granted: tuple[registry.GrantedRange, ...] = ()
    grant_inputs: GrantInputs | None = None


class TargetViews(dict[str, TargetView]):
    """Views by target name."""

    def is_tracked(self, target: str) -> bool:
        """Whether the leader has a view of the target in this term."""
        return target in self

    def is_cold(self, target: str) -> bool:
        """Whether the target last reported itself as cold.

        :raises KeyError: when the target is not tracked
        """
        return self[target].cold

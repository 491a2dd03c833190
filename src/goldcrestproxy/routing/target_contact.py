"""Which targets a host reaches, by its own connections."""

from __future__ import annotations

import attrs

# Targets that a host fails to reach, without contact to any other in between,
# before it counts as isolated.
UNREACHED_MIN = 3


@attrs.define
class TargetContact:
    """Targets that this host could not reach since its last connection.

    An answer shows that some target is reached. Only a new connection shows
    that its target takes new ones: open connections may outlive the way.
    """

    _unreached: set[str] = attrs.field(factory=set)
    # Targets not reached since the last sign of any target.
    _failed_in_a_row: set[str] = attrs.field(factory=set)

    def record_connection(self, target: str) -> None:
        """Record a new connection to a target."""
        self._unreached.discard(target)
        self._failed_in_a_row.clear()

    def record_answer(self) -> None:
        """Record that some target has answered."""
        self._failed_in_a_row.clear()

    def record_failure(self, target: str) -> None:
        """Record a connection that failed, or one without any answer."""
        self._unreached.add(target)
        self._failed_in_a_row.add(target)

    def retain(self, targets: set[str]) -> None:
        """Forget all targets but those that may still get requests."""
        self._unreached &= targets
        self._failed_in_a_row &= targets

    @property
    def unreached(self) -> frozenset[str]:
        """Targets whose last connection from here failed."""
        return frozenset(self._unreached)

    def is_unreached(self, target: str) -> bool:
        """Whether the last connection to a target failed."""
        return target in self._unreached

    def is_isolated(self, targets: int) -> bool:
        """Whether this host reaches none of so many targets."""
        return 0 < targets and len(self._failed_in_a_row) >= min(
            UNREACHED_MIN, targets
        )

"""Turns by weight."""

from __future__ import annotations

import attrs


@attrs.define
class WeightedRoundRobin:
    """Takes turns by weight: smooth weighted round robin.

    Any run of turns has each share close to its weight, which drawing at
    random has only over many turns.
    """

    weights: dict[str, float]
    _credits: dict[str, float] = attrs.field(factory=dict)

    def next(self) -> str | None:
        """Return whose turn it is, None when every weight is 0."""
        total = sum(self.weights.values())
        if total <= 0:
            return None
        for name, weight in self.weights.items():
            self._credits[name] = self._credits.get(name, 0.0) + weight
        chosen = max(self.weights, key=lambda name: self._credits[name])
        self._credits[chosen] -= total
        return chosen

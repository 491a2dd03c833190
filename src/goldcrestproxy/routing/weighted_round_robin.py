"""Smooth weighted round robin."""

from __future__ import annotations

import attrs


@attrs.define
class WeightedRoundRobin:
    """Schedule that selects names in proportion to their weights.

    Every run of selections is close to the weights, which random selection
    is only over many selections.
    """

    weights: dict[str, float]
    _credits: dict[str, float] = attrs.field(factory=dict)

    def next(self) -> str | None:
        """Return the next name, None if every weight is 0."""
        total = sum(self.weights.values())
        if total <= 0:
            return None
        for name, weight in self.weights.items():
            self._credits[name] = self._credits.get(name, 0.0) + weight
        chosen = max(self.weights, key=lambda name: self._credits[name])
        self._credits[chosen] -= total
        return chosen

"""Streaming estimate of a quantile in constant memory."""

from __future__ import annotations

import typing as ty

import attrs

STEP_RATIO: ty.Final = 0.02
SAMPLES_MIN: ty.Final = 50


@attrs.define(kw_only=True)
class QuantileEstimate:
    """Quantile estimate that moves by a small step with each value.

    In equilibrium, a fraction ``quantile`` of the values lies below the
    estimate.
    """

    quantile: float
    _value: float = attrs.field(init=False, default=0.0)
    _samples: int = attrs.field(init=False, default=0)

    def record(self, value: float) -> None:
        """Update the estimate with a value above 0."""
        self._samples += 1
        if self._samples == 1:
            self._value = value
            return
        step = STEP_RATIO * self._value
        if value > self._value:
            self._value += step * self.quantile
        else:
            self._value -= step * (1 - self.quantile)

    def read(self) -> float | None:
        """Return the estimate, None until there are enough values."""
        return self._value if self._samples >= SAMPLES_MIN else None

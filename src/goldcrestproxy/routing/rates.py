"""Request rates of slots and keys in bounded memory."""

from __future__ import annotations

import typing as ty

import attrs

RATE_SMOOTHING: ty.Final = 0.3
SKETCH_KEYS: ty.Final = 64


@attrs.define
class RateMeter:
    """Smoothed rates of many counters, read at intervals."""

    _counts: dict[int, int] = attrs.field(factory=dict)
    _rates_per_s: dict[int, float] = attrs.field(factory=dict)

    def count(self, number: int) -> None:
        """Count one event."""
        self._counts[number] = self._counts.get(number, 0) + 1

    def read(self, elapsed_s: float) -> dict[int, float]:
        """Return the rates, ``elapsed_s`` after the previous reading."""
        for number in {*self._counts, *self._rates_per_s}:
            current_per_s = self._counts.get(number, 0) / max(elapsed_s, 1e-3)
            rate = self._rates_per_s.get(number, 0.0)
            rate += RATE_SMOOTHING * (current_per_s - rate)
            self._rates_per_s[number] = rate
        self._counts.clear()
        self._rates_per_s = {
            number: rate
            for number, rate in self._rates_per_s.items()
            if rate > 0.01
        }
        return dict(self._rates_per_s)


@attrs.define
class HotKeySketch:
    """Most requested keys, by the space-saving algorithm.

    Metwally, Agrawal and El Abbadi, 2005: at most ``SKETCH_KEYS`` counters;
    a new key replaces the one with the smallest count.
    """

    _counts: dict[int, int] = attrs.field(factory=dict)
    _errors: dict[int, int] = attrs.field(factory=dict)

    def count(self, key_hash: int) -> None:
        """Count one request for a key."""
        if key_hash in self._counts or len(self._counts) < SKETCH_KEYS:
            self._counts[key_hash] = self._counts.get(key_hash, 0) + 1
            return
        smallest = min(self._counts, key=self._counts.__getitem__)
        minimum = self._counts.pop(smallest)
        self._errors.pop(smallest, None)
        self._counts[key_hash] = minimum + 1
        self._errors[key_hash] = minimum

    def read(self, elapsed_s: float) -> dict[int, float]:
        """Return lower bounds of the rates and start a new interval."""
        rates = {
            key: (count - self._errors.get(key, 0)) / max(elapsed_s, 1e-3)
            for key, count in self._counts.items()
        }
        self._counts.clear()
        self._errors.clear()
        return rates

"""Requests that another entry host sends to a target that is out of reach."""

from __future__ import annotations

import random
import typing as ty

import attrs

# Hosts that do not reach a target before it counts as unreachable.
UNREACHED_BY_MAX: ty.Final = 3
# Share of the remaining time that a request may wait for a channel.
OPEN_SHARE: ty.Final = 0.25
# How long neighbours are kept when a control host names none: it may have
# just started.
NEIGHBOURS_AGE_S: ty.Final = 1.0
# Less time is not enough for the way over another host.
TIME_LEFT_MIN_S: ty.Final = 0.04
# How long a host that takes no requests is asked only after all others.
NEIGHBOUR_BACK_OFF_S: ty.Final = 1.0
# Requests for a target that other hosts do not reach either are not passed on
# for this time, doubled with each further failure up to the maximum.
TARGET_BACK_OFF_S: ty.Final = 0.5
TARGET_BACK_OFF_S_MAX: ty.Final = 4.0


@attrs.frozen(kw_only=True)
class Neighbour:
    """Another entry host, with the port for channels to it."""

    host: str
    zone: str
    address: str
    peer_port: int


@attrs.define(kw_only=True)
class NeighbourLoad:
    """Requests that this host has passed on to a neighbour."""

    in_flight: int = 0
    back_off_until_s: float = 0.0


def choose_neighbour(
    neighbours: ty.Sequence[Neighbour],
    loads: ty.Mapping[str, NeighbourLoad],
    own_zone: str,
    now_s: float,
    rng: random.Random,
) -> Neighbour | None:
    """Return the neighbour to ask next, None without one.

    Hosts that took the last requests come first, of these the ones with the
    fewest requests from here, of these the ones in the own zone.
    """
    idle = NeighbourLoad()

    def cost(neighbour: Neighbour) -> tuple[bool, int, bool, float]:
        load = loads.get(neighbour.host, idle)
        return (
            now_s < load.back_off_until_s,
            load.in_flight,
            neighbour.zone != own_zone,
            rng.random(),
        )

    return min(neighbours, key=cost, default=None)


@attrs.define
class TargetBackOff:
    """Targets that other hosts did not reach either."""

    _failures: dict[str, int] = attrs.field(factory=dict)
    _until_s: dict[str, float] = attrs.field(factory=dict)

    def record_failure(self, target: str, now_s: float) -> None:
        """Record that no other host reached a target."""
        failures = self._failures.get(target, 0)
        self._failures[target] = failures + 1
        self._until_s[target] = now_s + min(
            TARGET_BACK_OFF_S * 2 ** min(failures, 8), TARGET_BACK_OFF_S_MAX
        )

    def record_success(self, target: str) -> None:
        """Record an answer of a target by way of another host."""
        self._failures.pop(target, None)
        self._until_s.pop(target, None)

    def applies(self, target: str, now_s: float) -> bool:
        """Whether requests for a target are not to be passed on."""
        return now_s < self._until_s.get(target, 0.0)

    def retain(self, targets: set[str]) -> None:
        """Forget all targets but those that may still get requests."""
        for target in set(self._failures) - targets:
            self.record_success(target)

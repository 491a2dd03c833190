"""Placement of the slots of a keyed desk on targets.

Free slots go to the eligible target with the lowest load relative to its
capacity. Slots of targets that are no longer eligible are revoked at once, up
to a limit. Other slots move only when this lowers the highest load by a
margin, and only a few at a time.
"""

from __future__ import annotations

import heapq
import typing as ty

import attrs

EVACUATION_MOVES_MAX: ty.Final = 128
BALANCING_MOVES_MIN: ty.Final = 8
BALANCING_SHARE: ty.Final = 1 / 64
COLD_MOVES_MAX: ty.Final = 2
OVERLOAD_RATIO: ty.Final = 1.15
IDLE_WEIGHT_SHARE: ty.Final = 0.2


@attrs.frozen(kw_only=True)
class PlacedSlot:
    """A slot, its owner (empty if it is free) and its measured rate."""

    name: ty.Hashable
    owner: str = ""
    revoking: bool = False
    rate_per_s: float = 0.0


@attrs.frozen(kw_only=True)
class EligibleTarget:
    """A target that may own slots."""

    target: str
    capacity: float
    cold: bool = False


@attrs.frozen(kw_only=True)
class SlotPlan:
    """Slots to grant, with their new owners, and slots to revoke."""

    grant: tuple[tuple[ty.Hashable, str], ...] = ()
    revoke: tuple[ty.Hashable, ...] = ()


def slot_weights(slots: ty.Sequence[PlacedSlot]) -> dict[ty.Hashable, float]:
    """Return each slot's weight: its rate plus an equal base weight."""
    total = sum(slot.rate_per_s for slot in slots)
    base = max(1.0, total) * IDLE_WEIGHT_SHARE / max(1, len(slots))
    return {slot.name: slot.rate_per_s + base for slot in slots}


def balancing_moves_max(slots: int) -> int:
    """Return how many slots may move at once for balancing."""
    return max(BALANCING_MOVES_MIN, int(slots * BALANCING_SHARE))


def plan_slots(
    slots: ty.Sequence[PlacedSlot], targets: ty.Sequence[EligibleTarget]
) -> SlotPlan:
    """Return the grants and revocations to make now."""
    weights = slot_weights(slots)
    table = _LoadTable(targets, slots, weights)
    return SlotPlan(
        grant=_place_free(slots, table, weights),
        revoke=(
            *_slots_of_ineligible_owners(slots, table),
            *_slots_to_rebalance(slots, table, weights),
        ),
    )


class _LoadTable:
    """Load of each eligible target while a plan is made."""

    def __init__(
        self,
        targets: ty.Sequence[EligibleTarget],
        slots: ty.Sequence[PlacedSlot],
        weights: dict[ty.Hashable, float],
    ) -> None:
        self.targets = {item.target: item for item in targets}
        self.load = dict.fromkeys(self.targets, 0.0)
        for slot in slots:
            if slot.owner in self.load and not slot.revoking:
                self.load[slot.owner] += weights[slot.name]

    def ratio(self, target: str) -> float:
        """Return a target's load relative to its capacity."""
        return self.load[target] / self.targets[target].capacity

    def mean_ratio(self) -> float:
        """Return the ratio of every target in perfect balance."""
        capacity = sum(item.capacity for item in self.targets.values())
        return sum(self.load.values()) / capacity if capacity else 0.0

    def move(self, weight: float, source: str, target: str) -> None:
        """Move a slot's weight from one target to another."""
        if source in self.load:
            self.load[source] -= weight
        self.load[target] += weight


class _Ranking:
    """Targets by ratio, the lowest first, while slots are placed."""

    def __init__(self, table: _LoadTable, *, cold: bool) -> None:
        self._table = table
        self._heap = [
            (table.ratio(name), name)
            for name, item in table.targets.items()
            if item.cold == cold
        ]
        heapq.heapify(self._heap)

    def lowest(self) -> str | None:
        """Return the target with the lowest ratio, None if there is none."""
        return self._heap[0][1] if self._heap else None

    def update_lowest(self) -> None:
        """Rank the lowest target again after it was assigned a slot."""
        name = self._heap[0][1]
        heapq.heapreplace(self._heap, (self._table.ratio(name), name))


def _place_free(
    slots: ty.Sequence[PlacedSlot],
    table: _LoadTable,
    weights: dict[ty.Hashable, float],
) -> tuple[tuple[ty.Hashable, str], ...]:
    """Place free slots on warm targets, on cold ones if none is warm."""
    free = sorted(
        (slot for slot in slots if not slot.owner),
        key=lambda slot: -weights[slot.name],
    )
    warm = _Ranking(table, cold=False)
    cold = _Ranking(table, cold=True)
    cold_quota = dict.fromkeys(table.targets, COLD_MOVES_MAX)
    grants = []
    for slot in free:
        ranking = _ranking_for_free(table, warm, cold, cold_quota)
        target = ranking.lowest()
        if target is None:
            break
        table.move(weights[slot.name], "", target)
        ranking.update_lowest()
        grants.append((slot.name, target))
    return tuple(grants)


def _ranking_for_free(
    table: _LoadTable,
    warm: _Ranking,
    cold: _Ranking,
    cold_quota: dict[str, int],
) -> _Ranking:
    """Return the ranking whose lowest target gets the next free slot."""
    warm_name, cold_name = warm.lowest(), cold.lowest()
    if warm_name is None:
        return cold
    # An underloaded cold target takes a few free slots per round.
    if cold_name is not None and cold_quota[cold_name] > 0:
        if table.ratio(cold_name) * OVERLOAD_RATIO < table.ratio(warm_name):
            cold_quota[cold_name] -= 1
            return cold
    return warm


def _slots_of_ineligible_owners(
    slots: ty.Sequence[PlacedSlot], table: _LoadTable
) -> tuple[ty.Hashable, ...]:
    """Return the slots to revoke from owners that are no longer eligible."""
    moving = sum(slot.revoking for slot in slots)
    names = [
        slot.name
        for slot in slots
        if slot.owner and not slot.revoking and slot.owner not in table.targets
    ]
    return tuple(names[: max(0, EVACUATION_MOVES_MAX - moving)])


def _slots_to_rebalance(
    slots: ty.Sequence[PlacedSlot],
    table: _LoadTable,
    weights: dict[ty.Hashable, float],
) -> tuple[ty.Hashable, ...]:
    """Return the slots to move off overloaded owners."""
    moving = sum(slot.revoking for slot in slots)
    free = sum(not slot.owner for slot in slots)
    if free or len(table.targets) < 2:
        return ()
    movable: dict[str, list[PlacedSlot]] = {}
    for slot in slots:
        if slot.owner in table.targets and not slot.revoking:
            movable.setdefault(slot.owner, []).append(slot)
    chosen: list[ty.Hashable] = []
    while moving + len(chosen) < balancing_moves_max(len(slots)):
        name = _choose_move(movable, table, weights)
        if name is None:
            break
        chosen.append(name)
    return tuple(chosen)


def _choose_move(
    movable: dict[str, list[PlacedSlot]],
    table: _LoadTable,
    weights: dict[ty.Hashable, float],
) -> ty.Hashable | None:
    """Choose the best slot to move off the most loaded owner."""
    source = max(table.load, key=lambda name: (table.ratio(name), name))
    target = min(table.load, key=lambda name: (table.ratio(name), name))
    mean = table.mean_ratio()
    if table.ratio(source) <= mean * OVERLOAD_RATIO:
        return None
    source_capacity = table.targets[source].capacity
    target_capacity = table.targets[target].capacity
    excess = (table.ratio(source) - mean) * source_capacity
    room = (mean * OVERLOAD_RATIO - table.ratio(target)) * target_capacity
    candidates = [
        slot for slot in movable.get(source, ()) if weights[slot.name] <= room
    ]
    if not candidates:
        return None
    best = min(candidates, key=lambda slot: abs(weights[slot.name] - excess))
    movable[source].remove(best)
    table.move(weights[best.name], source, target)
    return best.name

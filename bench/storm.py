"""Time to plan after the loss of a zone, and memory of the map, by size.

Usage: python bench/storm.py
"""

from __future__ import annotations

import pathlib
import sys
import time
import tracemalloc

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]

import commits  # noqa: E402

from goldcrestproxy.routing import placement  # noqa: E402

SLOTS_PER_TARGET = 16
ZONES = 4


def plan_after_loss(targets: int) -> None:
    remaining = [
        placement.EligibleTarget(target=f"t{number}", capacity=4.0)
        for number in range(targets)
        if number % ZONES
    ]
    slots = []
    for number in range(targets * SLOTS_PER_TARGET):
        owner = number % targets
        slots.append(
            placement.PlacedSlot(
                name=number, owner="" if owner % ZONES == 0 else f"t{owner}"
            )
        )
    start_s = time.perf_counter()
    plan = placement.plan_slots(slots, remaining)
    print(
        f"zone of {targets // ZONES} of {targets} targets lost: "
        f"{len(plan.grant)} slots placed in "
        f"{(time.perf_counter() - start_s) * 1e3:.0f} ms",
        flush=True,
    )


def memory_of_map(targets: int, partitions: int) -> None:
    tracemalloc.start()
    state = commits.configured_state(targets, partitions)
    map_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f"map of {targets} targets, {len(state.desks['desk'].partitions)} "
        f"partitions: {map_bytes / 1e6:.1f} MB",
        flush=True,
    )


def main() -> None:
    for targets in (30, 300, 1_000):
        plan_after_loss(targets)
    for targets, partitions in ((300, 4_800), (3_000, 48_000)):
        memory_of_map(targets, partitions)


if __name__ == "__main__":
    main()

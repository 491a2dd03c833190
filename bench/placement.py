"""Imbalance and moves of slot placement, compared with plain hashing.

Usage: python bench/placement.py

Keys follow a Zipf distribution over partitions and hot keys. No process is
started: plans of routing/placement.py take effect immediately.
"""

from __future__ import annotations

import pathlib
import random
import sys

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "src"))

from goldcrestproxy.routing import partitions  # noqa: E402
from goldcrestproxy.routing import placement  # noqa: E402

KEYS = 100_000
PARTITIONS = 1024
REQUESTS_PER_S = 10_000.0
HOT_SHARE_OF_TARGET = 0.2
EXPONENT = 1.0


def zipf_rates(seed: int) -> dict[int, float]:
    """Return request rates by key hash, in random order."""
    rng = random.Random(seed)
    weights = [1 / (rank + 1) ** EXPONENT for rank in range(KEYS)]
    total = sum(weights)
    hashes = [rng.getrandbits(63) for _ in range(KEYS)]
    return {
        key: weight / total * REQUESTS_PER_S
        for key, weight in zip(hashes, weights, strict=True)
    }


def imbalance(loads: dict[str, float]) -> float:
    return max(loads.values()) / (sum(loads.values()) / len(loads))


def assign_by_hash(
    rates: dict[int, float], names: list[str]
) -> dict[int, str]:
    """Return the owner of each key by plain hashing."""
    return {key: names[key % len(names)] for key in rates}


def loads_of(owners, rates, names):
    loads = dict.fromkeys(names, 0.0)
    for key, owner in owners.items():
        loads[owner] += rates[key]
    return loads


def slot_rates(rates: dict[int, float], names: list[str]) -> dict:
    """Return the rates of partitions and of hot keys, which are separate."""
    mean_rate = REQUESTS_PER_S / len(names)
    slots: dict = dict.fromkeys(range(PARTITIONS), 0.0)
    for key, rate in rates.items():
        if rate > mean_rate * HOT_SHARE_OF_TARGET:
            slots[f"key-{key}"] = rate
        else:
            slots[partitions.partition_of(key, PARTITIONS)] += rate
    return slots


def apply_plans(owners: dict, rates: dict, names: list[str]) -> int:
    """Apply plans until they are empty; return the number of moves."""
    eligible = [
        placement.EligibleTarget(target=name, capacity=1.0) for name in names
    ]
    moves = 0
    for _ in range(2_000):
        plan = placement.plan_slots(
            [
                placement.PlacedSlot(
                    name=slot, owner=owner, rate_per_s=rates[slot]
                )
                for slot, owner in owners.items()
            ],
            eligible,
        )
        if not plan.grant and not plan.revoke:
            return moves
        owners.update(plan.grant)
        for slot in plan.revoke:
            owners[slot] = ""
            moves += 1
    return moves


def compare(label: str, count: int, seed: int) -> None:
    names = [f"target-{number}" for number in range(count)]
    rates = zipf_rates(seed)
    hashed_imbalance = imbalance(
        loads_of(assign_by_hash(rates, names), rates, names)
    )
    slots = slot_rates(rates, names)
    owners = dict.fromkeys(slots, "")
    # Place slots with equal rates first, then balance them by their rates.
    apply_plans(owners, dict.fromkeys(slots, 1.0), names)
    placed_imbalance = imbalance(loads_of(owners, slots, names))
    moves = apply_plans(owners, slots, names)
    final_imbalance = imbalance(loads_of(owners, slots, names))
    floor = max(1.0, max(slots.values()) / (REQUESTS_PER_S / count))
    before = dict(owners)
    lost = names[0]
    unowned = [slot for slot, owner in owners.items() if owner == lost]
    for slot in unowned:
        owners[slot] = ""
    extra_moves = apply_plans(owners, slots, names[1:])
    moved = sum(owners[slot] != before[slot] for slot in owners)
    rehashed = sum(
        names[key % count] != names[1:][key % (count - 1)] for key in rates
    )
    print(
        f"{label:34} hashing {hashed_imbalance:5.2f}  "
        f"placed {placed_imbalance:5.2f} -> {final_imbalance:5.2f}"
        f" (floor {floor:4.2f}) after {moves:3} moves; loss of one target:"
        f" {moved / len(owners):6.2%} of slots move "
        f"({extra_moves} beyond its own),"
        f" plain hashing {rehashed / len(rates):6.2%} of keys",
        flush=True,
    )


def main() -> None:
    for seed in range(3):
        compare(f"pitch booking, 20 targets, seed {seed}", 20, seed)
        compare(f"ledger and filing, 30 targets, seed {seed}", 30, seed)


if __name__ == "__main__":
    main()

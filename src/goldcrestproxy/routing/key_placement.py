"""Distribution of a service's keys among its targets.

Pure functions, designed for keys that differ in load, hot keys that are
adjacent and change within seconds, and targets that differ in speed. Blocks
have weights (their share of the requests) and targets have shares (their
share of the capacity).
"""

from __future__ import annotations

import math
import random
import typing as ty

from goldcrestproxy import registry
from goldcrestproxy.routing import weighted_round_robin

# A fast target gets twice as many; its heartbeat answer still fits in 4 KiB.
BLOCKS_PER_TARGET: ty.Final = 48
# Ranges of about 26 bytes that fit into a heartbeat answer of 4 KiB.
OWNED_BLOCKS_MAX: ty.Final = 135
# Overdue blocks that a target takes at once, even beyond its share.
OVERDUE_TAKEN_MAX: ty.Final = 24
# A target releases no blocks while its excess is within this ratio of its
# share.
SHARE_TOLERANCE: ty.Final = 0.2
# Fraction of a target's blocks that it releases at once for balancing.
MOVED_RATIO_MAX: ty.Final = 0.25
# Blocks with more than this fraction of the mean share are split.
HOT_SHARE_RATIO: ty.Final = 0.3
# Approximate weight of each piece, as a fraction of the mean share.
PIECE_SHARE_RATIO: ty.Final = 0.15
PIECES_MAX: ty.Final = 16


def block_keys_for(target_count: int) -> int:
    """Return the number of keys per block for this many targets."""
    blocks = BLOCKS_PER_TARGET * max(1, target_count)
    return max(1, math.ceil(registry.KEY_COUNT / blocks))


def block_count(block_keys: int) -> int:
    """Return the number of blocks of this size."""
    return math.ceil(registry.KEY_COUNT / block_keys)


def assign_blocks(capacities: ty.Sequence[float], blocks: int) -> list[int]:
    """Return the owner of each block, as an index into ``capacities``.

    Uses smooth weighted round robin: adjacent blocks get different owners.
    """
    scheduler = weighted_round_robin.WeightedRoundRobin(
        {str(index): capacity for index, capacity in enumerate(capacities)}
    )
    return [int(scheduler.next() or 0) for _ in range(blocks)]


def blocks_to_take(
    free: ty.Mapping[int, float],
    owned: ty.Mapping[int, float],
    share: float,
    rng: random.Random,
    overdue: ty.Sequence[int] = (),
) -> list[int]:
    """Return the free blocks that a target below its share takes now.

    It takes at least one, so that every block gets an owner, and may exceed
    its share by half of the tolerance: targets that report first take more,
    and keys without an owner are served again sooner.

    :param free: weights of the free blocks
    :param owned: weights of the target's blocks
    :param overdue: free blocks that no target below its share has taken;
        some of them are taken even by a target at its share
    """
    if share <= 0:
        return []
    room = share * (1 + SHARE_TOLERANCE / 2) - sum(owned.values())
    count_max = OWNED_BLOCKS_MAX - len(owned)
    overdue_taken = list(overdue[: min(OVERDUE_TAKEN_MAX, max(0, count_max))])
    if room <= 0 or count_max <= 0 or not free:
        return sorted(overdue_taken)
    candidates = [block for block in free if block not in overdue_taken]
    rng.shuffle(candidates)
    taken = overdue_taken
    for block in candidates:
        if free[block] / 2 <= room:
            taken.append(block)
            room -= free[block]
        if room <= 0 or len(taken) >= count_max:
            break
    return sorted(taken or [min(free, key=free.__getitem__)])


def blocks_to_release(
    owned: ty.Mapping[int, float], share: float
) -> list[int]:
    """Return the blocks that a target releases now.

    With a share of 0, all of them. Otherwise, once the excess is above the
    tolerance, the fewest blocks that make up for it; a block heavier than
    the excess stays, since it would only move the overload elsewhere.

    :param owned: weights of the target's blocks
    """
    if share <= 0:
        return sorted(owned)
    excess = sum(owned.values()) - share
    if excess <= share * SHARE_TOLERANCE:
        return []
    count_max = math.ceil(len(owned) * MOVED_RATIO_MAX)
    chosen = []
    for block in sorted(owned, key=owned.__getitem__, reverse=True):
        if len(chosen) >= count_max or excess <= 0:
            break
        if owned[block] <= excess:
            chosen.append(block)
            excess -= owned[block]
    return sorted(chosen)


def piece_count(weight: float, keys: int, mean_share: float) -> int:
    """Return the number of pieces to split a block into, 1 for no split.

    :param weight: the block's share of the requests
    :param keys: number of keys in the block
    :param mean_share: mean share of the requests per target
    """
    if keys < 2 or weight <= mean_share * HOT_SHARE_RATIO:
        return 1
    wanted = math.ceil(weight / (mean_share * PIECE_SHARE_RATIO))
    return max(1, min(wanted, PIECES_MAX, keys))

"""How much of a service's keys each target should own.

Plain functions. The load that they answer: keys differ in how busy they are,
busy keys are neighbours, and which ones are busy changes within seconds;
targets differ in speed. Blocks have weights (their part of the requests) and
targets have shares (their part of the capacity).
"""

from __future__ import annotations

import math
import random
import typing as ty

from goldcrestproxy import registry
from goldcrestproxy.routing import weighted_round_robin

# A quick target gets twice as many, and its answer still fits into 4 KiB.
BLOCKS_PER_TARGET: ty.Final = 48
# Ranges of about 26 bytes that fit into an answer of 4 KiB.
OWNED_BLOCKS_MAX: ty.Final = 135
# Blocks that a target takes at once beyond its share.
OVERDUE_TAKEN_MAX: ty.Final = 24
# A target within this part of its share keeps what it has.
SHARE_TOLERANCE: ty.Final = 0.2
# Part of a target's blocks that move away at once, for balance only.
MOVED_RATIO_MAX: ty.Final = 0.25
# A block above this part of a usual share is cut up.
HOT_SHARE_RATIO: ty.Final = 0.3
# Pieces of a hot block have about this part of a usual share each.
PIECE_SHARE_RATIO: ty.Final = 0.15
PIECES_MAX: ty.Final = 16


def block_keys_for(target_count: int) -> int:
    """Return the keys in each block for this many targets."""
    blocks = BLOCKS_PER_TARGET * max(1, target_count)
    return max(1, math.ceil(registry.KEY_COUNT / blocks))


def block_count(block_keys: int) -> int:
    """Return how many blocks of this size there are."""
    return math.ceil(registry.KEY_COUNT / block_keys)


def assign_blocks(capacities: ty.Sequence[float], blocks: int) -> list[int]:
    """Return the owner of each block, as an index into ``capacities``.

    Smooth weighted round robin: neighbouring blocks get different owners.
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

    It takes at least one, so that every block finds an owner, and may go
    over its share by half of the tolerance: who asks first takes more, and
    keys without an owner are served again sooner.

    :param free: weights by block
    :param owned: weights by block
    :param overdue: free blocks that nobody below its share has taken; a
        target takes some of them whatever its share
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
    """Return the blocks that a target gives up now.

    All of them with a share of 0. Else, once the excess is more than the
    tolerance, the fewest blocks that make up for it; a block heavier than
    the excess stays, since it would only move the load elsewhere.

    :param owned: weights by block
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
    """Return into how many pieces a block is cut, 1 for none.

    :param weight: the block's part of the requests
    :param keys: how many keys it has
    :param usual_share: part of the requests that a usual target gets
    """
    if keys < 2 or weight <= mean_share * HOT_SHARE_RATIO:
        return 1
    wanted = math.ceil(weight / (mean_share * PIECE_SHARE_RATIO))
    return max(1, min(wanted, PIECES_MAX, keys))

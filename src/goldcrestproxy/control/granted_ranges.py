"""Key ranges granted in heartbeat answers."""

from __future__ import annotations

import logging
import typing as ty

import attrs

from goldcrestproxy.control import target_views
from goldcrestproxy import registry

LOG = logging.getLogger(__name__)

# Limit for the ranges of an answer; the platform reads at most 4,096 bytes
# of an answer.
RANGES_BYTES_MAX: ty.Final = 3_800
# Brackets, commas and quotes of an encoded range.
RANGE_OVERHEAD_BYTES: ty.Final = 8


def ranges_for(
    target: str, keyspace: registry.Keyspace, view: target_views.TargetView
) -> tuple[registry.GrantedRange, ...]:
    """Return all ranges granted to a target, up to the answer size limit.

    Excludes the blocks that the target is to release. The result is cached
    in the view and recomputed only when one of its inputs has changed.
    """
    inputs = target_views.GrantInputs(
        keyspace=keyspace,
        changes=keyspace.change_count(target),
        releasing=frozenset(view.releasing),
        held=view.held,
    )
    if view.grant_inputs != inputs:
        view.granted = _compute_ranges(target, keyspace, view)
        view.grant_inputs = inputs
    return view.granted


def _compute_ranges(
    target: str, keyspace: registry.Keyspace, view: target_views.TargetView
) -> tuple[registry.GrantedRange, ...]:
    ranges: list[registry.GrantedRange] = []
    for first in keyspace.owned_by(target):
        if first in view.releasing:
            continue
        granted = _range_of(keyspace, first, view)
        if ranges and _is_mergeable(ranges[-1], granted):
            granted = attrs.evolve(granted, first_key=ranges.pop().first_key)
        ranges.append(granted)
    remaining_bytes = RANGES_BYTES_MAX
    for number, granted in enumerate(ranges):
        remaining_bytes -= _range_bytes(granted)
        if remaining_bytes < 0:
            LOG.warning(
                "registry: answer to %s truncated to %d of %d ranges",
                target,
                number,
                len(ranges),
            )
            return tuple(ranges[:number])
    return tuple(ranges)


def _range_of(
    keyspace: registry.Keyspace, first: int, view: target_views.TargetView
) -> registry.GrantedRange:
    index = keyspace.position_of(first)
    token = keyspace.tokens[index]
    already_held = view.held.get(first) == token
    return registry.GrantedRange(
        first_key=first,
        last_key=keyspace.last_key(index),
        token=token,
        handover="" if already_held else keyspace.handovers.get(first, ""),
    )


def _is_mergeable(
    previous: registry.GrantedRange, granted: registry.GrantedRange
) -> bool:
    """Whether two ranges are adjacent and can be granted as one."""
    return (
        previous.last_key + 1 == granted.first_key
        and previous.token == granted.token
        and not previous.handover
        and not granted.handover
    )


def _range_bytes(granted: registry.GrantedRange) -> int:
    return (
        len(str(granted.first_key))
        + len(str(granted.last_key))
        + len(str(granted.token))
        + len(granted.handover)
        + RANGE_OVERHEAD_BYTES
    )

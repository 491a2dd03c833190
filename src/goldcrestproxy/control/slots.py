"""Slot ownership in the replicated state."""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy.control import commands
from goldcrestproxy.control import outcomes
from goldcrestproxy.control import records

if ty.TYPE_CHECKING:
    from goldcrestproxy.control import state as states


def change_slots(
    state: states.ControlState,
    index: int,
    command: (
        commands.GrantSlots
        | commands.RevokeSlots
        | commands.ReleaseSlots
        | commands.KeepSlots
        | commands.SplitKeys
        | commands.JoinKeys
    ),
) -> outcomes.Outcome:
    """Apply a command to the slots of a desk.

    :param index: log index of the command, the token of new grants
    """
    desk = state.desks.get(command.desk)
    if desk is None:
        return outcomes.Done()
    match command:
        case commands.GrantSlots():
            _grant(state, index, command.desk, desk, command.placed)
        case commands.RevokeSlots():
            for record in _matching(desk, command.held):
                record.revoking = bool(record.owner)
        case commands.ReleaseSlots():
            if _is_current_coordinator(state, command):
                for record in _matching(desk, command.held):
                    record.free()
        case commands.KeepSlots():
            if _is_current_coordinator(state, command):
                for record in _matching(desk, command.held):
                    record.revoking = False
        case commands.SplitKeys():
            _split(desk, command.key_hashes)
        case commands.JoinKeys():
            _join(desk, command.key_hashes)
    return outcomes.Done()


def _is_current_coordinator(
    state: states.ControlState,
    command: commands.ReleaseSlots | commands.KeepSlots,
) -> bool:
    """Whether a command comes from the target's current coordinator.

    A command delayed until another coordinator has granted the same slots
    must have no effect.
    """
    target = state.targets.get(command.target)
    return (
        target is not None
        and target.coordinated
        and target.epoch == command.epoch
    )


def _grant(
    state: states.ControlState,
    index: int,
    desk_name: str,
    desk: records.DeskRecord,
    placed: ty.Iterable[commands.Placed],
) -> None:
    for item in placed:
        record = desk.slot(item.slot)
        target = state.targets.get(item.target)
        if record is None or record.owner or target is None:
            continue
        if target.desk == desk_name and state.may_take_work(target):
            record.owner = item.target
            record.token = index


def _matching(
    desk: records.DeskRecord, held: ty.Iterable[commands.Held]
) -> list[records.SlotRecord]:
    """Return the records whose token equals the command's token."""
    matching = []
    for item in held:
        record = desk.slot(item.slot)
        if record is not None and record.token == item.token:
            matching.append(record)
    return matching


def _split(desk: records.DeskRecord, key_hashes: ty.Iterable[int]) -> None:
    for key_hash in key_hashes:
        parent = desk.parent(key_hash)
        if key_hash not in desk.hot_keys and not parent.revoking:
            desk.hot_keys[key_hash] = attrs.evolve(parent)


def _join(desk: records.DeskRecord, key_hashes: ty.Iterable[int]) -> None:
    """Join keys to their partitions without decreasing any token."""
    for key_hash in key_hashes:
        parent = desk.parent(key_hash)
        record = desk.hot_keys.get(key_hash)
        if (
            record is not None
            and record.owner == parent.owner
            and not record.revoking
            and not parent.revoking
        ):
            parent.token = max(parent.token, record.token)
            del desk.hot_keys[key_hash]

"""Planning of coordinators and slot ownership.

Derives commands from the replicated state and the daemons' reports.
"""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy.control import commands
from goldcrestproxy.control import records
from goldcrestproxy.control import sessions as daemon_sessions
from goldcrestproxy.control import state as states
from goldcrestproxy.routing import coordination
from goldcrestproxy.routing import placement

HOT_SHARE_OF_TARGET: ty.Final = 0.2
HOT_RATE_PER_S_MIN: ty.Final = 20.0
COOL_SHARE_OF_THRESHOLD: ty.Final = 0.25
HOT_KEYS_MAX: ty.Final = 1_100


@attrs.frozen(kw_only=True)
class Reports:
    """Reported data outside the replicated state."""

    daemons: tuple[coordination.Daemon, ...]
    measurements: dict[str, daemon_sessions.TargetMeasurement]
    # Sessions that did not reach a target, by target.
    unreached_by: dict[str, frozenset[str]] = attrs.field(factory=dict)


def plan(
    state: states.ControlState, reports: Reports
) -> list[commands.Command]:
    """Return the commands that move the state towards the desired one."""
    proposals = _plan_coordinators(state, reports)
    for name, desk in state.desks.items():
        proposals.extend(_plan_desk(state, name, desk, reports))
    return proposals


def _plan_coordinators(
    state: states.ControlState, reports: Reports
) -> list[commands.Command]:
    planned = coordination.plan_coordinators(
        [
            coordination.TargetAssignment(
                target=target.target,
                zone=target.zone,
                session=target.session,
                revoking=target.revoking,
                reachable=target.reachable,
                unreached_by=reports.unreached_by.get(
                    target.target, frozenset()
                ),
            )
            for target in state.targets.values()
        ],
        reports.daemons,
        state.configuration.zones_out,
    )
    daemons = {daemon.session: daemon for daemon in reports.daemons}
    proposals: list[commands.Command] = [
        commands.AssignCoordinators(
            host=daemons[session].host,
            session=session,
            address=daemons[session].address,
            peer_port=daemons[session].peer_port,
            targets=targets,
            warm=tuple(
                name for name in targets if _is_warm(state, reports, name)
            ),
        )
        for session, targets in planned.assign.items()
    ]
    if planned.revoke:
        proposals.append(commands.RevokeCoordinators(targets=planned.revoke))
    return proposals


def _is_warm(state: states.ControlState, reports: Reports, name: str) -> bool:
    """Whether the current incarnation was last measured as warm."""
    measurement = reports.measurements.get(name)
    return (
        measurement is not None
        and not measurement.cold
        and measurement.incarnation == state.targets[name].incarnation
    )


def _plan_desk(
    state: states.ControlState,
    name: str,
    desk: records.DeskRecord,
    reports: Reports,
) -> list[commands.Command]:
    rates = _slot_rates(state, name, reports)
    slots = [
        placement.PlacedSlot(
            name=slot,
            owner=record.owner,
            revoking=record.revoking,
            rate_per_s=rates.get(slot, 0.0),
        )
        for slot, record in desk.slots()
    ]
    planned = placement.plan_slots(slots, _receivers(state, name, reports))
    proposals: list[commands.Command] = []
    if planned.grant:
        proposals.append(
            commands.GrantSlots(
                desk=name,
                placed=tuple(
                    commands.Placed(
                        slot=ty.cast(commands.Slot, slot), target=target
                    )
                    for slot, target in planned.grant
                ),
            )
        )
    if planned.revoke:
        proposals.append(
            commands.RevokeSlots(
                desk=name,
                held=tuple(
                    held_slot(desk, ty.cast(commands.Slot, slot))
                    for slot in planned.revoke
                ),
            )
        )
    proposals.extend(_plan_hot_keys(name, desk, reports, state, rates))
    return proposals


def held_slot(desk: records.DeskRecord, slot: commands.Slot) -> commands.Held:
    """Return a slot with its current token, 0 if it does not exist."""
    record = desk.slot(slot)
    return commands.Held(slot=slot, token=record.token if record else 0)


def _targets_of(
    state: states.ControlState, desk: str
) -> list[records.TargetRecord]:
    return [t for t in state.targets.values() if t.desk == desk]


def _receivers(
    state: states.ControlState, desk: str, reports: Reports
) -> list[placement.EligibleTarget]:
    return [
        placement.EligibleTarget(
            target=target.target,
            capacity=float(max(1, target.slots)),
            cold=reports.measurements.get(
                target.target, daemon_sessions.TargetMeasurement()
            ).cold,
        )
        for target in _targets_of(state, desk)
        if state.may_take_work(target) and target.coordinated
    ]


def _slot_rates(
    state: states.ControlState, desk: str, reports: Reports
) -> dict[commands.Slot, float]:
    rates: dict[commands.Slot, float] = {}
    for target in _targets_of(state, desk):
        measurement = reports.measurements.get(target.target)
        if measurement is None:
            continue
        for number, rate in measurement.rates_per_s.items():
            rates[commands.Slot(number=number)] = rate
        for key_hash, rate in measurement.hot_rates_per_s.items():
            rates[commands.Slot(number=key_hash, hot=True)] = rate
    return rates


def _plan_hot_keys(
    name: str,
    desk: records.DeskRecord,
    reports: Reports,
    state: states.ControlState,
    rates: dict[commands.Slot, float],
) -> list[commands.Command]:
    """Split out hot keys and return cooled ones to their partitions.

    A key is hot when its rate exceeds a share of a target's mean load. It
    has cooled at a lower rate, so that keys near the threshold stay as is.
    """
    proposals: list[commands.Command] = []
    targets = _targets_of(state, name)
    total_per_s = sum(rate for slot, rate in rates.items() if not slot.hot)
    total_per_s += sum(
        rates.get(commands.Slot(number=key, hot=True), 0.0)
        for key in desk.hot_keys
    )
    mean_rate_per_s = total_per_s / max(1, len(targets))
    threshold_per_s = max(
        HOT_RATE_PER_S_MIN, mean_rate_per_s * HOT_SHARE_OF_TARGET
    )
    room = HOT_KEYS_MAX - len(desk.hot_keys)
    split = [
        slot.number
        for slot, rate in rates.items()
        if slot.hot
        and rate > threshold_per_s
        and slot.number not in desk.hot_keys
    ]
    if split and room > 0:
        proposals.append(
            commands.SplitKeys(desk=name, key_hashes=tuple(split[:room]))
        )
    cooled = [
        key_hash
        for key_hash in desk.hot_keys
        if rates.get(commands.Slot(number=key_hash, hot=True), 0.0)
        < threshold_per_s * COOL_SHARE_OF_THRESHOLD
    ]
    if cooled:
        proposals.extend(_join_or_move_back(name, desk, cooled))
    return proposals


def _join_or_move_back(
    name: str, desk: records.DeskRecord, cooled: list[int]
) -> list[commands.Command]:
    """Join cooled keys to their partitions.

    Keys owned by another target than their partition are moved back first.
    """
    joinable: list[int] = []
    misplaced: list[commands.Held] = []
    unowned: list[commands.Placed] = []
    for key_hash in cooled:
        record = desk.hot_keys[key_hash]
        parent = desk.parent(key_hash)
        slot = commands.Slot(number=key_hash, hot=True)
        if record.owner == parent.owner:
            joinable.append(key_hash)
        elif not record.owner and parent.owner:
            unowned.append(commands.Placed(slot=slot, target=parent.owner))
        elif not record.revoking and parent.owner and not parent.revoking:
            misplaced.append(commands.Held(slot=slot, token=record.token))
    proposals: list[commands.Command] = []
    if unowned:
        proposals.append(commands.GrantSlots(desk=name, placed=tuple(unowned)))
    if joinable:
        proposals.append(
            commands.JoinKeys(desk=name, key_hashes=tuple(joinable))
        )
    if misplaced:
        limit = placement.balancing_moves_max(len(desk.partitions))
        proposals.append(
            commands.RevokeSlots(desk=name, held=tuple(misplaced[:limit]))
        )
    return proposals

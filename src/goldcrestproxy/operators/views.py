"""JSON views of the replicated state for operators."""

from __future__ import annotations

import typing as ty

from goldcrestproxy import control
from goldcrestproxy import results
from goldcrestproxy.routing import partitions


def history(state: control.ControlState) -> dict[str, ty.Any]:
    """Return the accepted changes, newest first."""
    return {
        "changes": [
            {
                "revision": change.revision,
                "change_id": change.change_id,
                "operator": change.operator,
                "time_s": change.time_s,
                "summary": change.summary,
            }
            for change in reversed(state.configuration.history)
        ]
    }


def targets(state: control.ControlState) -> dict[str, ty.Any]:
    """Return every target with its condition and number of owned slots."""
    return {
        "targets": [
            {
                "target": target.target,
                "desk": target.desk,
                "zone": target.zone,
                "address": target.address,
                "slots": target.slots,
                "condition": condition(state, target),
                "coordinator": target.host,
                "owned": len(state.owned_by(target)),
            }
            for _, target in sorted(state.targets.items())
        ]
    }


def condition(
    state: control.ControlState, target: control.TargetRecord
) -> str:
    """Return whether a target is in service, or why it is not."""
    if not target.reachable:
        return "lost"
    if target.leaving:
        return "leaving"
    if target.drained:
        return "drained"
    if target.zone in state.configuration.zones_out:
        return "zone-out"
    return "in-service" if target.coordinated else "uncoordinated"


def owner(
    state: control.ControlState, customer: str, desk_name: str, key: str
) -> dict[str, ty.Any]:
    """Return the owner of a key and its fencing token.

    :raises RefusedError: if no keyed desk has this name
    """
    desk = state.desks.get(desk_name)
    if desk is None:
        desk_names = ", ".join(sorted(state.desks)) or "none"
        raise results.refusal(
            results.NOT_FOUND,
            f"no keyed desk {desk_name!r} is known; known are: {desk_names}",
        )
    key_hash = partitions.key_hash(customer, key)
    slot = desk.slot_of(key_hash)
    record = desk.slot(slot) or control.SlotRecord()
    target = state.targets.get(record.owner)
    return {
        "customer": customer,
        "desk": desk_name,
        "key": key,
        "hot": slot.hot,
        "partition": partitions.partition_of(key_hash, len(desk.partitions)),
        "owner": record.owner,
        "fencing_token": record.token,
        "moving": record.revoking,
        "zone": target.zone if target else "",
        "coordinator": target.host if target else "",
    }


def quarantine(state: control.ControlState) -> dict[str, ty.Any]:
    """Return the requests that were in flight at crashes."""
    return {
        "suspects": [
            {
                "fingerprint": fingerprint,
                "crashes": record.crashes,
                "quarantined": record.quarantined,
            }
            for fingerprint, record in sorted(state.quarantine.crashes.items())
        ]
    }

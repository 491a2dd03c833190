"""Whether the replicated state allows a request to go to a target."""

from __future__ import annotations

from goldcrestproxy import control
from goldcrestproxy import results
from goldcrestproxy import targets

RETRY_AFTER_MS = 100
MOVE_RETRY_AFTER_MS = 50


def expected_slot(
    state: control.ControlState,
    target: str,
    key_hash: int,
    *,
    reachable: bool,
) -> targets.OwnedSlot | None:
    """Return the slot of a keyed request, None for a pool desk.

    :param reachable: whether the target acknowledged its newest order
    :raises RefusedError: when the target must not get this request
    """
    record = state.targets.get(target)
    if record is None:
        raise results.refusal(
            results.WRONG_COORDINATOR, f"{target} is not known"
        )
    if not state.may_take_work(record):
        raise results.refusal(
            results.NO_TARGET, f"{target} takes no new work", RETRY_AFTER_MS
        )
    desk = state.desks.get(record.desk)
    if desk is not None:
        return _slot_of_key(desk, target, key_hash)
    if not reachable:
        raise results.refusal(
            results.TARGET_UNREACHABLE,
            f"{target} does not answer",
            RETRY_AFTER_MS,
        )
    return None


def _slot_of_key(
    desk: control.DeskRecord, target: str, key_hash: int
) -> targets.OwnedSlot:
    slot = desk.slot_of(key_hash)
    owner = desk.slot(slot)
    if owner is None or owner.owner != target:
        raise results.refusal(
            results.WRONG_COORDINATOR, f"{target} does not own the key"
        )
    if owner.revoking:
        raise results.refusal(
            results.KEY_MOVING,
            "the key is moving to another target",
            MOVE_RETRY_AFTER_MS,
        )
    return targets.OwnedSlot(slot, owner.token)

"""Whether a target may get a request.

Asked when a target is chosen, and again right before the first byte is sent:
a request may wait for seconds in between.
"""

from __future__ import annotations

import enum

from goldcrestproxy.entries import dispatch_state
from goldcrestproxy.entries import fleet_map


class Hindrance(enum.Enum):
    """Why a target may not get a request.

    ``GONE`` targets are lost, leave, are in a zone that is out, have ended,
    or do not own the key. ``LEFT`` ones say in their answers that they leave.
    """

    GONE = "gone"
    LEFT = "left"
    RESTS = "rests"


def find_hindrance(
    fleet: fleet_map.FleetMap,
    state: dispatch_state.DispatchState,
    target: fleet_map.TrackedTarget,
    now_s: float,
) -> Hindrance | None:
    """Return why a chosen target may not get a request, None if it may.

    :param now_s: monotonic time
    """
    keyed = fleet.is_keyed(state.service)
    key = state.request.key
    if keyed:
        in_service = (
            key is not None
            and not target.record.lost
            and fleet.owner(state.service, key) is target
        )
    else:
        in_service = fleet.is_available(target)
    if not in_service:
        return Hindrance.GONE
    return own_hindrance(target, now_s, keyed=keyed)


def own_hindrance(
    target: fleet_map.TrackedTarget, now_s: float, *, keyed: bool
) -> Hindrance | None:
    """Return why a target in service may not get a request, by its answers.

    :param now_s: monotonic time
    :param keyed: whether it would get the request as the owner of a key
    """
    if target.has_left(now_s, keyed=keyed):
        return Hindrance.LEFT
    if not target.rest.may_send(now_s):
        return Hindrance.RESTS
    return None

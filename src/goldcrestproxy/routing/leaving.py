"""Targets that say in their answers that they leave."""

from __future__ import annotations

import typing as ty

DRAIN_MS_DEFAULT: ty.Final = 2_000.0
# Part of its drain time in which a target may still get requests for its keys
# from a host that knows that it leaves.
KEYED_SHARE: ty.Final = 0.5


def keyed_grace_s(drain_ms: float) -> float:
    """Return how long the owner of a key is still sent requests.

    :param drain_ms: time for which a target serves after it said it leaves
    """
    return drain_ms * KEYED_SHARE / 1000


def may_send(
    heard_s: float | None, now_s: float, *, keyed: bool, grace_s: float
) -> bool:
    """Whether a target may get a request.

    A pool has other targets. A key has none until it has moved.

    :param heard_s: when this host first heard that it leaves, or None
    :param grace_s: time in which the owner of a key is still sent requests
    """
    if heard_s is None:
        return True
    return keyed and now_s < heard_s + grace_s

"""Targets that say in their answers that they leave."""

from __future__ import annotations

import typing as ty

# Time in which the keys of a leaving target move. It serves them meanwhile.
KEYED_GRACE_S: ty.Final = 1.0


def may_send(heard_s: float | None, now_s: float, *, keyed: bool) -> bool:
    """Whether a target may get a request.

    A pool has other targets. A key has none until it has moved.

    :param heard_s: when this host first heard that it leaves, or None
    """
    if heard_s is None:
        return True
    return keyed and now_s < heard_s + KEYED_GRACE_S

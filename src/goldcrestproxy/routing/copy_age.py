"""Age of a host's copy of the state, and what it may decide on that copy.

Changes of routes, services and zones, and targets that leave, bind every host
within a time from their confirmation. A host learns from each answer of a
control host which change was the last, and as of when. Until it has applied
that change, it does not know what it says.

- A refusal for a missing route is final for the caller. It needs a copy that
  was the newest one less than the bound ago.
- A request with a route is served from any copy while no control host answers:
  then nothing says that the copy is outdated. Once a host knows that it is
  behind, it serves no longer than the bound allows.
"""

from __future__ import annotations

import collections
import math
import typing as ty

import attrs

# Time from the confirmation of a change until it binds every host.
IN_FORCE_MS_DEFAULT: ty.Final = 2_000.0
# Share of that time after which a refusal for a missing route has to wait for
# a control host. The rest is for the answer to the caller.
UNKNOWN_ROUTE_SHARE: ty.Final = 0.75
# Share of that time after which a host that is behind stops serving.
BEHIND_SHARE: ty.Final = 0.9
# A feed may arrive this much later than the answer that announces it.
FEED_GRACE_S: ty.Final = 0.3
# Changes that are kept; more than that are followed less exactly.
CHANGES_MAX: ty.Final = 64


@attrs.frozen(kw_only=True)
class _Change:
    """The last binding change as of a time, and when the host was told."""

    binding_index: int
    as_of_s: float
    told_s: float


class CopyAge:
    """Follows until when a host's copy is known to have been the newest."""

    def __init__(self, in_force_ms: float = IN_FORCE_MS_DEFAULT) -> None:
        """Start with a copy of unknown age.

        :param in_force_ms: time from the confirmation of a change until it
            binds every host
        """
        self._unknown_route_s = in_force_ms / 1000 * UNKNOWN_ROUTE_SHARE
        self._behind_s = in_force_ms / 1000 * BEHIND_SHARE
        self._newest_as_of_s = -math.inf
        # Changes that are known and not applied yet, oldest first.
        self._pending: collections.deque[_Change] = collections.deque(
            maxlen=CHANGES_MAX
        )

    @property
    def is_behind(self) -> bool:
        """Whether a change is known of that is not applied yet."""
        return bool(self._pending)

    def age_s(self, now_s: float) -> float:
        """Return the time since the copy is known to have been the newest."""
        return now_s - self._newest_as_of_s

    def record_answer(
        self,
        binding_index: int,
        as_of_s: float,
        *,
        applied_index: int,
        now_s: float,
    ) -> None:
        """Record the last binding change that a control host knew of.

        :param as_of_s: when it was the last one of all control hosts
        :param applied_index: index of the last entry that is applied here
        """
        self._pending.append(
            _Change(binding_index=binding_index, as_of_s=as_of_s, told_s=now_s)
        )
        self.record_applied(applied_index)

    def record_announced(self, binding_index: int, now_s: float) -> None:
        """Record a binding change that is on its way to this host."""
        known = any(
            change.binding_index == binding_index for change in self._pending
        )
        if not known:
            self._pending.append(
                _Change(
                    binding_index=binding_index,
                    as_of_s=-math.inf,
                    told_s=now_s,
                )
            )

    def record_applied(self, applied_index: int) -> None:
        """Record that all changes up to an index are applied."""
        reached = [
            change
            for change in self._pending
            if change.binding_index <= applied_index
        ]
        for change in reached:
            self._pending.remove(change)
            self._newest_as_of_s = max(self._newest_as_of_s, change.as_of_s)

    def may_refuse_unknown(self, now_s: float) -> bool:
        """Whether a missing route says that no such route is in force."""
        return self.age_s(now_s) < self._unknown_route_s

    def may_serve(self, now_s: float) -> bool:
        """Whether requests may be served by the routes of the copy."""
        if not self._pending or self.age_s(now_s) < self._behind_s:
            return True
        told_s = min(change.told_s for change in self._pending)
        return now_s - told_s < FEED_GRACE_S

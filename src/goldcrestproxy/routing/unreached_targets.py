"""Targets that their coordinators do not reach, as the leader sees them.

A coordinator that has no way to a target takes it for lost, although another
host may reach it.
"""

from __future__ import annotations

import typing as ty

import attrs

# A new coordinator has this long to reach its target: several orders.
FIRST_CONTACT_S: ty.Final = 1.0
# A host that did not reach a target may coordinate it again after this.
RETENTION_S: ty.Final = 60.0


@attrs.frozen(kw_only=True)
class CoordinatedTarget:
    """A target with its coordinator, as in the replicated state."""

    target: str
    incarnation: str
    session: str
    epoch: int
    reachable: bool


@attrs.define(kw_only=True)
class _Assignment:
    """The present assignment of a target, and whether it was reached."""

    incarnation: str
    epoch: int
    since_s: float
    reached: bool = False


@attrs.define
class UnreachedTargets:
    """Sessions that did not reach a target, by target."""

    _assignments: dict[str, _Assignment] = attrs.field(factory=dict)
    # Time at which a session last did not reach a target.
    _unreached_s: dict[str, dict[str, float]] = attrs.field(factory=dict)

    def update(
        self, targets: ty.Iterable[CoordinatedTarget], now_s: float
    ) -> dict[str, frozenset[str]]:
        """Return by target the sessions that did not reach it."""
        known = {target.target: target for target in targets}
        for name in set(self._assignments) - set(known):
            del self._assignments[name]
            self._unreached_s.pop(name, None)
        for target in known.values():
            self._observe(target, now_s)
        return {
            name: frozenset(
                session
                for session, at_s in sessions.items()
                if now_s < at_s + RETENTION_S
            )
            for name, sessions in self._unreached_s.items()
        }

    def _observe(self, target: CoordinatedTarget, now_s: float) -> None:
        assignment = self._assignments.get(target.target)
        if assignment is None or assignment.incarnation != target.incarnation:
            self._unreached_s.pop(target.target, None)
            assignment = None
        if assignment is None or assignment.epoch != target.epoch:
            assignment = _Assignment(
                incarnation=target.incarnation,
                epoch=target.epoch,
                since_s=now_s,
            )
            self._assignments[target.target] = assignment
        if target.reachable:
            assignment.reached = True
        elif target.session and (
            assignment.reached or now_s >= assignment.since_s + FIRST_CONTACT_S
        ):
            sessions = self._unreached_s.setdefault(target.target, {})
            sessions[target.session] = now_s

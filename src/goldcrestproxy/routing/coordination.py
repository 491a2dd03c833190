"""Assignment of coordinators to targets."""

from __future__ import annotations

import collections
import typing as ty

import attrs

CONCURRENT_MOVES_MAX: ty.Final = 4
# Hosts that did not reach a target before it counts as down.
UNREACHED_BY_MAX: ty.Final = 3


@attrs.frozen(kw_only=True)
class Daemon:
    """A daemon session that can coordinate targets."""

    host: str
    session: str
    zone: str
    address: str = ""
    peer_port: int = 0
    stopping: bool = False


@attrs.frozen(kw_only=True)
class TargetAssignment:
    """A target and the session assigned to coordinate it, empty if none."""

    target: str
    zone: str
    session: str = ""
    revoking: bool = False
    reachable: bool = True
    # Sessions that recently coordinated the target and did not reach it.
    unreached_by: frozenset[str] = frozenset()


@attrs.frozen(kw_only=True)
class CoordinationPlan:
    """Targets to assign by session, and targets to revoke."""

    assign: dict[str, tuple[str, ...]]
    revoke: tuple[str, ...]


def plan_coordinators(
    targets: ty.Sequence[TargetAssignment],
    daemons: ty.Sequence[Daemon],
    zones_out: ty.Collection[str],
) -> CoordinationPlan:
    """Assign targets without a coordinator and revoke misplaced ones.

    A target's coordinator is in its zone if an eligible daemon runs there.
    Hosts that are stopping are never chosen, and hosts in a zone that is
    out of service, or that did not reach the target, only if no others are
    left. Moves for balance are bounded.
    """
    eligible = _eligible_daemons(daemons, zones_out)
    missing = _sessions_missing_others(targets)
    counts = collections.Counter(
        target.session for target in targets if target.session
    )
    assign: dict[str, list[str]] = {}
    for target in targets:
        if target.session or not eligible:
            continue
        chosen = _least_loaded(
            target.zone, _candidates(target, eligible, missing), counts
        )
        counts[chosen.session] += 1
        assign.setdefault(chosen.session, []).append(target.target)
    return CoordinationPlan(
        assign={name: tuple(names) for name, names in assign.items()},
        revoke=_revocations(targets, daemons, eligible, missing, counts),
    )


def _eligible_daemons(
    daemons: ty.Sequence[Daemon], zones_out: ty.Collection[str]
) -> list[Daemon]:
    running = [daemon for daemon in daemons if not daemon.stopping]
    in_service = [daemon for daemon in running if daemon.zone not in zones_out]
    return in_service or running


def _sessions_missing_others(
    targets: ty.Sequence[TargetAssignment],
) -> frozenset[str]:
    """Return the sessions that did not reach targets which others reach.

    They may not reach any target. Having lost theirs, they would otherwise
    be the least loaded.
    """
    return frozenset[str]().union(
        *(
            target.unreached_by - {target.session}
            for target in targets
            if target.reachable
        )
    )


def _candidates(
    target: TargetAssignment,
    eligible: list[Daemon],
    missing: frozenset[str],
) -> list[Daemon]:
    """Return the daemons that are most likely to reach a target."""
    reaching = [d for d in eligible if d.session not in target.unreached_by]
    sound = [d for d in reaching if d.session not in missing]
    return sound or reaching or eligible


def _least_loaded(
    zone: str, eligible: list[Daemon], counts: collections.Counter[str]
) -> Daemon:
    same_zone = [
        daemon for daemon in eligible if daemon.zone == zone
    ] or eligible
    return min(
        same_zone, key=lambda daemon: (counts[daemon.session], daemon.session)
    )


def _revocations(
    targets: ty.Sequence[TargetAssignment],
    daemons: ty.Sequence[Daemon],
    eligible: list[Daemon],
    missing: frozenset[str],
    counts: collections.Counter[str],
) -> tuple[str, ...]:
    """Return the targets to revoke from their coordinator."""
    eligible_by_session = {daemon.session: daemon for daemon in eligible}
    known_sessions = {daemon.session for daemon in daemons}
    moving = sum(target.revoking for target in targets)
    revoke: list[str] = []
    for target in targets:
        if target.revoking or target.session not in known_sessions:
            continue
        current = eligible_by_session.get(target.session)
        if current is None:
            # A host that stops or is out hands over all targets at once.
            if eligible:
                revoke.append(target.target)
            continue
        candidate = _least_loaded(
            target.zone, _candidates(target, eligible, missing), counts
        )
        if current.session in target.unreached_by:
            tried = len(target.unreached_by)
            if (
                tried < UNREACHED_BY_MAX
                and candidate.session not in target.unreached_by
            ):
                # Out of service until another host coordinates it.
                counts[current.session] -= 1
                counts[candidate.session] += 1
                revoke.append(target.target)
            continue
        if moving < CONCURRENT_MOVES_MAX and _improves_balance(
            target, current, candidate, counts
        ):
            moving += 1
            counts[current.session] -= 1
            counts[candidate.session] += 1
            revoke.append(target.target)
    return tuple(revoke)


def _improves_balance(
    target: TargetAssignment,
    current: Daemon,
    candidate: Daemon,
    counts: collections.Counter[str],
) -> bool:
    current_in_zone = current.zone == target.zone
    candidate_in_zone = candidate.zone == target.zone
    if current_in_zone != candidate_in_zone:
        return candidate_in_zone
    return counts[current.session] - counts[candidate.session] >= 2

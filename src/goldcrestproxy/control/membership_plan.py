"""The next change that the membership of a control group needs.

It follows from the replicated members and from what the leader observes, so
each leader goes on with what an earlier one has begun. One change is made at
a time, as Raft's changes of a single member require (Ongaro, 2014, ch. 4).
"""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy.control import members as groups

# A voter without contact for this long may be removed, and a learner without
# contact for this long is not promoted.
SILENT_VOTER_S: ty.Final = 2.5
# A learner may be silent for longer while it installs a snapshot.
SILENT_LEARNER_S: ty.Final = 10.0
# Silent voters never make a group smaller, whatever it has to tolerate.
VOTERS_MIN: ty.Final = 3


@attrs.frozen(kw_only=True)
class Observations:
    """What the leader observes of the other members, by replica.

    ``silent_s`` holds the seconds since the last contact, ``caught_up`` the
    replicas that lack no entries but those of the last moment.
    """

    silent_s: ty.Mapping[str, float]
    caught_up: frozenset[str]


@attrs.frozen(kw_only=True)
class Promote:
    """A learner that has caught up becomes a voter."""

    learner: groups.Member


@attrs.frozen(kw_only=True)
class RemoveReplaced:
    """An identity is removed whose host has a newer one."""

    member: groups.Member


@attrs.frozen(kw_only=True)
class RemoveSilent:
    """A member without contact is removed."""

    member: groups.Member


Change = Promote | RemoveReplaced | RemoveSilent


def next_change(
    members: groups.Members,
    observations: Observations,
    *,
    losses_tolerated: int | None,
) -> Change | None:
    """Return the next change to commit, None if there is none.

    :param losses_tolerated: number of hosts that the group has to lose at
        once without harm; None where operators remove silent hosts
    """
    replaced = _replaced(members)
    if replaced is not None:
        return RemoveReplaced(member=replaced)
    for member in members.members:
        if (
            not member.voter
            and member.replica in observations.caught_up
            and _silent_s(member, observations) <= SILENT_VOTER_S
        ):
            return Promote(learner=member)
    if losses_tolerated is None:
        return None
    silent = _spare_voter(
        members, observations, losses_tolerated
    ) or _silent_learner(members, observations)
    return RemoveSilent(member=silent) if silent is not None else None


def apply(members: groups.Members, change: Change) -> groups.Members:
    """Return the members after a change."""
    match change:
        case Promote(learner=learner):
            return members.with_member(attrs.evolve(learner, voter=True))
        case RemoveReplaced(member=member) | RemoveSilent(member=member):
            return members.without(member.replica)


def _replaced(members: groups.Members) -> groups.Member | None:
    """Return an identity that a newer one of its host replaces.

    The newest identity of a host comes last. A voter is replaced only by a
    voter.
    """
    newer: dict[str, groups.Member] = {}
    for member in reversed(members.members):
        successor = newer.setdefault(member.host, member)
        if successor is not member and (successor.voter or not member.voter):
            return member
    return None


def _spare_voter(
    members: groups.Members, observations: Observations, losses_tolerated: int
) -> groups.Member | None:
    """Return the voter that has been silent for longest, if one is spare.

    An even group tolerates no more losses than one with a voter less. In a
    group that is larger than needed, a silent voter is one that others have
    replaced; it would only raise the majority.
    """
    voters = members.voters()
    voters_needed = max(2 * losses_tolerated + 1, VOTERS_MIN)
    if len(voters) % 2 == 1 and len(voters) <= voters_needed:
        return None
    return _longest_silent(voters, observations, SILENT_VOTER_S)


def _silent_learner(
    members: groups.Members, observations: Observations
) -> groups.Member | None:
    learners = [member for member in members.members if not member.voter]
    return _longest_silent(learners, observations, SILENT_LEARNER_S)


def _longest_silent(
    members: ty.Sequence[groups.Member],
    observations: Observations,
    limit_s: float,
) -> groups.Member | None:
    longest = max(
        members,
        key=lambda member: _silent_s(member, observations),
        default=None,
    )
    if longest is None or _silent_s(longest, observations) <= limit_s:
        return None
    return longest


def _silent_s(member: groups.Member, observations: Observations) -> float:
    """Return a member's silence; the leader itself is never silent."""
    return observations.silent_s.get(member.replica, 0.0)

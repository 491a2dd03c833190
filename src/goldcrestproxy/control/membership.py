"""Changes of the control group's members, one at a time."""

from __future__ import annotations

import logging
import typing as ty

import attrs

from goldcrestproxy.control import codec
from goldcrestproxy.control import follower as followers
from goldcrestproxy.control import members as groups
from goldcrestproxy.control import replica as replicas
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy import settings
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

CALL_TIMEOUT_MS: ty.Final = 2_000


async def bootstrap_group(
    replica: replicas.Replica,
    follower: followers.Follower,
    control_hosts: ty.Iterable[settings.ControlHost],
) -> groups.Members:
    """Bootstrap a group of blank replicas; safe to repeat on failure.

    :raises RefusedError: when a host cannot be reached or is not blank
    """
    members = await _resolve_members(replica, control_hosts)
    command = codec.encode(members)
    await follower.bootstrap_locally(command)
    for member in members.members:
        if member.replica == replica.replica:
            continue
        try:
            await replica.peers.call(
                replica.address_of(member),
                wire.Method.FOUND,
                wire.ttypes.FoundRequest(members=command),
                CALL_TIMEOUT_MS,
            )
        except errors.WireError as error:
            raise results.refusal(
                results.MEMBERSHIP_REFUSED,
                f"{member.host} could not be told: {error}; repeat "
                "'goldcrestproxy members found'",
            ) from error
    return members


async def _resolve_members(
    replica: replicas.Replica,
    control_hosts: ty.Iterable[settings.ControlHost],
) -> groups.Members:
    members = [await resolve_member(replica, host) for host in control_hosts]
    return groups.Members(members=tuple(members))


async def resolve_member(
    replica: replicas.Replica, host: settings.ControlHost
) -> groups.Member:
    """Return a host as a voter, after a query for its identity.

    :raises RefusedError: when it cannot be reached
    """
    identity = replica.replica
    if host.host != replica.host:
        try:
            reply = await replica.peers.call(
                wire.PeerAddress(host.address, host.peer_port),
                wire.Method.IDENTITY,
                wire.ttypes.Empty(),
                CALL_TIMEOUT_MS,
            )
        except errors.WireError as error:
            raise results.refusal(
                results.MEMBERSHIP_REFUSED,
                f"{host.host} cannot be reached: {error}; start it first",
            ) from error
        identity = reply.replica
        if reply.host != host.host:
            raise results.refusal(
                results.MEMBERSHIP_REFUSED,
                f"{host.address}:{host.peer_port} is {reply.host}, "
                f"not {host.host}; correct control_hosts",
            )
    return groups.Member(
        replica=identity,
        host=host.host,
        address=host.address,
        peer_port=host.peer_port,
    )


async def add_learner(
    replica: replicas.Replica, member: groups.Member
) -> groups.Member:
    """Commit a host as a learner, unless it is one already.

    :raises RefusedError: when it is a voter, or cannot be added now
    """
    existing = replica.members.find(member.replica)
    if existing is not None and existing.voter:
        raise results.refusal(
            results.MEMBERSHIP_REFUSED, f"{member.host} is a member already"
        )
    learner = attrs.evolve(member, voter=False)
    if existing != learner:
        await commit(replica, replica.members.with_member(learner))
    return learner


async def remove_member(
    replica: replicas.Replica, host: str
) -> groups.Members:
    """Remove every replica of a host from the group.

    :raises RefusedError: when it is no member, or the last voter
    """
    matching = [m for m in replica.members.members if m.host == host]
    if not matching:
        raise results.refusal(
            results.NOT_FOUND, f"{host} is not a member of the group"
        )
    for member in matching:
        remaining = replica.members.without(member.replica)
        if not remaining.voters():
            raise results.refusal(
                results.MEMBERSHIP_REFUSED,
                f"{host} is the last voter; add another host first",
            )
        await commit(replica, remaining)
    return replica.members


async def commit(replica: replicas.Replica, members: groups.Members) -> None:
    """Commit one change of membership.

    :raises RefusedError: when another change is not committed yet
    """
    if replica.members != replica.state.members:
        raise results.refusal(
            results.MEMBERSHIP_REFUSED,
            "another change of members is in progress; repeat in a moment",
        )
    await replica.propose(members)
    hosts = ", ".join(
        member.host if member.voter else f"{member.host} (learner)"
        for member in members.members
    )
    LOG.info("control: members are now %s", hosts)

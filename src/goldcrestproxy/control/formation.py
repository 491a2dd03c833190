"""Formation and repair of a control group without an operator.

The settings of each host name the addresses of some seeds. On the very first
start, the first seed by address bootstraps the group with the other seeds.
Every other control host sends a join request, and the leader adds it as a
learner. ``membership_manager`` does the rest: a learner becomes a voter once
it has caught up. A host that lost its disk restarts with a new identity and
joins like any other; its old identity is removed after that. A silent voter
is removed once a new host has joined in its place.
"""

from __future__ import annotations

import asyncio
import logging
import typing as ty

import attrs

from goldcrestproxy.control import codec
from goldcrestproxy.control import follower as followers
from goldcrestproxy.control import members as groups
from goldcrestproxy.control import replica as replicas
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

POLL_S: ty.Final = 0.1
# A member without contact for this long sends a join request again, since it
# may have been removed.
REJOIN_AFTER_S: ty.Final = 2.0
CALL_TIMEOUT_MS: ty.Final = 500


@attrs.frozen(kw_only=True)
class FormationSettings:
    """Settings with which a control host finds its group."""

    host: str
    address: wire.PeerAddress
    seeds: tuple[wire.PeerAddress, ...]
    first_start: bool


class Formation:
    """Makes this control host a member of its group."""

    def __init__(
        self,
        replica: replicas.Replica,
        follower: followers.Follower,
        formation_settings: FormationSettings,
    ) -> None:
        """Bind to the replica of this process."""
        self._replica = replica
        self._follower = follower
        self._settings = formation_settings

    async def run(self) -> None:
        """Bootstrap or join the group, and rejoin it after a removal."""
        while True:
            await asyncio.sleep(POLL_S)
            if self._is_active_member():
                continue
            try:
                if not (self._may_bootstrap() and await self._bootstrap()):
                    await self._join()
            except (errors.WireError, errors.RefusedError) as error:
                LOG.info("control: not in a group yet: %s", error)

    def _is_active_member(self) -> bool:
        replica = self._replica
        if replica.members.find(replica.replica) is None:
            return False
        if replica.is_leader:
            return True
        return replica.clock() - replica.last_contact_s < REJOIN_AFTER_S

    def _may_bootstrap(self) -> bool:
        """Return whether this host may bootstrap the group.

        Only the first seed may, so that two groups cannot arise. It resumes
        a bootstrap that a restart has interrupted.
        """
        formation_settings = self._settings
        nothing_committed = self._replica.commit_index == 0
        first_seed = self._sorted_seeds()[0]
        return (
            formation_settings.first_start
            and nothing_committed
            and first_seed == formation_settings.address
        )

    def _sorted_seeds(self) -> list[wire.PeerAddress]:
        return sorted(
            self._settings.seeds,
            key=lambda seed: (seed.address, seed.peer_port),
        )

    async def _bootstrap(self) -> bool:
        """Bootstrap the group; return whether this replica is in one."""
        entries = self._replica.log.entries_after(0, 1)
        if entries:
            command = entries[0].command
            members = codec.decode(command)
            if not isinstance(members, groups.Members):
                return False
        else:
            members = await self._blank_seed_members()
            if members is None:
                return False
            command = codec.encode(members)
            await self._follower.bootstrap_locally(command)
        for member in members.members:
            if member.replica != self._replica.replica:
                await self._call(
                    member.peer,
                    wire.Method.FOUND,
                    wire.ttypes.FoundRequest(members=command),
                )
        return True

    async def _blank_seed_members(self) -> groups.Members | None:
        """Return the seeds as members, None if one has been in a group."""
        members = []
        for seed in self._sorted_seeds():
            reply = await self._call(
                seed, wire.Method.IDENTITY, wire.ttypes.Empty()
            )
            if not reply.blank:
                LOG.info("control: %s is in a group already", reply.host)
                return None
            members.append(
                groups.Member(
                    replica=reply.replica,
                    host=reply.host,
                    address=seed.address,
                    peer_port=seed.peer_port,
                )
            )
        return groups.Members(members=tuple(members))

    async def _join(self) -> None:
        """Send join requests until one reaches the leader."""
        request = wire.ttypes.JoinRequest(
            host=self._settings.host,
            address=self._settings.address.address,
            peer_port=self._settings.address.peer_port,
            replica=self._replica.replica,
        )
        pending = self._peer_addresses()
        tried: set[wire.PeerAddress] = set()
        while pending:
            address = pending.pop(0)
            if address in tried:
                continue
            tried.add(address)
            try:
                reply = await self._call(address, wire.Method.JOIN, request)
            except (errors.WireError, errors.RefusedError) as error:
                LOG.info(
                    "control: %s did not answer: %s", address.address, error
                )
                continue
            if reply.leading:
                return
            if reply.leader_address:
                # The leader need not be one of the seeds.
                pending.insert(
                    0,
                    wire.PeerAddress(
                        reply.leader_address, reply.leader_peer_port
                    ),
                )

    def _peer_addresses(self) -> list[wire.PeerAddress]:
        member_addresses = [
            member.peer
            for member in self._replica.members.members
            if member.replica != self._replica.replica
        ]
        addresses = [*self._settings.seeds, *member_addresses]
        return [
            address
            for address in dict.fromkeys(addresses)
            if address != self._settings.address
        ]

    async def _call(
        self, address: wire.PeerAddress, method: wire.Method, request: ty.Any
    ) -> ty.Any:
        return await self._replica.peers.call(
            address, method, request, CALL_TIMEOUT_MS
        )


def leader_address(replica: replicas.Replica) -> wire.PeerAddress | None:
    """Return the leader's peer address, None while it is unknown."""
    for member in replica.members.members:
        if member.host == replica.leader_host:
            return replica.address_of(member)
    return None


def no_leader_refusal(replica: replicas.Replica) -> errors.RefusedError:
    """Return the refusal to send while the leader is unknown."""
    return results.refusal(
        results.NO_LEADER, f"{replica.host} knows no leader", 200
    )

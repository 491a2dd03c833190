"""The control role of a daemon."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import typing as ty

import attrs

from goldcrestproxy.control import codec
from goldcrestproxy.control import election as elections
from goldcrestproxy.control import entry_directory
from goldcrestproxy.control import feed
from goldcrestproxy.control import follower as followers
from goldcrestproxy.control import formation
from goldcrestproxy.control import leadership as leaderships
from goldcrestproxy.control import membership
from goldcrestproxy.control import queries
from goldcrestproxy.control import registrar as registrars
from goldcrestproxy.control import replica as replicas
from goldcrestproxy.control import replication as replications
from goldcrestproxy.control import stalls
from goldcrestproxy.control import watch_relay as relays
from goldcrestproxy import errors
from goldcrestproxy import registry
from goldcrestproxy import results
from goldcrestproxy import settings
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

# Clients of the registry time out after 1 s.
FORWARD_TIMEOUT_MS: ty.Final = 800
# A replica that reads for a client waits this long for what the leader has.
READ_TIMEOUT_MS: ty.Final = 600
PERMIT_TIMEOUT_MS: ty.Final = 200
# The host that asks heeds the answer for a little longer than this.
QUOTA_TIMEOUT_MS: ty.Final = 250


class ControlService:
    """Runs a replica, and the leader's tasks while it leads."""

    def __init__(
        self,
        replica: replicas.Replica,
        timeouts: settings.Timeouts,
        control_hosts: ty.Sequence[settings.ControlHost],
        *,
        formation_settings: formation.FormationSettings | None = None,
        registrar_settings: registrars.RegistrarSettings | None = None,
        losses_tolerated: int = 0,
    ) -> None:
        """Bind to the replica of this process.

        :param formation_settings: None where an operator bootstraps the
            group
        :param registrar_settings: None where targets do not register
        :param losses_tolerated: number of disks that may be lost at once
        """
        self.replica = replica
        self._formation_settings = formation_settings
        self._registrar_settings = registrar_settings
        self._losses_tolerated = losses_tolerated
        self._timeouts = timeouts
        self._control_hosts = control_hosts
        self._election = elections.Election(replica)
        self._follower = followers.Follower(replica, self._election)
        self._leadership: leaderships.Leadership | None = None
        self._feeder = feed.Feeder(replica)
        self._directory = entry_directory.EntryDirectory()
        self._relay = relays.WatchRelay(replica, self._feeder, self._directory)
        self._stalls = stalls.Stalls(replica.clock)

    def _may_serve_watches(self) -> bool:
        """Return whether this follower may feed entry hosts."""
        return self._registrar_settings is not None and (
            self.replica.has_recent_contact()
        )

    def add_handlers(self, handlers: wire.Handlers) -> None:
        """Register the handlers of the control calls."""
        handlers.calls.update(
            {
                wire.Method.VOTE: self._follower.vote,
                wire.Method.APPEND: self._follower.append,
                wire.Method.SNAPSHOT: self._follower.snapshot,
                wire.Method.IDENTITY: self._follower.identity,
                wire.Method.FOUND: self._follower.bootstrap,
                wire.Method.RENEW: self._renew,
                wire.Method.PROPOSE: self._propose,
                wire.Method.QUERY: self._query,
                wire.Method.WATCH: self._watch,
                wire.Method.FORWARD: self._forward,
                wire.Method.JOIN: self._join,
                wire.Method.PERMIT: self._permit,
                wire.Method.QUOTA: self._quota,
            }
        )

    async def run(self) -> None:
        """Run elections, and lead whenever this replica wins one."""
        tasks = [
            asyncio.create_task(self._election.run()),
            asyncio.create_task(self._stalls.run()),
        ]
        if self._formation_settings is not None:
            forming = formation.Formation(
                self.replica, self._follower, self._formation_settings
            )
            tasks.append(asyncio.create_task(forming.run()))
        if self._registrar_settings is not None:
            tasks.append(asyncio.create_task(self._relay.run()))
        try:
            while True:
                if self.replica.is_leader:
                    await self._lead()
                else:
                    await self.replica.wait_change()
        finally:
            self._feeder.close()
            for task in tasks:
                task.cancel()

    async def _lead(self) -> None:
        replication = replications.Replication(
            self.replica, durable_copies_min=self._losses_tolerated + 1
        )
        self._leadership = leaderships.Leadership(
            self.replica,
            replication,
            self._timeouts,
            self._feeder,
            self._registrar_settings,
            self._directory,
            losses_tolerated=(
                self._losses_tolerated
                if self._formation_settings is not None
                else None
            ),
        )
        try:
            await self._leadership.run()
        finally:
            self._leadership = None

    async def serve(self, call: registry.Call) -> registry.Answer:
        """Serve a call of a target or operator, here or at the leader.

        :raises RefusedError: when no leader is known, or the leader refuses
        :raises WireError: when the leader could not be reached in time
        """
        if isinstance(call, registry.SetZoneCall):
            call = attrs.evolve(
                call, known_index=self.replica.state.applied_index
            )
        if self._leadership is not None:
            return await self._serve_as_leader(call)
        self._check_not_held_up(call)
        leader = formation.leader_address(self.replica)
        if leader is None:
            raise formation.no_leader_refusal(self.replica)
        if isinstance(call, registry.ReadItemsCall):
            return await self._read_items(leader)
        encoded = codec.encode_call(call)
        if len(encoded) > replicas.ENTRY_BYTES_MAX:
            raise replicas.too_large_refusal(len(encoded))
        reply = await self.replica.peers.call(
            leader,
            wire.Method.FORWARD,
            wire.ttypes.ForwardRequest(call=encoded),
            FORWARD_TIMEOUT_MS,
        )
        return codec.decode_answer(reply.answer)

    async def _read_items(
        self, leader: wire.PeerAddress
    ) -> registry.ItemsAnswer:
        """Read the items here once this replica has what the leader has.

        The items may be larger than a message to a peer can be.
        """
        reply = await self.replica.peers.call(
            leader,
            wire.Method.QUERY,
            wire.ttypes.QueryRequest(name="index", argument=""),
            FORWARD_TIMEOUT_MS,
        )
        index = json.loads(reply.answer)
        try:
            async with asyncio.timeout(READ_TIMEOUT_MS / 1000):
                while self.replica.state.applied_index < index:
                    await self.replica.wait_change()
        except TimeoutError:
            raise results.refusal(
                results.NO_LEADER,
                f"{self.replica.host} has applied the entries up to "
                f"{self.replica.state.applied_index} of {index}",
                200,
            ) from None
        return registry.ItemsAnswer(
            items=tuple(self.replica.state.registry.current_items)
        )

    def entries_behind(self) -> dict[str, int]:
        """Return by host the entries that it lacks, if this host leads."""
        if self._leadership is None:
            return {}
        return self._leadership.replication.entries_behind()

    def member_counts(self) -> dict[str, int]:
        """Return the number of voters and learners, if this host leads."""
        if self._leadership is None:
            return {}
        members = self.replica.members
        voters = len(members.voters())
        return {"voter": voters, "learner": len(members.members) - voters}

    async def _serve_as_leader(self, call: registry.Call) -> registry.Answer:
        leadership = self._leadership
        if leadership is None or leadership.registrar is None:
            raise formation.no_leader_refusal(self.replica)
        self._check_not_held_up(call)
        if not isinstance(call, registry.Heartbeat):
            self._check_voter_count()
        with _refusal_on_lost_leadership():
            return await leadership.registrar.serve(call)

    def _check_not_held_up(self, call: registry.Call) -> None:
        """Refuse an order that may have waited while this host stood still.

        Its sender may have given later orders by way of other hosts.

        :raises RefusedError: for orders about zones, for a short time
        """
        if not isinstance(call, registry.SetZoneCall):
            return
        if self._stalls.may_have_waited():
            raise results.refusal(
                results.STATE_BEHIND,
                f"{self.replica.host} stood still; the order may be old",
                registrars.ORDER_RETRY_MS,
            )

    def _check_voter_count(self) -> None:
        """Refuse changes while the group has too few voters to keep them.

        :raises RefusedError: until it can tolerate the configured losses
        """
        voters_needed = 2 * self._losses_tolerated + 1
        voters = len(self.replica.state.members.voters())
        if voters < voters_needed:
            raise results.refusal(
                results.NO_LEADER,
                f"the group has {voters} voters of {voters_needed}",
                200,
            )

    async def _forward(
        self, _: wire.Channel, request: wire.ttypes.ForwardRequest
    ) -> wire.ttypes.ForwardReply:
        answer = await self._serve_as_leader(codec.decode_call(request.call))
        return wire.ttypes.ForwardReply(answer=codec.encode_answer(answer))

    async def _watch(
        self, channel: wire.Channel, request: wire.ttypes.WatchRequest
    ) -> wire.ttypes.WatchReply:
        if self._leadership is not None:
            return self._leadership.watch(channel, request)
        if request.relayed_watchers is None and self._may_serve_watches():
            return self._relay.watch(channel, request)
        leader = formation.leader_address(self.replica)
        return wire.ttypes.WatchReply(
            serving=False,
            leader_address=leader.address if leader else "",
            leader_peer_port=leader.peer_port if leader else 0,
            entry_hosts=0,
            map_index=0,
        )

    async def _permit(
        self, _: wire.Channel, request: wire.ttypes.PermitRequest
    ) -> wire.ttypes.PermitReply:
        if self._leadership is not None:
            return self._leadership.permit(request)
        return await self._ask_leader(
            wire.Method.PERMIT, request, PERMIT_TIMEOUT_MS
        )

    async def _quota(
        self, _: wire.Channel, request: wire.ttypes.QuotaRequest
    ) -> wire.ttypes.QuotaReply:
        if self._leadership is not None:
            return self._leadership.quota(request)
        return await self._ask_leader(
            wire.Method.QUOTA, request, QUOTA_TIMEOUT_MS
        )

    async def _ask_leader(
        self, method: wire.Method, request: ty.Any, timeout_ms: int
    ) -> ty.Any:
        """Forward an entry host's question to the leader, once.

        :raises RefusedError: without a leader that answers in time
        """
        leader = formation.leader_address(self.replica)
        if leader is None or request.forwarded:
            raise formation.no_leader_refusal(self.replica)
        request.forwarded = True
        try:
            return await self.replica.peers.call(
                leader, method, request, timeout_ms
            )
        except errors.WireError as error:
            raise formation.no_leader_refusal(self.replica) from error

    async def _join(
        self, _: wire.Channel, request: wire.ttypes.JoinRequest
    ) -> wire.ttypes.JoinReply:
        leader = formation.leader_address(self.replica)
        member = False
        if self._leadership is not None:
            member = self._leadership.membership_manager.join(request)
        return wire.ttypes.JoinReply(
            leading=self._leadership is not None,
            member=member,
            leader_address=leader.address if leader else "",
            leader_peer_port=leader.peer_port if leader else 0,
        )

    async def _renew(
        self, channel: wire.Channel, request: wire.ttypes.RenewRequest
    ) -> wire.ttypes.RenewReply:
        if self._leadership is None:
            return wire.ttypes.RenewReply(
                granted=False,
                lease_ms=0,
                leader_host=self.replica.leader_host,
            )
        return self._leadership.renew(channel, request)

    async def _propose(
        self, _: wire.Channel, request: wire.ttypes.ProposeRequest
    ) -> wire.ttypes.ProposeReply:
        with _refusal_on_lost_leadership():
            outcome = await self.replica.propose(codec.decode(request.command))
        return wire.ttypes.ProposeReply(
            index=self.replica.state.applied_index,
            outcome=codec.encode_outcome(outcome),
        )

    async def _query(
        self, _: wire.Channel, request: wire.ttypes.QueryRequest
    ) -> wire.ttypes.QueryReply:
        answer = await self._answer_query(request.name, request.argument)
        return wire.ttypes.QueryReply(answer=json.dumps(answer).encode())

    async def _answer_query(self, name: str, argument: str) -> ty.Any:
        if name == "found":
            members = await membership.bootstrap_group(
                self.replica, self._follower, self._control_hosts
            )
            return queries.describe_members(members)
        leadership = self._current_leadership()
        match name:
            case "members-add":
                host = self._control_host(argument)
                with _refusal_on_lost_leadership():
                    members = await leadership.membership_manager.add_member(
                        host
                    )
                return queries.describe_members(members)
            case "members-remove":
                with _refusal_on_lost_leadership():
                    members = (
                        await leadership.membership_manager.remove_member(
                            argument
                        )
                    )
                return queries.describe_members(members)
            case "members":
                return queries.describe_members(self.replica.members)
            case "index":
                return self.replica.state.map_index
            case "daemons":
                return queries.describe_daemons(leadership.sessions)
            case _:
                raise results.refusal(
                    results.NOT_FOUND, f"no question {name!r} is known"
                )

    def _current_leadership(self) -> leaderships.Leadership:
        with _refusal_on_lost_leadership():
            if self._leadership is None:
                raise errors.NotLeaderError(self.replica.leader_host)
            self._leadership.check_current()
        return self._leadership

    def _control_host(self, name: str) -> settings.ControlHost:
        for host in self._control_hosts:
            if host.host == name:
                return host
        known = ", ".join(host.host for host in self._control_hosts)
        raise results.refusal(
            results.NOT_FOUND,
            f"{name!r} is not in the leader's control_hosts ({known})",
        )


@contextlib.contextmanager
def _refusal_on_lost_leadership() -> ty.Iterator[None]:
    """Convert errors of a lost leadership to refusals for peers.

    :raises RefusedError: for NotLeaderError and ProposalLostError
    """
    try:
        yield
    except errors.NotLeaderError as error:
        raise results.refusal(results.NO_LEADER, str(error)) from error
    except errors.ProposalLostError as error:
        raise results.refusal(results.OUTCOME_UNKNOWN, str(error)) from error

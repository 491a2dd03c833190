"""Leader election: campaigns and votes."""

from __future__ import annotations

import asyncio
import logging
import random

from goldcrestproxy.control import members as groups
from goldcrestproxy.control import replica as replicas
from goldcrestproxy import errors
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)


class Election:
    """Runs the elections of one replica and answers vote requests."""

    def __init__(self, replica: replicas.Replica) -> None:
        """Bind to the replica of this process."""
        self._replica = replica
        self._timeouts = replica.timeouts

    async def run(self) -> None:
        """Start an election after each election timeout without contact."""
        replica = self._replica
        while True:
            if replica.is_leader:
                await replica.stepped_down.wait()
            await self._wait_election_timeout()
            if replica.is_voter and not replica.is_leader:
                await self._campaign()
            else:
                await asyncio.sleep(self._timeouts.election_min_ms / 1000)

    async def _wait_election_timeout(self) -> None:
        timeout_ms = random.uniform(
            self._timeouts.election_min_ms, self._timeouts.election_max_ms
        )
        while True:
            remaining_s = (
                self._replica.last_contact_s
                + timeout_ms / 1000
                - self._replica.clock()
            )
            if remaining_s <= 0:
                return
            await asyncio.sleep(remaining_s)

    async def _campaign(self) -> None:
        if not await self._collect_votes(
            self._replica.term + 1, pre_vote=True
        ):
            await asyncio.sleep(
                random.uniform(0, self._timeouts.election_min_ms) / 1000
            )
            return
        if self._replica.has_recent_contact():
            return
        term = self._replica.term + 1
        self._replica.role = replicas.Role.CANDIDATE
        self._replica.set_term(term, self._replica.replica)
        LOG.info("control: starting an election in term %d", term)
        won = await self._collect_votes(term, pre_vote=False)
        if (
            won
            and self._replica.term == term
            and self._replica.role is replicas.Role.CANDIDATE
        ):
            self._replica.become_leader()
        elif self._replica.role is replicas.Role.CANDIDATE:
            self._replica.role = replicas.Role.FOLLOWER
            await asyncio.sleep(
                random.uniform(0, self._timeouts.election_min_ms) / 1000
            )

    async def _collect_votes(self, term: int, *, pre_vote: bool) -> bool:
        """Request all votes; return whether a majority was granted."""
        others = [
            member
            for member in self._replica.members.voters()
            if member.replica != self._replica.replica
        ]
        needed = self._replica.members.majority() - 1
        if needed <= 0:
            return True
        tasks = [
            asyncio.create_task(self._request_vote(member, term, pre_vote))
            for member in others
        ]
        granted = 0
        try:
            for answer in asyncio.as_completed(tasks):
                granted += await answer
                if granted >= needed:
                    return True
            return False
        finally:
            for task in tasks:
                task.cancel()

    async def _request_vote(
        self, member: groups.Member, term: int, pre_vote: bool
    ) -> bool:
        request = wire.ttypes.VoteRequest(
            term=term,
            candidate=self._replica.replica,
            voter=member.replica,
            last_index=self._replica.log.last_index,
            last_term=self._replica.log.last_term,
            pre_vote=pre_vote,
        )
        try:
            reply = await self._replica.peers.call(
                self._replica.address_of(member),
                wire.Method.VOTE,
                request,
                self._timeouts.election_min_ms,
            )
        except (errors.WireError, errors.RefusedError):
            return False
        if reply.term > self._replica.term:
            self._replica.set_term(reply.term)
            return False
        return bool(reply.granted)

    def vote(self, request: wire.ttypes.VoteRequest) -> wire.ttypes.VoteReply:
        """Answer a vote request or a pre-vote request."""
        replica = self._replica
        refused = wire.ttypes.VoteReply(term=replica.term, granted=False)
        if request.voter != replica.replica or not replica.is_voter:
            return refused
        # A leader that may still renew leases must not be replaced.
        if replica.has_recent_contact() or replica.is_leader:
            return refused
        if request.term < replica.term:
            return refused
        own_log = (replica.log.last_term, replica.log.last_index)
        log_up_to_date = (request.last_term, request.last_index) >= own_log
        if request.pre_vote:
            granted = log_up_to_date and request.term > replica.term
            return wire.ttypes.VoteReply(term=replica.term, granted=granted)
        if request.term > replica.term:
            replica.set_term(request.term)
        may_vote = replica.store.vote.voted_for in ("", request.candidate)
        if log_up_to_date and may_vote:
            replica.set_term(request.term, request.candidate)
            replica.last_contact_s = replica.clock()
            return wire.ttypes.VoteReply(term=replica.term, granted=True)
        return wire.ttypes.VoteReply(term=replica.term, granted=False)

"""Changes of the control group's members during one leader's term."""

from __future__ import annotations

import asyncio
import logging
import typing as ty

from goldcrestproxy.control import members as groups
from goldcrestproxy.control import membership
from goldcrestproxy.control import membership_plan
from goldcrestproxy.control import replica as replicas
from goldcrestproxy.control import replication as replications
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy import settings
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

POLL_S: ty.Final = 0.1
CATCH_UP_TIMEOUT_S: ty.Final = 60.0
# Members that need a change are logged again after this time.
PENDING_LOG_INTERVAL_S: ty.Final = 5.0


class MembershipManager:
    """Adds hosts, completes additions and removes members."""

    def __init__(
        self,
        replica: replicas.Replica,
        replication: replications.Replication,
        *,
        losses_tolerated: int | None = None,
    ) -> None:
        """Bind to the leader's replication.

        :param losses_tolerated: number of hosts that may be lost at once;
            None where operators remove silent hosts
        """
        self._replica = replica
        self._replication = replication
        self._losses_tolerated = losses_tolerated
        self._change_lock = asyncio.Lock()
        self._join_tasks: dict[str, asyncio.Task[None]] = {}
        self._learners_logged_s = replica.clock()
        # Committed at the last poll. A learner that holds these entries has
        # caught up, however many are committed meanwhile.
        self._settled_index: int | None = None

    async def run(self) -> None:
        """Make the changes that the membership needs, until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            if not self._replication.has_leader_lease():
                continue
            self._log_learners()
            commit_index = self._replica.commit_index
            try:
                async with self._change_lock:
                    while await self._apply_next_change():
                        pass
            except errors.RefusedError as error:
                LOG.info("control: members not changed: %s", error)
            except (errors.NotLeaderError, errors.ProposalLostError):
                return
            except Exception:
                LOG.exception("control: change of members failed; continuing")
            self._settled_index = commit_index

    def join(self, request: wire.ttypes.JoinRequest) -> bool:
        """Start to add a host; return whether it is a voter already."""
        member = self._replica.members.find(request.replica)
        if member is not None and member.voter:
            return True
        if request.replica not in self._join_tasks:
            task = asyncio.create_task(self._add_joining(request))
            self._join_tasks[request.replica] = task
            task.add_done_callback(
                lambda _: self._join_tasks.pop(request.replica, None)
            )
        return False

    async def add_member(
        self,
        host: settings.ControlHost,
        *,
        timeout_s: float = CATCH_UP_TIMEOUT_S,
    ) -> groups.Members:
        """Add a host and wait until it is a voter in place of its old self.

        :raises NotLeaderError: when the leadership ended meanwhile; the next
            leader completes the addition
        :raises RefusedError: when the host cannot be added now
        """
        learner = await self._add_learner(host)
        try:
            async with asyncio.timeout(timeout_s):
                while not self._is_complete(learner):
                    if not self._replication.leading:
                        raise errors.NotLeaderError(self._replica.leader_host)
                    await self._replica.wait_change(POLL_S)
        except TimeoutError:
            raise results.refusal(
                results.MEMBERSHIP_REFUSED,
                f"{learner.host} did not catch up in {timeout_s:.0f} s; it "
                "becomes a voter once it has",
            ) from None
        return self._replica.state.members

    async def remove_member(self, host: str) -> groups.Members:
        """Remove every replica of a host from the group.

        :raises RefusedError: when it is no member, or the last voter
        """
        async with self._change_lock:
            return await membership.remove_member(self._replica, host)

    def close(self) -> None:
        """Cancel the additions in progress."""
        for task in self._join_tasks.values():
            task.cancel()

    def _is_complete(self, learner: groups.Member) -> bool:
        """Whether a host has its vote, and no older identity is left."""
        members = self._replica.state.members
        return members.is_voter(learner.replica) and not any(
            other.host == learner.host and other.replica != learner.replica
            for other in members.members
        )

    async def _add_joining(self, request: wire.ttypes.JoinRequest) -> None:
        host = settings.ControlHost(
            host=request.host,
            address=request.address,
            peer_port=request.peer_port,
        )
        try:
            await self._add_learner(host)
        except (
            errors.NotLeaderError,
            errors.ProposalLostError,
            errors.RefusedError,
            errors.WireError,
        ) as error:
            LOG.warning("control: could not add %s: %s", request.host, error)

    async def _add_learner(self, host: settings.ControlHost) -> groups.Member:
        """Make a host a learner; ``run`` gives it a vote.

        :raises RefusedError: when it cannot be added now
        """
        member = await membership.resolve_member(self._replica, host)
        async with self._change_lock:
            # A change by an earlier leader may still be committed until then.
            if not self._replication.established:
                raise results.refusal(
                    results.MEMBERSHIP_REFUSED,
                    "the leader's term is not established yet; repeat in a "
                    "moment",
                )
            return await membership.add_learner(self._replica, member)

    async def _apply_next_change(self) -> bool:
        """Commit the next change that is needed; return whether one was."""
        members = self._replica.members
        change = membership_plan.next_change(
            members,
            self._observations(),
            losses_tolerated=self._losses_tolerated,
        )
        if change is None:
            return False
        match change:
            case membership_plan.RemoveSilent(member=member):
                LOG.warning("control: removing silent member %s", member.host)
            case membership_plan.RemoveReplaced(member=member):
                LOG.info(
                    "control: removing the replaced identity %s of %s",
                    member.replica,
                    member.host,
                )
            case membership_plan.Promote():
                pass
        await membership.commit(
            self._replica, membership_plan.apply(members, change)
        )
        return True

    def _observations(self) -> membership_plan.Observations:
        others = [
            member
            for member in self._replica.members.members
            if member.replica != self._replica.replica
        ]
        return membership_plan.Observations(
            silent_s={
                member.replica: self._replication.silent_s(member)
                for member in others
            },
            caught_up=frozenset(
                member.replica
                for member in others
                if self._settled_index is not None
                and self._replication.caught_up(
                    member.replica, self._settled_index
                )
            ),
        )

    def _log_learners(self) -> None:
        """Log the hosts that have had no vote for some time."""
        learners = [
            member.host
            for member in self._replica.members.members
            if not member.voter
        ]
        now_s = self._replica.clock()
        if not learners:
            self._learners_logged_s = now_s
        elif now_s >= self._learners_logged_s + PENDING_LOG_INTERVAL_S:
            self._learners_logged_s = now_s
            LOG.warning(
                "control: %s still without a vote", ", ".join(learners)
            )

"""The follower's side of log replication."""

from __future__ import annotations

import logging

from goldcrestproxy.control import build_levels
from goldcrestproxy.control import codec
from goldcrestproxy.control import election as elections
from goldcrestproxy.control import members as groups
from goldcrestproxy.control import replica as replicas
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy import storage
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

BOOTSTRAP_TERM = 1


class Follower:
    """Handles the calls of other replicas to this one."""

    def __init__(
        self, replica: replicas.Replica, election: elections.Election
    ) -> None:
        """Bind to the replica of this process."""
        self._replica = replica
        self._election = election
        self._partial_snapshot = bytearray()

    async def vote(
        self, _: wire.Channel, request: wire.ttypes.VoteRequest
    ) -> wire.ttypes.VoteReply:
        """Answer a vote request or a pre-vote request."""
        return self._election.vote(request)

    async def append(
        self, _: wire.Channel, request: wire.ttypes.AppendRequest
    ) -> wire.ttypes.AppendReply:
        """Append a leader's entries, none if it is a heartbeat."""
        replica = self._replica
        if not self._accept_leader(request):
            return self._reply(accepted=False)
        async with replica.write_lock:
            if request.term != replica.term:
                return self._reply(accepted=False)
            hint = self._conflict_hint(request)
            if hint is not None:
                return self._reply(accepted=False, last_index=hint)
            if self._append_new_entries(request.entries):
                await replica.sync()
            if request.term != replica.term:
                return self._reply(accepted=False)
        last_index = request.previous_index + len(request.entries)
        replica.commit(min(request.commit_index, last_index))
        return self._reply(accepted=True, last_index=last_index)

    async def snapshot(
        self, _: wire.Channel, request: wire.ttypes.SnapshotRequest
    ) -> wire.ttypes.AppendReply:
        """Store a snapshot chunk; install the snapshot with the last one."""
        replica = self._replica
        if not self._accept_leader(request):
            return self._reply(accepted=False)
        if request.offset_bytes == 0:
            self._partial_snapshot.clear()
        if request.offset_bytes != len(self._partial_snapshot):
            raise results.refusal(
                results.BAD_REQUEST,
                f"snapshot chunk at {request.offset_bytes}; "
                f"{len(self._partial_snapshot)} expected",
            )
        self._partial_snapshot += request.chunk
        if request.done:
            state = bytes(self._partial_snapshot)
            self._partial_snapshot.clear()
            async with replica.write_lock:
                if request.last_index > replica.commit_index:
                    replica.restore(
                        storage.Snapshot(
                            request.last_index, request.last_term, state
                        )
                    )
        return self._reply(accepted=True, last_index=request.last_index)

    async def identity(
        self, _: wire.Channel, request: wire.ttypes.Empty
    ) -> wire.ttypes.IdentityReply:
        """Return the replica's identity and whether its store is blank."""
        return wire.ttypes.IdentityReply(
            replica=self._replica.replica,
            blank=self._replica.store.blank,
            host=self._replica.host,
        )

    async def bootstrap(
        self, _: wire.Channel, request: wire.ttypes.FoundRequest
    ) -> wire.ttypes.Empty:
        """Write a new group's first entry if this replica is blank."""
        await self.bootstrap_locally(request.members)
        return wire.ttypes.Empty()

    async def bootstrap_locally(self, command: bytes) -> None:
        """Write a group's first entry; repeating it has no effect.

        :raises RefusedError: when this replica holds another group's log
        """
        replica = self._replica
        async with replica.write_lock:
            if not replica.store.blank:
                if self._bootstrapped_with(command):
                    return
                raise results.refusal(
                    results.MEMBERSHIP_REFUSED,
                    f"{replica.host} already belongs to a control group",
                )
            entry = storage.LogEntry(1, BOOTSTRAP_TERM, command)
            replica.call_storage(lambda: replica.log.append([entry]))
            await replica.sync()
            replica.reload_members()
        LOG.info(
            "control: bootstrapped a group as replica %s", replica.replica
        )

    def _bootstrapped_with(self, command: bytes) -> bool:
        first = self._replica.log.entries_after(0, 1)
        if self._replica.log.base_index > 0 or not first:
            return False
        own_members = codec.decode(first[0].command)
        other_members = codec.decode(command)
        return (
            isinstance(own_members, groups.Members)
            and own_members == other_members
        )

    def _accept_leader(
        self,
        request: wire.ttypes.AppendRequest | wire.ttypes.SnapshotRequest,
    ) -> bool:
        """Return whether the term is current, and record the leader.

        :raises RefusedError: when the request is for another replica
        """
        replica = self._replica
        if request.follower != replica.replica:
            raise results.refusal(
                results.MEMBERSHIP_REFUSED,
                f"{replica.host} is replica {replica.replica}, "
                f"not {request.follower}",
            )
        if request.term < replica.term:
            return False
        if request.term > replica.term:
            replica.set_term(request.term)
        replica.follow(request.leader_host)
        return True

    def _conflict_hint(self, request: wire.ttypes.AppendRequest) -> int | None:
        """Return an index where the logs may match, None if they do."""
        log = self._replica.log
        if request.previous_index > log.last_index:
            return log.last_index
        if request.previous_index < log.base_index:
            return log.base_index
        if log.term(request.previous_index) == request.previous_term:
            return None
        return max(log.base_index, request.previous_index - 1)

    def _append_new_entries(self, entries: list[wire.ttypes.Entry]) -> bool:
        """Append the new entries; return whether a sync is needed."""
        replica = self._replica
        new = [
            storage.LogEntry(entry.index, entry.term, entry.command)
            for entry in entries
            if replica.log.term(entry.index) != entry.term
        ]
        if not new:
            return False
        if new[0].index <= replica.log.last_index:
            self._truncate(new[0].index - 1)
        replica.call_storage(lambda: replica.log.append(new))
        for entry in new:
            replica.update_members_from(entry)
        return True

    def _truncate(self, last_index: int) -> None:
        replica = self._replica
        if last_index < replica.commit_index:
            raise errors.StorageError(
                f"a leader asked to drop entry {last_index + 1}, which is "
                f"committed up to {replica.commit_index}"
            )
        replica.call_storage(lambda: replica.log.truncate(last_index))
        replica.reload_members()

    def _reply(
        self, *, accepted: bool, last_index: int = 0
    ) -> wire.ttypes.AppendReply:
        return wire.ttypes.AppendReply(
            term=self._replica.term,
            accepted=accepted,
            last_index=last_index,
            build_level=build_levels.OWN,
        )

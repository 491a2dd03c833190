"""The leader's side of log replication, with one task per peer."""

from __future__ import annotations

import asyncio
import logging
import typing as ty

from goldcrestproxy.control import build_levels
from goldcrestproxy.control import commands
from goldcrestproxy.control import members as groups
from goldcrestproxy.control import replica as replicas
from goldcrestproxy import errors
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

BATCH_ENTRIES: ty.Final = 512
# Size of the entries of a message; a larger one is sent alone.
BATCH_BYTES_MAX: ty.Final = 1024 * 1024
# A message may take longer by its size at this rate.
APPEND_BYTES_PER_S_MIN: ty.Final = 4 * 1024 * 1024
# A member that stays without new entries for the same reason is logged again
# after this time.
FAILURE_LOG_INTERVAL_S: ty.Final = 5.0
SNAPSHOT_CHUNK_BYTES: ty.Final = 1024 * 1024
SNAPSHOT_TIMEOUT_MS: ty.Final = 5_000


class Replication:
    """Replicates and commits entries during one term of leadership.

    Steps down after ``election_max_ms`` without contact to a majority.
    """

    def __init__(
        self, replica: replicas.Replica, *, durable_copies_min: int = 1
    ) -> None:
        """Bind to a replica that has just won an election.

        :param durable_copies_min: number of disks that must hold an entry
            before it is committed, limited to the number of voters
        """
        self._replica = replica
        self._durable_copies_min = durable_copies_min
        self._term = replica.term
        self._durable_index = replica.log.last_index
        self._match_index: dict[str, int] = {}
        self._last_contact_s: dict[str, float] = {}
        self._build_levels: dict[str, int | None] = {}
        self._started_s = replica.clock()
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._wake_events: dict[str, asyncio.Event] = {}
        self._first_index = 0
        # Reason and time of the last logged failure, by replica.
        self._failures: dict[str, tuple[str, float]] = {}

    @property
    def leading(self) -> bool:
        """Whether the replica still leads this term."""
        replica = self._replica
        return replica.is_leader and replica.term == self._term

    @property
    def established(self) -> bool:
        """Whether an entry of this term is committed and applied."""
        return (
            self.leading
            and 0 < self._first_index <= self._replica.state.applied_index
        )

    def quorum_contact_s(self) -> float:
        """Return the clock time of the last contact with a majority.

        A follower's contact counts from when the request was sent, not from
        when the reply arrived.
        """
        voters = self._replica.members.voters()
        times = sorted(
            (self._member_contact_s(member) for member in voters), reverse=True
        )
        needed = self._replica.members.majority()
        return times[needed - 1] if len(times) >= needed else 0.0

    def has_leader_lease(self) -> bool:
        """Return whether no other leader can exist at this moment.

        Followers refuse votes for ``election_min_ms`` after a message from
        this leader; the drift of both clocks is subtracted.
        """
        timeouts = self._replica.timeouts
        drift = timeouts.drift_parts_per_million / 1_000_000
        lease_s = timeouts.election_min_ms / 1000 * (1 - 2 * drift)
        return (
            self.established
            and self._replica.clock() < self.quorum_contact_s() + lease_s
        )

    def caught_up(self, replica: str, index: int) -> bool:
        """Return whether a follower holds all entries up to an index."""
        return self._match_index.get(replica, -1) >= index

    def silent_s(self, member: groups.Member) -> float:
        """Return the time since the last contact with a member."""
        last_s = max(self._started_s, self._member_contact_s(member))
        return self._replica.clock() - last_s

    async def run(self) -> None:
        """Replicate until the replica no longer leads this term."""
        self._first_index = self._replica.append(commands.Noop())
        syncing = asyncio.create_task(self._sync_own_log())
        try:
            while self.leading:
                self._adjust_peer_tasks()
                self._check_quorum()
                await asyncio.sleep(self._replica.timeouts.heartbeat_ms / 1000)
        finally:
            syncing.cancel()
            for task in self._tasks.values():
                task.cancel()

    def _member_contact_s(self, member: groups.Member) -> float:
        if member.replica == self._replica.replica:
            return self._replica.clock()
        return self._last_contact_s.get(member.replica, 0.0)

    def _check_quorum(self) -> None:
        timeout_s = self._replica.timeouts.election_max_ms / 1000
        last_s = max(self._started_s, self.quorum_contact_s())
        if self._replica.clock() > last_s + timeout_s:
            LOG.warning(
                "control: no contact with a majority in term %d",
                self._term,
            )
            self._replica.step_down()

    def _adjust_peer_tasks(self) -> None:
        members = self._replica.members
        for replica in list(self._tasks):
            if members.find(replica) is None:
                self._tasks.pop(replica).cancel()
                self._wake_events.pop(replica)
        for member in members.members:
            if member.replica == self._replica.replica:
                continue
            if member.replica not in self._tasks:
                self._wake_events[member.replica] = asyncio.Event()
                self._tasks[member.replica] = asyncio.create_task(
                    self._replicate(member)
                )

    async def _sync_own_log(self) -> None:
        """Sync the log after appends, batching those made meanwhile."""
        log_appended = self._replica.log_appended
        while self.leading:
            if self._durable_index >= self._replica.log.last_index:
                await log_appended.wait()
            log_appended.clear()
            for wake_event in self._wake_events.values():
                wake_event.set()
            self._durable_index = await self._replica.sync()
            self._advance_commit()

    def _advance_commit(self) -> None:
        """Commit the entries that a majority holds durably.

        Copies are counted for entries of the current term only; earlier
        entries are committed along with them.
        """
        if not self.leading:
            return
        replica = self._replica
        durable_indexes = sorted(
            (
                self._durable_index
                if member.replica == replica.replica
                else self._match_index.get(member.replica, 0)
                for member in replica.members.voters()
            ),
            reverse=True,
        )
        if not durable_indexes:
            return
        needed = min(
            len(durable_indexes),
            max(replica.members.majority(), self._durable_copies_min),
        )
        index = durable_indexes[needed - 1]
        if index > replica.commit_index and (
            replica.log.term(index) == self._term
        ):
            replica.commit(index)
            # Followers feed daemons up to their own commit index, so they
            # need the new one at once.
            for wake_event in self._wake_events.values():
                wake_event.set()
            self._step_down_if_removed()

    def _step_down_if_removed(self) -> None:
        replica = self._replica
        if replica.state.members.find(replica.replica) is None:
            LOG.info("control: removed from the group; stepping down")
            replica.step_down()

    async def _replicate(self, member: groups.Member) -> None:
        """Send a follower all entries that it lacks, during the term."""
        replica = self._replica
        next_index = replica.log.last_index + 1
        while self.leading:
            wake_event = self._wake_events[member.replica]
            wake_event.clear()
            try:
                if next_index < replica.log.first_index:
                    next_index = await self._send_snapshot(member)
                    continue
                next_index = await self._send_entries(member, next_index)
            except (errors.WireError, errors.RefusedError) as error:
                self._log_failure(member, next_index, error)
                await asyncio.sleep(replica.timeouts.heartbeat_ms / 1000)
                continue
            if next_index > replica.log.last_index:
                await self._wait_entries(wake_event)

    def _log_failure(
        self, member: groups.Member, next_index: int, error: Exception
    ) -> None:
        """Log why a member does not get entries that it lacks."""
        behind = self._replica.log.last_index + 1 - next_index
        if behind <= 0:
            return
        now_s = self._replica.clock()
        reason, logged_s = self._failures.get(member.replica, ("", 0.0))
        if str(error) == reason and now_s < logged_s + FAILURE_LOG_INTERVAL_S:
            return
        self._failures[member.replica] = (str(error), now_s)
        LOG.warning(
            "control: %s lacks %d entries from index %d on: %s",
            member.host,
            behind,
            next_index,
            error,
        )

    def lowest_build_level(self) -> int:
        """Return what the builds of all members understand."""
        return build_levels.lowest(
            self._build_levels.get(member.replica)
            for member in self._replica.members.members
            if member.replica != self._replica.replica
        )

    def entries_behind(self) -> dict[str, int]:
        """Return the number of entries that each other member lacks."""
        last_index = self._replica.log.last_index
        return {
            member.host: last_index - self._match_index.get(member.replica, 0)
            for member in self._replica.members.members
            if member.replica != self._replica.replica
        }

    async def _wait_entries(self, wake_event: asyncio.Event) -> None:
        try:
            async with asyncio.timeout(
                self._replica.timeouts.heartbeat_ms / 1000
            ):
                await wake_event.wait()
        except TimeoutError:
            pass

    async def _send_entries(
        self, member: groups.Member, next_index: int
    ) -> int:
        """Send entries or a heartbeat; return the next index to send."""
        replica = self._replica
        previous = next_index - 1
        entries = replica.log.entries_after(
            previous, BATCH_ENTRIES, BATCH_BYTES_MAX
        )
        size_bytes = sum(len(entry.command) for entry in entries)
        request = wire.ttypes.AppendRequest(
            term=self._term,
            leader=replica.replica,
            follower=member.replica,
            previous_index=previous,
            previous_term=replica.log.term(previous) or 0,
            entries=[
                wire.ttypes.Entry(
                    index=entry.index, term=entry.term, command=entry.command
                )
                for entry in entries
            ],
            commit_index=replica.commit_index,
            leader_host=replica.host,
        )
        sent_s = replica.clock()
        reply = await replica.peers.call(
            replica.address_of(member),
            wire.Method.APPEND,
            request,
            replica.timeouts.election_max_ms
            + size_bytes * 1000 // APPEND_BYTES_PER_S_MIN,
        )
        self._record_contact(member, reply, sent_s)
        if not reply.accepted:
            return ty.cast(int, reply.last_index) + 1
        self._match_index[member.replica] = reply.last_index
        self._advance_commit()
        return ty.cast(int, reply.last_index) + 1

    async def _send_snapshot(self, member: groups.Member) -> int:
        """Send the whole snapshot in chunks; return the next index."""
        replica = self._replica
        snapshot = replica.store.snapshot
        LOG.info(
            "control: sending %s a snapshot up to index %d",
            member.host,
            snapshot.index,
        )
        for offset in range(0, len(snapshot.state), SNAPSHOT_CHUNK_BYTES):
            chunk = snapshot.state[offset : offset + SNAPSHOT_CHUNK_BYTES]
            sent_s = replica.clock()
            reply = await replica.peers.call(
                replica.address_of(member),
                wire.Method.SNAPSHOT,
                wire.ttypes.SnapshotRequest(
                    term=self._term,
                    leader=replica.replica,
                    follower=member.replica,
                    last_index=snapshot.index,
                    last_term=snapshot.term,
                    offset_bytes=offset,
                    chunk=chunk,
                    done=offset + len(chunk) == len(snapshot.state),
                    leader_host=replica.host,
                ),
                SNAPSHOT_TIMEOUT_MS,
            )
            self._record_contact(member, reply, sent_s)
        return snapshot.index + 1

    def _record_contact(
        self,
        member: groups.Member,
        reply: wire.ttypes.AppendReply,
        sent_s: float,
    ) -> None:
        if reply.term > self._term:
            self._replica.set_term(reply.term)
            raise errors.WireError(f"{member.host} replied with a newer term")
        self._last_contact_s[member.replica] = sent_s
        self._build_levels[member.replica] = reply.build_level

"""One replica of the control group's log.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, leader
leases and membership changes of one replica at a time. This module holds the
log, the term and the applied state; ``election`` runs elections and answers
vote requests, ``replication`` is the leader's side of log replication and
``follower`` the follower's side.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import enum
import logging
import os
import typing as ty

from goldcrestproxy.control import clock as clocks
from goldcrestproxy.control import codec
from goldcrestproxy.control import commands
from goldcrestproxy.control import members as groups
from goldcrestproxy.control import outcomes
from goldcrestproxy.control import state as states
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy import settings
from goldcrestproxy import signals
from goldcrestproxy import storage
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

EXIT_STORAGE_FAILED: ty.Final = 74
# Bytes of entries that are applied between two snapshots.
LOG_BYTES_MAX: ty.Final = 8 * 1024 * 1024
# The same as a multiple of the last snapshot's size, if that is more.
LOG_BYTES_PER_SNAPSHOT_BYTE: ty.Final = 2
# An entry and what surrounds it must fit into a frame.
ENTRY_BYTES_MAX: ty.Final = wire.FRAME_BYTES_MAX - 64 * 1024
# Committed entries are applied in steps of this size. Between two steps, the
# replica answers its peers.
APPLY_BYTES_MAX: ty.Final = 256 * 1024
APPLY_ENTRIES_MAX: ty.Final = 512
_MEMBERS_SUFFIX: ty.Final = codec.kind_suffix(groups.Members)


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class PeerClient(ty.Protocol):
    """Client for calls to other daemons, such as ``wire.Peers``."""

    async def call(
        self,
        address: wire.PeerAddress,
        method: wire.Method,
        request: ty.Any,
        timeout_ms: int,
    ) -> ty.Any:
        """Send a request and return the reply."""


class Replica:
    """Raft state of this process: log, term, role and applied state."""

    def __init__(
        self,
        host: str,
        store: storage.ReplicaStore,
        peers: PeerClient,
        timeouts: settings.Timeouts,
        *,
        log_entries_max: int,
        log_bytes_max: int = LOG_BYTES_MAX,
        addresses: ty.Mapping[str, wire.PeerAddress] | None = None,
        clock: clocks.Clock = clocks.monotonic,
    ) -> None:
        """Restore the state from the snapshot in the store.

        :param log_entries_max: entries applied between two snapshots
        :param log_bytes_max: bytes of entries applied between two snapshots
        :param addresses: peer addresses by host, from this host's settings;
            they take precedence over the addresses in the membership
        """
        self.host = host
        self.store = store
        self.peers = peers
        self.timeouts = timeouts
        self.clock = clock
        self.role = Role.FOLLOWER
        self.leader_host = ""
        self.commit_index = store.snapshot.index
        self.state = _restore(store.snapshot)
        self.members = self.state.members
        self.last_contact_s = clock()
        self.log_appended = asyncio.Event()
        self._log_entries_max = log_entries_max
        self._log_bytes_max = log_bytes_max
        # Size of the entries applied since the last snapshot.
        self._applied_bytes = 0
        self._applying_rest = False
        self._closed = False
        self._addresses = addresses or {}
        self._commit_or_role_changed = signals.Signal()
        self._pending_proposals: dict[
            int, asyncio.Future[outcomes.Outcome]
        ] = {}
        self._executor = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix="log-sync"
        )
        self._snapshotting = False
        self.stepped_down = signals.Signal()
        self.write_lock = asyncio.Lock()
        self.reload_members()

    @property
    def log(self) -> storage.Log:
        """The log on disk."""
        return self.store.log

    @property
    def replica(self) -> str:
        """Identity of this replica, stored in the data folder."""
        return self.store.replica

    @property
    def term(self) -> int:
        """The current term, the highest one seen."""
        return self.store.vote.term

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader of its current term.

        A leader of a newer term may exist already.
        """
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter in the latest membership."""
        return self.members.is_voter(self.replica)

    def address_of(self, member: groups.Member) -> wire.PeerAddress:
        """Return the peer address of a member."""
        return self._addresses.get(member.host, member.peer)

    def reload_members(self) -> None:
        """Use the latest membership in the log, or else the applied one."""
        self.members = self.state.members
        for entry in self.log.entries_after(self.state.applied_index, 1 << 62):
            self.update_members_from(entry)

    def update_members_from(self, entry: storage.LogEntry) -> None:
        """Use the membership of an entry, if it has one.

        A membership is in force once it is in the log, committed or not.
        """
        if entry.command.endswith(_MEMBERS_SUFFIX):
            command = codec.decode(entry.command)
            if isinstance(command, groups.Members):
                self.members = command

    def set_term(self, term: int, voted_for: str = "") -> None:
        """Store a term and vote durably and become a follower.

        A candidate that votes for itself stays a candidate.
        """
        self.call_storage(
            lambda: self.store.save_vote(storage.Vote(term, voted_for))
        )
        if self.role is not Role.CANDIDATE or not voted_for:
            self.step_down()

    def step_down(self) -> None:
        """Become a follower and fail the proposals in flight."""
        if self.role is Role.LEADER:
            LOG.info("control: stepped down in term %d", self.term)
            self.leader_host = ""
        self.role = Role.FOLLOWER
        self.stepped_down.notify()
        self.fail_pending_proposals()
        self.notify()

    def follow(self, leader_host: str) -> None:
        """Record contact with the leader of the current term."""
        self.last_contact_s = self.clock()
        if self.role is not Role.FOLLOWER:
            self.step_down()
        if self.leader_host != leader_host:
            self.leader_host = leader_host
            LOG.info(
                "control: following %s in term %d", leader_host, self.term
            )

    def call_storage(self, operation: ty.Callable[[], ty.Any]) -> ty.Any:
        """Run a storage operation and exit the process if it fails.

        After a failed sync the content of the file is undefined, so nothing
        that depends on it may be acknowledged.
        """
        try:
            return operation()
        except OSError:
            LOG.critical("control: storage failed; exiting", exc_info=True)
            logging.shutdown()
            os._exit(EXIT_STORAGE_FAILED)

    async def sync(self) -> int:
        """Sync the log in the storage thread; return the durable index."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._executor, self.call_storage, self.log.sync
        )

    def commit(self, index: int) -> None:
        """Advance the commit index and apply the entries up to it.

        Long entries are applied in steps; the later ones follow when other
        work has had its turn.
        """
        if index <= self.commit_index:
            return
        self.commit_index = min(index, self.log.last_index)
        if not self._applying_rest:
            self._apply_committed()

    def _apply_rest(self) -> None:
        self._applying_rest = False
        if not self._closed:
            self._apply_committed()

    def _apply_committed(self) -> None:
        """Apply committed entries up to the size of one step."""
        applied = self.state.applied_index
        for entry in self.log.entries_after(
            applied,
            min(self.commit_index - applied, APPLY_ENTRIES_MAX),
            APPLY_BYTES_MAX,
        ):
            outcome = self.state.apply(
                entry.index, codec.decode(entry.command)
            )
            self._applied_bytes += len(entry.command)
            future = self._pending_proposals.pop(entry.index, None)
            if future is not None and not future.done():
                future.set_result(outcome)
        self.notify()
        self._maybe_snapshot()
        if self.state.applied_index < self.commit_index:
            self._applying_rest = True
            asyncio.get_running_loop().call_soon(self._apply_rest)

    def become_leader(self) -> None:
        """Become the leader of the current term after a won election."""
        self.role = Role.LEADER
        self.leader_host = self.host
        LOG.info("control: became leader in term %d", self.term)
        self.notify()

    def has_recent_contact(self) -> bool:
        """Return whether the last contact is within ``election_min_ms``.

        Contact is a message from a leader, a granted vote or the start of
        this replica. Until that time has passed, a leader may be renewing
        leases and votes are refused.
        """
        silent_ms = (self.clock() - self.last_contact_s) * 1000
        return silent_ms < self.timeouts.election_min_ms

    def notify(self) -> None:
        """Wake the tasks that wait for a commit or a change of role."""
        self._commit_or_role_changed.notify()

    async def wait_change(self, timeout_s: float | None = None) -> None:
        """Wait for the next commit or change of role."""
        await self._commit_or_role_changed.wait(timeout_s)

    def append(self, command: commands.Command) -> int:
        """Append a command to the leader's log and return its index.

        :raises RefusedError: when the command is too large to be replicated;
            nothing was written
        """
        encoded = codec.encode(command)
        if len(encoded) > ENTRY_BYTES_MAX:
            raise too_large_refusal(len(encoded))
        entry = storage.LogEntry(self.log.last_index + 1, self.term, encoded)
        self.call_storage(lambda: self.log.append([entry]))
        self.update_members_from(entry)
        self.log_appended.set()
        return entry.index

    async def propose(self, command: commands.Command) -> outcomes.Outcome:
        """Commit a command and return the outcome of applying it.

        :raises NotLeaderError: when this replica is not the leader; nothing
            was written
        :raises RefusedError: when the command is too large; nothing was
            written
        :raises ProposalLostError: when the leadership changed; the command
            may or may not be committed
        """
        if not self.is_leader:
            raise errors.NotLeaderError(self.leader_host)
        index = self.append(command)
        future: asyncio.Future[outcomes.Outcome] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_proposals[index] = future
        return await future

    def restore(self, snapshot: storage.Snapshot) -> None:
        """Replace the log and state durably by a leader's snapshot."""
        self.call_storage(lambda: self.store.save_snapshot(snapshot))
        self.state = _restore(snapshot)
        self._applied_bytes = 0
        self.commit_index = max(self.commit_index, snapshot.index)
        self.reload_members()
        self.notify()

    def close(self) -> None:
        """Fail the pending proposals and stop the storage thread."""
        self._closed = True
        self.fail_pending_proposals()
        self._executor.shutdown()

    def fail_pending_proposals(self) -> None:
        """Raise ``ProposalLostError`` where proposals are awaited."""
        error = errors.ProposalLostError("leadership changed meanwhile")
        for future in self._pending_proposals.values():
            if not future.done():
                future.set_exception(error)
                future.exception()
        self._pending_proposals.clear()

    def _maybe_snapshot(self) -> None:
        if self._snapshotting or not self._snapshot_is_due():
            return
        self._snapshotting = True
        index = self.state.applied_index
        term = self.log.term(index) or 0
        snapshot = storage.Snapshot(index, term, self.state.encode())
        try:
            self.call_storage(lambda: self.store.save_snapshot(snapshot))
        finally:
            self._snapshotting = False
        self._applied_bytes = 0
        LOG.info(
            "control: wrote a snapshot up to index %d, %d bytes",
            index,
            len(snapshot.state),
        )

    def _snapshot_is_due(self) -> bool:
        applied_entries = self.state.applied_index - self.log.base_index
        bytes_max = max(
            self._log_bytes_max,
            len(self.store.snapshot.state) * LOG_BYTES_PER_SNAPSHOT_BYTE,
        )
        return (
            applied_entries >= self._log_entries_max
            or self._applied_bytes >= bytes_max
        )


def too_large_refusal(size_bytes: int) -> errors.RefusedError:
    """Return the refusal of a change that no replica can be sent."""
    return results.refusal(
        results.INVALID_CONFIGURATION,
        f"a change of {size_bytes} bytes is too large; at most "
        f"{ENTRY_BYTES_MAX} can be replicated",
    )


def _restore(snapshot: storage.Snapshot) -> states.ControlState:
    if not snapshot.state:
        return states.ControlState()
    return states.ControlState.decode(snapshot.state)

"""One replica of the control group's log.

The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, leader
leases and one change of membership at a time. This module has the log, the
term and the applied state; ``election`` stands for and gives votes,
``replication`` is the leader's part and ``follower`` the follower's.
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
from goldcrestproxy import settings
from goldcrestproxy import signals
from goldcrestproxy import storage
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

EXIT_STORAGE_FAILED: ty.Final = 74
_MEMBERS_SUFFIX: ty.Final = codec.kind_suffix(groups.Members)


class Role(enum.Enum):
    """What a replica is doing."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


class PeerClient(ty.Protocol):
    """Calls other daemons; ``wire.Peers`` on a real network."""

    async def call(
        self,
        address: wire.PeerAddress,
        method: wire.Method,
        request: ty.Any,
        timeout_ms: int,
    ) -> ty.Any:
        """Make a call and return its reply."""


class Replica:
    """Log, term, role and applied state of this process."""

    def __init__(
        self,
        host: str,
        store: storage.ReplicaStore,
        peers: PeerClient,
        timeouts: settings.Timeouts,
        *,
        log_entries_max: int,
        addresses: ty.Mapping[str, wire.PeerAddress] | None = None,
        clock: clocks.Clock = clocks.monotonic,
    ) -> None:
        """Restore the state from the store.

        :param addresses: where hosts listen by this host's settings, which
            go before the addresses in the group's membership
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
        """The identity bound to the data folder."""
        return self.store.replica

    @property
    def term(self) -> int:
        """The newest term seen."""
        return self.store.vote.term

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads; it may not know of a newer leader."""
        return self.role is Role.LEADER

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts for a majority."""
        return self.members.is_voter(self.replica)

    def address_of(self, member: groups.Member) -> wire.PeerAddress:
        """Return where to reach a member."""
        return self._addresses.get(member.host, member.peer)

    def reload_members(self) -> None:
        """Take the newest membership that the log holds."""
        self.members = self.state.members
        for entry in self.log.after(self.state.applied_index, 1 << 62):
            self.update_members_from(entry)

    def update_members_from(self, entry: storage.LogEntry) -> None:
        """Use a membership from the moment it is in the log."""
        if entry.command.endswith(_MEMBERS_SUFFIX):
            command = codec.decode(entry.command)
            if isinstance(command, groups.Members):
                self.members = command

    def set_term(self, term: int, voted_for: str = "") -> None:
        """Remember a newer term, durably; a leader steps down."""
        self.call_storage(
            lambda: self.store.save_vote(storage.Vote(term, voted_for))
        )
        if self.role is not Role.CANDIDATE or not voted_for:
            self.step_down()

    def step_down(self) -> None:
        """Become a follower; proposals in flight are lost."""
        if self.role is Role.LEADER:
            LOG.info("control: stepped down in term %d", self.term)
            self.leader_host = ""
        self.role = Role.FOLLOWER
        self.stepped_down.notify()
        self._fail_pending_proposals()
        self.notify()

    def follow(self, leader_host: str) -> None:
        """Note that the leader of the current term is alive."""
        self.last_contact_s = self.clock()
        if self.role is not Role.FOLLOWER:
            self.step_down()
        if self.leader_host != leader_host:
            self.leader_host = leader_host
            LOG.info("control: follows %s in term %d", leader_host, self.term)

    def call_storage(self, operation: ty.Callable[[], ty.Any]) -> ty.Any:
        """Do storage work; a failure ends the process.

        After a failed sync nothing is known about the file, so nothing may
        be acknowledged on it any more.
        """
        try:
            return operation()
        except OSError:
            LOG.critical("control: storage failed; stops", exc_info=True)
            logging.shutdown()
            os._exit(EXIT_STORAGE_FAILED)

    async def sync(self) -> int:
        """Sync the log in the storage thread; return the durable index."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(
            self._executor, self.call_storage, self.log.sync
        )

    def commit(self, index: int) -> None:
        """Apply everything up to a committed index."""
        if index <= self.commit_index:
            return
        self.commit_index = min(index, self.log.last_index)
        applied = self.state.applied_index
        for entry in self.log.after(applied, self.commit_index - applied):
            outcome = self.state.apply(
                entry.index, codec.decode(entry.command)
            )
            future = self._pending_proposals.pop(entry.index, None)
            if future is not None and not future.done():
                future.set_result(outcome)
        self.notify()
        self._maybe_snapshot()

    def become_leader(self) -> None:
        """Lead the current term; an election was won."""
        self.role = Role.LEADER
        self.leader_host = self.host
        LOG.info("control: became leader in term %d", self.term)
        self.notify()

    def has_recent_contact(self) -> bool:
        """Whether a leader may still be renewing leases.

        While it is so, nobody may be voted for.
        """
        silent_ms = (self.clock() - self.last_contact_s) * 1000
        return silent_ms < self.timeouts.election_min_ms

    def notify(self) -> None:
        """Wake whoever waits for a commit or a change of role."""
        self._commit_or_role_changed.notify()

    async def wait_change(self, timeout_s: float | None = None) -> None:
        """Wait for the next commit or change of role."""
        await self._commit_or_role_changed.wait(timeout_s)

    def append(self, command: commands.Command) -> int:
        """Write a command at the log's end as leader; return its index."""
        entry = storage.LogEntry(
            self.log.last_index + 1, self.term, codec.encode(command)
        )
        self.call_storage(lambda: self.log.append([entry]))
        self.update_members_from(entry)
        self.log_appended.set()
        return entry.index

    async def propose(self, command: commands.Command) -> outcomes.Outcome:
        """Commit a command and return what it did.

        :raises NotLeaderError: nothing was written
        :raises ProposalLostError: it may or may not be committed
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
        """Replace everything by a snapshot from the leader, durably."""
        self.call_storage(lambda: self.store.save_snapshot(snapshot))
        self.state = _restore(snapshot)
        self.commit_index = max(self.commit_index, snapshot.index)
        self.reload_members()
        self.notify()

    def close(self) -> None:
        """Stop the storage thread."""
        self._fail_pending_proposals()
        self._executor.shutdown()

    def _fail_pending_proposals(self) -> None:
        error = errors.ProposalLostError("leadership changed meanwhile")
        for future in self._pending_proposals.values():
            if not future.done():
                future.set_exception(error)
                future.exception()
        self._pending_proposals.clear()

    def _maybe_snapshot(self) -> None:
        applied_entries = self.state.applied_index - self.log.base_index
        if applied_entries < self._log_entries_max or self._snapshotting:
            return
        self._snapshotting = True
        index = self.state.applied_index
        term = self.log.term(index) or 0
        snapshot = storage.Snapshot(index, term, self.state.encode())
        try:
            self.call_storage(lambda: self.store.save_snapshot(snapshot))
        finally:
            self._snapshotting = False


def _restore(snapshot: storage.Snapshot) -> states.ControlState:
    if not snapshot.state:
        return states.ControlState()
    return states.ControlState.decode(snapshot.state)

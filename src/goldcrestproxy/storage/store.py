"""Everything durable that a replica has, opened together."""

from __future__ import annotations

from goldcrestproxy.storage import folder as folders
from goldcrestproxy.storage import identity
from goldcrestproxy.storage import log as logs
from goldcrestproxy.storage import snapshot as snapshots
from goldcrestproxy.storage import vote as votes


class ReplicaStore:
    """Identity, vote, snapshot and log of one replica."""

    def __init__(self, folder: folders.Folder) -> None:
        """Read the folder.

        :raises DamagedLogError: naming file and offset
        """
        self._folder = folder
        self.replica = identity.load_or_create(folder)
        self.vote = votes.load(folder)
        self.snapshot = snapshots.load(folder)
        self.log = logs.Log(folder, self.snapshot.index, self.snapshot.term)

    @property
    def blank(self) -> bool:
        """Whether this replica has never held anything."""
        return self.log.last_index == 0

    def save_vote(self, vote: votes.Vote) -> None:
        """Replace the vote durably."""
        votes.save(self._folder, vote)
        self.vote = vote

    def save_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        """Replace the snapshot durably and drop what it covers."""
        snapshots.save(self._folder, snapshot)
        self.snapshot = snapshot
        self.log.compact(snapshot.index, snapshot.term)

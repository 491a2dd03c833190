"""The durable state of a replica."""

from __future__ import annotations

from goldcrestproxy.storage import folder as folders
from goldcrestproxy.storage import identity
from goldcrestproxy.storage import log as logs
from goldcrestproxy.storage import snapshot as snapshots
from goldcrestproxy.storage import vote as votes


class ReplicaStore:
    """Identity, vote, snapshot and log of a replica."""

    def __init__(self, folder: folders.Folder) -> None:
        """Load the state from a folder, creating an identity if needed.

        :raises DamagedLogError: with the name and offset of the damage
        """
        self._folder = folder
        self.replica = identity.load_or_create(folder)
        self.vote = votes.load(folder)
        self.snapshot = snapshots.load(folder)
        self.log = logs.Log(folder, self.snapshot.index, self.snapshot.term)

    @property
    def blank(self) -> bool:
        """Whether this replica has neither log entries nor a snapshot."""
        return self.log.last_index == 0

    def save_vote(self, vote: votes.Vote) -> None:
        """Replace the vote durably."""
        votes.save(self._folder, vote)
        self.vote = vote

    def save_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        """Replace the snapshot durably and compact the log."""
        snapshots.save(self._folder, snapshot)
        self.snapshot = snapshot
        self.log.compact(snapshot.index, snapshot.term)

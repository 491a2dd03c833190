"""Durable state of a replica: identity, vote, snapshot and log."""

from __future__ import annotations

from goldcrestproxy.storage.folder import DiskFolder
from goldcrestproxy.storage.folder import Folder
from goldcrestproxy.storage.log import Log
from goldcrestproxy.storage.record import LogEntry
from goldcrestproxy.storage.snapshot import Snapshot
from goldcrestproxy.storage.store import ReplicaStore
from goldcrestproxy.storage.vote import Vote

__all__ = [
    "DiskFolder",
    "Folder",
    "Log",
    "LogEntry",
    "ReplicaStore",
    "Snapshot",
    "Vote",
]

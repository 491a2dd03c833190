"""The replicated log, on disk and in memory."""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy import errors
from goldcrestproxy.storage import folder as folders
from goldcrestproxy.storage import record
from goldcrestproxy.storage.record import LogEntry

FILE_PREFIX: ty.Final = "log-"
# Entries that a snapshot covers stay in memory up to this size, for readers
# that lack only the last few of them.
RETAINED_BYTES_MAX: ty.Final = 2 * 1024 * 1024


@attrs.define
class _Segment:
    """One log file, which holds consecutive entries."""

    name: str
    first_index: int
    size_bytes: int = 0
    synced_bytes: int = 0
    # Start of each entry in the file, to truncate conflicting suffixes.
    offsets: list[int] = attrs.field(factory=list)


class Log:
    """Log entries after the snapshot, in files that are synced on demand.

    ``append`` writes without a sync; an entry is durable only once a later
    call of ``sync`` has returned.
    """

    def __init__(
        self,
        folder: folders.Folder,
        snapshot_index: int = 0,
        snapshot_term: int = 0,
    ) -> None:
        """Load the entries that follow the snapshot.

        :raises DamagedLogError: when a synced record is damaged
        """
        self._folder = folder
        self._base_index = snapshot_index
        self._base_term = snapshot_term
        self._entries: list[LogEntry] = []
        # Index and term of the entry that precedes the ones in memory.
        self._previous_index = snapshot_index
        self._previous_term = snapshot_term
        self._segments: list[_Segment] = []
        self._is_superseded = False
        self._load()

    @property
    def base_index(self) -> int:
        """Index of the last entry that the snapshot covers."""
        return self._base_index

    @property
    def first_index(self) -> int:
        """Index of the first entry that can be read."""
        return self._previous_index + 1

    @property
    def last_index(self) -> int:
        """Index of the last entry, durable or not."""
        return self._previous_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there is none."""
        return self._entries[-1].term if self._entries else self._base_term

    def term(self, index: int) -> int | None:
        """Return an entry's term, or None when it is not in the log."""
        if index == self._previous_index:
            return self._previous_term
        position = index - self.first_index
        if 0 <= position < len(self._entries):
            return self._entries[position].term
        return None

    def entries_after(
        self, index: int, count_max: int, bytes_max: int | None = None
    ) -> list[LogEntry]:
        """Return entries that follow ``index``, none if they are gone.

        :param bytes_max: size of all entries; a larger one comes alone
        """
        position = index - self._previous_index
        if position < 0:
            return []
        entries = self._entries[position : position + count_max]
        if bytes_max is None:
            return entries
        size_bytes = 0
        for count, entry in enumerate(entries):
            size_bytes += len(entry.command)
            if size_bytes > bytes_max:
                return entries[: max(1, count)]
        return entries

    def append(self, entries: list[LogEntry]) -> None:
        """Append consecutive entries without a sync.

        :raises StorageError: when an entry does not follow the last one
        """
        if not entries:
            return
        if not self._segments:
            self._start_segment()
        segment = self._segments[-1]
        data = bytearray()
        for entry in entries:
            if entry.index != self.last_index + 1:
                raise errors.StorageError(
                    f"entry {entry.index} cannot follow {self.last_index}"
                )
            segment.offsets.append(segment.size_bytes + len(data))
            data += record.pack(entry, segment.synced_bytes)
            self._entries.append(entry)
        self._folder.append(segment.name, bytes(data))
        segment.size_bytes += len(data)

    def sync(self) -> int:
        """Sync the appended entries and return the last durable index.

        May run in a thread while entries are appended.
        """
        if not self._segments:
            return self.last_index
        segment = self._segments[-1]
        size_bytes = segment.size_bytes
        last_index = self.last_index
        self._folder.sync(segment.name)
        segment.synced_bytes = max(segment.synced_bytes, size_bytes)
        return last_index

    def truncate(self, last_index: int) -> None:
        """Remove every entry after ``last_index``, durably."""
        while self._segments and (
            self._segments[-1].first_index > last_index + 1
        ):
            self._folder.remove(self._segments.pop().name)
            self._folder.sync_folder()
        if self._segments:
            self._truncate_segment(self._segments[-1], last_index)
        del self._entries[max(0, last_index - self._previous_index) :]

    def compact(self, index: int, term: int) -> None:
        """Remove the entries that a durable snapshot to ``index`` covers."""
        if index <= self._base_index:
            return
        if self.term(index) == term:
            self._base_index, self._base_term = index, term
            self._trim_retained()
            self.sync()
            self._start_segment()
        else:
            self.reset(index, term)
        self._remove_compacted_segments()

    def reset(self, index: int, term: int) -> None:
        """Remove every entry, as a snapshot up to ``index`` replaces them."""
        for segment in self._segments:
            self._folder.remove(segment.name)
        self._folder.sync_folder()
        self._segments.clear()
        self._entries.clear()
        self._base_index, self._base_term = index, term
        self._previous_index, self._previous_term = index, term

    def _trim_retained(self) -> None:
        """Drop compacted entries, except for the last ones."""
        position = self._base_index - self._previous_index
        size_bytes = 0
        while position > 0:
            size_bytes += len(self._entries[position - 1].command)
            if size_bytes > RETAINED_BYTES_MAX:
                break
            position -= 1
        if position:
            last_dropped = self._entries[position - 1]
            self._previous_index = last_dropped.index
            self._previous_term = last_dropped.term
            del self._entries[:position]

    def _load(self) -> None:
        names = [n for n in self._folder.names() if n.startswith(FILE_PREFIX)]
        for name in names:
            self._load_segment(name, is_last=name == names[-1])
        if self._segments and not self._follows_snapshot():
            self.reset(self._base_index, self._base_term)

    def _follows_snapshot(self) -> bool:
        """Return whether the log files continue the snapshot.

        They do not if the process stopped after writing a snapshot from the
        leader and before removing the log that it replaces.
        """
        last = self._segments[-1]
        files_last_index = last.first_index + len(last.offsets) - 1
        return files_last_index == self.last_index and not self._is_superseded

    def _load_segment(self, name: str, *, is_last: bool) -> None:
        data = self._folder.read(name)
        scanned = record.scan(data, name)
        if scanned.valid_bytes < len(data):
            if not is_last:
                raise errors.DamagedLogError(
                    name, scanned.valid_bytes, "a later log file exists"
                )
            self._folder.truncate(name, scanned.valid_bytes)
            self._folder.sync(name)
        segment = _Segment(
            name,
            int(name[len(FILE_PREFIX) :]),
            scanned.valid_bytes,
            scanned.valid_bytes,
        )
        self._segments.append(segment)
        start = 0
        for item in scanned.records:
            self._add_loaded_record(segment, item, start)
            start = item.end_bytes

    def _add_loaded_record(
        self, segment: _Segment, item: record.Record, start: int
    ) -> None:
        segment.offsets.append(start)
        if item.entry.index == self._base_index:
            self._is_superseded = item.entry.term != self._base_term
        if item.entry.index <= self._base_index or self._is_superseded:
            return
        if item.entry.index != self.last_index + 1:
            raise errors.DamagedLogError(
                segment.name,
                start,
                f"entry {item.entry.index} cannot follow {self.last_index}",
            )
        self._entries.append(item.entry)

    def _start_segment(self) -> None:
        first_index = self.last_index + 1
        name = f"{FILE_PREFIX}{first_index:020d}"
        if self._segments and self._segments[-1].name == name:
            return
        self._folder.append(name, b"")
        self._folder.sync_folder()
        self._segments.append(_Segment(name, first_index))

    def _truncate_segment(self, segment: _Segment, last_index: int) -> None:
        kept_count = max(0, last_index + 1 - segment.first_index)
        if kept_count >= len(segment.offsets):
            return
        size_bytes = segment.offsets[kept_count]
        self._folder.truncate(segment.name, size_bytes)
        self._folder.sync(segment.name)
        del segment.offsets[kept_count:]
        segment.size_bytes = segment.synced_bytes = size_bytes

    def _remove_compacted_segments(self) -> None:
        while len(self._segments) > 1 and (
            self._segments[1].first_index <= self._base_index + 1
        ):
            self._folder.remove(self._segments.pop(0).name)
        self._folder.sync_folder()

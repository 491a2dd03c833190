"""Records of the log file and their checksums.

A record is a header (magic, payload length, CRC-32, offset that was synced
when it was written, index, term; big endian) and its payload. The synced
offset tells a torn tail from damage: a bad record that a later record knows
to have been synced was damaged afterwards.
"""

from __future__ import annotations

import struct
import typing as ty
import zlib

import attrs

from goldcrestproxy import errors

MAGIC: ty.Final = b"GcLr"
HEADER: ty.Final = struct.Struct(">4sIIQQQ")
_CHECKSUMMED_FIELDS: ty.Final = struct.Struct(">IQQQ")


@attrs.frozen(slots=True)
class LogEntry:
    """One command in the replicated log."""

    index: int
    term: int
    command: bytes


@attrs.frozen(slots=True)
class Record:
    """A log entry as read from a file."""

    entry: LogEntry
    synced_bytes: int
    end_bytes: int


@attrs.frozen(slots=True)
class ScanResult:
    """What a log file holds."""

    records: list[Record]
    valid_bytes: int


def pack(entry: LogEntry, synced_bytes: int) -> bytes:
    """Return a record's bytes."""
    size = len(entry.command)
    crc = _checksum(size, synced_bytes, entry)
    header = HEADER.pack(
        MAGIC, size, crc, synced_bytes, entry.index, entry.term
    )
    return header + entry.command


def scan(data: bytes, file: str) -> ScanResult:
    """Read a log file up to its torn tail, if it has one.

    :raises DamagedLogError: when a record that was synced is damaged
    """
    records: list[Record] = []
    at = 0
    while at < len(data):
        record = _read(data, at)
        if record is None:
            _raise_if_synced(data, at, file)
            break
        records.append(record)
        at = record.end_bytes
    return ScanResult(records, at)


def _checksum(size: int, synced_bytes: int, entry: LogEntry) -> int:
    head = _CHECKSUMMED_FIELDS.pack(
        size, synced_bytes, entry.index, entry.term
    )
    return zlib.crc32(entry.command, zlib.crc32(head))


def _read(data: bytes, at: int) -> Record | None:
    if len(data) - at < HEADER.size:
        return None
    magic, size, crc, synced, index, term = HEADER.unpack_from(data, at)
    end = at + HEADER.size + size
    if magic != MAGIC or end > len(data):
        return None
    entry = LogEntry(index, term, data[at + HEADER.size : end])
    if _checksum(size, synced, entry) != crc:
        return None
    return Record(entry, synced, end)


def _raise_if_synced(data: bytes, bad_offset: int, file: str) -> None:
    at = data.find(MAGIC, bad_offset + 1)
    while at != -1:
        record = _read(data, at)
        if record is not None and record.synced_bytes > bad_offset:
            raise errors.DamagedLogError(
                file,
                bad_offset,
                f"the record at {at} says that it had been synced",
            )
        at = data.find(MAGIC, at + 1)

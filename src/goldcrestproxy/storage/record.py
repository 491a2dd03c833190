"""Records of a log file and their checksums.

A record is a big-endian header (magic, payload length, CRC-32, offset up to
which the file was synced when the record was written, index, term) and its
payload. The synced offset distinguishes a torn tail from damage: an invalid
record below the synced offset of a later record was damaged after its sync.
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
    """A log entry read from a file, and where it ends there."""

    entry: LogEntry
    synced_bytes: int
    end_bytes: int


@attrs.frozen(slots=True)
class ScanResult:
    """Valid records of a log file, and the offset where they end."""

    records: list[Record]
    valid_bytes: int


def pack(entry: LogEntry, synced_bytes: int) -> bytes:
    """Serialize a record.

    :param synced_bytes: size of the file's part that is already synced
    """
    size = len(entry.command)
    crc = _checksum(size, synced_bytes, entry)
    header = HEADER.pack(
        MAGIC, size, crc, synced_bytes, entry.index, entry.term
    )
    return header + entry.command


def scan(data: bytes, file: str) -> ScanResult:
    """Read the records of a log file up to a torn tail.

    :raises DamagedLogError: when a record was damaged after its sync
    """
    records: list[Record] = []
    offset = 0
    while offset < len(data):
        record = _read(data, offset)
        if record is None:
            _raise_if_damaged(data, offset, file)
            break
        records.append(record)
        offset = record.end_bytes
    return ScanResult(records, offset)


def _checksum(size: int, synced_bytes: int, entry: LogEntry) -> int:
    head = _CHECKSUMMED_FIELDS.pack(
        size, synced_bytes, entry.index, entry.term
    )
    return zlib.crc32(entry.command, zlib.crc32(head))


def _read(data: bytes, offset: int) -> Record | None:
    if len(data) - offset < HEADER.size:
        return None
    magic, size, crc, synced, index, term = HEADER.unpack_from(data, offset)
    end = offset + HEADER.size + size
    if magic != MAGIC or end > len(data):
        return None
    entry = LogEntry(index, term, data[offset + HEADER.size : end])
    if _checksum(size, synced, entry) != crc:
        return None
    return Record(entry, synced, end)


def _raise_if_damaged(data: bytes, bad_offset: int, file: str) -> None:
    offset = data.find(MAGIC, bad_offset + 1)
    while offset != -1:
        record = _read(data, offset)
        if record is not None and record.synced_bytes > bad_offset:
            raise errors.DamagedLogError(
                file,
                bad_offset,
                f"the record at {offset} says that it had been synced",
            )
        offset = data.find(MAGIC, offset + 1)

"""Snapshots of the replicated state on disk."""

from __future__ import annotations

import struct
import typing as ty
import zlib

import attrs

from goldcrestproxy import errors
from goldcrestproxy.storage import folder as folders

FILE_NAME: ty.Final = "snapshot"
_HEADER: ty.Final = struct.Struct(">IQQ")


@attrs.frozen(slots=True)
class Snapshot:
    """The serialized state after applying the entry ``index``."""

    index: int
    term: int
    state: bytes


def pack(snapshot: Snapshot) -> bytes:
    """Serialize a snapshot, preceded by its CRC-32."""
    body = _HEADER.pack(0, snapshot.index, snapshot.term) + snapshot.state
    return struct.pack(">I", zlib.crc32(body[4:])) + body[4:]


def unpack(data: bytes) -> Snapshot:
    """Deserialize a snapshot.

    :raises DamagedLogError: when the header is incomplete or the checksum
        does not match
    """
    if len(data) < _HEADER.size:
        raise errors.DamagedLogError(FILE_NAME, 0, "shorter than its header")
    crc, index, term = _HEADER.unpack_from(data)
    if zlib.crc32(data[4:]) != crc:
        raise errors.DamagedLogError(FILE_NAME, 0, "the checksum does not fit")
    return Snapshot(index, term, data[_HEADER.size :])


def load(folder: folders.Folder) -> Snapshot:
    """Load the snapshot, or return an empty one if there is none."""
    if FILE_NAME not in folder.names():
        return Snapshot(0, 0, b"")
    return unpack(folder.read(FILE_NAME))


def save(folder: folders.Folder, snapshot: Snapshot) -> None:
    """Replace the snapshot, atomically and durably."""
    folders.replace_file(folder, FILE_NAME, pack(snapshot))

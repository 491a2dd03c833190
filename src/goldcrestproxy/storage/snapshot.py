"""Snapshots of the replicated state."""

from __future__ import annotations

import struct
import typing as ty
import zlib

import attrs

from goldcrestproxy import errors
from goldcrestproxy.storage import folder as folders

NAME: ty.Final = "snapshot"
_HEADER: ty.Final = struct.Struct(">IQQ")


@attrs.frozen(slots=True)
class Snapshot:
    """The state after the entry ``index`` of ``term``."""

    index: int
    term: int
    state: bytes


def pack(snapshot: Snapshot) -> bytes:
    """Return a snapshot's bytes, with a checksum."""
    body = _HEADER.pack(0, snapshot.index, snapshot.term) + snapshot.state
    return struct.pack(">I", zlib.crc32(body[4:])) + body[4:]


def unpack(data: bytes) -> Snapshot:
    """Read a snapshot's bytes.

    :raises DamagedLogError: when the checksum does not fit
    """
    if len(data) < _HEADER.size:
        raise errors.DamagedLogError(NAME, 0, "shorter than its header")
    crc, index, term = _HEADER.unpack_from(data)
    if zlib.crc32(data[4:]) != crc:
        raise errors.DamagedLogError(NAME, 0, "the checksum does not fit")
    return Snapshot(index, term, data[_HEADER.size :])


def load(folder: folders.Folder) -> Snapshot:
    """Return the folder's snapshot, an empty one when it has none."""
    if NAME not in folder.names():
        return Snapshot(0, 0, b"")
    return unpack(folder.read(NAME))


def save(folder: folders.Folder, snapshot: Snapshot) -> None:
    """Replace the folder's snapshot durably."""
    folders.replace_file(folder, NAME, pack(snapshot))

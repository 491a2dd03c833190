"""Term and vote of a replica, durable as Raft requires."""

from __future__ import annotations

import json
import typing as ty
import zlib

import attrs

from goldcrestproxy import errors
from goldcrestproxy.storage import folder as folders

FILE_NAME: ty.Final = "vote"


@attrs.frozen(slots=True)
class Vote:
    """The latest term seen and the replica that got the vote in it."""

    term: int = 0
    voted_for: str = ""


def load(folder: folders.Folder) -> Vote:
    """Load the vote, or return an empty one if there is none.

    :raises DamagedLogError: when the checksum does not match
    """
    if FILE_NAME not in folder.names():
        return Vote()
    crc, _, body = folder.read(FILE_NAME).partition(b" ")
    if crc != b"%08x" % zlib.crc32(body):
        raise errors.DamagedLogError(FILE_NAME, 0, "the checksum does not fit")
    return Vote(**json.loads(body))


def save(folder: folders.Folder, vote: Vote) -> None:
    """Replace the vote, atomically and durably."""
    body = json.dumps(attrs.asdict(vote)).encode()
    folders.replace_file(folder, FILE_NAME, b"%08x " % zlib.crc32(body) + body)

"""Identity of a replica, created with its data folder."""

from __future__ import annotations

import typing as ty
import uuid

from goldcrestproxy.storage import folder as folders

FILE_NAME: ty.Final = "identity"


def load_or_create(folder: folders.Folder) -> str:
    """Return the replica identity, creating it durably if there is none."""
    if FILE_NAME not in folder.names():
        folders.replace_file(folder, FILE_NAME, uuid.uuid4().hex.encode())
    return folder.read(FILE_NAME).decode()

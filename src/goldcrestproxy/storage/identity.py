"""Identity of a replica, created with its data folder."""

from __future__ import annotations

import typing as ty
import uuid

from goldcrestproxy.storage import folder as folders

NAME: ty.Final = "identity"


def load_or_create(folder: folders.Folder) -> str:
    """Return the replica identity, creating it durably if there is none."""
    if NAME not in folder.names():
        folders.replace_file(folder, NAME, uuid.uuid4().hex.encode())
    return folder.read(NAME).decode()

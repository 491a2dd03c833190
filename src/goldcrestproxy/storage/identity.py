"""The identity of a replica, made together with its data folder."""

from __future__ import annotations

import typing as ty
import uuid

from goldcrestproxy.storage import folder as folders

NAME: ty.Final = "identity"


def load_or_create(folder: folders.Folder) -> str:
    """Return the folder's replica identity, making one in a blank folder."""
    if NAME not in folder.names():
        folders.replace_file(folder, NAME, uuid.uuid4().hex.encode())
    return folder.read(NAME).decode()

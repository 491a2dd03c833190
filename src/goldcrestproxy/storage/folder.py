"""File operations in a data folder, with explicit syncs."""

from __future__ import annotations

import fcntl
import os
import pathlib
import typing as ty

from goldcrestproxy import errors

FOLDER_MODE: ty.Final = 0o700
FILE_MODE: ty.Final = 0o600


class Folder(ty.Protocol):
    """Interface of a data folder.

    Tests replace ``DiskFolder`` by a folder that simulates power losses.
    """

    def names(self) -> list[str]:
        """Return the names of the files in the folder, sorted."""

    def read(self, name: str) -> bytes:
        """Return the content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file, creating it if it does not exist."""

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to ``size_bytes``."""

    def sync(self, name: str) -> None:
        """Sync a file's content, so that it survives a power loss."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any existing file ``new``."""

    def remove(self, name: str) -> None:
        """Remove a file."""

    def sync_folder(self) -> None:
        """Sync the folder: creations, renames and removals become durable."""


class DiskFolder:
    """A folder on disk, locked by one process at a time."""

    def __init__(self, path: pathlib.Path) -> None:
        """Open or create the folder and lock it.

        :raises StorageError: when it cannot be opened or is locked by
            another process
        """
        self._path = path
        self._files: dict[str, int] = {}
        try:
            path.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
            self._folder_fd = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        except OSError as error:
            raise errors.StorageError(
                f"{path}: cannot be used as data folder: {error}"
            ) from error
        try:
            fcntl.flock(self._folder_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._folder_fd)
            raise errors.StorageError(
                f"{path}: in use by another goldcrestproxyd; stop it, or "
                "give this one a data_folder of its own"
            ) from error

    def close(self) -> None:
        """Close every file and release the lock."""
        for descriptor in self._files.values():
            os.close(descriptor)
        self._files.clear()
        os.close(self._folder_fd)

    def names(self) -> list[str]:
        """Return the names of the files in the folder, sorted."""
        return sorted(os.listdir(self._path))

    def read(self, name: str) -> bytes:
        """Return the content of a file."""
        return (self._path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file, creating it if it does not exist."""
        view = memoryview(data)
        while view:
            view = view[os.write(self._descriptor(name), view) :]

    def truncate(self, name: str, size_bytes: int) -> None:
        """Truncate a file to ``size_bytes``."""
        os.ftruncate(self._descriptor(name), size_bytes)

    def sync(self, name: str) -> None:
        """Sync a file's content, so that it survives a power loss."""
        os.fsync(self._descriptor(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing any existing file ``new``."""
        self._close_file(old)
        self._close_file(new)
        os.replace(self._path / old, self._path / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_file(name)
        os.unlink(self._path / name)

    def sync_folder(self) -> None:
        """Sync the folder: creations, renames and removals become durable."""
        os.fsync(self._folder_fd)

    def _descriptor(self, name: str) -> int:
        if name not in self._files:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._files[name] = os.open(self._path / name, flags, FILE_MODE)
        return self._files[name]

    def _close_file(self, name: str) -> None:
        descriptor = self._files.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


def replace_file(folder: Folder, name: str, data: bytes) -> None:
    """Replace a file atomically and durably.

    After a crash the file holds either the old or the new content.
    """
    temporary = f"{name}.new"
    if temporary in folder.names():
        folder.remove(temporary)
    folder.append(temporary, data)
    folder.sync(temporary)
    folder.rename(temporary, name)
    folder.sync_folder()

"""In-memory data folder that simulates power losses."""

from __future__ import annotations

import random


class PowerLoss(Exception):
    """Raised by the operation at which the host loses power."""


class LossyFolder:
    """Data folder that tracks which content and file names are synced."""

    def __init__(self, operations_max: int | None = None) -> None:
        self.durable: dict[str, bytes] = {}
        self.files: dict[str, bytearray] = {}
        # Synced size by current name; names may change without a sync.
        self._synced_bytes: dict[str, int] = {}
        self._operations_left = operations_max

    def _count_operation(self) -> None:
        if self._operations_left is not None:
            if self._operations_left <= 0:
                raise PowerLoss
            self._operations_left -= 1

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name])

    def append(self, name: str, data: bytes) -> None:
        self._count_operation()
        self.files.setdefault(name, bytearray()).extend(data)

    def truncate(self, name: str, size_bytes: int) -> None:
        self._count_operation()
        del self.files[name][size_bytes:]
        synced = self._synced_bytes.get(name, 0)
        self._synced_bytes[name] = min(synced, size_bytes)

    def sync(self, name: str) -> None:
        self._count_operation()
        self._synced_bytes[name] = len(self.files[name])
        if name in self.durable:
            self.durable[name] = bytes(self.files[name])

    def rename(self, old: str, new: str) -> None:
        self._count_operation()
        self.files[new] = self.files.pop(old)
        self._synced_bytes[new] = self._synced_bytes.pop(old, 0)

    def remove(self, name: str) -> None:
        self._count_operation()
        del self.files[name]
        self._synced_bytes.pop(name, None)

    def sync_folder(self) -> None:
        self._count_operation()
        durable = {}
        for name, data in self.files.items():
            durable[name] = bytes(data[: self._synced_bytes.get(name, 0)])
        self.durable = durable

    def after_power_loss(self, rng: random.Random) -> LossyFolder:
        """Return the folder after a restart: synced bytes and a torn tail."""
        restored = LossyFolder()
        for name, data in self.durable.items():
            restored_data = bytearray(data)
            written = self.files.get(name)
            if written is not None and len(written) > len(restored_data):
                restored_data += _torn(
                    bytes(written[len(restored_data) :]), rng
                )
            restored.files[name] = restored_data
            restored.durable[name] = bytes(restored_data)
            restored._synced_bytes[name] = len(restored_data)
        return restored


def _torn(unsynced: bytes, rng: random.Random) -> bytes:
    """Return a prefix of unsynced bytes in which blocks may be zero."""
    torn = bytearray(unsynced[: rng.randint(0, len(unsynced))])
    for _ in range(rng.randint(0, 2)):
        if torn:
            start = rng.randrange(len(torn))
            end = min(len(torn), start + rng.randint(1, 64))
            torn[start:end] = bytes(end - start)
    return bytes(torn)

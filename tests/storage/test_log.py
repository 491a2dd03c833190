"""Durability of the log across power losses, and detection of damage."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from lossy_folder import LossyFolder
from lossy_folder import PowerLoss
import pytest

from goldcrestproxy import errors
from goldcrestproxy import storage
from goldcrestproxy.storage import log as logs
from goldcrestproxy.storage import record

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("append"), st.integers(1, 4)),
        st.tuples(st.just("sync"), st.just(0)),
        st.tuples(st.just("truncate"), st.integers(0, 3)),
        st.tuples(st.just("compact"), st.integers(0, 5)),
    ),
    min_size=4,
    max_size=30,
)


class Writer:
    """Applies steps to a store and records which entries are durable."""

    def __init__(self, folder: LossyFolder) -> None:
        self.store = storage.ReplicaStore(folder)
        self.written: dict[int, storage.LogEntry] = {}
        self.durable_index = 0
        self.term = 1

    def run(self, steps) -> None:
        for kind, entry_count in steps:
            getattr(self, kind)(entry_count)

    def append(self, entry_count: int) -> None:
        first = self.store.log.last_index + 1
        entries = [
            storage.LogEntry(i, self.term, b"%d-%d" % (i, self.term) * 9)
            for i in range(first, first + entry_count)
        ]
        for entry in entries:
            self.written[entry.index] = entry
        self.store.log.append(entries)

    def sync(self, _: int) -> None:
        self.durable_index = self.store.log.sync()

    def truncate(self, entry_count: int) -> None:
        log = self.store.log
        last = max(log.base_index, log.last_index - entry_count)
        # A leader of a newer term may truncate synced entries.
        self.durable_index = min(self.durable_index, last)
        log.truncate(last)
        self.term += 1

    def compact(self, lag: int) -> None:
        log = self.store.log
        index = min(self.durable_index, log.last_index) - lag
        if index > log.base_index:
            snapshot = storage.Snapshot(index, log.term(index), b"state")
            self.store.save_snapshot(snapshot)


@settings(max_examples=500)
@given(STEPS, st.integers(0, 150), st.integers(0, 2**32))
def test_synced_entries_survive_a_loss_at_any_operation(
    steps, operations_max, seed
):
    folder = LossyFolder(operations_max)
    writer = None
    try:
        writer = Writer(folder)
        writer.run(steps)
    except PowerLoss:
        pass
    result = storage.ReplicaStore(folder.after_power_loss(random.Random(seed)))
    if writer is None:
        return
    log = result.log
    assert log.last_index >= writer.durable_index
    for entry in log.entries_after(log.base_index, 1_000_000):
        if entry.index <= writer.durable_index:
            assert entry == writer.written[entry.index]
    # The restored log is consecutive and can be appended to.
    first = log.last_index + 1
    log.append([storage.LogEntry(first, 99, b"next")])
    log.sync()
    assert log.last_index == first


def _log_bytes(entry_count: int, synced_each: int) -> bytes:
    data = b""
    synced = 0
    for index in range(1, entry_count + 1):
        data += record.pack(storage.LogEntry(index, 1, b"x" * 40), synced)
        if index % synced_each == 0:
            synced = len(data)
    return data


@given(st.integers(0, 2**32), st.integers(1, 200))
def test_torn_tail_is_isolated(seed, cut_bytes):
    data = _log_bytes(10, synced_each=1)
    torn = data[: len(data) - min(cut_bytes, 60)]
    result = record.scan(torn, "log")
    assert len(result.records) == 9


@given(st.integers(0, 8), st.integers(0, 71), st.integers(1, 255))
def test_damage_before_the_end_is_refused_with_its_offset(
    record_number, offset, bit_mask
):
    data = bytearray(_log_bytes(10, synced_each=1))
    size = len(data) // 10
    data[record_number * size + offset] ^= bit_mask
    with pytest.raises(errors.DamagedLogError) as result:
        record.scan(bytes(data), "log-1")
    assert result.value.offset_bytes == record_number * size
    assert "log-1" in str(result.value)


def test_unsynced_batch_with_a_hole_is_a_torn_tail():
    data = bytearray(_log_bytes(10, synced_each=5))
    size = len(data) // 10
    data[6 * size : 7 * size] = bytes(size)
    result = record.scan(bytes(data), "log-1")
    assert [r.entry.index for r in result.records] == [1, 2, 3, 4, 5, 6]


def test_gap_between_files_is_damage():
    folder = LossyFolder()
    log = logs.Log(folder)
    log.append([storage.LogEntry(i, 1, b"x") for i in (1, 2, 3)])
    log.sync()
    folder.files["log-00000000000000000007"] = bytearray(
        record.pack(storage.LogEntry(7, 1, b"x"), 0)
    )
    with pytest.raises(errors.DamagedLogError):
        logs.Log(folder)


def test_folder_in_use_is_refused(tmp_path):
    first = storage.DiskFolder(tmp_path)
    with pytest.raises(errors.StorageError, match="in use"):
        storage.DiskFolder(tmp_path)
    first.close()


def test_blank_folder_gets_a_new_identity(tmp_path):
    one = storage.DiskFolder(tmp_path / "one")
    two = storage.DiskFolder(tmp_path / "two")
    first = storage.ReplicaStore(one).replica
    assert first == storage.ReplicaStore(one).replica
    assert first != storage.ReplicaStore(two).replica


def test_vote_survives_and_damage_is_refused():
    folder = LossyFolder()
    store = storage.ReplicaStore(folder)
    store.save_vote(storage.Vote(7, "me"))
    result = folder.after_power_loss(random.Random(1))
    assert storage.ReplicaStore(result).vote == storage.Vote(7, "me")
    result.files["vote"][-2] ^= 1
    with pytest.raises(errors.DamagedLogError):
        storage.ReplicaStore(result)

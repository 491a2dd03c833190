"""Feeds bring daemons up to date from any earlier index."""

from __future__ import annotations

import asyncio
import types

import pytest

from goldcrestproxy import control
from goldcrestproxy.control import codec
from goldcrestproxy.control import feed
from goldcrestproxy.entries import state_copy
from goldcrestproxy import registry
from goldcrestproxy import storage


class FakeLog:
    """Log in memory, complete from the first entry."""

    base_index = 0

    def __init__(self):
        self.entries = []
        self.reads = 0

    def entries_after(self, index, count):
        self.reads += 1
        return self.entries[index : index + count]


@pytest.fixture
def replica():
    return types.SimpleNamespace(log=FakeLog(), state=control.ControlState())


def commit(replica, zone):
    command = registry.SetZone(zone=zone, out=True)
    index = replica.state.applied_index + 1
    replica.log.entries.append(
        storage.LogEntry(index, 1, codec.encode(command))
    )
    replica.state.apply(index, command)


async def catch_up(copy, source, replica):
    while copy.state.applied_index < replica.state.applied_index:
        request = source.next_request(copy.state.applied_index)
        await copy._handle_feed(None, request)


@pytest.mark.parametrize("missing", [1, 7, feed.FEED_ENTRIES_MAX + 5])
def test_daemons_at_the_same_index_share_one_payload(replica, missing):
    source = feed.FeedSource(replica)
    copies = [state_copy.StateCopy() for _ in range(5)]
    for number in range(missing):
        commit(replica, f"zone-{number}")
    for copy in copies:
        asyncio.run(catch_up(copy, source, replica))
        assert copy.state == replica.state
    assert replica.log.reads <= 1


def test_an_old_snapshot_is_brought_up_to_date_by_entries(replica):
    source = feed.FeedSource(replica)
    early, late = state_copy.StateCopy(), state_copy.StateCopy()
    for number in range(feed.FEED_ENTRIES_MAX + 5):
        commit(replica, f"zone-{number}")
    asyncio.run(catch_up(early, source, replica))
    for number in range(9):
        commit(replica, f"zone-more-{number}")
    asyncio.run(catch_up(late, source, replica))
    asyncio.run(catch_up(early, source, replica))
    assert late.state == early.state == replica.state

"""Feeds bring daemons up to date from any earlier index."""

from __future__ import annotations

import asyncio
import random
import types
import zlib

import pytest

from goldcrestproxy import control
from goldcrestproxy.control import codec
from goldcrestproxy.control import feed
from goldcrestproxy.entries import state_copy
from goldcrestproxy import errors
from goldcrestproxy import registry
from goldcrestproxy import storage


class FakeLog:
    """Log in memory, complete from the first entry."""

    first_index = 1

    def __init__(self):
        self.entries = []
        self.reads = 0

    def entries_after(self, index, count, bytes_max):
        self.reads += 1
        taken = []
        for entry in self.entries[index : index + count]:
            bytes_max -= len(entry.command)
            if taken and bytes_max < 0:
                break
            taken.append(entry)
        return taken


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


class FakeChannel:
    """Delivers messages to a copy, each after ``delay_s``."""

    closed = False
    name = "entry-0"

    def __init__(self, copy, delay_s=0.0):
        self.copy = copy
        self.delay_s = delay_s
        self.sizes = []
        self.in_flight = self.in_flight_max = 0

    async def call(self, _method, request, timeout_ms):
        self.sizes.append(len(request.entries) + len(request.snapshot))
        self.in_flight += 1
        self.in_flight_max = max(self.in_flight_max, self.in_flight)
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await asyncio.sleep(self.delay_s)
        except TimeoutError as error:
            raise errors.PeerTimeoutError("slow") from error
        finally:
            self.in_flight -= 1
        return await self.copy._handle_feed(self, request)

    def close(self):
        self.closed = True


def commit_long(replica, rng):
    """Commit a change of which the compressed text is long."""
    part_count = feed.PARTS_IN_FLIGHT_MAX + 4
    commit(replica, rng.randbytes(feed.PART_BYTES * part_count).hex())


def feed_until_applied(replica, channel, *, takes_parts=True):
    async def scenario():
        feeder = feed.Feeder(replica)
        feeder.feed(channel, 0, entry=True, takes_parts=takes_parts)
        while (
            channel.copy.state.applied_index < replica.state.applied_index
            and not channel.closed
        ):
            await asyncio.sleep(0.01)
        feeder.close()

    asyncio.run(scenario())


@pytest.fixture
def waiting_replica(replica):
    async def wait_change():
        await asyncio.Event().wait()

    replica.wait_change = wait_change
    replica.clock = lambda: 0.0
    return replica


@pytest.mark.parametrize("snapshot", [False, True])
def test_a_long_message_arrives_in_parts(waiting_replica, snapshot):
    copy = state_copy.StateCopy()
    channel = FakeChannel(copy)
    commit_long(waiting_replica, random.Random(1))
    if snapshot:
        for number in range(feed.FEED_ENTRIES_MAX):
            commit(waiting_replica, f"zone-{number}")
    feed_until_applied(waiting_replica, channel)
    assert copy.state == waiting_replica.state
    assert max(channel.sizes) <= feed.PART_BYTES
    assert channel.in_flight_max == feed.PARTS_IN_FLIGHT_MAX


def test_a_slow_link_delays_a_long_message_without_failing_it(
    waiting_replica, monkeypatch
):
    monkeypatch.setattr(feed, "FEED_TIMEOUT_MS", 100)
    channel = FakeChannel(state_copy.StateCopy(), delay_s=0.07)
    commit_long(waiting_replica, random.Random(1))
    feed_until_applied(waiting_replica, channel)
    assert channel.copy.state == waiting_replica.state
    assert not channel.closed


def test_a_daemon_of_an_earlier_build_gets_whole_messages(waiting_replica):
    channel = FakeChannel(state_copy.StateCopy())
    commit_long(waiting_replica, random.Random(1))
    feed_until_applied(waiting_replica, channel, takes_parts=False)
    assert channel.copy.state == waiting_replica.state
    assert len(channel.sizes) == 1


def test_parts_that_do_not_follow_each_other_are_refused(replica):
    copy = state_copy.StateCopy()
    channel = FakeChannel(copy)
    commit_long(replica, random.Random(1))
    first, second, third, *_ = feed._parts(
        feed.FeedSource(replica).next_request(0)
    )

    async def scenario():
        await copy._handle_feed(channel, first)
        await copy._handle_feed(channel, third)

    with pytest.raises(errors.RefusedError):
        asyncio.run(scenario())
    with pytest.raises(errors.RefusedError):
        asyncio.run(copy._handle_feed(channel, second))
    assert copy.state.applied_index == 0


def customer(version):
    return registry.Item(
        key=registry.ItemKey(kind=registry.ItemKind.CUSTOMER, name="town"),
        version=version,
        value=registry.Customer(key_digests=(registry.key_digest("secret"),)),
        source='{"api_keys":["secret"]}',
    )


@pytest.mark.parametrize("behind", [3, feed.FEED_ENTRIES_MAX + 5])
def test_entry_hosts_are_fed_no_keys_of_customers(replica, behind):
    """As entries, and as a snapshot for a daemon that is far behind."""
    for version in range(1, behind + 1):
        command = registry.ChangeItems(changed=(customer(version),))
        replica.log.entries.append(
            storage.LogEntry(version, 1, codec.encode(command))
        )
        replica.state.apply(version, command)
    request = feed.FeedSource(replica).next_request(0)
    fed = zlib.decompress(request.entries or request.snapshot)
    assert b"secret" not in fed
    assert registry.key_digest("secret").encode() in fed
    copy = state_copy.StateCopy()
    asyncio.run(catch_up(copy, feed.FeedSource(replica), replica))
    assert copy.state.registry.customer("town") == customer(1).value

"""What an entry host learns from control hosts about its copy's age."""

from __future__ import annotations

import asyncio
import types

import pytest

from goldcrestproxy.control import feed
from goldcrestproxy.entries import state_watcher
from goldcrestproxy import errors
from goldcrestproxy import settings
from goldcrestproxy import telemetry
from goldcrestproxy import wire

CONTROL_HOSTS = tuple(
    wire.PeerAddress(f"10.0.0.{number}", 7000) for number in (1, 2)
)


class FakeChannel:
    closed = False


class FakePeers:
    """Control hosts that answer ``reply`` or raise ``error``."""

    def __init__(self):
        self.reply = reply()
        self.error = None
        self.asked = []
        self.closed = []
        self.channel_closed = asyncio.Event()
        self.serving = FakeChannel()

    async def call(self, address, method, request, _timeout_ms):
        assert method is wire.Method.WATCH
        assert request.takes_parts
        self.asked.append(address)
        if self.error is not None:
            raise self.error
        return self.reply

    def open_channel(self, _address):
        return self.serving

    async def wait_closed(self, _address):
        await self.channel_closed.wait()

    def close_unused(self, address):
        self.closed.append(address)
        return True


def reply(binding_index=0, binding_age_ms=0):
    return wire.ttypes.WatchReply(
        serving=True,
        entry_hosts=400,
        map_index=binding_index or 0,
        binding_index=binding_index,
        binding_age_ms=binding_age_ms,
    )


@pytest.fixture
def peers():
    return FakePeers()


@pytest.fixture
def clock():
    return types.SimpleNamespace(now_s=100.0)


@pytest.fixture
def watcher(peers, clock):
    return state_watcher.StateWatcher(
        state_watcher.WatcherSettings(
            host="entry-0",
            zone="zone-a",
            session="s",
            address="10.1.0.1",
            peer_port=7000,
            seeds=CONTROL_HOSTS,
            watch_interval_ms=300,
            watch_timeout_ms=600,
        ),
        peers=peers,
        clock=lambda: clock.now_s,
    )


def entries_to(index):
    return wire.ttypes.FeedRequest(
        previous_index=0,
        last_index=index,
        entries=feed._encode_entries([]),
        snapshot=b"",
    )


def test_a_host_knows_that_it_is_behind_until_it_is_fed(watcher, peers):
    peers.reply = reply(binding_index=5)
    asyncio.run(watcher._watch())
    assert not watcher.current
    assert not watcher.may_refuse_unknown
    asyncio.run(watcher._handle_feed(None, entries_to(5)))
    assert watcher.may_refuse_unknown
    assert 0 <= watcher.copy_age_ms < 1000
    asyncio.run(watcher._watch())
    assert watcher.current


def test_a_follower_without_contact_does_not_make_a_host_current(
    watcher, peers
):
    peers.reply = reply(binding_index=0, binding_age_ms=None)
    asyncio.run(watcher._watch())
    assert not watcher.current
    assert not watcher.may_refuse_unknown
    assert watcher.copy_age_ms == -1


def test_a_control_host_of_an_earlier_build_is_believed(watcher, peers):
    peers.reply = reply(binding_index=None, binding_age_ms=None)
    asyncio.run(watcher._watch())
    assert watcher.current
    assert watcher.may_refuse_unknown


def test_a_request_that_waits_is_answered_by_the_next_report(watcher, peers):
    async def scenario():
        running = asyncio.create_task(watcher.run())
        await asyncio.sleep(state_watcher.ASKED_INTERVAL_S / 2)
        reports = len(peers.asked)
        # With 400 entry hosts the next report is due in 4 s.
        async with asyncio.timeout(1.0):
            await watcher.ask_if_newest(3.0)
        assert len(peers.asked) == reports + 1
        running.cancel()

    asyncio.run(scenario())


def time_out_while_fed(watcher, peers, channel):
    """Let a report time out while a message arrives over a channel."""
    peers.error = errors.PeerTimeoutError("slow")

    async def report():
        async def receive():
            await watcher._handle_feed(channel, entries_to(1))

        task = asyncio.create_task(receive())
        call = peers.call

        async def call_later(*arguments):
            await task
            return await call(*arguments)

        peers.call = call_later
        await watcher._watch()
        peers.call = call

    asyncio.run(report())


def test_a_slow_answer_behind_a_feed_does_not_start_another_feed(
    watcher, peers
):
    asyncio.run(watcher._watch())
    address = watcher._address
    time_out_while_fed(watcher, peers, peers.serving)
    assert watcher._address == address
    asyncio.run(watcher._watch())
    assert watcher._address != address


def test_a_feed_of_another_control_host_does_not_excuse_a_late_answer(
    watcher, peers
):
    asyncio.run(watcher._watch())
    address = watcher._address
    time_out_while_fed(watcher, peers, FakeChannel())
    assert watcher._address != address


def test_the_first_part_of_a_feed_tells_that_a_host_is_behind(watcher, peers):
    asyncio.run(watcher._watch())
    part = wire.ttypes.FeedRequest(
        previous_index=0,
        last_index=5,
        entries=b"start",
        snapshot=b"",
        offset_bytes=0,
        more=True,
        binding_index=5,
    )
    asyncio.run(watcher._handle_feed(None, part))
    assert watcher._copy_age.is_behind


def test_a_host_is_fed_by_one_control_host_at_a_time(watcher, peers):
    async def report():
        assert await watcher._watch()
        watcher._end_former_feeds()

    asyncio.run(report())
    (first,) = peers.asked
    watcher._address = watcher._next_address()
    asyncio.run(report())
    assert peers.asked[-1] != first
    assert peers.closed == [first]
    asyncio.run(report())
    assert peers.closed == [first]


def test_a_message_that_arrives_in_parts_is_not_begun_anew_elsewhere(
    watcher, peers
):
    part = wire.ttypes.FeedRequest(
        previous_index=0,
        last_index=5,
        entries=b"start",
        snapshot=b"",
        offset_bytes=0,
        more=True,
    )
    channel = FakeChannel()

    async def scenario():
        assert await watcher._watch()
        watcher._end_former_feeds()
        await watcher._handle_feed(channel, part)
        watcher._address = watcher._next_address()
        watcher._preferred_tried_s -= state_watcher.PREFERRED_RETRY_S
        address = watcher._address
        watcher._end_former_feeds()
        watcher._return_to_preferred()
        assert watcher._address == address
        assert peers.closed == []
        channel.closed = True
        watcher._end_former_feeds()
        watcher._return_to_preferred()
        assert peers.closed == [peers.asked[0]]
        assert watcher._address != address

    asyncio.run(scenario())


def test_a_host_that_was_cut_off_serves_as_before_until_it_is_told(
    watcher, peers, clock
):
    asyncio.run(watcher._watch())
    peers.error = errors.ChannelClosedError("cut")
    asyncio.run(watcher._watch())
    clock.now_s += 10.0
    assert watcher.may_serve
    peers.error, peers.reply = None, reply(binding_index=9)
    asyncio.run(watcher._watch())
    clock.now_s += 0.4
    assert not watcher.may_serve
    asyncio.run(watcher._handle_feed(None, entries_to(9)))
    assert watcher.may_serve


def test_a_host_turns_to_another_control_host_when_its_channel_closes(
    watcher, peers
):
    async def scenario():
        running = asyncio.create_task(watcher.run())
        await asyncio.sleep(state_watcher.ASKED_INTERVAL_S * 2)
        assert len(peers.asked) == 1
        peers.channel_closed.set()
        # With 400 entry hosts the next report is due in 4 s.
        await asyncio.sleep(state_watcher.ASKED_INTERVAL_S)
        running.cancel()

    asyncio.run(scenario())
    assert peers.asked[1] != peers.asked[0]


def test_the_age_of_the_copy_is_a_metric(watcher, peers, clock):
    metrics = telemetry.make_metrics(settings.Telemetry(), "test")
    metrics.observe_copy_age(lambda: watcher.copy_age_ms)
    assert metrics.read_totals()["goldcrestproxy.copy.age"] == -1
    asyncio.run(watcher._watch())
    clock.now_s += 0.5
    assert metrics.read_totals()["goldcrestproxy.copy.age"] == 500

"""Delivery of committed entries from a control host to daemons."""

from __future__ import annotations

import asyncio
import collections
import logging
import typing as ty
import zlib

import attrs

from goldcrestproxy.control import build_levels
from goldcrestproxy.control import codec
from goldcrestproxy.control import replica as replicas
from goldcrestproxy.control import state as states
from goldcrestproxy import errors
from goldcrestproxy import registry
from goldcrestproxy import storage
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

FEED_ENTRIES_MAX: ty.Final = 256
# Size of the entries of a message before compression; a larger one is sent
# alone.
FEED_BYTES_MAX: ty.Final = 1024 * 1024
FEED_TIMEOUT_MS: ty.Final = 2_000
# A message that takes longer than this is logged.
FEED_SLOW_MS: ty.Final = 500
# Longer messages are sent in parts. The time-out applies to each part, so that
# a slow link delays a message without failing it, and other messages on the
# channel do not wait for all of it.
PART_BYTES: ty.Final = 8 * 1024
# Parts that are sent before the first of them is answered.
PARTS_IN_FLIGHT_MAX: ty.Final = 16
# A part may take this much longer for each byte that was sent before it.
LINK_BYTES_PER_S_MIN: ty.Final = 16 * 1024
# Pause between two messages to one daemon, times the number of daemons fed
# here. It batches commits and leaves the host time for other work.
FEED_PAUSE_PER_DAEMON_S: ty.Final = 0.002
_EXCLUDED_SUFFIXES: ty.Final = tuple(
    codec.kind_suffix(kind) for kind in states.CLAIM_COMMANDS
)
_ITEMS_SUFFIX: ty.Final = codec.kind_suffix(registry.ChangeItems)


@attrs.frozen(kw_only=True)
class _Payload:
    """Entries or a snapshot that advance a daemon to a later index."""

    after_index: int
    last_index: int
    entries: bytes = b""
    snapshot: bytes = b""


class FeedSource:
    """Builds feed messages, shared by daemons that lack the same entries.

    After a power loss every daemon starts without state, and each commit
    wakes all feeds: encoding and compressing for each daemon would cost a
    control host more than sending.
    """

    def __init__(self, replica: replicas.Replica) -> None:
        """Read from a replica's log and state."""
        self._replica = replica
        self._snapshot: _Payload | None = None
        self._entries: _Payload | None = None
        # The index that was applied when these entries were read.
        self._entries_read_at = 0

    def next_request(self, sent_index: int) -> wire.ttypes.FeedRequest:
        """Return the snapshot or the entries that follow an index."""
        replica = self._replica
        missing = replica.state.applied_index - sent_index
        is_gone = sent_index + 1 < replica.log.first_index
        if is_gone or missing > FEED_ENTRIES_MAX:
            payload = self._snapshot_payload()
        else:
            payload = self._entries_payload(sent_index, missing)
        return wire.ttypes.FeedRequest(
            previous_index=payload.after_index,
            last_index=payload.last_index,
            entries=payload.entries,
            snapshot=payload.snapshot,
            binding_index=replica.state.binding_index,
        )

    def _snapshot_payload(self) -> _Payload:
        """Return a snapshot that entries in the log bring up to date."""
        replica = self._replica
        applied = replica.state.applied_index
        cached = self._snapshot
        if (
            cached is None
            or cached.last_index + 1 < replica.log.first_index
            or applied - cached.last_index > FEED_ENTRIES_MAX
        ):
            cached = _Payload(
                after_index=0,
                last_index=applied,
                snapshot=zlib.compress(replica.state.encode(for_daemons=True)),
            )
            self._snapshot = cached
        return cached

    def _entries_payload(self, sent_index: int, count: int) -> _Payload:
        cached = self._entries
        applied = sent_index + count
        if (
            cached is None
            or cached.after_index != sent_index
            or self._entries_read_at != applied
        ):
            entries = self._replica.log.entries_after(
                sent_index, count, FEED_BYTES_MAX
            )
            included = [
                _to_wire(entry) for entry in entries if _is_included(entry)
            ]
            cached = _Payload(
                after_index=sent_index,
                last_index=sent_index + len(entries),
                entries=_encode_entries(included) if included else b"",
            )
            self._entries = cached
            self._entries_read_at = applied
        return cached


class Feeder:
    """Sends committed entries to daemons.

    The leader and the followers in contact with it each feed the daemons
    that send them requests. A follower's commits come right after the
    leader's, and no control host has to feed all entry hosts of a large
    fleet.
    """

    def __init__(self, replica: replicas.Replica) -> None:
        """Feed from a replica's state.

        Entries in it are committed, so daemons may apply them even while
        this replica is not in contact with a leader.
        """
        self._replica = replica
        self._source = FeedSource(replica)
        self._feeds: dict[wire.Channel, asyncio.Task[None]] = {}
        # The build levels of the entry hosts that are fed.
        self._entry_channels: dict[wire.Channel, int | None] = {}

    @property
    def entry_hosts(self) -> int:
        """Number of entry hosts that are fed here."""
        return sum(not channel.closed for channel in self._entry_channels)

    def lowest_build_level(self) -> int:
        """Return what the builds of all entry hosts fed here understand."""
        return build_levels.lowest(
            level
            for channel, level in self._entry_channels.items()
            if not channel.closed
        )

    def feed(
        self,
        channel: wire.Channel,
        applied_index: int,
        *,
        entry: bool,
        takes_parts: bool,
        build_level: int | None = None,
    ) -> None:
        """Start to feed a daemon unless its channel is fed already.

        :param applied_index: last index that the daemon has applied
        :param entry: whether to count it as an entry host fed here
        :param takes_parts: whether it accepts long messages in parts
        :param build_level: what its build understands, None if it is not said
        """
        if entry and channel not in self._entry_channels:
            self._entry_channels = {
                existing: level
                for existing, level in self._entry_channels.items()
                if not existing.closed
            }
            self._entry_channels[channel] = build_level
        if channel in self._feeds:
            return
        task = asyncio.create_task(
            self._run(channel, applied_index, takes_parts=takes_parts)
        )
        self._feeds[channel] = task
        task.add_done_callback(lambda _: self._feeds.pop(channel, None))

    def close(self) -> None:
        """Cancel all feeds."""
        for task in self._feeds.values():
            task.cancel()

    async def _run(
        self, channel: wire.Channel, sent_index: int, *, takes_parts: bool
    ) -> None:
        """Send everything after ``sent_index`` as it is committed."""
        replica = self._replica
        delivered_index = sent_index
        message_bytes = 0
        try:
            while not channel.closed:
                if sent_index >= replica.state.map_index:
                    await replica.wait_change()
                    continue
                request = self._source.next_request(sent_index)
                sent_index = request.last_index
                if not request.entries and not request.snapshot:
                    continue
                request.previous_index = delivered_index
                message_bytes = len(request.entries) + len(request.snapshot)
                started_s = replica.clock()
                messages = _parts(request) if takes_parts else [request]
                await _deliver(channel, messages)
                delivered_index = sent_index
                self._log_if_slow(channel, request, started_s)
                await asyncio.sleep(FEED_PAUSE_PER_DAEMON_S * len(self._feeds))
        except (errors.WireError, errors.RefusedError) as error:
            # A daemon that missed an entry reconnects and gets a new feed.
            LOG.info(
                "control: feed of %s ended at index %d, %d bytes to index %d "
                "not delivered: %s",
                channel.name,
                delivered_index,
                message_bytes,
                sent_index,
                error,
            )
            channel.close()

    def _log_if_slow(
        self,
        channel: wire.Channel,
        request: wire.ttypes.FeedRequest,
        started_s: float,
    ) -> None:
        duration_ms = (self._replica.clock() - started_s) * 1000
        if duration_ms > FEED_SLOW_MS:
            LOG.info(
                "control: feed of %s to index %d took %d ms, %d bytes",
                channel.name,
                request.last_index,
                duration_ms,
                len(request.entries) + len(request.snapshot),
            )


def _parts(
    request: wire.ttypes.FeedRequest,
) -> list[wire.ttypes.FeedRequest]:
    """Return a message, or the parts of a long one in order."""
    message = request.snapshot or request.entries
    if len(message) <= PART_BYTES:
        return [request]
    parts = []
    for offset in range(0, len(message), PART_BYTES):
        part = message[offset : offset + PART_BYTES]
        parts.append(
            wire.ttypes.FeedRequest(
                previous_index=request.previous_index,
                last_index=request.last_index,
                entries=b"" if request.snapshot else part,
                snapshot=part if request.snapshot else b"",
                offset_bytes=offset,
                more=offset + PART_BYTES < len(message),
                binding_index=request.binding_index,
            )
        )
    return parts


async def _deliver(
    channel: wire.Channel, messages: list[wire.ttypes.FeedRequest]
) -> None:
    """Send messages in order, with a few of them in flight.

    :raises WireError: if one of them was not answered in time
    :raises RefusedError: if the daemon refused one of them
    """
    in_flight: collections.deque[asyncio.Task[ty.Any]] = collections.deque()
    try:
        for message in messages:
            if len(in_flight) == PARTS_IN_FLIGHT_MAX:
                await in_flight.popleft()
            bytes_before = len(in_flight) * PART_BYTES
            timeout_ms = (
                FEED_TIMEOUT_MS + bytes_before * 1000 // LINK_BYTES_PER_S_MIN
            )
            in_flight.append(
                asyncio.create_task(
                    channel.call(wire.Method.FEED, message, timeout_ms)
                )
            )
        while in_flight:
            await in_flight.popleft()
    finally:
        for task in in_flight:
            task.cancel()
        await asyncio.gather(*in_flight, return_exceptions=True)


def _encode_entries(entries: list[wire.ttypes.Entry]) -> bytes:
    """Encode compactly: entry hosts may have links of a few Mbit/s."""
    return zlib.compress(wire.encode(wire.ttypes.Entries(entries=entries)))


def decode_entries(data: bytes) -> list[wire.ttypes.Entry]:
    """Decode the entries of a feed message.

    :raises MalformedFrameError: when the bytes are not compressed entries
    """
    if not data:
        return []
    try:
        decompressed = zlib.decompress(data)
    except zlib.error as error:
        raise errors.MalformedFrameError(
            f"entries of {len(data)} bytes cannot be read: {error}"
        ) from error
    return ty.cast(
        list[wire.ttypes.Entry],
        wire.decode(wire.ttypes.Entries, decompressed).entries,
    )


def _is_included(entry: storage.LogEntry) -> bool:
    return not entry.command.endswith(_EXCLUDED_SUFFIXES)


def _to_wire(entry: storage.LogEntry) -> wire.ttypes.Entry:
    return wire.ttypes.Entry(
        index=entry.index,
        term=entry.term,
        command=_without_keys(entry.command),
    )


def _without_keys(command: bytes) -> bytes:
    """Return an encoded command without the keys of customers."""
    if not command.endswith(_ITEMS_SUFFIX):
        return command
    decoded = ty.cast(registry.ChangeItems, codec.decode(command))
    changed = tuple(item.without_keys() for item in decoded.changed)
    if changed == decoded.changed:
        return command
    return codec.encode(registry.ChangeItems(changed=changed))

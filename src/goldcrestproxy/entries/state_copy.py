"""A daemon's copy of the replicated state, updated by a control host."""

from __future__ import annotations

import typing as ty
import zlib

from goldcrestproxy import control
from goldcrestproxy.control import feed
from goldcrestproxy import results
from goldcrestproxy import signals
from goldcrestproxy import wire

# Compressed size up to which a message is accepted in parts.
MESSAGE_BYTES_MAX: ty.Final = 64 * 1024 * 1024


class StateCopy:
    """Applies snapshots and committed entries that control hosts send.

    Those that are older than the applied index are ignored. Long messages
    arrive in parts, over one channel in order.
    """

    def __init__(self) -> None:
        """Create a copy with an empty state and no listeners."""
        self.state = control.ControlState()
        # Channels over which messages or parts arrived; ``StateWatcher``
        # clears it before each report.
        self.fed_over: set[wire.Channel] = set()
        # By channel, the start of a message whose other parts are to come.
        self._parts: dict[wire.Channel, bytearray] = {}
        self._listeners: list[ty.Callable[[], None]] = []
        self._change_signal = signals.Signal()

    @property
    def receives_message(self) -> bool:
        """Whether parts of a message have arrived and others are to come."""
        return any(not channel.closed for channel in self._parts)

    def add_listener(self, callback: ty.Callable[[], None]) -> None:
        """Call ``callback`` after each change of the state."""
        self._listeners.append(callback)

    async def wait_change(self, timeout_s: float) -> None:
        """Wait for the next change of the state, at most ``timeout_s``."""
        await self._change_signal.wait(max(0.0, timeout_s))

    def add_handlers(self, handlers: wire.Handlers) -> None:
        """Register the handler of feed calls."""
        handlers.calls[wire.Method.FEED] = self._handle_feed

    async def _handle_feed(
        self, channel: wire.Channel, request: wire.ttypes.FeedRequest
    ) -> wire.ttypes.Empty:
        """Apply a snapshot or committed entries, once all parts are there.

        :raises RefusedError: when preceding entries have not been applied,
            or preceding parts have not arrived
        """
        self.fed_over.add(channel)
        if request.offset_bytes is not None:
            message = self._add_part(channel, request)
            if request.more:
                return wire.ttypes.Empty()
            del self._parts[channel]
        else:
            message = bytearray(request.snapshot or request.entries)
        if request.snapshot:
            self._apply_snapshot(request.last_index, bytes(message))
        else:
            self._apply_entries(request, bytes(message))
        return wire.ttypes.Empty()

    def _add_part(
        self, channel: wire.Channel, request: wire.ttypes.FeedRequest
    ) -> bytearray:
        """Add a part to its message, and return what there is of it.

        :raises RefusedError: when it does not continue the message
        """
        if not request.offset_bytes:
            self._parts = {
                other: parts
                for other, parts in self._parts.items()
                if not other.closed
            }
            self._parts[channel] = bytearray()
        message = self._parts.get(channel, bytearray())
        part = request.snapshot or request.entries
        if (
            request.offset_bytes != len(message)
            or len(message) + len(part) > MESSAGE_BYTES_MAX
        ):
            self._parts.pop(channel, None)
            raise results.refusal(
                results.BAD_REQUEST,
                f"part of {len(part)} bytes at {request.offset_bytes}, "
                f"{len(message)} have arrived here",
            )
        message += part
        return message

    def _apply_snapshot(self, last_index: int, snapshot: bytes) -> None:
        if last_index > self.state.applied_index:
            self.state = control.ControlState.decode(zlib.decompress(snapshot))
            self._notify()

    def _apply_entries(
        self, request: wire.ttypes.FeedRequest, entries: bytes
    ) -> None:
        """Apply the entries that are new here.

        :raises RefusedError: when preceding entries have not been applied
        """
        if request.previous_index > self.state.applied_index:
            raise results.refusal(
                results.BAD_REQUEST,
                f"feed starts after {request.previous_index}, "
                f"{self.state.applied_index} is applied here",
            )
        for entry in feed.decode_entries(entries):
            if entry.index > self.state.applied_index:
                self.state.apply(entry.index, control.decode(entry.command))
        self.state.applied_index = max(
            self.state.applied_index, request.last_index
        )
        self._notify()

    def _notify(self) -> None:
        self._change_signal.notify()
        for callback in self._listeners:
            callback()

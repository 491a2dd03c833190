"""A daemon's copy of the replicated state, updated by a control host."""

from __future__ import annotations

import typing as ty
import zlib

from goldcrestproxy import control
from goldcrestproxy.control import feed
from goldcrestproxy import results
from goldcrestproxy import signals
from goldcrestproxy import wire


class StateCopy:
    """Applies snapshots and committed entries that control hosts send.

    Those that are older than the applied index are ignored.
    """

    def __init__(self) -> None:
        """Create a copy with an empty state and no listeners."""
        self.state = control.ControlState()
        self._listeners: list[ty.Callable[[], None]] = []
        self._change_signal = signals.Signal()

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
        self, _: wire.Channel, request: wire.ttypes.FeedRequest
    ) -> wire.ttypes.Empty:
        """Apply a snapshot or committed entries.

        :raises RefusedError: when preceding entries have not been applied
        """
        if request.snapshot:
            if request.last_index > self.state.applied_index:
                self.state = control.ControlState.decode(
                    zlib.decompress(request.snapshot)
                )
                self._notify()
            return wire.ttypes.Empty()
        if request.previous_index > self.state.applied_index:
            raise results.refusal(
                results.BAD_REQUEST,
                f"feed starts after {request.previous_index}, "
                f"{self.state.applied_index} is applied here",
            )
        for entry in feed.decode_entries(request.entries):
            if entry.index > self.state.applied_index:
                self.state.apply(entry.index, control.decode(entry.command))
        self.state.applied_index = max(
            self.state.applied_index, request.last_index
        )
        self._notify()
        return wire.ttypes.Empty()

    def _notify(self) -> None:
        self._change_signal.notify()
        for callback in self._listeners:
            callback()

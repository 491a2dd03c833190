"""A relayed request together with its response."""

from __future__ import annotations

import asyncio
import typing as ty

from goldcrestproxy.wire import generated
from goldcrestproxy.wire import pipe


class Exchange:
    """A relayed request with its body, and its response with its body.

    The client side writes ``request_body`` and reads ``response`` and
    ``response_body``; the server side does the opposite. It is the same
    interface for a local and a remote coordinator.
    """

    def __init__(self, request: generated.ttypes.RelayRequest) -> None:
        """Create an exchange without a response; needs a running loop."""
        self.request = request
        self.request_body = pipe.Pipe()
        self.response_body = pipe.Pipe()
        self.response: asyncio.Future[generated.ttypes.RelayResponse] = (
            asyncio.get_running_loop().create_future()
        )
        self.cancelled = False
        self._on_cancel: list[ty.Callable[[], None]] = []

    def on_cancel(self, callback: ty.Callable[[], None]) -> None:
        """Call ``callback`` on cancellation, at once if already cancelled."""
        if self.cancelled:
            callback()
        else:
            self._on_cancel.append(callback)

    def cancel(self) -> None:
        """Cancel the exchange for the client; later calls do nothing."""
        if self.cancelled:
            return
        self.cancelled = True
        callbacks, self._on_cancel = self._on_cancel, []
        for callback in callbacks:
            callback()

    def set_response(self, head: generated.ttypes.RelayResponse) -> None:
        """Set the head of the response, unless it is already set."""
        if not self.response.done():
            self.response.set_result(head)

    def fail(self, error: BaseException) -> None:
        """End the exchange with an error instead of a complete response."""
        if not self.response.done():
            self.response.set_exception(error)
            # Marks the exception as retrieved, as the client may have
            # stopped waiting for it.
            self.response.exception()
        self.response_body.fail(error)
        self.request_body.fail(error)

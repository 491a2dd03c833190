"""One relayed request and its answer."""

from __future__ import annotations

import asyncio
import typing as ty

from goldcrestproxy.wire import generated
from goldcrestproxy.wire import pipe


class Exchange:
    """A relayed request with its body, and the answer with its body.

    The side that asks fills ``request_body`` and reads ``response`` and
    ``response_body``; the side that serves does the opposite. A local and
    a remote coordinator look the same through it.
    """

    def __init__(self, request: generated.ttypes.RelayRequest) -> None:
        """Make an exchange that nobody answered yet."""
        self.request = request
        self.request_body = pipe.Pipe()
        self.response_body = pipe.Pipe()
        self.response: asyncio.Future[generated.ttypes.RelayResponse] = (
            asyncio.get_running_loop().create_future()
        )
        self.cancelled = False
        self._on_cancel: list[ty.Callable[[], None]] = []

    def on_cancel(self, callback: ty.Callable[[], None]) -> None:
        """Call ``callback`` when the asking side gives up."""
        if self.cancelled:
            callback()
        else:
            self._on_cancel.append(callback)

    def cancel(self) -> None:
        """Give up: nobody waits for the answer any more."""
        if self.cancelled:
            return
        self.cancelled = True
        callbacks, self._on_cancel = self._on_cancel, []
        for callback in callbacks:
            callback()

    def set_response(self, head: generated.ttypes.RelayResponse) -> None:
        """Set the head of the answer, once."""
        if not self.response.done():
            self.response.set_result(head)

    def fail(self, error: BaseException) -> None:
        """End the exchange without a whole answer."""
        if not self.response.done():
            self.response.set_exception(error)
            # Whoever asked may be gone already.
            self.response.exception()
        self.response_body.fail(error)
        self.request_body.fail(error)

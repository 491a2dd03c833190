"""Handles of a libcurl client, and the queue for them."""

from __future__ import annotations

import asyncio
import collections
import typing as ty

from tornado import curl_httpclient
from tornado import httpclient


class Handles:
    """Handles of a libcurl client; each serves one transfer at a time.

    Transfers queue here and not in tornado's client, whose queue has no time
    limit and cannot be left.
    """

    def __init__(self, count: int) -> None:
        """Create a client with ``count`` handles."""
        self._client = ty.cast(
            curl_httpclient.CurlAsyncHTTPClient,
            curl_httpclient.CurlAsyncHTTPClient(
                force_instance=True, max_clients=count
            ),
        )
        self._free = count
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    def take(self, *, first: bool = False) -> asyncio.Future[None]:
        """Take a handle, or queue for one.

        The future is resolved once a handle is taken; cancelling it before
        leaves the queue.

        :param first: go before all that wait
        """
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self._free:
            self._free -= 1
            turn.set_result(None)
        elif first:
            self._waiting.appendleft(turn)
        else:
            self._waiting.append(turn)
        return turn

    def give_back(self) -> None:
        """Return a handle that was taken."""
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1

    def fetch(
        self, request: httpclient.HTTPRequest
    ) -> asyncio.Future[httpclient.HTTPResponse]:
        """Send a request with a handle that was taken.

        The handle is given back when the request ends.
        """
        try:
            # Still raises libcurl's errors, but none for an error status.
            fetched = self._client.fetch(request, raise_error=False)
        except BaseException:
            self.give_back()
            raise
        fetched.add_done_callback(lambda _: self.give_back())
        return fetched

    def close(self) -> None:
        """Close all connections."""
        self._client.close()

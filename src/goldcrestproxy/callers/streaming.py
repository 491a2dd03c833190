"""Base class of the handlers that forward callers' requests."""

from __future__ import annotations

import asyncio
import logging
import typing as ty

from tornado import web

from goldcrestproxy import errors
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)


@web.stream_request_body
class StreamingHandler(web.RequestHandler):
    """Streams request and answer bodies with back-pressure."""

    _request_body: wire.Pipe | None
    _answer_task: asyncio.Task[ty.Any] | None

    async def data_received(self, chunk: bytes) -> None:
        """Forward a chunk of the request body; wait if the pipe is full."""
        if self._request_body is None or self._answer_task is None:
            return
        if self._request_body.full and not self._request_body.ended:
            put_task = asyncio.create_task(self._request_body.put(chunk))
            # Once the answer is available, the rest of the body is not read.
            await asyncio.wait(
                {put_task, self._answer_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            put_task.cancel()
            return
        self._request_body.feed(chunk)

    def set_default_headers(self) -> None:
        """Remove Tornado's default headers: only the target's are sent."""
        self.clear_header("Server")
        self.clear_header("Content-Type")
        self.clear_header("Date")

    def compute_etag(self) -> str | None:
        """Return None: entity tags are set by the target."""
        return None

    async def stream_answer_body(
        self, body: wire.Pipe, request_id: str
    ) -> None:
        """Stream the remaining body of an answer to the caller.

        If it is interrupted, the connection is closed, so that the caller
        does not take a truncated answer for a complete one.
        """
        try:
            while chunk := await body.read():
                self.write(chunk)
                await self.flush()
        except errors.GoldcrestProxyError as error:
            LOG.warning(
                "callers: answer to request %s was interrupted: %s",
                request_id,
                error,
            )
            self.close_connection()

    def close_connection(self) -> None:
        """Close the connection without sending anything further."""
        ty.cast(ty.Any, self.request.connection).stream.close()

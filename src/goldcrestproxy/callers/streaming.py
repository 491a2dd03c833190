"""What every handler of callers' requests does with bodies and headers."""

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
    """Streams bodies both ways, with back-pressure."""

    _request_body: wire.Pipe | None
    _answer_task: asyncio.Task[ty.Any] | None

    async def data_received(self, chunk: bytes) -> None:
        """Pass a part of the body on, as fast as it is taken."""
        if self._request_body is None or self._answer_task is None:
            return
        if self._request_body.full and not self._request_body.ended:
            put_task = asyncio.create_task(self._request_body.put(chunk))
            # Once the answer is there, nobody takes the rest.
            await asyncio.wait(
                {put_task, self._answer_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            put_task.cancel()
            return
        self._request_body.feed(chunk)

    def set_default_headers(self) -> None:
        """Answer with the target's headers only."""
        self.clear_header("Server")
        self.clear_header("Content-Type")
        self.clear_header("Date")

    def compute_etag(self) -> str | None:
        """Leave entity tags to the target."""
        return None

    async def stream_answer_body(
        self, body: wire.Pipe, request_id: str
    ) -> None:
        """Pass on what is left of an answer's body.

        Half an answer must not look whole: if it breaks off, the connection
        is cut.
        """
        try:
            while chunk := await body.take():
                self.write(chunk)
                await self.flush()
        except errors.GoldcrestProxyError as error:
            LOG.warning(
                "callers: answer of %s broke off: %s", request_id, error
            )
            self.close_connection()

    def close_connection(self) -> None:
        """End the connection without another byte."""
        ty.cast(ty.Any, self.request.connection).stream.close()

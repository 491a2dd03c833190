"""Base class of the handlers that forward callers' requests."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import sys
import typing as ty

from tornado import escape
from tornado import iostream
from tornado import web

from goldcrestproxy.callers import crowd as crowds
from goldcrestproxy.callers import gate as gates
from goldcrestproxy.callers import headers
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

STATUSES_WITHOUT_BODY: ty.Final = (204, 304)
# Part of a request body that is read after the answer was sent.
DISCARDED_BYTES_MAX: ty.Final = 32 * 1024 * 1024
# Time for a caller to read the refusal of a body for which there is no room.
CROWDED_OUT_S: ty.Final = 2.0


@web.stream_request_body
class StreamingHandler(web.RequestHandler):
    """Streams request and answer bodies with back-pressure.

    A subclass calls ``start`` or ``refuse`` in ``prepare``, uses ``serve``
    for its methods, and implements ``send_answer`` and ``send_refusal``.

    An answer is written as soon as there is one. The request is finished
    after that, once its body has been read to the end.
    """

    _gate: gates.Gate
    # None where callers are trusted not to crowd the host.
    _crowd: crowds.Crowd | None = None
    _request_id = ""
    _request_body: wire.Pipe | None = None
    _request_body_ended = False
    _answer_task: asyncio.Task[ty.Any] | None = None
    _delivery_task: asyncio.Task[None] | None = None
    _entered_gate = False
    _discarded_bytes = 0
    # Whether the request was refused for want of room for its body.
    _crowded_out = False

    def enter_gate(self) -> None:
        """Count the request as in flight until its answer is written.

        :raises RefusedError: if the host accepts no more requests, if too
            many bodies are in flight, or if the connection was closed: Tornado
            still parses what it has read
        """
        self.check_connected()
        if self._crowd is not None:
            try:
                self._crowd.start_request(
                    self._stream(), headers.body_bytes(self.request.headers)
                )
            except errors.RefusedError:
                self._crowded_out = True
                raise
        self._gate.enter()
        self._entered_gate = True

    def check_connected(self) -> None:
        """Check that the caller can still get an answer.

        :raises RefusedError: if the connection was closed
        """
        if self._stream().closed():
            raise results.refusal(
                results.STOPPING, "the connection was closed"
            )

    def start(self, work: ty.Coroutine[ty.Any, ty.Any, ty.Any]) -> None:
        """Start forwarding the request; ``work`` returns the answer."""
        if self._awaits_continue():
            # Tornado would do this later, possibly after the answer.
            self._stream().write(b"HTTP/1.1 100 Continue\r\n\r\n")
            del self.request.headers["Expect"]
        self._answer_task = asyncio.create_task(work)
        if self._request_body is not None:
            # The answer may be available before the whole request body.
            self._delivery_task = asyncio.create_task(self._deliver())

    async def refuse(self, error: errors.RefusedError) -> None:
        """Refuse the request without waiting for its body."""
        self.send_refusal(error)
        if self._crowded_out:
            await self._close_unread()
            return
        if self._awaits_continue():
            # Otherwise Tornado would ask for the body after the refusal.
            await self.finish()
            return
        connection = ty.cast(ty.Any, self.request.connection)
        connection.set_max_body_size(sys.maxsize)
        await self._flush_before_request_body_ends()

    async def _close_unread(self) -> None:
        """Close a connection without reading the body, after the refusal."""
        self.set_header("Connection", "close")
        with contextlib.suppress(iostream.StreamClosedError):
            await self.flush()
            # Closing at once would reset the connection, and the caller might
            # lose the refusal.
            await asyncio.sleep(CROWDED_OUT_S)
        self.close_connection()

    def _awaits_continue(self) -> bool:
        """Whether the caller sends the body only when it is asked for it."""
        expect = self.request.headers.get("Expect", "")
        return expect.lower() == "100-continue"

    def send_refusal(self, error: errors.RefusedError) -> None:
        """Write a refusal as the answer."""
        raise NotImplementedError

    async def send_answer(self, answer: ty.Any) -> None:
        """Write the answer of a target."""
        raise NotImplementedError

    async def serve(self) -> None:
        """Complete the answer; called when the request body has ended."""
        self._request_body_ended = True
        if self._request_body is not None:
            self._request_body.finish()
        if self._delivery_task is not None:
            await self._delivery_task
        elif self._answer_task is not None:
            await self._deliver()
        if not self._gate.ready:
            await self._close_after_answer()

    def on_finish(self) -> None:
        """Leave the gate once the answer has been written."""
        stream = self._stream()
        if stream.closed() or not stream.writing():
            self.leave_gate()
        else:
            stream.write(b"").add_done_callback(lambda _: self.leave_gate())

    def leave_gate(self) -> None:
        """Count the request as completed, unless this was done before."""
        if self._entered_gate:
            self._entered_gate = False
            self._gate.leave()

    async def data_received(self, chunk: bytes) -> None:
        """Forward a chunk of the request body; wait if the pipe is full."""
        if self._delivery_task is None or self._delivery_task.done():
            await self._discard(chunk)
            return
        body = ty.cast(wire.Pipe, self._request_body)
        if body.full and not body.ended:
            put_task = asyncio.create_task(body.put(chunk))
            # Tornado does not look at the connection until this returns.
            self._stream().set_close_callback(self.on_connection_close)
            # Nobody reads the body once the answer has been delivered.
            await asyncio.wait(
                {put_task, self._delivery_task},
                return_when=asyncio.FIRST_COMPLETED,
            )
            self._stream().set_close_callback(None)
            put_task.cancel()
            return
        body.feed(chunk)

    async def _discard(self, chunk: bytes) -> None:
        """Discard a chunk that comes after the answer.

        Beyond ``DISCARDED_BYTES_MAX`` the connection is closed.
        """
        self._discarded_bytes += len(chunk)
        if self._discarded_bytes > DISCARDED_BYTES_MAX:
            self.close_connection()

    def set_default_headers(self) -> None:
        """Remove Tornado's default headers: only the target's are sent."""
        self.clear_header("Server")
        self.clear_header("Content-Type")
        self.clear_header("Date")

    def compute_etag(self) -> str | None:
        """Return None: entity tags are set by the target."""
        return None

    def write_json(self, content: dict[str, ty.Any]) -> None:
        """Write JSON as the whole body of the answer."""
        self.set_header("Content-Type", "application/json; charset=UTF-8")
        self.write_whole_body(escape.json_encode(content).encode())

    def write_whole_body(self, body: bytes) -> None:
        """Write the whole body of the answer."""
        if (
            self.request.method != "HEAD"
            and self.get_status() not in STATUSES_WITHOUT_BODY
        ):
            self.set_header("Content-Length", str(len(body)))
        if body:
            self.write(body)

    async def stream_answer_body(self, body: wire.Pipe) -> None:
        """Stream the remaining body of an answer to the caller.

        If it is interrupted, the connection is closed, so that the caller
        does not take a truncated answer for a complete one.
        """
        try:
            while chunk := await body.read():
                self.write(chunk)
                await self.flush()
                if self._crowd is not None:
                    self._crowd.record_progress(self._stream())
        except errors.GoldcrestProxyError as error:
            LOG.warning(
                "callers: answer to request %s was interrupted: %s",
                self._request_id,
                error,
            )
            self.close_connection()
        except BaseException:
            # Otherwise Tornado would end a chunked answer as complete.
            self.close_connection()
            raise

    def close_connection(self) -> None:
        """Close the connection without sending anything further."""
        self._stream().close()

    async def _deliver(self) -> None:
        """Send the answer, or a refusal, as soon as there is one."""
        try:
            answer = await ty.cast(asyncio.Task[ty.Any], self._answer_task)
        except errors.RefusedError as error:
            self.send_refusal(error)
        except asyncio.CancelledError:
            # The caller has disconnected or the process is shutting down.
            # Without closing the connection, the unfinished answer would
            # reach the caller as an empty success.
            self.close_connection()
            return
        except Exception as error:
            LOG.exception("callers: request %s failed", self._request_id)
            self.send_refusal(results.refusal(results.INTERNAL, str(error)))
        else:
            await self.send_answer(answer)
        await self._flush_before_request_body_ends()

    async def _flush_before_request_body_ends(self) -> None:
        """Write the answer at once if the request body is still arriving.

        The rest of the body is read and discarded before the request is
        finished: closing a connection with unread bytes resets it, and the
        caller may then lose the answer.
        """
        if self._request_body_ended or not headers.body_bytes(
            self.request.headers
        ):
            return
        with contextlib.suppress(iostream.StreamClosedError):
            await self.flush()

    async def _close_after_answer(self) -> None:
        """Finish the answer and close, so that the caller reconnects."""
        with contextlib.suppress(iostream.StreamClosedError):
            if not self._finished:
                await self.finish()
            # Resolves when everything before it has been written.
            await self._stream().write(b"")
        self.close_connection()

    def _stream(self) -> iostream.IOStream:
        connection = ty.cast(ty.Any, self.request.connection)
        return ty.cast(iostream.IOStream, connection.stream)

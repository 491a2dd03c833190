"""Relaying of exchanges over a channel, with flow control by credit.

At most ``WINDOW_BYTES`` of a body are in flight in each direction; the
receiver returns credit as its chunks are read.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing as ty

from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.wire import codec
from goldcrestproxy.wire import exchange as exchanges
from goldcrestproxy.wire import frames
from goldcrestproxy.wire.generated import ttypes
from goldcrestproxy.wire import pipe

if ty.TYPE_CHECKING:
    from goldcrestproxy.wire import channel as channels

WINDOW_BYTES: ty.Final = 256 * 1024


class Relay:
    """Base class of both ends of a relayed exchange."""

    def __init__(
        self,
        channel: channels.Channel,
        stream: int,
        exchange: exchanges.Exchange,
        incoming_body: pipe.Pipe,
    ) -> None:
        """Bind an exchange to a stream number of a channel.

        :param incoming_body: pipe that receives the peer's body
        """
        self._channel = channel
        self._stream_number = stream
        self._exchange = exchange
        self._incoming_body = incoming_body
        self._credit_bytes = WINDOW_BYTES
        self._credit_changed = asyncio.Event()
        incoming_body.on_read = self._return_credit

    def handle_frame(self, frame: frames.Frame) -> None:
        """Handle a received frame of this stream.

        :raises MalformedFrameError: for a kind that is invalid here
        """
        match frame.kind:
            case frames.FrameKind.BODY:
                self._incoming_body.feed(frame.payload)
            case frames.FrameKind.CREDIT:
                self._credit_bytes += frames.read_credit(frame.payload)
                self._credit_changed.set()
            case _:
                raise errors.MalformedFrameError(
                    f"frame {frame.kind.name} does not fit an exchange"
                )

    def handle_channel_closed(self, error: errors.WireError) -> None:
        """Fail the exchange, as the channel has closed."""
        self._credit_changed.set()
        self._exchange.fail(error)

    def _return_credit(self, size_bytes: int) -> None:
        if not self._channel.closed:
            self._channel.send(
                frames.FrameKind.CREDIT,
                self._stream_number,
                frames.CREDIT.pack(size_bytes),
            )

    async def _pump(self, body: pipe.Pipe) -> None:
        """Send a body within the peer's credit, then an END frame."""
        while True:
            chunk = await body.read()
            if not chunk:
                self._channel.send(frames.FrameKind.END, self._stream_number)
                return
            for start in range(0, len(chunk), frames.BODY_CHUNK_BYTES):
                part = chunk[start : start + frames.BODY_CHUNK_BYTES]
                await self._spend_credit(len(part))
                self._channel.send(
                    frames.FrameKind.BODY, self._stream_number, part
                )

    async def _spend_credit(self, size_bytes: int) -> None:
        while self._credit_bytes < size_bytes:
            if self._channel.closed:
                raise errors.ChannelClosedError("channel closed in a body")
            if self._exchange.cancelled:
                raise errors.WireError("exchange cancelled in a body")
            self._credit_changed.clear()
            await self._credit_changed.wait()
        self._credit_bytes -= size_bytes


class ClientRelay(Relay):
    """The client end, on the entry host."""

    def __init__(
        self,
        channel: channels.Channel,
        stream: int,
        exchange: exchanges.Exchange,
    ) -> None:
        """Write the peer's response body to the exchange."""
        super().__init__(channel, stream, exchange, exchange.response_body)

    def start(self) -> None:
        """Start sending the request body, if there is one."""
        self._exchange.on_cancel(self._cancel)
        if self._exchange.request.body_bytes != 0:
            self._channel.spawn(self._send_body())

    def handle_frame(self, frame: frames.Frame) -> None:
        """Handle the head, body, end or cancellation of the response."""
        match frame.kind:
            case frames.FrameKind.HEAD:
                self._exchange.set_response(
                    codec.decode(ttypes.RelayResponse, frame.payload)
                )
            case frames.FrameKind.END:
                self._exchange.response_body.finish()
                self._channel.remove_relay(self._stream_number)
            case frames.FrameKind.CANCEL:
                self._exchange.fail(
                    errors.WireError("the coordinator broke off the answer")
                )
                self._channel.remove_relay(self._stream_number)
            case _:
                super().handle_frame(frame)

    def _cancel(self) -> None:
        self._channel.remove_relay(self._stream_number)
        if not self._channel.closed:
            self._channel.send(frames.FrameKind.CANCEL, self._stream_number)

    async def _send_body(self) -> None:
        # The writer of the body cancels the exchange when the body fails.
        with contextlib.suppress(errors.GoldcrestProxyError):
            await self._pump(self._exchange.request_body)


class ServerRelay(Relay):
    """The server end, on the coordinator's host."""

    def __init__(
        self,
        channel: channels.Channel,
        stream: int,
        exchange: exchanges.Exchange,
    ) -> None:
        """Write the peer's request body to the exchange."""
        super().__init__(channel, stream, exchange, exchange.request_body)

    def handle_frame(self, frame: frames.Frame) -> None:
        """Handle the body, end or cancellation of the request."""
        match frame.kind:
            case frames.FrameKind.END:
                self._exchange.request_body.finish()
            case frames.FrameKind.CANCEL:
                self._channel.remove_relay(self._stream_number)
                self._exchange.cancel()
                self._credit_changed.set()
            case _:
                super().handle_frame(frame)

    def handle_channel_closed(self, error: errors.WireError) -> None:
        """Cancel the exchange, as its response can no longer be sent."""
        self._exchange.cancel()
        super().handle_channel_closed(error)

    async def run(self) -> None:
        """Send the response to the peer as the coordinator produces it."""
        try:
            head = await self._exchange.response
            self._channel.send(
                frames.FrameKind.HEAD, self._stream_number, codec.encode(head)
            )
            await self._pump(self._exchange.response_body)
        except errors.ChannelClosedError:
            self._exchange.cancel()
        except errors.GoldcrestProxyError as error:
            self._send_failure(error)
        finally:
            self._channel.remove_relay(self._stream_number)

    def _send_failure(self, error: errors.GoldcrestProxyError) -> None:
        if self._channel.closed or self._exchange.cancelled:
            return
        if self._exchange.response.done() and not (
            self._exchange.response.exception()
        ):
            self._channel.send(frames.FrameKind.CANCEL, self._stream_number)
            return
        head = ttypes.RelayResponse(
            code=results.INTERNAL,
            status=500,
            headers=[],
            body_bytes=0,
            text=str(error),
        )
        self._channel.send(
            frames.FrameKind.HEAD, self._stream_number, codec.encode(head)
        )
        self._channel.send(frames.FrameKind.END, self._stream_number)

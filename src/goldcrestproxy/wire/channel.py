"""One multiplexed connection between two daemons."""

from __future__ import annotations

import asyncio
import logging
import time
import typing as ty

import attrs
from tornado import iostream

from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.wire import codec
from goldcrestproxy.wire import exchange as exchanges
from goldcrestproxy.wire import frames
from goldcrestproxy.wire.generated import ttypes
from goldcrestproxy.wire import methods
from goldcrestproxy.wire import relay

LOG = logging.getLogger(__name__)

READ_BYTES: ty.Final = 256 * 1024
# The end that accepted a channel waits this much longer for its peer. Closing
# it only costs a busy peer the set-up of another one; the peer itself, which
# needs the channel, replaces one that is silent.
ACCEPTED_SILENCE_FACTOR: ty.Final = 3

CallHandler = ty.Callable[["Channel", ty.Any], ty.Awaitable[ty.Any]]
ExchangeHandler = ty.Callable[[exchanges.Exchange], ty.Awaitable[None]]


@attrs.define
class Traffic:
    """Bytes sent and received on all channels since the daemon started."""

    sent_bytes: int = 0
    received_bytes: int = 0


@attrs.define
class Handlers:
    """Handlers of the calls and exchanges that peers open.

    A call without a handler is refused with ``BAD_REQUEST``.
    """

    calls: dict[methods.Method, CallHandler] = attrs.field(factory=dict)
    exchange: ExchangeHandler | None = None
    traffic: Traffic = attrs.field(factory=Traffic)


@attrs.frozen(kw_only=True)
class ChannelTiming:
    """Intervals and time-outs of a channel.

    A channel closes after ``silence_ms`` without received bytes; the end that
    accepted it waits ``ACCEPTED_SILENCE_FACTOR`` times as long. Its initiator
    also closes it after ``idle_ms`` without calls or exchanges.
    """

    heartbeat_ms: int
    silence_ms: int
    # Covers the TCP connect and the peer's hello.
    connect_ms: int = 250
    idle_ms: int = 10_000


class Channel:
    """Calls and exchanges over one connection, in both directions.

    One task reads the connection. Another one sends heartbeats and closes
    the channel when nothing was received for ``silence_ms``.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        hello: ttypes.Hello,
        handlers: Handlers,
        timing: ChannelTiming,
        *,
        is_initiator: bool,
    ) -> None:
        """Wrap a connected stream; nothing is sent before ``run``.

        :param is_initiator: whether this end opened the connection
        """
        self.peer: ttypes.Hello | None = None
        self._stream = stream
        self._hello = hello
        self._handlers = handlers
        self._timing = timing
        self._next_stream_number = 1 if is_initiator else 2
        self._replies: dict[int, asyncio.Future[bytes]] = {}
        self._relays: dict[int, relay.Relay] = {}
        self._tasks: set[asyncio.Task[ty.Any]] = set()
        self._last_received_s = time.monotonic()
        self._last_used_s = time.monotonic()
        self._is_initiator = is_initiator
        # Whether anything was sent since the last heartbeat.
        self._sent_since_heartbeat = False
        self._hello_received = asyncio.Event()
        self._closed = asyncio.Event()

    @property
    def closed(self) -> bool:
        """Whether the connection has ended."""
        return self._closed.is_set()

    @property
    def busy(self) -> bool:
        """Whether exchanges are open or frames have yet to be written."""
        return bool(self._relays) or self._stream.writing()

    @property
    def in_use(self) -> bool:
        """Whether this end awaits replies or has exchanges open."""
        return bool(self._replies or self._relays)

    async def run(self) -> None:
        """Send the hello, then read frames until the connection ends."""
        self.send(frames.FrameKind.HELLO, 0, codec.encode(self._hello))
        heartbeat = asyncio.create_task(self._send_heartbeats())
        reader = frames.FrameReader()
        try:
            while True:
                data = await self._stream.read_bytes(READ_BYTES, partial=True)
                self._last_received_s = time.monotonic()
                self._handlers.traffic.received_bytes += len(data)
                for frame in reader.feed(data):
                    self._dispatch(frame)
        except iostream.StreamClosedError:
            pass
        except errors.MalformedFrameError as error:
            LOG.warning("wire: closed channel with %s: %s", self.name, error)
        finally:
            heartbeat.cancel()
            self.close()

    @property
    def name(self) -> str:
        """The peer's host name, for logs."""
        return self.peer.host if self.peer is not None else "unknown peer"

    async def wait_hello(self) -> None:
        """Wait for the peer's hello.

        :raises ChannelClosedError: when the connection ends before it
        """
        hello_wait = asyncio.create_task(self._hello_received.wait())
        closed_wait = asyncio.create_task(self._closed.wait())
        try:
            await asyncio.wait(
                {hello_wait, closed_wait}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            hello_wait.cancel()
            closed_wait.cancel()
        if self.closed:
            raise errors.ChannelClosedError("peer closed before its hello")

    async def wait_closed(self) -> None:
        """Wait until the connection has ended."""
        await self._closed.wait()

    def close(self) -> None:
        """End the connection and fail all open calls and exchanges."""
        if self.closed:
            return
        self._closed.set()
        self._stream.close()
        error = errors.ChannelClosedError(f"channel with {self.name} closed")
        for future in self._replies.values():
            if not future.done():
                future.set_exception(error)
                future.exception()
        self._replies.clear()
        for open_relay in list(self._relays.values()):
            open_relay.handle_channel_closed(error)
        self._relays.clear()

    def send(
        self, kind: frames.FrameKind, stream: int, payload: bytes = b""
    ) -> None:
        """Queue a frame for the peer.

        :raises ChannelClosedError: when the connection is over
        :raises FrameTooLargeError: when the peer would not accept the frame
        """
        if self.closed:
            raise errors.ChannelClosedError(
                f"channel with {self.name} is closed"
            )
        data = frames.pack(kind, stream, payload)
        self._sent_since_heartbeat = True
        self._handlers.traffic.sent_bytes += len(data)
        try:
            # A failed write needs no handling: ``close`` fails the calls
            # and exchanges that are in flight.
            self._stream.write(data).add_done_callback(_ignore_error)
        except iostream.StreamClosedError as error:
            self.close()
            raise errors.ChannelClosedError(str(error)) from error

    async def call(
        self, method: methods.Method, request: ty.Any, timeout_ms: int
    ) -> ty.Any:
        """Make a call and return its reply.

        :raises PeerTimeoutError: no reply within ``timeout_ms``
        :raises ChannelClosedError: the connection ended first
        :raises FrameTooLargeError: the request is too large to be sent
        :raises RefusedError: the peer replied with a result code
        """
        stream = self._allocate_stream_number()
        future: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )
        self._replies[stream] = future
        payload = frames.METHOD.pack(method) + codec.encode(request)
        try:
            self.send(frames.FrameKind.CALL, stream, payload)
            async with asyncio.timeout(timeout_ms / 1000):
                reply = await future
        except TimeoutError as error:
            raise errors.PeerTimeoutError(
                f"{self.name} did not answer {method.name} in {timeout_ms} ms"
            ) from error
        finally:
            self._replies.pop(stream, None)
        return codec.decode(methods.SIGNATURES[method].reply, reply)

    def open(self, exchange: exchanges.Exchange) -> None:
        """Relay an exchange to the peer.

        :raises ChannelClosedError: when nothing was sent
        """
        stream = self._allocate_stream_number()
        self.send(
            frames.FrameKind.OPEN, stream, codec.encode(exchange.request)
        )
        client_relay = relay.ClientRelay(self, stream, exchange)
        self._relays[stream] = client_relay
        client_relay.start()

    def remove_relay(self, stream: int) -> None:
        """Remove a finished relay, so that its later frames are ignored."""
        self._relays.pop(stream, None)

    def spawn(self, work: ty.Coroutine[ty.Any, ty.Any, ty.Any]) -> None:
        """Run a coroutine in a task and keep a reference to the task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _allocate_stream_number(self) -> int:
        self._last_used_s = time.monotonic()
        stream = self._next_stream_number
        self._next_stream_number = (stream + 2) % 0xFFFFFFFE
        return stream

    async def _send_heartbeats(self) -> None:
        while not self.closed:
            await asyncio.sleep(self._timing.heartbeat_ms / 1000)
            silent_ms = (time.monotonic() - self._last_received_s) * 1000
            if silent_ms > self._silence_ms:
                LOG.warning(
                    "wire: closed channel with %s: silent for %d ms",
                    self.name,
                    silent_ms,
                )
                self.close()
                return
            if self._is_idle():
                self.close()
                return
            if not self._sent_since_heartbeat:
                self.send(frames.FrameKind.HEARTBEAT, 0)
            self._sent_since_heartbeat = False

    @property
    def _silence_ms(self) -> int:
        factor = 1 if self._is_initiator else ACCEPTED_SILENCE_FACTOR
        return self._timing.silence_ms * factor

    def _is_idle(self) -> bool:
        """Return whether this end opened the channel and no longer needs it.

        Idle channels are closed, since heartbeats on them load the peers to
        which many hosts connect. They are opened again when needed.
        """
        if not self._is_initiator or self._replies or self._relays:
            return False
        idle_ms = (time.monotonic() - self._last_used_s) * 1000
        return idle_ms > self._timing.idle_ms

    def _dispatch(self, frame: frames.Frame) -> None:
        match frame.kind:
            case frames.FrameKind.HEARTBEAT:
                pass
            case frames.FrameKind.HELLO:
                self._handle_hello(frame.payload)
            case frames.FrameKind.CALL:
                self._handle_call(frame)
            case frames.FrameKind.REPLY:
                future = self._replies.get(frame.stream)
                if future is not None and not future.done():
                    future.set_result(frame.payload)
            case frames.FrameKind.FAILURE:
                self._handle_failure(frame)
            case frames.FrameKind.OPEN:
                self._handle_open(frame)
            case _:
                open_relay = self._relays.get(frame.stream)
                if open_relay is not None:
                    open_relay.handle_frame(frame)

    def _handle_hello(self, payload: bytes) -> None:
        hello = codec.decode(ttypes.Hello, payload)
        if hello.version != frames.PROTOCOL_VERSION:
            raise errors.MalformedFrameError(
                f"protocol version {hello.version}; "
                f"{frames.PROTOCOL_VERSION} expected"
            )
        self.peer = hello
        self._hello_received.set()

    def _handle_failure(self, frame: frames.Frame) -> None:
        future = self._replies.get(frame.stream)
        failure = codec.decode(ttypes.Failure, frame.payload)
        if future is not None and not future.done():
            future.set_exception(
                errors.RefusedError(failure.code, failure.text)
            )

    def _handle_call(self, frame: frames.Frame) -> None:
        if len(frame.payload) < frames.METHOD.size:
            raise errors.MalformedFrameError("call without a method number")
        (number,) = frames.METHOD.unpack_from(frame.payload)
        if number not in methods.Method._value2member_map_:
            raise errors.MalformedFrameError(f"unknown method {number}")
        method = methods.Method(number)
        request = codec.decode(
            methods.SIGNATURES[method].request,
            frame.payload[frames.METHOD.size :],
        )
        self.spawn(self._serve_call(frame.stream, method, request))

    async def _serve_call(
        self, stream: int, method: methods.Method, request: ty.Any
    ) -> None:
        handler = self._handlers.calls.get(method)
        try:
            if handler is None:
                raise results.refusal(
                    results.BAD_REQUEST, f"{method.name} is not served here"
                )
            reply = await handler(self, request)
            kind, payload = frames.FrameKind.REPLY, codec.encode(reply)
        except errors.RefusedError as error:
            kind = frames.FrameKind.FAILURE
            payload = codec.encode(
                ttypes.Failure(code=error.code, text=error.text)
            )
        except Exception as error:
            LOG.exception("wire: call %s failed", method.name)
            kind = frames.FrameKind.FAILURE
            payload = codec.encode(
                ttypes.Failure(code=results.INTERNAL, text=str(error))
            )
        if self.closed:
            return
        try:
            self.send(kind, stream, payload)
        except errors.FrameTooLargeError as error:
            LOG.error("wire: reply to %s not sent: %s", method.name, error)
            failure = ttypes.Failure(code=results.INTERNAL, text=str(error))
            self.send(frames.FrameKind.FAILURE, stream, codec.encode(failure))

    def _handle_open(self, frame: frames.Frame) -> None:
        request = codec.decode(ttypes.RelayRequest, frame.payload)
        exchange = exchanges.Exchange(request)
        server_relay = relay.ServerRelay(self, frame.stream, exchange)
        self._relays[frame.stream] = server_relay
        self.spawn(self._serve_exchange(server_relay, exchange))

    async def _serve_exchange(
        self, server_relay: relay.ServerRelay, exchange: exchanges.Exchange
    ) -> None:
        if self._handlers.exchange is None:
            exchange.fail(errors.WireError("exchanges are not served here"))
        else:
            self.spawn(self._handlers.exchange(exchange))
        await server_relay.run()


def _ignore_error(future: asyncio.Future[ty.Any]) -> None:
    if not future.cancelled():
        future.exception()

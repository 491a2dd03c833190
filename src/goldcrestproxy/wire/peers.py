"""Channels to and from the other daemons."""

from __future__ import annotations

import asyncio
import logging
import typing as ty

import attrs
from tornado import iostream
from tornado import tcpclient
from tornado import tcpserver

from goldcrestproxy import errors
from goldcrestproxy.wire import channel as channels
from goldcrestproxy.wire import exchange as exchanges
from goldcrestproxy.wire.generated import ttypes
from goldcrestproxy.wire import methods

LOG = logging.getLogger(__name__)


@attrs.frozen
class PeerAddress:
    """Where a daemon's peer port listens."""

    address: str
    peer_port: int


class PeerServer(tcpserver.TCPServer):
    """Accepts channels from other daemons."""

    def __init__(
        self,
        hello: ttypes.Hello,
        handlers: channels.Handlers,
        times: channels.ChannelTimes,
    ) -> None:
        """Serve ``handlers`` on each accepted connection."""
        super().__init__()
        self._hello = hello
        self._peer_handlers = handlers
        self._times = times
        self._channels: set[channels.Channel] = set()

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple[ty.Any, ...]
    ) -> None:
        """Run the channel of one connection, from hello to its end."""
        stream.set_nodelay(True)
        channel = channels.Channel(
            stream,
            self._hello,
            self._peer_handlers,
            self._times,
            is_initiator=False,
        )
        self._channels.add(channel)
        try:
            await channel.run()
        finally:
            self._channels.discard(channel)

    def close_channels(self) -> None:
        """End every accepted connection."""
        for channel in list(self._channels):
            channel.close()


class Peers:
    """One channel to each daemon that this one has to ask."""

    def __init__(
        self,
        hello: ttypes.Hello,
        handlers: channels.Handlers,
        times: channels.ChannelTimes,
    ) -> None:
        """Channels are opened when they are first needed."""
        self._hello = hello
        self._handlers = handlers
        self._times = times
        self._client = tcpclient.TCPClient()
        self._open: dict[PeerAddress, channels.Channel] = {}
        self._opening: dict[PeerAddress, asyncio.Task[channels.Channel]] = {}
        self._running: set[asyncio.Task[None]] = set()

    async def channel(self, address: PeerAddress) -> channels.Channel:
        """Return a channel whose peer has sent its hello.

        :raises ChannelClosedError: when the peer cannot be reached
        """
        channel = self._open.get(address)
        if channel is not None and not channel.closed:
            return channel
        opening = self._opening.get(address)
        if opening is None:
            opening = asyncio.create_task(self._connect(address))
            self._opening[address] = opening
            opening.add_done_callback(
                lambda _: self._opening.pop(address, None)
            )
        return await asyncio.shield(opening)

    async def call(
        self,
        address: PeerAddress,
        method: methods.Method,
        request: ty.Any,
        timeout_ms: int,
    ) -> ty.Any:
        """Make a call; see ``Channel.call``."""
        channel = await self.channel(address)
        return await channel.call(method, request, timeout_ms)

    async def open(
        self, address: PeerAddress, exchange: exchanges.Exchange
    ) -> None:
        """Relay an exchange; an error means that nothing was sent."""
        channel = await self.channel(address)
        channel.open(exchange)

    def close(self) -> None:
        """End every channel that was opened here."""
        for channel in self._open.values():
            channel.close()
        for task in self._running:
            task.cancel()

    async def _connect(self, address: PeerAddress) -> channels.Channel:
        try:
            async with asyncio.timeout(self._times.connect_ms / 1000):
                stream = await self._client.connect(
                    address.address, address.peer_port
                )
                stream.set_nodelay(True)
                channel = channels.Channel(
                    stream,
                    self._hello,
                    self._handlers,
                    self._times,
                    is_initiator=True,
                )
                task = asyncio.create_task(channel.run())
                self._running.add(task)
                task.add_done_callback(self._running.discard)
                await channel.wait_hello()
        except (OSError, iostream.StreamClosedError) as error:
            raise errors.ChannelClosedError(
                f"{address.address}:{address.peer_port} cannot be reached: "
                f"{error or 'timeout'}"
            ) from error
        self._open[address] = channel
        return channel

"""Channels to other daemons, and the server for theirs."""

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
    """Address and peer port of a daemon."""

    address: str
    peer_port: int


class PeerServer(tcpserver.TCPServer):
    """Accepts channels from other daemons."""

    def __init__(
        self,
        hello: ttypes.Hello,
        handlers: channels.Handlers,
        timing: channels.ChannelTiming,
    ) -> None:
        """Serve ``handlers`` on every accepted connection."""
        super().__init__()
        self._hello = hello
        self._peer_handlers = handlers
        self._timing = timing
        self._channels: set[channels.Channel] = set()

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple[ty.Any, ...]
    ) -> None:
        """Run the channel of an accepted connection until it ends."""
        stream.set_nodelay(True)
        channel = channels.Channel(
            stream,
            self._hello,
            self._peer_handlers,
            self._timing,
            is_initiator=False,
        )
        self._channels.add(channel)
        try:
            await channel.run()
        finally:
            self._channels.discard(channel)

    @property
    def busy(self) -> bool:
        """Whether responses to peers have yet to be sent."""
        return any(channel.busy for channel in self._channels)

    def close_channels(self) -> None:
        """Close every accepted connection."""
        for channel in list(self._channels):
            channel.close()


class Peers:
    """Pool with at most one outgoing channel for each peer."""

    def __init__(
        self,
        hello: ttypes.Hello,
        handlers: channels.Handlers,
        timing: channels.ChannelTiming,
    ) -> None:
        """Create an empty pool; channels are opened on first use."""
        self._hello = hello
        self._handlers = handlers
        self._timing = timing
        self._client = tcpclient.TCPClient()
        self._channels: dict[PeerAddress, channels.Channel] = {}
        self._connecting: dict[
            PeerAddress, asyncio.Task[channels.Channel]
        ] = {}
        self._reader_tasks: set[asyncio.Task[None]] = set()

    async def channel(self, address: PeerAddress) -> channels.Channel:
        """Return an open channel whose peer has sent its hello.

        Concurrent calls for the same peer share one connection set-up.

        :raises ChannelClosedError: when the peer cannot be reached
        """
        channel = self._channels.get(address)
        if channel is not None and not channel.closed:
            return channel
        connecting = self._connecting.get(address)
        if connecting is None:
            connecting = asyncio.create_task(self._connect(address))
            self._connecting[address] = connecting
            connecting.add_done_callback(
                lambda _: self._connecting.pop(address, None)
            )
        return await asyncio.shield(connecting)

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
        """Relay an exchange to a peer.

        :raises ChannelClosedError: when nothing was sent
        """
        channel = await self.channel(address)
        channel.open(exchange)

    def open_channel(self, address: PeerAddress) -> channels.Channel | None:
        """Return the open channel to a peer, None without one."""
        channel = self._channels.get(address)
        return None if channel is None or channel.closed else channel

    async def wait_closed(self, address: PeerAddress) -> None:
        """Wait until the open channel to a peer has closed, if there is one.

        A later channel to the same peer is not awaited.
        """
        channel = self._channels.get(address)
        if channel is not None:
            await channel.wait_closed()

    def close_unused(self, address: PeerAddress) -> bool:
        """Close the channel to a peer unless it is in use here.

        Returns whether there is none any more.
        """
        channel = self._channels.get(address)
        if channel is None or channel.closed:
            return True
        if channel.in_use:
            return False
        channel.close()
        return True

    def close(self) -> None:
        """Close every channel of the pool."""
        for channel in self._channels.values():
            channel.close()
        for task in self._reader_tasks:
            task.cancel()

    async def _connect(self, address: PeerAddress) -> channels.Channel:
        try:
            async with asyncio.timeout(self._timing.connect_ms / 1000):
                stream = await self._client.connect(
                    address.address, address.peer_port
                )
                stream.set_nodelay(True)
                channel = channels.Channel(
                    stream,
                    self._hello,
                    self._handlers,
                    self._timing,
                    is_initiator=True,
                )
                task = asyncio.create_task(channel.run())
                self._reader_tasks.add(task)
                task.add_done_callback(self._reader_tasks.discard)
                await channel.wait_hello()
        except (OSError, iostream.StreamClosedError) as error:
            raise errors.ChannelClosedError(
                f"{address.address}:{address.peer_port} cannot be reached: "
                f"{error or 'timeout'}"
            ) from error
        self._channels[address] = channel
        return channel

"""Multiplexed channels between daemons: frames, calls and exchanges."""

from __future__ import annotations

from goldcrestproxy.wire.buffers import BUDGET
from goldcrestproxy.wire.buffers import BUFFER_BYTES_MIN
from goldcrestproxy.wire.buffers import BufferBudget
from goldcrestproxy.wire.channel import CallHandler
from goldcrestproxy.wire.channel import Channel
from goldcrestproxy.wire.channel import ChannelTiming
from goldcrestproxy.wire.channel import Handlers
from goldcrestproxy.wire.channel import Traffic
from goldcrestproxy.wire.codec import decode
from goldcrestproxy.wire.codec import encode
from goldcrestproxy.wire.exchange import Exchange
from goldcrestproxy.wire.frames import Frame
from goldcrestproxy.wire.frames import FRAME_BYTES_MAX
from goldcrestproxy.wire.frames import FrameKind
from goldcrestproxy.wire.frames import FrameReader
from goldcrestproxy.wire.frames import pack
from goldcrestproxy.wire.generated import ttypes
from goldcrestproxy.wire.methods import Method
from goldcrestproxy.wire.peers import PeerAddress
from goldcrestproxy.wire.peers import Peers
from goldcrestproxy.wire.peers import PeerServer
from goldcrestproxy.wire.pipe import Pipe

__all__ = [
    "BUDGET",
    "BUFFER_BYTES_MIN",
    "FRAME_BYTES_MAX",
    "BufferBudget",
    "CallHandler",
    "Channel",
    "ChannelTiming",
    "Exchange",
    "Frame",
    "FrameKind",
    "FrameReader",
    "Handlers",
    "Method",
    "PeerAddress",
    "PeerServer",
    "Peers",
    "Pipe",
    "Traffic",
    "decode",
    "encode",
    "pack",
    "ttypes",
]

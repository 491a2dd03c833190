"""Construction of the channels between daemons."""

from __future__ import annotations

import uuid

import attrs

from goldcrestproxy import settings
from goldcrestproxy import wire
from goldcrestproxy.wire import frames


@attrs.frozen(kw_only=True)
class Peering:
    """Peer server, handlers and outgoing channels of one session."""

    session: str
    handlers: wire.Handlers
    peers: wire.Peers
    server: wire.PeerServer


def make_peering(host_settings: settings.HostSettings) -> Peering:
    """Return the channels for a new session of this host."""
    session = uuid.uuid4().hex
    handlers = wire.Handlers()
    hello = wire.ttypes.Hello(
        version=frames.PROTOCOL_VERSION,
        host=host_settings.host,
        session=session,
        zone=host_settings.zone,
    )
    timing = wire.ChannelTiming(
        heartbeat_ms=host_settings.timeouts.channel_heartbeat_ms,
        silence_ms=host_settings.timeouts.channel_silence_ms,
        connect_ms=host_settings.timeouts.channel_connect_ms,
    )
    return Peering(
        session=session,
        handlers=handlers,
        peers=wire.Peers(hello, handlers, timing),
        server=wire.PeerServer(hello, handlers, timing),
    )

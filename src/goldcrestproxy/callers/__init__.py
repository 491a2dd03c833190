"""HTTP interface for callers."""

from __future__ import annotations

from goldcrestproxy.callers.crowd import CHUNK_BYTES
from goldcrestproxy.callers.crowd import Crowd
from goldcrestproxy.callers.crowd_server import CrowdServer
from goldcrestproxy.callers.crowd_server import KeptBodyServer
from goldcrestproxy.callers.departure import has_left
from goldcrestproxy.callers.gate import Gate
from goldcrestproxy.callers.handler import CallerHandler
from goldcrestproxy.callers.headers import body_bytes
from goldcrestproxy.callers.streaming import StreamingHandler

__all__ = [
    "CHUNK_BYTES",
    "CallerHandler",
    "Crowd",
    "CrowdServer",
    "Gate",
    "KeptBodyServer",
    "StreamingHandler",
    "body_bytes",
    "has_left",
]

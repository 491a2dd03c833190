"""Whether a caller still waits for its answer."""

from __future__ import annotations

import socket
import typing as ty

from tornado import httputil


def has_left(request: httputil.HTTPServerRequest) -> bool:
    """Whether the caller has closed its connection.

    Tornado learns of it with its next read, which may come after the call
    has been served; so the socket is asked. A caller whose close was lost
    on the way counts as waiting.
    """
    stream = ty.cast(ty.Any, request.connection).stream
    if stream.closed():
        return True
    try:
        read = stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return read == b""

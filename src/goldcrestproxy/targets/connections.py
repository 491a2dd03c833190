"""Connections that a libcurl client may use again."""

from __future__ import annotations

import socket


class Connections:
    """Sockets of a client's connections, by local port.

    libcurl reports neither the socket of a transfer nor the end of a
    connection, so a socket is verified before it is used.
    """

    def __init__(self) -> None:
        self._sockets: dict[int, int] = {}

    def record(self, local_port: int, socket_fd: int) -> None:
        """Record a new connection."""
        self._sockets[local_port] = socket_fd

    def is_clean(self, local_port: int) -> bool:
        """Whether a connection that was idle can take a request.

        Bytes that nobody asked for would be taken for the start of the next
        answer.
        """
        socket_fd = self._sockets.get(local_port, -1)
        if socket_fd < 0:
            return True
        try:
            connection = socket.socket(fileno=socket_fd)
        except OSError:
            return True
        try:
            if connection.getsockname()[1] != local_port:
                # The descriptor belongs to another connection by now.
                return True
            flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
            connection.recv(1, flags)
            return False
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            connection.detach()

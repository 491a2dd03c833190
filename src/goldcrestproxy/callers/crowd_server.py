"""HTTP servers whose connections and bodies are bounded by a crowd."""

from __future__ import annotations

import functools
import typing as ty

from tornado import httpserver
from tornado import httputil
from tornado import iostream

from goldcrestproxy.callers import chunked_body
from goldcrestproxy.callers import crowd as crowds
from goldcrestproxy.callers import headers
from goldcrestproxy import errors

# What a piece of a body costs besides its bytes.
PIECE_BYTES: ty.Final = 64


class CrowdServer(httpserver.HTTPServer):
    """HTTP server whose connections are bounded by a ``Crowd``."""

    crowd: crowds.Crowd

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Watch the next request of a connection."""
        delegate = super().start_request(server_conn, request_conn)
        stream = ty.cast(ty.Any, server_conn).stream
        ty.cast(ty.Any, request_conn)._read_chunked_body = functools.partial(
            chunked_body.read, request_conn
        )
        self.crowd.open(stream)
        return _WatchedDelegate(delegate, self.crowd, stream)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection."""
        self.crowd.close(ty.cast(ty.Any, server_conn).stream)
        super().on_close(server_conn)


class _WatchedDelegate(httputil.HTTPMessageDelegate):
    """Tells a crowd of the progress of a request."""

    def __init__(
        self,
        delegate: httputil.HTTPMessageDelegate,
        crowd: crowds.Crowd,
        stream: iostream.IOStream,
    ) -> None:
        self._delegate = delegate
        self._crowd = crowd
        self._stream = stream

    def headers_received(
        self, start_line: ty.Any, headers: httputil.HTTPHeaders
    ) -> ty.Any:
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> ty.Any:
        self._crowd.record_progress(self._stream, len(chunk))
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._crowd.end_body(self._stream)
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()


class KeptBodyServer(CrowdServer):
    """HTTP server that keeps whole bodies until their requests end."""

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Bound what the next request of a connection may hold."""
        delegate = super().start_request(server_conn, request_conn)
        stream = ty.cast(ty.Any, server_conn).stream
        return _KeptBodyDelegate(delegate, self.crowd, stream)


class _KeptBodyDelegate(_WatchedDelegate):
    """Counts a body from its head to the end of its request."""

    def headers_received(
        self, start_line: ty.Any, headers_: httputil.HTTPHeaders
    ) -> ty.Any:
        try:
            self._crowd.start_request(
                self._stream, headers.body_bytes(headers_), kept=True
            )
        except errors.RefusedError:
            # Its sender tries another host.
            self._stream.close()
        return super().headers_received(start_line, headers_)

    def data_received(self, chunk: bytes) -> ty.Any:
        self._crowd.hold(self._stream, len(chunk) + PIECE_BYTES)
        return super().data_received(chunk)

"""Reader of chunked request bodies, whatever the size of their chunks.

Tornado reads each chunk by itself, which takes as long for one byte as for
thousands. This reader decodes all chunks that have arrived at once.
"""

from __future__ import annotations

import asyncio
import typing as ty

from tornado import httputil
from tornado import iostream

from goldcrestproxy import chunk_decoder


async def read(connection: ty.Any, delegate: ty.Any) -> None:
    """Read the chunked body of a request; replaces Tornado's reader.

    :param connection: Tornado's HTTP1Connection
    :raises HTTPInputError: if the body is malformed or too long
    """
    stream, chunk_bytes = connection.stream, connection.params.chunk_size
    decoder = chunk_decoder.ChunkDecoder()
    while not decoder.ended:
        data = b""
        if not decoder.undecoded:
            data = await stream.read_bytes(chunk_bytes, partial=True)
        body = decoder.feed(data)
        if decoder.body_bytes > connection._max_body_size:
            raise httputil.HTTPInputError("chunked body too large")
        if body:
            await connection._deliver_body(delegate, body)
        await asyncio.sleep(0)
    _unread(stream, decoder.rest)


def _unread(stream: iostream.IOStream, data: bytes) -> None:
    """Return bytes to a stream from which nothing is being read."""
    internals = ty.cast(ty.Any, stream)
    internals._read_buffer[:0] = data
    internals._read_buffer_size += len(data)

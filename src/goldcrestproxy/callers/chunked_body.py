"""Reader of chunked request bodies, whatever the size of their chunks.

Tornado reads each chunk by itself, which takes as long for one byte as for
thousands. This reader decodes all chunks that have arrived at once.
"""

from __future__ import annotations

import asyncio
import re
import typing as ty

import attrs
from tornado import httputil
from tornado import iostream

# Chunks that are decoded before other connections get their turn.
CHUNKS_PER_TURN: ty.Final = 512
# A chunk's size in hexadecimal digits, and the end of the line.
_SIZE_LINE_BYTES_MAX: ty.Final = 64
_SIZE: ty.Final = re.compile(rb"[0-9a-fA-F]+")
_LINE_END: ty.Final = b"\r\n"


@attrs.define(kw_only=True)
class ChunkDecoder:
    """Decodes the chunks of one body (RFC 9112, section 7.1).

    Extensions of chunks and trailers are refused. ``rest`` holds what has
    been fed and not decoded, after the end what follows the body.
    """

    rest: bytes = b""
    ended: bool = False
    body_bytes: int = 0
    _chunk_left_bytes: int = 0
    # Whether the line end after the data of a chunk is still to come.
    _awaits_line_end: bool = False
    _awaits_last_line: bool = False

    def feed(self, data: bytes, chunks_max: int = CHUNKS_PER_TURN) -> bytes:
        """Decode more bytes, at most a number of chunks.

        Returns the decoded bytes; ``rest`` is to be decoded by further calls.

        :raises HTTPInputError: if these are no chunks
        """
        data = self.rest + data
        decoded: list[bytes] = []
        position = 0
        while not self.ended and position < len(data):
            if self._chunk_left_bytes:
                part = data[position : position + self._chunk_left_bytes]
                decoded.append(part)
                position += len(part)
                self._chunk_left_bytes -= len(part)
                self._awaits_line_end = not self._chunk_left_bytes
                continue
            if self._awaits_line_end or self._awaits_last_line:
                end = data[position : position + len(_LINE_END)]
                if not _LINE_END.startswith(end):
                    raise httputil.HTTPInputError(
                        f"{end!r} where the end of a chunk is due"
                    )
                if len(end) < len(_LINE_END):
                    break
                position += len(_LINE_END)
                self.ended = self._awaits_last_line
                self._awaits_line_end = False
                continue
            if not chunks_max:
                break
            chunks_max -= 1
            line_end = data.find(
                _LINE_END, position, position + _SIZE_LINE_BYTES_MAX
            )
            if line_end < 0:
                if len(data) - position >= _SIZE_LINE_BYTES_MAX:
                    raise httputil.HTTPInputError("a chunk's size is too long")
                break
            if not _SIZE.fullmatch(data, position, line_end):
                raise httputil.HTTPInputError(
                    f"{data[position:line_end]!r} is no size of a chunk"
                )
            self._chunk_left_bytes = int(data[position:line_end], 16)
            self._awaits_last_line = not self._chunk_left_bytes
            self.body_bytes += self._chunk_left_bytes
            position = line_end + len(_LINE_END)
        self.rest = data[position:]
        return b"".join(decoded)

    @property
    def undecoded(self) -> bool:
        """Whether further chunks may be decoded without further bytes."""
        return not self.ended and _LINE_END in self.rest


async def read(connection: ty.Any, delegate: ty.Any) -> None:
    """Read the chunked body of a request; replaces Tornado's reader.

    :param connection: Tornado's HTTP1Connection
    :raises HTTPInputError: if the body is malformed or too long
    """
    stream, chunk_bytes = connection.stream, connection.params.chunk_size
    decoder = ChunkDecoder()
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

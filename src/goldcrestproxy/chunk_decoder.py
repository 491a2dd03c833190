"""Decoder of chunked bodies, whatever the size of their chunks."""

from __future__ import annotations

import re
import typing as ty

import attrs
from tornado import httputil

# Chunks that are decoded before other connections get their turn.
CHUNKS_PER_TURN: ty.Final = 512
# A chunk's size in hexadecimal digits, and the end of the line.
_SIZE_LINE_BYTES_MAX: ty.Final = 64
_SIZE: ty.Final = re.compile(rb"([0-9a-fA-F]+)")
# With an extension, or the whitespace that may come before one.
_EXTENDED_SIZE_LINE_BYTES_MAX: ty.Final = 4096
_EXTENDED_SIZE: ty.Final = re.compile(
    rb"([0-9a-fA-F]{1,16})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?"
)
# Length of all trailers.
TRAILER_BYTES_MAX: ty.Final = 16 * 1024
_LINE_END: ty.Final = b"\r\n"


@attrs.define(kw_only=True)
class ChunkDecoder:
    """Decodes the chunks of one body (RFC 9112, section 7.1).

    With ``check_trailer``, extensions of chunks and trailers are dropped; it
    is called with each trailer and raises for a line that is none. Without it
    they are refused. ``rest`` holds what has been fed and not decoded, after
    the end what follows the body.
    """

    check_trailer: ty.Callable[[bytes], None] | None = None
    rest: bytes = b""
    ended: bool = False
    body_bytes: int = 0
    _chunk_left_bytes: int = 0
    # Whether the line end after the data of a chunk is still to come.
    _awaits_line_end: bool = False
    _awaits_last_line: bool = False
    _trailer_bytes: int = 0

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
            if self._awaits_last_line and self.check_trailer is not None:
                line = self._find_line(data, position, TRAILER_BYTES_MAX)
                if line is None:
                    break
                position += len(line) + len(_LINE_END)
                self._read_trailer(line, self.check_trailer)
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
            line = self._find_line(data, position, self._size_line_bytes_max)
            if line is None:
                break
            self._chunk_left_bytes = self._read_size(line)
            self._awaits_last_line = not self._chunk_left_bytes
            self.body_bytes += self._chunk_left_bytes
            position += len(line) + len(_LINE_END)
        self.rest = data[position:]
        return b"".join(decoded)

    @property
    def undecoded(self) -> bool:
        """Whether further chunks may be decoded without further bytes."""
        return not self.ended and _LINE_END in self.rest

    @property
    def _size_line_bytes_max(self) -> int:
        if self.check_trailer is None:
            return _SIZE_LINE_BYTES_MAX
        return _EXTENDED_SIZE_LINE_BYTES_MAX

    def _find_line(
        self, data: bytes, position: int, bytes_max: int
    ) -> bytes | None:
        """Return the line at a position, None if its end has not arrived."""
        line_end = data.find(_LINE_END, position, position + bytes_max)
        if line_end >= 0:
            return data[position:line_end]
        if len(data) - position >= bytes_max:
            raise httputil.HTTPInputError(
                f"a line of a chunk exceeds {bytes_max} bytes"
            )
        return None

    def _read_size(self, line: bytes) -> int:
        pattern = _SIZE if self.check_trailer is None else _EXTENDED_SIZE
        match = pattern.fullmatch(line)
        if match is None:
            raise httputil.HTTPInputError(
                f"{line[:_SIZE_LINE_BYTES_MAX]!r} is no size of a chunk"
            )
        return int(match.group(1), 16)

    def _read_trailer(
        self, line: bytes, check: ty.Callable[[bytes], None]
    ) -> None:
        """Check a trailer; an empty line is the end of the body."""
        self._trailer_bytes += len(line)
        if self._trailer_bytes > TRAILER_BYTES_MAX:
            raise httputil.HTTPInputError(
                f"the trailers exceed {TRAILER_BYTES_MAX} bytes"
            )
        if line:
            check(line)
        else:
            self.ended = True

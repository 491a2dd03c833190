"""The frames of the peer channel and their header.

A frame is a 9-byte header (payload length, kind, stream number, all big
endian) and its payload.
"""

from __future__ import annotations

import enum
import struct
import typing as ty

import attrs

from goldcrestproxy import errors

HEADER: ty.Final = struct.Struct(">IBI")
METHOD: ty.Final = struct.Struct(">H")
CREDIT: ty.Final = struct.Struct(">I")

FRAME_BYTES_MAX: ty.Final = 8 * 1024 * 1024
BODY_CHUNK_BYTES: ty.Final = 64 * 1024
PROTOCOL_VERSION: ty.Final = 1


class FrameKind(enum.IntEnum):
    """Type of a frame, as written to its header."""

    HELLO = 1
    HEARTBEAT = 2
    CALL = 3
    REPLY = 4
    FAILURE = 5
    OPEN = 6
    HEAD = 7
    BODY = 8
    END = 9
    CREDIT = 10
    CANCEL = 11


@attrs.frozen(slots=True)
class Frame:
    """A frame; stream 0 carries hellos and heartbeats."""

    kind: FrameKind
    stream: int
    payload: bytes


def pack(kind: FrameKind, stream: int, payload: bytes = b"") -> bytes:
    """Serialize a frame: its header and its payload.

    :raises FrameTooLargeError: for a payload that no peer accepts
    """
    if len(payload) > FRAME_BYTES_MAX:
        raise errors.FrameTooLargeError(
            f"frame of {len(payload)} bytes; at most {FRAME_BYTES_MAX} can "
            "be sent"
        )
    return HEADER.pack(len(payload), kind, stream) + payload


def read_credit(payload: bytes) -> int:
    """Return the number of further bytes that a credit frame allows.

    :raises MalformedFrameError: when the payload has a wrong size
    """
    if len(payload) != CREDIT.size:
        raise errors.MalformedFrameError(
            f"credit of {len(payload)} bytes; {CREDIT.size} expected"
        )
    return int(CREDIT.unpack(payload)[0])


class FrameReader:
    """Incremental parser that splits a byte stream into frames."""

    def __init__(self) -> None:
        """Create a reader with an empty buffer."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add received bytes and return the frames that are now complete.

        :raises MalformedFrameError: for a length above ``FRAME_BYTES_MAX``
            or an unknown kind
        """
        self._buffer += data
        frames: list[Frame] = []
        offset = 0
        while len(self._buffer) - offset >= HEADER.size:
            size, kind, stream = HEADER.unpack_from(self._buffer, offset)
            self._check(size, kind)
            end = offset + HEADER.size + size
            if end > len(self._buffer):
                break
            payload = bytes(self._buffer[offset + HEADER.size : end])
            frames.append(Frame(FrameKind(kind), stream, payload))
            offset = end
        del self._buffer[:offset]
        return frames

    def _check(self, size: int, kind: int) -> None:
        if size > FRAME_BYTES_MAX:
            raise errors.MalformedFrameError(
                f"frame of {size} bytes; at most {FRAME_BYTES_MAX} expected"
            )
        if kind not in FrameKind._value2member_map_:
            raise errors.MalformedFrameError(
                f"frame kind {kind}; 1 to {max(FrameKind)} expected"
            )

"""What tells the body of a request from other bodies."""

from __future__ import annotations

import typing as ty

import attrs
import xxhash

SHORT_BODY_BYTES_MAX: ty.Final = 64 * 1024
# Bodies that begin with the same bytes, this many, count as equal: a request
# is held back until its body is identified, so these bytes are buffered.
IDENTIFYING_BYTES_MAX: ty.Final = 512 * 1024


@attrs.frozen
class Unread:
    """Too little of a body has been read to tell it from others.

    ``is_long`` is whether it is known to exceed ``SHORT_BODY_BYTES_MAX``.
    """

    is_long: bool


@attrs.frozen
class NoBody:
    """The request has no body, or an empty one."""


@attrs.frozen
class ShortBody:
    """A body up to ``SHORT_BODY_BYTES_MAX``; ``digest`` is hexadecimal."""

    digest: str


@attrs.frozen
class LongBody:
    """A longer body; ``digest`` is hexadecimal.

    It is the digest of the first ``IDENTIFYING_BYTES_MAX`` bytes.
    """

    digest: str


BodyIdentity = Unread | NoBody | ShortBody | LongBody


class BodyHash:
    """Computes a body's identity from its chunks, however it is framed."""

    def __init__(self) -> None:
        """Start before the first chunk."""
        # XXH3 with 128 bits.
        self._hash = xxhash.xxh3_128()
        self._hashed_bytes = 0

    def update(self, chunk: bytes) -> None:
        """Add the next chunk."""
        left_bytes = IDENTIFYING_BYTES_MAX - self._hashed_bytes
        if left_bytes > 0:
            self._hash.update(chunk[:left_bytes])
            self._hashed_bytes += min(left_bytes, len(chunk))

    def identity(self, *, ended: bool) -> BodyIdentity:
        """Return the identity of a body, as far as it is known.

        :param ended: whether all chunks were added
        """
        if not ended and self._hashed_bytes < IDENTIFYING_BYTES_MAX:
            return Unread(self._hashed_bytes > SHORT_BODY_BYTES_MAX)
        if not self._hashed_bytes:
            return NoBody()
        digest = self._hash.hexdigest()
        if self._hashed_bytes <= SHORT_BODY_BYTES_MAX:
            return ShortBody(digest)
        return LongBody(digest)

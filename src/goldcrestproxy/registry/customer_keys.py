"""Digests of the keys by which customers are known."""

from __future__ import annotations

import hashlib
import typing as ty

DIGEST_BYTES: ty.Final = 16


def digest(key: str) -> str:
    """Return the digest of a key, in hexadecimal.

    BLAKE2b (RFC 7693). Keys are random and long, so no salt is needed.
    """
    return hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).hexdigest()

"""Fingerprints, equal for repetitions of a request."""

from __future__ import annotations

import xxhash

from goldcrestproxy import wire


def body_digest(body: bytes) -> str:
    """Return the XXH3-128 digest of a whole body as hexadecimal digits."""
    return xxhash.xxh3_128_hexdigest(body)


def of_parts(
    customer: str, desk: str, method: str, path: str, digest: str
) -> str:
    """Return the fingerprint of a request as hexadecimal digits.

    :param digest: the digest of the body, or its length in bytes
    """
    text = "\0".join((customer, desk, method, path, digest))
    return xxhash.xxh3_128_hexdigest(text.encode())


def of_relayed(request: wire.ttypes.RelayRequest) -> str:
    """Return the fingerprint of a relayed request.

    It equals the one computed by the entry host that sent the request.
    """
    digest = request.body_digest or str(request.body_bytes)
    return of_parts(
        request.customer, request.desk, request.method, request.path, digest
    )

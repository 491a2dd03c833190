"""Fingerprints, equal for repetitions of a request.

A repetition may come from another address, at another host, and with its
body framed in another way, so none of these enters into a fingerprint.
"""

from __future__ import annotations

import typing as ty

import xxhash

from goldcrestproxy import wire

# Longer bodies are not part of fingerprints.
DIGESTED_BYTES_MAX: ty.Final = 64 * 1024


def body_digest(body: bytes) -> str:
    """Return the XXH3-128 digest of a whole body as hexadecimal digits.

    Empty for an empty or long body.
    """
    if not 0 < len(body) <= DIGESTED_BYTES_MAX:
        return ""
    return xxhash.xxh3_128_hexdigest(body)


def of_parts(
    customer: str, scope: str, method: str, path: str, digest: str
) -> str:
    """Return the fingerprint of a request as hexadecimal digits.

    :param customer: the customer, or the key of a request to a fleet
    :param scope: the desk, or the host name in the request
    :param digest: the digest of the body
    """
    text = "\0".join((customer, scope, method, path, digest))
    return xxhash.xxh3_128_hexdigest(text.encode())


def of_relayed(request: wire.ttypes.RelayRequest) -> str:
    """Return the fingerprint of a relayed request.

    It equals the one computed by the entry host that sent the request.
    """
    return of_parts(
        request.customer,
        request.desk,
        request.method,
        request.path,
        request.body_digest,
    )

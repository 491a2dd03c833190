"""Fingerprints, equal for repetitions of a request.

A repetition may come from another address, at another host, and with its
body framed in another way, so none of these enters into a fingerprint.
"""

from __future__ import annotations

import typing as ty

import xxhash

from goldcrestproxy.entries import body_identity
from goldcrestproxy import wire

# Stands for the digest of a body that is not identified.
UNREAD_DIGEST: ty.Final = "unread"
# Leading digits shared by requests that differ in long bodies only. A host
# sees by them which long bodies it has to read before it sends any byte.
FAMILY_DIGITS: ty.Final = 16


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


def family(bodiless: str) -> str:
    """Return the start of the fingerprints of requests with long bodies.

    :param bodiless: the fingerprint of the same request without a body
    """
    return bodiless[:FAMILY_DIGITS]


def of_long_body(bodiless: str, digest: str) -> str:
    """Return the fingerprint of a request with a long body.

    :param bodiless: the fingerprint of the same request without a body
    :param digest: the digest of the body
    """
    text = f"{bodiless}\0{digest}"
    return family(bodiless) + xxhash.xxh3_64_hexdigest(text.encode())


def digest_of(identity: body_identity.BodyIdentity) -> str:
    """Return a body's part of the fingerprint of a relayed request."""
    match identity:
        case body_identity.Unread():
            return UNREAD_DIGEST
        case body_identity.NoBody():
            return ""
        case body_identity.ShortBody(digest=digest):
            return digest
        case body_identity.LongBody(digest=digest):
            return digest


def of_relayed(request: wire.ttypes.RelayRequest) -> str | None:
    """Return the fingerprint of a relayed request.

    It equals the one computed by the entry host that sent the request. None
    if its body is not identified; earlier builds leave the digests of long
    bodies empty.
    """
    digest = request.body_digest
    is_long = request.body_bytes > body_identity.SHORT_BODY_BYTES_MAX
    if digest == UNREAD_DIGEST or (is_long and not digest):
        return None
    return of_parts(
        request.customer,
        request.desk,
        request.method,
        request.path,
        digest,
    )

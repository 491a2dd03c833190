"""HTTP headers exchanged with callers, and their validation."""

from __future__ import annotations

import re
import sys
import typing as ty
import uuid

from tornado import httputil

from goldcrestproxy import results

REQUEST_ID: ty.Final = "Goldcrest-Request-Id"
RESULT: ty.Final = "Goldcrest-Result"
OUTCOME: ty.Final = "Goldcrest-Outcome"
DEADLINE_MS: ty.Final = "Goldcrest-Deadline-Ms"
IDEMPOTENCY_KEY: ty.Final = "Idempotency-Key"
TRACE_PARENT: ty.Final = "Traceparent"

IDEMPOTENCY_KEY_BYTES_MAX: ty.Final = 255
DEADLINE_MS_MAX: ty.Final = 3_600_000
LENGTH_DIGITS_MAX: ty.Final = 20

_REQUEST_ID: ty.Final = re.compile(r"[A-Za-z0-9._:-]+")
# Set by goldcrestproxy only; the target would misinterpret a caller's values.
_RESERVED_PREFIX: ty.Final = "goldcrest-"


def request_id(headers: httputil.HTTPHeaders, bytes_max: int) -> str:
    """Return the caller's request id, or a new one if it has none.

    :raises RefusedError: if the caller's request id is invalid
    """
    value = headers.get(REQUEST_ID)
    if value is None:
        return uuid.uuid4().hex
    if len(value) > bytes_max or not _REQUEST_ID.fullmatch(value):
        raise results.refusal(
            results.BAD_REQUEST,
            f"{REQUEST_ID} has {len(value)} characters; 1 to {bytes_max} "
            "letters, digits, '.', '_', ':' and '-' are allowed",
        )
    return value


def deadline_ms(headers: httputil.HTTPHeaders) -> int | None:
    """Return the caller's remaining time, or None without the header.

    :raises RefusedError: if the value is not an integer from 1 to
        ``DEADLINE_MS_MAX``
    """
    value = headers.get(DEADLINE_MS)
    if value is None:
        return None
    if (
        not (value.isascii() and value.isdecimal())
        or len(value) > LENGTH_DIGITS_MAX
        or not 1 <= int(value) <= DEADLINE_MS_MAX
    ):
        raise results.refusal(
            results.BAD_DEADLINE,
            f"{DEADLINE_MS} is {value[:32]!r}; 1 to {DEADLINE_MS_MAX} is "
            "allowed",
        )
    return int(value)


def idempotency_key(headers: httputil.HTTPHeaders) -> str:
    """Return the caller's idempotency key, or an empty string.

    :raises RefusedError: if it exceeds ``IDEMPOTENCY_KEY_BYTES_MAX``
    """
    value = headers.get(IDEMPOTENCY_KEY, "")
    if len(value.encode()) > IDEMPOTENCY_KEY_BYTES_MAX:
        raise results.refusal(
            results.BAD_REQUEST,
            f"{IDEMPOTENCY_KEY} has {len(value.encode())} bytes; at most "
            f"{IDEMPOTENCY_KEY_BYTES_MAX} are allowed",
        )
    return value


def body_bytes(headers: httputil.HTTPHeaders) -> int:
    """Return the length of the body, -1 if chunked."""
    if "chunked" in headers.get("Transfer-Encoding", "").lower():
        return -1
    length = headers.get("Content-Length", "0")
    if not length.isdecimal():
        return 0
    return int(length) if len(length) <= LENGTH_DIGITS_MAX else sys.maxsize


def forwarded_headers(
    headers: httputil.HTTPHeaders,
) -> tuple[tuple[str, str], ...]:
    """Return the headers to forward to the target."""
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if not name.lower().startswith(_RESERVED_PREFIX)
    )

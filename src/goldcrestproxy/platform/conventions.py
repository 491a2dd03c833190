"""HTTP headers exchanged with callers and targets of the platform."""

from __future__ import annotations

import re
import typing as ty

from tornado import httputil

from goldcrestproxy.routing import target_choice
from goldcrestproxy import targets

REQUEST_ID: ty.Final = "Attempt-Id"
DEADLINE_MS: ty.Final = "Deadline-Ms"
KEY: ty.Final = "Shard-Key"
# The key of a customer, from callers; the customer's name, to targets.
CUSTOMER_KEY: ty.Final = "Credential"
CUSTOMER: ty.Final = "Tenant"
RETRY_AFTER: ty.Final = "Retry-After"
EXPECTED_TARGET: ty.Final = "Target-Instance"
NOT_RUN: ty.Final = "Not-Executed"
LOAD: ty.Final = "Server-Load"
LIMIT: ty.Final = "Server-Limit"
LEAVING: ty.Final = "Server-Leaving"
# Status with which a target rejects a request because it does not own the
# key or is not the expected target.
STATUS_MISDIRECTED: ty.Final = 421
STATUS_TURNED_AWAY: ty.Final = 503
SLOWDOWN_PERCENT_DEFAULT: ty.Final = 100

_HOP_BY_HOP_HEADERS: ty.Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_REPLACED_HEADERS: ty.Final = frozenset(
    {DEADLINE_MS.lower(), EXPECTED_TARGET.lower()}
)
_IDENTITY_HEADERS: ty.Final = frozenset(
    {CUSTOMER_KEY.lower(), CUSTOMER.lower()}
)
# libcurl adds these headers unless the request sets them.
_CURL_DEFAULT_HEADERS: ty.Final = ("Accept", "User-Agent")
_LOAD_PATTERN: ty.Final = re.compile(
    r"\s*(\d{1,9}),(\d{1,9}),(\d{1,9})(?:,(\d{1,9}))?\s*"
)
_NUMBER_PATTERN: ty.Final = re.compile(r"\s*(\d{1,9}(?:\.\d{0,9})?)\s*")


class PlatformHeaders:
    """Header conventions of the platform; see ``HeaderConventions``."""

    request_id_header = REQUEST_ID
    deadline_header = DEADLINE_MS

    def request_headers(
        self,
        headers: ty.Sequence[tuple[str, str]],
        *,
        target: str,
        left_ms: int,
    ) -> dict[str, str]:
        """Return the headers of a request as sent to a target.

        :param left_ms: time until the caller's deadline
        """
        forwarded: dict[str, str] = dict.fromkeys(_CURL_DEFAULT_HEADERS, "")
        for name, value in headers:
            if name.lower() in _REPLACED_HEADERS:
                continue
            previous = forwarded.get(name)
            forwarded[name] = f"{previous},{value}" if previous else value
        forwarded[DEADLINE_MS] = str(left_ms)
        forwarded[EXPECTED_TARGET] = target
        return forwarded

    def read_metadata(
        self, status: int, headers: httputil.HTTPHeaders
    ) -> targets.AnswerMetadata:
        """Return the metadata in the status and headers of an answer."""
        misdirected = status == STATUS_MISDIRECTED
        return targets.AnswerMetadata(
            not_run=misdirected or NOT_RUN in headers,
            misdirected=misdirected,
            load=read_load(headers.get(LOAD, "")),
            limit_per_s=read_number(headers.get(LIMIT, "")),
            leaving=headers.get(LEAVING, "").strip() == "1",
            rest_ms=read_rest_ms(status, headers.get(RETRY_AFTER, "")),
        )

    def caller_headers(
        self, headers: httputil.HTTPHeaders
    ) -> tuple[tuple[str, str], ...]:
        """Return the answer headers that are forwarded to the caller."""
        return end_to_end_headers(headers)


def end_to_end_headers(
    headers: httputil.HTTPHeaders,
) -> tuple[tuple[str, str], ...]:
    """Return the headers without the hop-by-hop ones (RFC 9110, 7.6.1)."""
    connection_options = {
        name.strip().lower()
        for name in headers.get("Connection", "").split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in _HOP_BY_HOP_HEADERS
        and name.lower() not in connection_options
    )


def identified_headers(
    headers: ty.Sequence[tuple[str, str]], customer: str | None
) -> tuple[tuple[str, str], ...]:
    """Return the headers of a request whose caller is identified.

    The key is left out, and the customer is named whatever the caller sent.

    :param customer: empty for callers that are no customers, None where no
        customers are configured and nothing is changed
    """
    if customer is None:
        return tuple(headers)
    kept = [
        (name, value)
        for name, value in headers
        if name.lower() not in _IDENTITY_HEADERS
    ]
    if customer:
        kept.append((CUSTOMER, customer))
    return tuple(kept)


def read_number(value: str) -> float | None:
    """Return a number that is not negative, None if malformed."""
    match = _NUMBER_PATTERN.fullmatch(value)
    return None if match is None else float(match.group(1))


def read_rest_ms(status: int, value: str) -> float:
    """Return how long a target wants no requests from this host.

    Only seconds are read, with fractions; dates and malformed values count
    as no rest.

    :param value: of the header ``Retry-After``, empty without one
    """
    if status != STATUS_TURNED_AWAY:
        return 0.0
    return (read_number(value) or 0.0) * 1000


def read_load(value: str) -> target_choice.LoadReport | None:
    """Return a target's load report, or None if missing or malformed."""
    match = _LOAD_PATTERN.fullmatch(value)
    if match is None:
        return None
    running, waiting, slots, slowdown_percent = match.groups()
    return target_choice.LoadReport(
        running=int(running),
        waiting=int(waiting),
        slots=max(1, int(slots)),
        slowdown=int(slowdown_percent or SLOWDOWN_PERCENT_DEFAULT)
        / SLOWDOWN_PERCENT_DEFAULT,
    )

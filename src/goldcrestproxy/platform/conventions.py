"""Header names between callers, this system and targets."""

from __future__ import annotations

import re
import typing as ty

from tornado import httputil

from goldcrestproxy.routing import target_choice
from goldcrestproxy import targets

REQUEST_ID: ty.Final = "Attempt-Id"
DEADLINE_MS: ty.Final = "Deadline-Ms"
KEY: ty.Final = "Shard-Key"
RETRY_AFTER: ty.Final = "Retry-After"
EXPECTED_TARGET: ty.Final = "Target-Instance"
NOT_RUN: ty.Final = "Not-Executed"
LOAD: ty.Final = "Server-Load"
# The status by which a target says that it does not own a key, or is
# another target than expected.
STATUS_MISDIRECTED: ty.Final = 421
PACE_PERCENT_DEFAULT: ty.Final = 100

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
# libcurl adds these unless they are given.
_CURL_DEFAULT_HEADERS: ty.Final = ("Accept", "User-Agent")
_LOAD_PATTERN: ty.Final = re.compile(r"\s*(\d+),(\d+),(\d+)(?:,(\d+))?\s*")


class PlatformHeaders:
    """Marks requests for targets and reads the marks of their answers."""

    request_id_header = REQUEST_ID

    def request_headers(
        self,
        headers: ty.Sequence[tuple[str, str]],
        *,
        target: str,
        left_ms: int,
    ) -> dict[str, str]:
        """Return the headers of a request as a target gets it.

        :param left_ms: what is left of the caller's time
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
        """Return what an answer says besides its status."""
        misdirected = status == STATUS_MISDIRECTED
        return targets.AnswerMetadata(
            not_run=misdirected or NOT_RUN in headers,
            misdirected=misdirected,
            load=read_load(headers.get(LOAD, "")),
        )

    def caller_headers(
        self, headers: httputil.HTTPHeaders
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers of an answer that its caller gets."""
        return end_to_end_headers(headers)


def end_to_end_headers(
    headers: httputil.HTTPHeaders,
) -> tuple[tuple[str, str], ...]:
    """Return the headers that concern more than one connection."""
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


def read_load(value: str) -> target_choice.LoadReport | None:
    """Return a target's load report, None when there is no readable one."""
    match = _LOAD_PATTERN.fullmatch(value)
    if match is None:
        return None
    running, waiting, slots, pace = match.groups()
    return target_choice.LoadReport(
        running=int(running),
        waiting=int(waiting),
        slots=max(1, int(slots)),
        pace=int(pace or PACE_PERCENT_DEFAULT) / PACE_PERCENT_DEFAULT,
    )

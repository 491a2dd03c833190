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
MISDIRECTED: ty.Final = 421
USUAL_PACE: ty.Final = 100

_ONE_CONNECTION: ty.Final = frozenset(
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
_SET_HERE: ty.Final = frozenset({DEADLINE_MS.lower(), EXPECTED_TARGET.lower()})
# libcurl adds these unless they are given.
_CURL_ADDS: ty.Final = ("Accept", "User-Agent")
_LOAD: ty.Final = re.compile(r"\s*(\d+),(\d+),(\d+)(?:,(\d+))?\s*")


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
        passed: dict[str, str] = dict.fromkeys(_CURL_ADDS, "")
        for name, value in headers:
            if name.lower() in _SET_HERE:
                continue
            before = passed.get(name)
            passed[name] = f"{before},{value}" if before else value
        passed[DEADLINE_MS] = str(left_ms)
        passed[EXPECTED_TARGET] = target
        return passed

    def read_metadata(
        self, status: int, headers: httputil.HTTPHeaders
    ) -> targets.AnswerMetadata:
        """Return what an answer says besides its status."""
        misdirected = status == MISDIRECTED
        return targets.AnswerMetadata(
            not_run=misdirected or NOT_RUN in headers,
            misdirected=misdirected,
            load=read_load(headers.get(LOAD, "")),
        )

    def caller_headers(
        self, headers: httputil.HTTPHeaders
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers of an answer that its caller gets."""
        return passed_on(headers)


def passed_on(headers: httputil.HTTPHeaders) -> tuple[tuple[str, str], ...]:
    """Return the headers that concern more than one connection."""
    named = {
        name.strip().lower()
        for name in headers.get("Connection", "").split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers.get_all()
        if name.lower() not in _ONE_CONNECTION and name.lower() not in named
    )


def read_load(value: str) -> target_choice.LoadReport | None:
    """Return a target's load report, None when there is no readable one."""
    found = _LOAD.fullmatch(value)
    if found is None:
        return None
    running, waiting, slots, pace = found.groups()
    return target_choice.LoadReport(
        running=int(running),
        waiting=int(waiting),
        slots=max(1, int(slots)),
        pace=int(pace or USUAL_PACE) / USUAL_PACE,
    )

"""Interface to the header conventions of a fleet's targets.

The implementation supplies the header names of the targets' protocol.
"""

from __future__ import annotations

import typing as ty

import attrs
from tornado import httputil

from goldcrestproxy.routing import target_choice


class HeaderConventions(ty.Protocol):
    """Builds request headers and reads answer headers of targets."""

    request_id_header: str
    deadline_header: str

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

    def read_metadata(
        self, status: int, headers: httputil.HTTPHeaders
    ) -> AnswerMetadata:
        """Return the metadata in the status and headers of an answer."""

    def caller_headers(
        self, headers: httputil.HTTPHeaders
    ) -> tuple[tuple[str, str], ...]:
        """Return the answer headers that are forwarded to the caller."""


@attrs.frozen(kw_only=True)
class AnswerMetadata:
    """What the status and headers of a target's answer state.

    ``not_run`` guarantees that the target has not run the request and will
    not run it. ``misdirected`` means that the target does not own the key or
    is not the expected target. ``limit_per_s`` is the rate of requests that
    the target takes from all hosts together, None if it names none.
    ``rest_ms`` is how long it wants no requests from this host, 0 if it does
    not say so. ``leaving`` means that it stops soon and wants no new work.
    """

    not_run: bool
    misdirected: bool
    load: target_choice.LoadReport | None
    limit_per_s: float | None = None
    rest_ms: float = 0.0
    leaving: bool = False

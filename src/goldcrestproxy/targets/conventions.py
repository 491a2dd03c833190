"""How requests and answers of a fleet's targets are marked.

The names of the headers come from whoever knows the targets' protocol.
"""

from __future__ import annotations

import typing as ty

import attrs
from tornado import httputil

from goldcrestproxy.routing import target_choice


class HeaderConventions(ty.Protocol):
    """Reads what a target's answer says besides its status."""

    request_id_header: str

    def request_headers(
        self,
        headers: ty.Sequence[tuple[str, str]],
        *,
        target: str,
        left_ms: int,
    ) -> dict[str, str]:
        """Return the headers of a request as a target gets it."""

    def read_metadata(
        self, status: int, headers: httputil.HTTPHeaders
    ) -> AnswerMetadata:
        """Return what an answer says."""

    def caller_headers(
        self, headers: httputil.HTTPHeaders
    ) -> tuple[tuple[str, str], ...]:
        """Return the headers of an answer that its caller gets."""


@attrs.frozen(kw_only=True)
class AnswerMetadata:
    """What a target's answer says besides its status.

    ``not_run`` is a promise: the target did not and will not run it.
    """

    not_run: bool
    misdirected: bool
    load: target_choice.LoadReport | None

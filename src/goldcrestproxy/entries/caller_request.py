"""A caller's request and its answer, independent of the HTTP server."""

from __future__ import annotations

import attrs

from goldcrestproxy import results
from goldcrestproxy import wire


@attrs.frozen(kw_only=True)
class CallerRequest:
    """A caller's request.

    ``request_target`` is the path with the query, as in the request line.
    ``body_bytes`` is -1 when the length is unknown and 0 without a body.
    """

    request_id: str
    method: str
    request_target: str
    headers: tuple[tuple[str, str], ...]
    body: wire.Pipe | None
    body_bytes: int
    idempotency_key: str = ""
    deadline_ms: int | None = None
    trace_parent: str = ""


@attrs.frozen(kw_only=True)
class RoutedAnswer:
    """A target's answer, whose body may still be arriving.

    ``whole_body`` is set when a short body has been read completely.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: wire.Pipe
    body_bytes: int
    target: str = ""
    code: int = results.ANSWERED
    whole_body: bytes | None = None

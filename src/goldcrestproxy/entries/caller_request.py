"""A caller's request and its answer, free of HTTP machinery."""

from __future__ import annotations

import attrs

from goldcrestproxy import results
from goldcrestproxy import wire


@attrs.frozen(kw_only=True)
class CallerRequest:
    """What a caller asked for.

    ``body_bytes`` is -1 when the length is not known, 0 for no body.
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
    """The target's answer; its body may still be arriving."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: wire.Pipe
    body_bytes: int
    target: str = ""
    code: int = results.ANSWERED
    whole_body: bytes | None = None

"""Headers and heads of requests to targets and of their answers."""

from __future__ import annotations

import typing as ty

from goldcrestproxy import control
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy import targets
from goldcrestproxy.targets import protocol
from goldcrestproxy import wire

_NOT_FORWARDED: ty.Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def request_headers(
    request: wire.ttypes.RelayRequest,
    owned: targets.OwnedSlot | None,
    supports: control.Supports,
    left_ms: int,
) -> dict[str, str]:
    """Return the headers of a request to a target.

    :param owned: the slot of a keyed request
    :param left_ms: time until the deadline
    """
    headers: dict[str, str] = {}
    for header in request.headers:
        if header.name.lower() in _NOT_FORWARDED:
            continue
        previous = headers.get(header.name)
        headers[header.name] = (
            header.value if previous is None else f"{previous}, {header.value}"
        )
    headers[protocol.REQUEST_ID] = request.request_id
    if owned is not None:
        headers[protocol.SLOT] = protocol.slot_name(owned.slot)
        headers[protocol.FENCING_TOKEN] = str(owned.token)
    if supports.deadlines:
        headers[protocol.DEADLINE_MS] = str(left_ms)
    if request.trace_parent:
        headers[protocol.TRACE_PARENT] = request.trace_parent
    return headers


def answer_head(
    head: targets.AnswerHead,
    body_bytes: int,
    *,
    map_index: int,
    backlog_requests: int,
) -> wire.ttypes.RelayResponse:
    """Return the head of a target's answer for the entry host.

    :param body_bytes: length of the body, -1 when it is chunked
    :param map_index: index of the state applied at the coordinator
    """
    return wire.ttypes.RelayResponse(
        code=results.ANSWERED,
        status=head.status,
        headers=[
            wire.ttypes.Header(name=name, value=value)
            for name, value in head.headers.get_all()
            if name.lower() not in _NOT_FORWARDED
        ],
        body_bytes=body_bytes,
        text="",
        map_index=map_index,
        retry_after_ms=0,
        backlog_requests=backlog_requests,
    )


def refusal_head(
    error: errors.RefusedError, *, map_index: int
) -> wire.ttypes.RelayResponse:
    """Return the response to an exchange that is refused.

    :param map_index: index of the replicated state here, 0 if it is no reason
    """
    return wire.ttypes.RelayResponse(
        code=error.code,
        status=0,
        headers=[],
        body_bytes=0,
        text=error.text,
        map_index=map_index,
        retry_after_ms=error.retry_after_ms,
        backlog_requests=0,
    )


def refusal_of(head: wire.ttypes.RelayResponse) -> errors.RefusedError:
    """Return the refusal in the response to an exchange."""
    code = head.code if head.code in results.BY_CODE else results.INTERNAL
    return results.refusal(code, head.text, head.retry_after_ms or 0)

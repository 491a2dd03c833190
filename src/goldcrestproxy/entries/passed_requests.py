"""Requests that other entry hosts have passed on to this one."""

from __future__ import annotations

import asyncio
import logging
import typing as ty

from goldcrestproxy.entries import fleet_request
from goldcrestproxy.entries import relay_headers
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

# Values on the wire of a missing key, and of a body length that is not known.
_NO_KEY: ty.Final = -1
_NO_LENGTH: ty.Final = -2


class Gate(ty.Protocol):
    """Counts requests in flight, or refuses them during a stop."""

    def enter(self) -> None:
        """Count a request."""

    def leave(self) -> None:
        """Count a request as completed."""


class Dispatcher(ty.Protocol):
    """Sends a request to a target."""

    async def dispatch_passed(
        self, request: fleet_request.FleetRequest, service: str
    ) -> fleet_request.FleetAnswer:
        """Return the answer to a request that another host passed on."""


class PassedRequests:
    """Serves the requests of entry hosts that do not reach the target."""

    def __init__(self, dispatcher: Dispatcher, gate: Gate) -> None:
        """Serve with a dispatcher; ``gate`` counts what is in flight."""
        self._dispatcher = dispatcher
        self._gate = gate

    async def serve(self, exchange: wire.Exchange) -> None:
        """Answer an exchange that another entry host has opened."""
        try:
            self._gate.enter()
        except errors.RefusedError as error:
            _refuse(exchange, error)
            return
        try:
            await self._serve(exchange)
        finally:
            self._gate.leave()

    async def _serve(self, exchange: wire.Exchange) -> None:
        work = self._dispatcher.dispatch_passed(
            decode(exchange), exchange.request.desk
        )
        try:
            answer = await _run_until_cancelled(exchange, work)
        except errors.RefusedError as error:
            _refuse(exchange, error)
            return
        except Exception as error:
            LOG.exception(
                "entries: request %s failed", exchange.request.request_id
            )
            exchange.fail(errors.GoldcrestProxyError(str(error)))
            return
        if answer is None:
            return
        # Otherwise an answer that nobody reads would wait for room.
        exchange.on_cancel(
            lambda: exchange.response_body.fail(
                errors.WireError("the other entry host cancelled the request")
            )
        )
        exchange.set_response(_encode_head(answer))
        try:
            if answer.body:
                await exchange.response_body.put(answer.body)
            if answer.remaining_body is not None:
                while chunk := await answer.remaining_body.read():
                    await exchange.response_body.put(chunk)
            exchange.response_body.finish()
        except errors.GoldcrestProxyError as error:
            exchange.response_body.fail(error)
        finally:
            if answer.cancel is not None and exchange.cancelled:
                answer.cancel()


async def _run_until_cancelled(
    exchange: wire.Exchange,
    work: ty.Coroutine[ty.Any, ty.Any, fleet_request.FleetAnswer],
) -> fleet_request.FleetAnswer | None:
    """Run a request; return None if the other host cancelled it."""
    task = asyncio.ensure_future(work)
    exchange.on_cancel(task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        if exchange.cancelled:
            return None
        raise


def encode(
    request: fleet_request.FleetRequest, service: str, *, left_ms: int
) -> wire.ttypes.RelayRequest:
    """Return a request as it is passed on to another entry host.

    :param service: the service that this host chose for it
    :param left_ms: time until the caller's deadline
    """
    return wire.ttypes.RelayRequest(
        request_id=request.request_id,
        customer=request.customer or "",
        desk=service,
        method=request.method,
        path=request.request_target,
        headers=[
            wire.ttypes.Header(name=name, value=value)
            for name, value in request.headers
        ],
        target="",
        key_hash=_NO_KEY if request.key is None else request.key,
        deadline_ms=left_ms,
        idempotent=False,
        body_bytes=request.body_bytes,
        trace_parent="",
        idempotency_key="",
        operation="",
        body_digest="",
        caller_host=request.host,
        caller_address=request.caller,
    )


def decode(exchange: wire.Exchange) -> fleet_request.FleetRequest:
    """Return the request of an exchange that another host has opened."""
    request = exchange.request
    return fleet_request.FleetRequest(
        request_id=request.request_id,
        method=request.method,
        host=request.caller_host or "",
        request_target=request.path,
        headers=tuple((item.name, item.value) for item in request.headers),
        key=None if request.key_hash == _NO_KEY else request.key_hash,
        body=exchange.request_body if request.body_bytes else None,
        body_bytes=request.body_bytes,
        deadline_ms=request.deadline_ms,
        caller=request.caller_address or "",
        passed_on=True,
        customer=request.customer or None,
    )


def _encode_head(
    answer: fleet_request.FleetAnswer,
) -> wire.ttypes.RelayResponse:
    length = answer.body_bytes
    return wire.ttypes.RelayResponse(
        code=results.ANSWERED,
        status=answer.status,
        headers=[
            wire.ttypes.Header(name=name, value=value)
            for name, value in answer.headers
        ],
        body_bytes=_NO_LENGTH if length is None else length,
        text="",
        map_index=0,
        retry_after_ms=0,
        backlog_requests=0,
    )


def decode_answer(
    head: wire.ttypes.RelayResponse,
    body: bytes,
    remaining_body: wire.Pipe | None,
    cancel: ty.Callable[[], None],
) -> fleet_request.FleetAnswer:
    """Return the answer that another host has received from a target."""
    return fleet_request.FleetAnswer(
        status=head.status,
        headers=tuple((item.name, item.value) for item in head.headers),
        body=body,
        remaining_body=remaining_body,
        body_bytes=None if head.body_bytes == _NO_LENGTH else head.body_bytes,
        cancel=cancel,
    )


def _refuse(exchange: wire.Exchange, error: errors.RefusedError) -> None:
    if error.code == results.STATE_BEHIND:
        # Earlier builds take an unknown code for one that may have run.
        error = results.refusal(
            results.NO_CONFIGURATION, error.text, error.retry_after_ms
        )
    exchange.set_response(relay_headers.refusal_head(error, map_index=0))
    exchange.response_body.finish()

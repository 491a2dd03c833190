"""HTTP of the platform's callers."""

from __future__ import annotations

import asyncio
import logging
import typing as ty

from tornado import web

from goldcrestproxy import callers
from goldcrestproxy import entries
from goldcrestproxy import errors
from goldcrestproxy.platform import conventions
from goldcrestproxy import registry
from goldcrestproxy import results
from goldcrestproxy import telemetry
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

BODY_BYTES_MAX: ty.Final = 1 << 30


class IngressHandler(callers.StreamingHandler):
    """Passes one request on and its answer back."""

    def initialize(
        self,
        dispatcher: entries.Dispatcher,
        gate: callers.Gate,
        metrics: telemetry.Metrics,
    ) -> None:
        """Share the parts of the daemon."""
        self._metrics = metrics
        self._dispatcher = dispatcher
        self._gate = gate
        self._body: wire.Pipe | None = None
        self._work: asyncio.Task[entries.FleetAnswer] | None = None
        self._answer: entries.FleetAnswer | None = None
        self._entered = False

    def prepare(self) -> None:
        """Classify the request and start to dispatch it."""
        try:
            self._gate.enter()
            self._entered = True
            request = self._read_head()
            found = self._dispatcher.find_route(request)
        except errors.RefusedError as error:
            self._refuse(error)
            self.finish()
            return
        self._work = asyncio.create_task(
            self._dispatcher.dispatch(request, found)
        )

    async def _serve(self) -> None:
        if self._work is None:
            return
        if self._body is not None:
            self._body.finish()
        try:
            self._answer = await self._work
        except errors.RefusedError as error:
            self._refuse(error)
            return
        except asyncio.CancelledError:
            # The caller has left, or the process ends. What is finished
            # after this must not reach the caller as an empty success.
            self.cut()
            return
        except Exception as error:
            LOG.exception("platform: request failed")
            self._refuse(results.refusal(results.INTERNAL, str(error)))
            return
        await self._pass_back(self._answer)
        if not self._gate.ready:
            await self._close_after_answer()

    async def _close_after_answer(self) -> None:
        """Send the answer and close, so that the caller connects anew."""
        if not self._finished:
            await self.finish()
        self.cut()

    get = post = put = patch = delete = head = options = _serve  # type: ignore

    def on_connection_close(self) -> None:
        """Give up what nobody waits for."""
        if self._body is not None and not self._body.ended:
            self._body.fail(
                results.refusal(
                    results.BODY_INCOMPLETE, "the caller closed the connection"
                )
            )
        if self._work is not None:
            self._work.cancel()
        if self._answer is not None and self._answer.cancel is not None:
            self._answer.cancel()
        self._leave()

    def on_finish(self) -> None:
        """Count the request as over."""
        self._leave()

    def _leave(self) -> None:
        if self._entered:
            self._entered = False
            self._gate.leave()

    def _read_head(self) -> entries.FleetRequest:
        given = self.request.headers
        connection = ty.cast(ty.Any, self.request.connection)
        connection.set_max_body_size(BODY_BYTES_MAX)
        body_bytes = callers.body_bytes(given)
        self._body = wire.Pipe() if body_bytes else None
        return entries.FleetRequest(
            request_id=given.get(conventions.REQUEST_ID, ""),
            method=ty.cast(str, self.request.method),
            host=given.get("Host", "").rpartition(":")[0]
            or given.get("Host", ""),
            request_target=self.request.uri or "",
            headers=conventions.passed_on(given),
            key=self._whole(conventions.KEY, registry.KEYS - 1),
            body=self._body,
            body_bytes=body_bytes,
            deadline_ms=self._whole(conventions.DEADLINE_MS, 1 << 31),
            caller=self.request.remote_ip or "",
        )

    def _whole(self, name: str, most: int) -> int | None:
        """Return a header that is a whole number.

        :raises RefusedError: when it is there and is anything else
        """
        given = self.request.headers.get(name)
        if given is None:
            return None
        if not given.isdecimal() or int(given[:12]) > most:
            raise results.refusal(
                results.BAD_REQUEST,
                f"{name} is {given[:32]!r}; 0 to {most} is expected",
            )
        return int(given)

    def _refuse(self, error: errors.RefusedError) -> None:
        result = results.BY_CODE[error.code]
        self.clear()
        self.set_status(result.status)
        if not self._gate.ready:
            self.set_header("Connection", "close")
        if error.retry_after_ms:
            self.set_header(
                conventions.RETRY_AFTER, f"{error.retry_after_ms / 1000:.3f}"
            )
        self._metrics.refusals.add(1, {"code": str(error.code)})
        telemetry.log_event(
            LOG,
            "platform: refused a request",
            request_id=self.request.headers.get(conventions.REQUEST_ID, ""),
            code=error.code,
            result=result.name,
            status=result.status,
            text=error.text,
            retry_after_ms=error.retry_after_ms,
        )
        self.write({"error": error.text, "code": error.code})

    async def _pass_back(self, answer: entries.FleetAnswer) -> None:
        self.set_status(answer.status)
        if not self._gate.ready:
            self.set_header("Connection", "close")
        for name, value in answer.headers:
            self.add_header(name, value)
        if answer.remaining_body is None:
            if answer.body:
                self.write(answer.body)
            return
        if answer.body_bytes is not None and answer.body_bytes >= 0:
            self.set_header("Content-Length", str(answer.body_bytes))
        self.write(answer.body)
        await self.flush()
        await self.pass_rest(
            answer.remaining_body,
            self.request.headers.get(conventions.REQUEST_ID, ""),
        )


class BalancerHandler(web.RequestHandler):
    """Says whether this host takes new connections."""

    def initialize(
        self, gate: callers.Gate, is_current: ty.Callable[[], bool]
    ) -> None:
        """Share the parts of the daemon."""
        self._gate = gate
        self._is_current = is_current

    def get(self) -> None:
        """Answer 200 when ready, 503 when not."""
        ready = self._gate.ready and self._is_current()
        self.set_status(200 if ready else 503)


def balancer_routes(
    gate: callers.Gate, is_current: ty.Callable[[], bool]
) -> list[ty.Any]:
    """Return the paths that the platform's balancer asks."""
    return [
        (
            r"/goldcrestproxy/ready",
            BalancerHandler,
            {"gate": gate, "is_current": is_current},
        )
    ]

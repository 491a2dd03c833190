"""HTTP handlers for the platform's callers and its balancer."""

from __future__ import annotations

import logging
import typing as ty

import attrs
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
INTEGER_DIGITS_MAX: ty.Final = 20


class IngressHandler(callers.StreamingHandler):
    """Forwards a request to a target and streams the answer back."""

    def initialize(
        self,
        dispatcher: entries.Dispatcher,
        gate: callers.Gate,
        metrics: telemetry.Metrics,
        crowd: callers.Crowd | None = None,
    ) -> None:
        """Set the dispatcher, the gate and the metrics of this host."""
        self._crowd = crowd
        self._metrics = metrics
        self._dispatcher = dispatcher
        self._gate = gate
        self._answer: entries.FleetAnswer | None = None

    async def prepare(self) -> None:
        """Find the route of the request and start dispatching it."""
        self._request_id = self.request.headers.get(conventions.REQUEST_ID, "")
        try:
            self.enter_gate()
            request = self._build_request()
            route = await self._dispatcher.await_route(request)
            customer = self._dispatcher.identify(request, route)
            self.check_connected()
        except errors.RefusedError as error:
            await self.refuse(error)
            return
        request = attrs.evolve(
            request,
            headers=conventions.identified_headers(request.headers, customer),
            credential=None,
            customer=customer,
        )
        self.start(self._dispatcher.dispatch(request, route))

    get = post = put = patch = callers.StreamingHandler.serve  # type: ignore
    delete = head = options = callers.StreamingHandler.serve  # type: ignore

    def on_connection_close(self) -> None:
        """Cancel the request, since its caller has disconnected."""
        # Ends Tornado's wait for the rest of the body.
        super().on_connection_close()
        if self._request_body is not None and not self._request_body.ended:
            self._request_body.fail(
                results.refusal(
                    results.BODY_INCOMPLETE, "the caller closed the connection"
                )
            )
        if self._answer_task is not None:
            self._answer_task.cancel()
        if self._answer is not None and self._answer.cancel is not None:
            self._answer.cancel()
        self.leave_gate()

    def _build_request(self) -> entries.FleetRequest:
        headers = self.request.headers
        connection = ty.cast(ty.Any, self.request.connection)
        connection.set_max_body_size(BODY_BYTES_MAX)
        body_bytes = callers.body_bytes(headers)
        if body_bytes > BODY_BYTES_MAX:
            raise results.refusal(
                results.BODY_TOO_LARGE,
                f"the body has {body_bytes} bytes; {BODY_BYTES_MAX} are "
                "allowed",
            )
        self._request_body = wire.Pipe() if body_bytes else None
        return entries.FleetRequest(
            request_id=self._request_id,
            method=ty.cast(str, self.request.method),
            host=headers.get("Host", "").rpartition(":")[0]
            or headers.get("Host", ""),
            request_target=self.request.uri or "",
            headers=conventions.end_to_end_headers(headers),
            key=self._integer_header(conventions.KEY, registry.KEY_COUNT - 1),
            body=self._request_body,
            body_bytes=body_bytes,
            deadline_ms=self._integer_header(conventions.DEADLINE_MS, 1 << 31),
            caller=self.request.remote_ip or "",
            credential=headers.get(conventions.CUSTOMER_KEY),
        )

    def _integer_header(self, name: str, maximum: int) -> int | None:
        """Return a header as an integer, or None if it is missing.

        :raises RefusedError: if the value is not an integer from 0 to
            ``maximum``
        """
        value = self.request.headers.get(name)
        if value is None:
            return None
        if (
            not (value.isascii() and value.isdecimal())
            or len(value) > INTEGER_DIGITS_MAX
            or int(value) > maximum
        ):
            raise results.refusal(
                results.BAD_REQUEST,
                f"{name} is {value[:32]!r}; 0 to {maximum} is expected",
            )
        return int(value)

    def send_refusal(self, error: errors.RefusedError) -> None:
        """Write a refusal as the answer."""
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
            request_id=self._request_id,
            code=error.code,
            result=result.name,
            status=result.status,
            text=error.text,
            retry_after_ms=error.retry_after_ms,
            **self._dispatcher.describe_copy(),
        )
        self.write_json({"error": error.text, "code": error.code})

    async def send_answer(self, answer: entries.FleetAnswer) -> None:
        """Write the answer of a target, and stream a large one."""
        self._answer = answer
        self.set_status(answer.status)
        if not self._gate.ready:
            self.set_header("Connection", "close")
        for name, value in answer.headers:
            self.add_header(name, value)
        if answer.remaining_body is None:
            self.write_whole_body(answer.body)
            return
        if answer.body_bytes is not None and answer.body_bytes >= 0:
            self.set_header("Content-Length", str(answer.body_bytes))
        self.write(answer.body)
        await self.flush()
        await self.stream_answer_body(answer.remaining_body)


class BalancerHandler(web.RequestHandler):
    """Balancer health check: whether this host accepts connections."""

    def initialize(
        self, gate: callers.Gate, is_current: ty.Callable[[], bool]
    ) -> None:
        """Set the gate; ``is_current`` returns whether the map is loaded."""
        self._gate = gate
        self._is_current = is_current

    def get(self) -> None:
        """Answer 200 if ready, else 503."""
        ready = self._gate.ready and self._is_current()
        self.set_status(200 if ready else 503)


def balancer_routes(
    gate: callers.Gate, is_current: ty.Callable[[], bool]
) -> list[ty.Any]:
    """Return the routes of the balancer's health check."""
    return [
        (
            r"/goldcrestproxy/ready",
            BalancerHandler,
            {"gate": gate, "is_current": is_current},
        )
    ]

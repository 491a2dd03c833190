"""HTTP handler for callers' requests."""

from __future__ import annotations

import logging
import time
import typing as ty


from goldcrestproxy.callers import crowd as crowds
from goldcrestproxy.callers import gate as gates
from goldcrestproxy.callers import headers
from goldcrestproxy.callers import streaming
from goldcrestproxy import entries
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import classification
from goldcrestproxy import telemetry
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)


class CallerHandler(streaming.StreamingHandler):
    """Forwards a request through the router and streams the answer back."""

    def initialize(
        self,
        router: entries.Router,
        gate: gates.Gate,
        metrics: telemetry.Metrics,
        request_id_bytes_max: int,
        crowd: crowds.Crowd | None = None,
    ) -> None:
        """Set the router, the gate, the metrics and the request id limit."""
        self._crowd = crowd
        self._router = router
        self._gate = gate
        self._metrics = metrics
        self._request_id_bytes_max = request_id_bytes_max
        self._idempotent = True
        self._result_code = results.ANSWERED
        self._started_s = time.monotonic()

    async def prepare(self) -> None:
        """Classify the request and start routing it."""
        try:
            self._request_id = headers.request_id(
                self.request.headers, self._request_id_bytes_max
            )
            self.enter_gate()
            method = ty.cast(str, self.request.method)
            classified = self._router.classify(method, self.request.uri or "")
            self._idempotent = classified.route.idempotent
            request = self._build_request(classified)
        except errors.RefusedError as error:
            await self.refuse(error)
            return
        self.start(self._router.route(request, classified))

    get = post = put = streaming.StreamingHandler.serve  # type: ignore
    patch = delete = head = streaming.StreamingHandler.serve  # type: ignore

    def on_connection_close(self) -> None:
        """Cancel the request if idempotent, since its caller disconnected."""
        # Ends Tornado's wait for the rest of the body.
        super().on_connection_close()
        error = results.refusal(
            results.BODY_INCOMPLETE, "the caller closed the connection"
        )
        if self._request_body is not None and not self._request_body.ended:
            self._request_body.fail(error)
        if self._answer_task is None:
            self.leave_gate()
            return
        if self._idempotent:
            self._answer_task.cancel()
        # A request that is not idempotent runs to its end, so that its
        # outcome is recorded.
        self._answer_task.add_done_callback(lambda _: self.leave_gate())

    def on_finish(self) -> None:
        """Leave the gate and record the metrics of the request."""
        super().on_finish()
        code = self._result_code
        self._metrics.requests.add(1, {"code": str(code)})
        self._metrics.duration.record(
            (time.monotonic() - self._started_s) * 1000
        )

    def _build_request(
        self, classified: classification.ClassifiedRequest
    ) -> entries.CallerRequest:
        request_headers = self.request.headers
        body_bytes = headers.body_bytes(request_headers)
        bytes_max = classified.route.body_bytes_max
        if body_bytes > bytes_max:
            raise results.refusal(
                results.BODY_TOO_LARGE,
                f"the body has {body_bytes} bytes; {bytes_max} are allowed",
            )
        connection = ty.cast(ty.Any, self.request.connection)
        connection.set_max_body_size(bytes_max)
        self._request_body = wire.Pipe() if body_bytes else None
        return entries.CallerRequest(
            request_id=self._request_id,
            method=ty.cast(str, self.request.method),
            request_target=self.request.uri or "",
            headers=headers.forwarded_headers(request_headers),
            body=self._request_body,
            body_bytes=body_bytes,
            idempotency_key=headers.idempotency_key(request_headers),
            deadline_ms=headers.deadline_ms(request_headers),
            trace_parent=request_headers.get(headers.TRACE_PARENT, ""),
        )

    def send_refusal(self, error: errors.RefusedError) -> None:
        """Write a refusal as the answer."""
        result = results.BY_CODE[error.code]
        self._result_code = error.code
        self.clear()
        self.set_status(result.status, result.name)
        if not self._gate.ready:
            self.set_header("Connection", "close")
        self._set_result_headers(error.code)
        if error.retry_after_ms:
            seconds = -(-error.retry_after_ms // 1000)
            self.set_header("Retry-After", str(seconds))
        self.write_json(
            {
                "code": error.code,
                "name": result.name,
                "outcome": result.outcome.value,
                "text": error.text,
                "request_id": self._request_id,
                "retry_after_ms": error.retry_after_ms,
            }
        )

    def _set_result_headers(self, code: int) -> None:
        result = results.BY_CODE[code]
        self.set_header(headers.RESULT, f"{code} {result.name}")
        self.set_header(headers.OUTCOME, result.outcome.value)
        if self._request_id:
            self.set_header(headers.REQUEST_ID, self._request_id)

    async def send_answer(self, answer: entries.RoutedAnswer) -> None:
        """Write the answer of a target, and stream a large one."""
        self.set_status(answer.status)
        if not self._gate.ready:
            self.set_header("Connection", "close")
        for name, value in answer.headers:
            if name.lower() != "goldcrest-request-id":
                self.add_header(name, value)
        self._set_result_headers(answer.code)
        if answer.whole_body is not None:
            self.write_whole_body(answer.whole_body)
            return
        if answer.body_bytes >= 0:
            self.set_header("Content-Length", str(answer.body_bytes))
        await self.stream_answer_body(answer.body)

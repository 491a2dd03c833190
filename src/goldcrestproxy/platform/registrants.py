"""HTTP handlers for registering targets and for operators."""

from __future__ import annotations

import json
import logging
import typing as ty

from tornado import web

from goldcrestproxy import callers
from goldcrestproxy import control
from goldcrestproxy import errors
from goldcrestproxy.platform import configuration
from goldcrestproxy.platform import decoding
from goldcrestproxy.platform import heartbeats
from goldcrestproxy import registry
from goldcrestproxy import results
from goldcrestproxy import telemetry

LOG = logging.getLogger(__name__)

STATUS_INVALID: ty.Final = 400
STATUS_LEFT: ty.Final = 503


class RegistrantHandler(web.RequestHandler):
    """Base handler: decodes a call, forwards it and encodes the answer."""

    _entered_gate = False

    def initialize(
        self,
        service: control.ControlService,
        metrics: telemetry.Metrics,
        gate: callers.Gate,
    ) -> None:
        """Set the control service, metrics and gate of this daemon."""
        self._service = service
        self._metrics = metrics
        self._gate = gate

    def prepare(self) -> None:
        """Count the call as in flight, or refuse it during a stop."""
        try:
            self._gate.enter()
        except errors.RefusedError as error:
            self._send_error(results.BY_CODE[error.code].status, error.text)
        else:
            self._entered_gate = True

    def on_finish(self) -> None:
        """Leave the gate once the answer has been written."""
        if not self._entered_gate:
            return
        stream = ty.cast(ty.Any, self.request.connection).stream
        if stream.closed():
            self._gate.leave()
        else:
            stream.write(b"").add_done_callback(lambda _: self._gate.leave())

    async def _serve(self, decode: ty.Callable[[], registry.Call]) -> None:
        try:
            call = decode()
        except decoding.DecodingError as error:
            LOG.warning(
                "platform: refused %s %s: %s",
                self.request.method,
                self.request.path,
                error,
            )
            self._send_error(STATUS_INVALID, str(error))
            return
        if callers.has_left(self.request):
            # Its sender may have sent it to another host and gone on.
            LOG.info(
                "platform: did not serve %s %s, whose sender has left",
                self.request.method,
                self.request.path,
            )
            self._send_error(STATUS_LEFT, "the sender has left")
            return
        try:
            answer = await self._service.serve(call)
        except errors.RefusedError as error:
            LOG.info(
                "platform: cannot serve %s %s now: %s",
                self.request.method,
                self.request.path,
                error,
            )
            self._send_error(results.BY_CODE[error.code].status, error.text)
        except errors.WireError as error:
            LOG.info("platform: the leader did not answer: %s", error)
            result = results.BY_CODE[results.OUTCOME_UNKNOWN]
            self._send_error(result.status, str(error))
        else:
            self._respond(answer)

    def _respond(self, answer: registry.Answer) -> None:
        self._count_answer(type(answer).__name__)
        match answer:
            case registry.HeartbeatAnswer():
                self._send_json(heartbeats.encode_answer(answer))
            case registry.ItemsAnswer(items=items):
                self._send_json(configuration.encode_items(items))
            case registry.Accepted():
                self._send_json({})
            case registry.Declined(text=text):
                self._send_error(STATUS_INVALID, text)

    def _count_answer(self, answer: str) -> None:
        counter = (
            self._metrics.heartbeats
            if isinstance(self, TargetHandler)
            else self._metrics.changes
        )
        counter.add(1, {"answer": answer})

    def _send_json(self, body: dict[str, ty.Any]) -> None:
        self.set_header("Content-Type", "application/json")
        if not self._gate.ready:
            self.set_header("Connection", "close")
        self.finish(json.dumps(body, separators=(",", ":")))

    def _send_error(self, status: int, text: str) -> None:
        self._count_answer(f"status {status}")
        self.set_status(status)
        self._send_json({"error": text})


class TargetHandler(RegistrantHandler):
    """Receives heartbeats and goodbyes of targets."""

    async def put(self, target: str) -> None:
        """Process a heartbeat; the answer lists the granted key ranges."""
        body = self.request.body
        await self._serve(lambda: heartbeats.decode_heartbeat(target, body))

    async def delete(self, target: str) -> None:
        """Process a goodbye, sent before a target shuts down."""
        body = self.request.body
        await self._serve(lambda: heartbeats.decode_goodbye(target, body))


class ItemsHandler(RegistrantHandler):
    """Sets, removes and lists configuration items."""

    async def patch(self) -> None:
        """Set and remove items atomically."""
        body = self.request.body
        await self._serve(lambda: configuration.decode_changes(body))

    async def get(self) -> None:
        """Return the items in force."""
        await self._serve(registry.ReadItemsCall)


class ZoneHandler(RegistrantHandler):
    """Takes availability zones out of service and back in."""

    def initialize(
        self,
        service: control.ControlService,
        metrics: telemetry.Metrics,
        gate: callers.Gate,
        zones: tuple[str, ...],
    ) -> None:
        """Set also the names of the valid zones."""
        super().initialize(service, metrics, gate)
        self._zones = zones

    async def post(self, zone: str) -> None:
        """Take a zone out of service."""
        await self._serve(lambda: self._decode_call(zone, out=True))

    async def delete(self, zone: str) -> None:
        """Return a zone to service."""
        await self._serve(lambda: self._decode_call(zone, out=False))

    def _decode_call(self, zone: str, *, out: bool) -> registry.SetZoneCall:
        if zone not in self._zones:
            raise decoding.DecodingError(
                f"zone {zone!r} is not one of {sorted(self._zones)}"
            )
        return registry.SetZoneCall(zone=zone, out=out)


def routes(
    service: control.ControlService,
    zones: tuple[str, ...],
    metrics: telemetry.Metrics,
    gate: callers.Gate,
) -> list[ty.Any]:
    """Return the routes of the platform API on control hosts."""
    shared = {"service": service, "metrics": metrics, "gate": gate}
    return [
        (r"/goldcrestproxy/instances/([^/]+)", TargetHandler, shared),
        (r"/goldcrestproxy/config", ItemsHandler, shared),
        (
            r"/goldcrestproxy/evacuate/([^/]+)",
            ZoneHandler,
            {**shared, "zones": zones},
        ),
    ]

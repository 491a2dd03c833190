"""Liveness and readiness endpoints."""

from __future__ import annotations

from tornado import web

from goldcrestproxy import callers
from goldcrestproxy import entries


class LiveHandler(web.RequestHandler):
    """Liveness check: answers 200 while the process runs."""

    def get(self) -> None:
        """Answer 200."""
        self.write({"live": True})


class ReadyHandler(web.RequestHandler):
    """Readiness check: whether this host accepts callers' requests."""

    def initialize(
        self, gate: callers.Gate, link: entries.ControlLink
    ) -> None:
        """Set the gate and the link to the control leader."""
        self._gate = gate
        self._link = link

    def get(self) -> None:
        """Answer 200 if ready and configured, else 503."""
        configured = bool(self._link.state.configuration.document)
        ready = self._gate.ready and configured
        self.set_status(200 if ready else 503)
        self.write({"ready": ready, "configured": configured})

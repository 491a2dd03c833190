"""Logs, metrics and traces."""

from __future__ import annotations

from goldcrestproxy.telemetry.exposition import MetricsHandler
from goldcrestproxy.telemetry.logs import JsonFormatter
from goldcrestproxy.telemetry.logs import log_event
from goldcrestproxy.telemetry.logs import set_up_logging
from goldcrestproxy.telemetry.metrics import make_metrics
from goldcrestproxy.telemetry.metrics import Metrics
from goldcrestproxy.telemetry.tracing import make_tracing
from goldcrestproxy.telemetry.tracing import RequestSpan
from goldcrestproxy.telemetry.tracing import Tracing

__all__ = [
    "JsonFormatter",
    "Metrics",
    "MetricsHandler",
    "RequestSpan",
    "Tracing",
    "log_event",
    "make_metrics",
    "make_tracing",
    "set_up_logging",
]

"""Tracing of requests, with a span for each hop.

Without an OTLP endpoint no spans are created and the caller's trace context
is forwarded unchanged.
"""

from __future__ import annotations

import contextlib
import typing as ty

from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace import sampling
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

from goldcrestproxy import settings

_PROPAGATOR: ty.Final = tracecontext.TraceContextTextMapPropagator()


class RequestSpan:
    """Span of one hop; ``trace_parent`` is sent to the next hop."""

    def __init__(self, trace_parent: str, span: trace.Span | None) -> None:
        """Wrap a span, or None if spans are not created."""
        self.trace_parent = trace_parent
        self._span = span

    def set_attribute(self, name: str, value: str | int) -> None:
        """Set an attribute of the span, if there is one."""
        if self._span is not None:
            self._span.set_attribute(name, value)


class Tracing:
    """Creates the spans of a daemon."""

    def __init__(self, provider: sdk.TracerProvider | None) -> None:
        """Create spans with the provider, or none without a provider."""
        self._provider = provider
        self._tracer = (
            provider.get_tracer("goldcrestproxy") if provider else None
        )

    @contextlib.contextmanager
    def start_span(
        self, name: str, trace_parent: str
    ) -> ty.Iterator[RequestSpan]:
        """Start a span that ends with the context.

        :param trace_parent: ``traceparent`` header from the previous hop,
            or empty
        """
        if self._tracer is None:
            yield RequestSpan(trace_parent, None)
            return
        context = _PROPAGATOR.extract({"traceparent": trace_parent})
        with self._tracer.start_as_current_span(name, context) as span:
            carrier: dict[str, str] = {}
            _PROPAGATOR.inject(carrier, trace.set_span_in_context(span))
            yield RequestSpan(carrier.get("traceparent", trace_parent), span)

    def close(self) -> None:
        """Export the remaining spans and shut the provider down."""
        if self._provider is not None:
            self._provider.shutdown()


def make_tracing(telemetry: settings.Telemetry, host: str) -> Tracing:
    """Create the tracing, without spans if there is no OTLP endpoint."""
    if telemetry.otlp_endpoint is None:
        return Tracing(None)
    provider = sdk.TracerProvider(
        sampler=sampling.ParentBasedTraceIdRatio(telemetry.trace_share),
        resource=resources.Resource.create(
            {"service.name": "goldcrestproxy", "host.name": host}
        ),
        shutdown_on_exit=False,
    )
    # Imported on demand, as the import is slow and only exporters need it.
    from opentelemetry.exporter.otlp.proto.http import trace_exporter

    exporter = trace_exporter.OTLPSpanExporter(
        endpoint=f"{telemetry.otlp_endpoint}/v1/traces"
    )
    provider.add_span_processor(export.BatchSpanProcessor(exporter))
    return Tracing(provider)

"""Metrics in the Prometheus text format."""

from __future__ import annotations

import typing as ty

from opentelemetry.sdk.metrics import export
from tornado import web

if ty.TYPE_CHECKING:
    from goldcrestproxy.telemetry import metrics as metrics_module

CONTENT_TYPE: ty.Final = "text/plain; version=0.0.4; charset=utf-8"


def render(data: export.MetricsData | None) -> str:
    """Render all metrics, or an empty text if there are none."""
    if data is None:
        return ""
    lines: list[str] = []
    for resource in data.resource_metrics:
        for scope in resource.scope_metrics:
            for metric in scope.metrics:
                lines.extend(_render_metric(metric))
    return "\n".join(lines) + "\n"


def _render_metric(metric: ty.Any) -> ty.Iterator[str]:
    name = metric.name.replace(".", "_")
    if metric.unit:
        name = f"{name}_{metric.unit}"
    match metric.data:
        case export.Histogram(data_points=points):
            yield from _render_header(name, "histogram", metric.description)
            for point in points:
                yield from _render_histogram(name, point)
        case export.Sum(data_points=points):
            name = f"{name}_total"
            yield from _render_header(name, "counter", metric.description)
            for point in points:
                yield f"{name}{_render_labels(point.attributes)} {point.value}"
        case export.Gauge(data_points=points):
            yield from _render_header(name, "gauge", metric.description)
            for point in points:
                yield f"{name}{_render_labels(point.attributes)} {point.value}"
        case _:
            pass


def _render_header(name: str, kind: str, description: str) -> ty.Iterator[str]:
    if description:
        yield f"# HELP {name} {description}"
    yield f"# TYPE {name} {kind}"


def _render_histogram(name: str, point: ty.Any) -> ty.Iterator[str]:
    cumulative_count = 0
    bounds = [*map(str, point.explicit_bounds), "+Inf"]
    for bound, count in zip(bounds, point.bucket_counts, strict=True):
        cumulative_count += count
        labels = _render_labels({**(point.attributes or {}), "le": bound})
        yield f"{name}_bucket{labels} {cumulative_count}"
    labels = _render_labels(point.attributes)
    yield f"{name}_sum{labels} {point.sum}"
    yield f"{name}_count{labels} {point.count}"


def _render_labels(attributes: ty.Mapping[str, ty.Any] | None) -> str:
    if not attributes:
        return ""
    text = ",".join(
        f'{name}="{_escape(str(value))}"' for name, value in attributes.items()
    )
    return "{" + text + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


class MetricsHandler(web.RequestHandler):
    """Serves the metrics of the daemon over HTTP."""

    def initialize(self, metrics: metrics_module.Metrics) -> None:
        """Set the metrics to serve."""
        self._metrics = metrics

    def get(self) -> None:
        """Send all metrics with their current values."""
        self.set_header("Content-Type", CONTENT_TYPE)
        self.write(render(self._metrics.collect()))

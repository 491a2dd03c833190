"""OpenTelemetry counters and histograms of a daemon."""

from __future__ import annotations

import typing as ty

from opentelemetry import metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk import resources

from goldcrestproxy import settings

DURATION_BOUNDS_MS: ty.Final = (
    *(1, 2, 3, 5, 7, 9, 12, 16, 25, 50, 100, 250, 500),
    *(1_000, 2_500, 10_000),
)


class Metrics:
    """The metric instruments of a daemon."""

    def __init__(self, provider: sdk.MeterProvider, reader: ty.Any) -> None:
        """Create the instruments; ``reader`` collects them in memory."""
        meter = provider.get_meter("goldcrestproxy")
        self._meter = meter
        self._provider = provider
        self._reader = reader
        self.requests = meter.create_counter(
            "goldcrestproxy.requests",
            description="Requests of callers, by result code.",
        )
        self.duration = meter.create_histogram(
            "goldcrestproxy.request.duration",
            unit="ms",
            description="Time from a caller's request to its answer.",
            explicit_bucket_boundaries_advisory=DURATION_BOUNDS_MS,
        )
        self.retries = meter.create_counter(
            "goldcrestproxy.retries",
            description="Attempts after the first, by reason.",
        )
        self.choice_age = meter.create_histogram(
            "goldcrestproxy.choice.age",
            unit="ms",
            description="Time from the choice of a target to the first byte.",
            explicit_bucket_boundaries_advisory=DURATION_BOUNDS_MS,
        )
        self.turned_away = meter.create_counter(
            "goldcrestproxy.turned_away",
            description="Requests whose target could not get them any more "
            "when they were to be sent, by reason.",
        )
        self.malformed_answers = meter.create_counter(
            "goldcrestproxy.malformed_answers",
            description="Answers of targets that break HTTP/1.1, by rule.",
        )
        self.passed_on = meter.create_counter(
            "goldcrestproxy.passed_on",
            description="Requests that another entry host was asked to send.",
        )
        self.refusals = meter.create_counter(
            "goldcrestproxy.refusals",
            description="Requests that this host refused, by result code.",
        )
        self.beyond_limits = meter.create_counter(
            "goldcrestproxy.beyond_limits",
            description="Requests refused for the limit that a target named.",
        )
        self.cold_requests = meter.create_counter(
            "goldcrestproxy.cold_requests",
            description="Requests for cold targets, by service and outcome: "
            "sent or refused.",
        )
        self.crowds = meter.create_counter(
            "goldcrestproxy.crowds",
            description="Callers that made room for others, by outcome: "
            "refused, or closed and in which phase.",
        )
        self.quotas = meter.create_counter(
            "goldcrestproxy.quotas",
            description="Requests of customers with quotas, by what became "
            "of them: token, share, refused, given back.",
        )
        self.heartbeats = meter.create_counter(
            "goldcrestproxy.heartbeats",
            description="Heartbeats of targets, by how they were answered.",
        )
        self.changes = meter.create_counter(
            "goldcrestproxy.changes",
            description="Calls of operators, by how they were answered.",
        )

    def observe_copy_age(self, read_ms: ty.Callable[[], int]) -> None:
        """Report the age of an entry host's state at each collection.

        :param read_ms: returns milliseconds, -1 while the age is unknown
        """
        self._meter.create_observable_gauge(
            "goldcrestproxy.copy.age",
            callbacks=[lambda _: [api.Observation(read_ms())]],
            unit="ms",
            description="Time since this host's state was the newest one.",
        )

    def observe_entries_behind(
        self, read: ty.Callable[[], dict[str, int]]
    ) -> None:
        """Report how far each replica is behind its leader's log.

        :param read: returns entries by host, none where nobody leads
        """
        self._meter.create_observable_gauge(
            "goldcrestproxy.replication.behind",
            callbacks=[
                lambda _: [
                    api.Observation(entries, {"host": host})
                    for host, entries in read().items()
                ]
            ],
            description="Log entries that a control host lacks.",
        )

    def observe_members(self, read: ty.Callable[[], dict[str, int]]) -> None:
        """Report the members of the control group.

        :param read: returns their number by kind, none where nobody leads
        """
        self._meter.create_observable_gauge(
            "goldcrestproxy.control.members",
            callbacks=[
                lambda _: [
                    api.Observation(count, {"kind": kind})
                    for kind, count in read().items()
                ]
            ],
            description="Members of the control group: voters and learners.",
        )

    def collect(self) -> export.MetricsData | None:
        """Return the current values of all metrics, None if there are none."""
        data: export.MetricsData | None = self._reader.get_metrics_data()
        return data

    def read_totals(self) -> dict[str, ty.Any]:
        """Return the total of each metric by name, for the status command.

        The total of a histogram is the number of its values.
        """
        data = self.collect()
        totals: dict[str, ty.Any] = {}
        if data is None:
            return totals
        for resource in data.resource_metrics:
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    totals[metric.name] = _total(metric.data.data_points)
        return totals

    def close(self) -> None:
        """Export the remaining values and shut the provider down."""
        self._provider.shutdown()


def _total(points: ty.Iterable[ty.Any]) -> ty.Any:
    return sum(getattr(p, "value", getattr(p, "count", 0)) for p in points)


def make_metrics(telemetry: settings.Telemetry, host: str) -> Metrics:
    """Create the metrics, exported if an OTLP endpoint is configured."""
    reader = export.InMemoryMetricReader()
    readers: list[ty.Any] = [reader]
    if telemetry.otlp_endpoint is not None:
        # Imported on demand: half of the start-up time of a daemon that
        # does not export.
        from opentelemetry.exporter.otlp.proto.http import metric_exporter

        exporter = metric_exporter.OTLPMetricExporter(
            endpoint=f"{telemetry.otlp_endpoint}/v1/metrics"
        )
        readers.append(
            export.PeriodicExportingMetricReader(
                exporter,
                export_interval_millis=telemetry.metric_interval_ms,
            )
        )
    provider = sdk.MeterProvider(
        metric_readers=readers,
        resource=resources.Resource.create(
            {"service.name": "goldcrestproxy", "host.name": host}
        ),
        shutdown_on_exit=False,
    )
    return Metrics(provider, reader)

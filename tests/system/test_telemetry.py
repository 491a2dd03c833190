"""Export of a span for each hop and of metrics to a stand-in collector."""

from __future__ import annotations

import asyncio
import collections
import threading

import cluster as clusters
import conftest
import deployments
from opentelemetry.proto.collector.metrics.v1 import metrics_service_pb2
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2
import pytest
from test_failures import key_url
from tornado import web


class Collector:
    """Receive OTLP over HTTP and keep spans and metric names."""

    def __init__(self):
        self.spans = []
        self.metrics = collections.Counter()
        self.port = clusters.free_port()
        self._loop = asyncio.new_event_loop()
        ready = threading.Event()

        def run():
            asyncio.set_event_loop(self._loop)

            async def listen():
                web.Application(
                    [(r"/v1/(\w+)", ReceiveHandler, {"collector": self})]
                ).listen(self.port, "127.0.0.1")
                ready.set()

            self._loop.run_until_complete(listen())
            self._loop.run_forever()

        threading.Thread(target=run, daemon=True).start()
        ready.wait()


class ReceiveHandler(web.RequestHandler):
    def initialize(self, collector):
        self.collector = collector

    def post(self, kind):
        if kind == "traces":
            export = trace_service_pb2.ExportTraceServiceRequest()
            export.ParseFromString(self.request.body)
            for resource in export.resource_spans:
                for scope in resource.scope_spans:
                    self.collector.spans.extend(scope.spans)
        else:
            export = metrics_service_pb2.ExportMetricsServiceRequest()
            export.ParseFromString(self.request.body)
            for resource in export.resource_metrics:
                for scope in resource.scope_metrics:
                    for metric in scope.metrics:
                        self.collector.metrics[metric.name] += 1


@pytest.fixture
def traced(tmp_path):
    collector = Collector()
    cluster = clusters.Cluster(tmp_path, conftest.THREE_HOSTS)
    cluster.telemetry = {
        "otlp_endpoint": f"http://127.0.0.1:{collector.port}",
        "trace_share": 1.0,
        "metric_interval_ms": 500,
        "log_format": "json",
    }
    try:
        cluster.start()
        cluster.form_control_group()
        cluster.apply(deployments.document())
        cluster.add_target("pitch-0", "pitches", "zone-b")
        cluster.wait_in_service("pitches")
        yield cluster, collector
    finally:
        cluster.close()


def test_trace_of_a_caller_includes_every_hop(traced):
    cluster, collector = traced
    trace_id = "0af7651916cd43dd8448eb211c80319c"
    parent = f"00-{trace_id}-b7ad6b7169203331-01"
    answer = clusters.fetch(
        key_url(cluster.entry_hosts[0]), headers={"Traceparent": parent}
    )
    assert answer.status == 200

    def spans_by_name():
        return {
            span.name: span
            for span in collector.spans
            if span.trace_id.hex() == trace_id
        }

    clusters.wait_until(
        lambda: len(spans_by_name()) == 2, "spans of both hops are exported"
    )
    entry, coordinator = (
        spans_by_name()["entry"],
        spans_by_name()["coordinator"],
    )
    assert entry.parent_span_id.hex() == "b7ad6b7169203331"
    assert coordinator.parent_span_id == entry.span_id
    clusters.wait_until(
        lambda: collector.metrics["goldcrestproxy.requests"],
        "metrics are exported",
    )
    log = cluster.hosts["entry-a"].process.log.read_text().splitlines()
    assert any('"part": "daemon"' in line for line in log)

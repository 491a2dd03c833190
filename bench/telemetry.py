"""Cost of telemetry per request, without and with an endpoint.

Usage: python bench/telemetry.py
"""

from __future__ import annotations

import logging
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "src"))

from goldcrestproxy import settings  # noqa: E402
from goldcrestproxy import telemetry  # noqa: E402

COUNT = 50_000
PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def measure(label: str, endpoint: str | None, share: float) -> None:
    chosen = settings.Telemetry(otlp_endpoint=endpoint, trace_share=share)
    tracing = telemetry.make_tracing(chosen, "bench")
    metrics = telemetry.make_metrics(chosen, "bench")
    start_s = time.perf_counter()
    for _ in range(COUNT):
        with tracing.start_span("entry", PARENT) as span:
            span.set_attribute("goldcrestproxy.request_id", "r")
    hop_us = (time.perf_counter() - start_s) / COUNT * 1e6
    start_s = time.perf_counter()
    for _ in range(COUNT):
        metrics.requests.add(1, {"code": "0"})
        metrics.duration.record(3.0)
    metrics_us = (time.perf_counter() - start_s) / COUNT * 1e6
    print(
        f"{label}: {hop_us:.1f} us a hop, {metrics_us:.1f} us for the "
        "metrics of a request",
        flush=True,
    )


def main() -> None:
    # Nothing listens at the endpoint; logging its errors would take time.
    logging.disable(logging.CRITICAL)
    measure("no endpoint", None, 0.0)
    measure("endpoint, every request traced", "http://127.0.0.1:9", 1.0)


if __name__ == "__main__":
    main()

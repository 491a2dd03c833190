"""Routing under load and faults, compared with a plain baseline.

Usage: python bench/policy.py [--only SCENARIO] [--seconds N]

Scenarios; all but the last run with the system and then with
bench/baseline.py in front of the same targets:

  stragglers-pool    a fifth of the pool's targets answer ten times slower
  stragglers-keyed   the same for keyed targets
  overload           twice the capacity of the targets, then half of it
  zone               a zone is taken out and brought back under load
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import pathlib
import sys
import tempfile
import time
import typing as ty

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

import cluster as clusters  # noqa: E402
import deployments  # noqa: E402
import load as loads  # noqa: E402

HOSTS = [
    ("entry-a", "zone-a", ["entry", "control"]),
    ("entry-b", "zone-b", ["entry", "control"]),
    ("entry-c", "zone-c", ["entry", "control"]),
]
ZONES = ("zone-a", "zone-b", "zone-c")
SERVICE_MS = 50
SLOTS = 4
SLOWDOWN_FACTOR = 10
WARM_UP_S = 4.0
TARGET_REQUESTS_PER_S = SLOTS * 1000 / SERVICE_MS


class Testbed:
    """Targets behind both the system and the baseline."""

    def __init__(self, folder: pathlib.Path, keyed: bool, count: int) -> None:
        self.system = clusters.Cluster(folder, HOSTS)
        self.keyed = keyed
        self.count = count
        self.desk = "pitches" if keyed else "photos"
        self.names = [f"target-{number}" for number in range(count)]
        self._folder = folder
        self._baseline: clusters.Process | None = None
        self.baseline_port = clusters.free_port()

    def start(self) -> None:
        self.system.start()
        self.system.form_control_group()
        self.system.apply(deployments.document())
        for number, name in enumerate(self.names):
            self.system.add_target(
                name,
                self.desk,
                ZONES[number % 3],
                *("--slots", str(SLOTS), "--service-ms", str(SERVICE_MS)),
            )
        self.system.wait_in_service(self.desk)
        self._baseline = clusters.Process(
            "baseline",
            [
                sys.executable,
                str(ROOT / "bench" / "baseline.py"),
                *("--port", str(self.baseline_port)),
                *("--slots", str(SLOTS)),
                *(["--keyed"] if self.keyed else []),
                *(
                    f"127.0.0.1:{self.system.targets[name].port}"
                    for name in self.names
                ),
            ],
            self._folder,
        )

    def close(self) -> None:
        if self._baseline is not None:
            self._baseline.kill()
        self.system.close()

    def addresses(self, system: bool) -> list[tuple[str, int]]:
        if not system:
            return [("127.0.0.1", self.baseline_port)]
        return [
            ("127.0.0.1", host.caller_port) for host in self.system.entry_hosts
        ]

    def make_request(self, number: int) -> tuple[str, str, bytes]:
        if self.keyed:
            return "GET", f"/kisvaros/pitches/pitches/k{number % 997}", b""
        return "GET", f"/kisvaros/photos/photos/p{number}", b""

    async def run(
        self, system: bool, rate_per_s: float, seconds: float
    ) -> list[loads.Completion]:
        load = loads.Load(
            self.addresses(system), rate_per_s, self.make_request
        )
        return await load.run(seconds)

    def slow_targets(self, factor: float) -> None:
        for name in self.names[: max(1, self.count // 5)]:
            self.system.control_target(name, service_ms=SERVICE_MS * factor)

    def everyone(self, **value: ty.Any) -> None:
        for name in self.names:
            self.system.control_target(name, **value)


def count_failures(
    completions: ty.Sequence[loads.Completion],
) -> dict[str, int]:
    failures = [
        d.result or str(d.status) for d in completions if d.status != 200
    ]
    return dict(collections.Counter(failures))


def stragglers(bed: Testbed, seconds: float) -> None:
    rate = TARGET_REQUESTS_PER_S * bed.count * 0.4
    for system in (True, False):
        asyncio.run(bed.run(system, rate, WARM_UP_S))
        healthy = asyncio.run(bed.run(system, rate, seconds))
        bed.slow_targets(SLOWDOWN_FACTOR)
        slowed = asyncio.run(bed.run(system, rate, seconds))
        bed.slow_targets(1)
        after = asyncio.run(bed.run(system, rate, seconds))
        name = "system" if system else "baseline"
        for label, completions in (
            ("healthy", healthy),
            ("a fifth slowed", slowed),
            ("after", after),
        ):
            print(
                f"{bed.desk:8} {name:9} {label:15} {rate:4.0f}/s "
                f"{loads.describe(completions)} {count_failures(completions)}",
                flush=True,
            )


def overload(bed: Testbed, seconds: float) -> None:
    capacity = TARGET_REQUESTS_PER_S * bed.count
    for system in (True, False):
        asyncio.run(bed.run(system, capacity * 0.5, WARM_UP_S))
        completions = asyncio.run(bed.run(system, capacity * 2, seconds))
        ended_s = time.monotonic()
        served = sum(d.status == 200 for d in completions)
        bad_ms = [d.latency_ms for d in completions if d.status != 200]
        recovery = asyncio.run(bed.run(system, capacity * 0.5, seconds))
        late = [
            d.due_s - ended_s
            for d in recovery
            if d.status != 200 or d.latency_ms > 10 * SERVICE_MS
        ]
        print(
            f"{bed.desk:8} {'system' if system else 'baseline':9} overload "
            f"{capacity * 2:.0f}/s of {capacity:.0f}/s: goodput "
            f"{served / seconds:.0f}/s "
            f"({served / seconds / capacity:.0%} of what "
            f"is borne) {loads.describe(completions)} refusals p50="
            f"{loads.percentile(bad_ms, 0.5):.0f} ms p99="
            f"{loads.percentile(bad_ms, 0.99):.0f} ms; calm again after "
            f"{max(late, default=0):.1f} s",
            flush=True,
        )


def zone(bed: Testbed, seconds: float) -> None:
    rate = TARGET_REQUESTS_PER_S * bed.count * 0.3
    total = 3 * seconds

    async def scenario() -> tuple[float, list[loads.Completion], float, float]:
        await bed.run(True, rate, WARM_UP_S)
        start_s = time.monotonic()
        running = asyncio.create_task(bed.run(True, rate, total))
        await asyncio.sleep(seconds)
        out_s = time.monotonic()
        await asyncio.to_thread(bed.system.cli, "zone", "out", "zone-b")
        await asyncio.sleep(seconds - (time.monotonic() - out_s))
        in_s = time.monotonic()
        await asyncio.to_thread(bed.system.cli, "zone", "in", "zone-b")
        return start_s, await running, out_s, in_s

    start_s, completions, out_s, in_s = asyncio.run(scenario())
    by_second: dict[int, list[loads.Completion]] = collections.defaultdict(
        list
    )
    for item in completions:
        by_second[int(item.due_s - start_s)].append(item)
    print(
        f"{bed.desk}: zone out at {out_s - start_s:.1f} s, in at "
        f"{in_s - start_s:.1f} s; {loads.describe(completions)} "
        f"{count_failures(completions)}"
    )
    worst = 1.0
    for second, items in sorted(by_second.items()):
        good = sum(i.status == 200 for i in items) / len(items)
        worst = min(worst, good)
        p99 = loads.percentile([i.latency_ms for i in items], 0.99)
        print(f"  second {second:3}: good {good:7.2%} p99 {p99:6.0f} ms")
    late = [
        r
        for r in bed.system.runs()
        if bed.system.targets[r["target"]].zone == "zone-b"
        and out_s + 2.0 < r["time_s"] < in_s
    ]
    print(
        f"  worst second {worst:.2%}; runs in the zone from 2 s after it "
        f"was taken out: {len(late)}",
        flush=True,
    )


SCENARIOS: dict[str, tuple[ty.Callable, bool, int]] = {
    "stragglers-pool": (stragglers, False, 6),
    "stragglers-keyed": (stragglers, True, 10),
    "overload": (overload, True, 4),
    "zone": (zone, True, 9),
}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", choices=SCENARIOS)
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    for name, (scenario, keyed, count) in SCENARIOS.items():
        if options.only not in (None, name):
            continue
        print(f"== {name}", flush=True)
        with tempfile.TemporaryDirectory() as folder:
            bed = Testbed(pathlib.Path(folder), keyed, count)
            try:
                bed.start()
                scenario(bed, options.seconds)
            finally:
                bed.close()


if __name__ == "__main__":
    main()

"""Latency and processor time of no hop, one hop and two hops to a target.

Usage: python bench/hops.py [--rate N] [--seconds N]
"""

from __future__ import annotations

import argparse
import asyncio
import pathlib
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

import cluster as clusters  # noqa: E402
import deployments  # noqa: E402
import load as loads  # noqa: E402

HOSTS = [
    ("entry-a", "zone-a", ["entry", "control"]),
    ("entry-b", "zone-b", ["entry"]),
    ("entry-c", "zone-c", ["entry"]),
]
PATH = "/kisvaros/pitches/pitches/p1"


def measure(name, address, path, pids, rate, seconds) -> None:
    before = [loads.processor_s(pid) for pid in pids]
    load = loads.Load([address], rate, lambda _: ("GET", path, b""))
    completions = asyncio.run(load.run(seconds))
    used_s = sum(
        loads.processor_s(pid) - start
        for pid, start in zip(pids, before, strict=True)
    )
    request_ms = used_s / len(completions) * 1000
    print(
        f"{name:9} rate={rate:5.0f}/s {loads.describe(completions)} "
        f"daemons: {request_ms:.3f} ms of a core a request",
        flush=True,
    )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--rate", type=float, default=200)
    parser.add_argument("--seconds", type=float, default=10)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        system = clusters.Cluster(pathlib.Path(folder), HOSTS)
        try:
            system.start()
            system.form_control_group()
            system.apply(deployments.document())
            system.add_target(
                "pitch-0",
                "pitches",
                "zone-b",
                *("--slots", "64", "--service-ms", "0"),
            )
            system.wait_in_service("pitches")
            near, far = system.hosts["entry-b"], system.hosts["entry-c"]
            both = [near.process.pid, far.process.pid]
            idle = [loads.processor_s(pid) for pid in both]
            asyncio.run(asyncio.sleep(options.seconds))
            for host, pid, start in zip((near, far), both, idle, strict=True):
                share = (loads.processor_s(pid) - start) / options.seconds
                print(
                    f"idle {host.name}: {share:.2%} of a core, "
                    f"{loads.memory_mb(pid):.0f} MB"
                )
            port = system.targets["pitch-0"].port
            target = ("127.0.0.1", port)
            for address, name, path, pids in (
                (target, "direct", "/pitches/p1", []),
                (("127.0.0.1", near.caller_port), "one hop", PATH, both),
                (("127.0.0.1", far.caller_port), "two hops", PATH, both),
            ):
                measure(name, address, path, pids, 50, 3)
                measure(
                    name, address, path, pids, options.rate, options.seconds
                )
        finally:
            system.close()


if __name__ == "__main__":
    main()

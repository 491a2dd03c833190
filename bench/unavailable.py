"""Time for which a key is unavailable after losses and planned moves.

Usage: python bench/unavailable.py [--losses N] [--only SCENARIO]

A key is probed every 10 ms through the remaining hosts. "served again" is
the time from the loss to the first good answer to a request sent after it;
"last bad" is the time from the loss to the last request that failed or took
over 100 ms.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import json
import pathlib
import sys
import tempfile
import time
import typing as ty

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

import cluster as clusters  # noqa: E402
import deployments  # noqa: E402
import probing  # noqa: E402

HOSTS = [
    ("entry-a", "zone-a", ["entry", "control"]),
    ("entry-b", "zone-b", ["entry", "control"]),
    ("entry-c", "zone-c", ["entry", "control"]),
    ("entry-d", "zone-a", ["entry"]),
    ("entry-e", "zone-b", ["entry"]),
]
ZONES = ("zone-a", "zone-b", "zone-c")
TARGETS = 6
SETTLE_S = 1.0
AFTER_LOSS_S = 1.8
KEY = "p1"


def start_system(system: clusters.Cluster) -> None:
    system.start()
    system.form_control_group()
    system.apply(deployments.document())
    for number in range(TARGETS):
        system.add_target(
            f"pitch-{number}", "pitches", ZONES[number % 3], "--fencing"
        )
    system.wait_in_service("pitches")


class Loss(ty.NamedTuple):
    """Fault of a scenario, its undoing, and the host not to probe."""

    inject: ty.Callable[[], None]
    restore: ty.Callable[[], None]
    excluded_host: str = ""


def owner_of(system: clusters.Cluster) -> dict[str, ty.Any]:
    """Wait until the key has an owner and a coordinator; return both."""

    def owned() -> dict[str, ty.Any] | None:
        placement = system.owner("kisvaros", "pitches", KEY)
        return (
            placement
            if placement["owner"] and placement["coordinator"]
            else None
        )

    return clusters.wait_until(owned, "the key is owned")


def target_kill(system: clusters.Cluster) -> Loss:
    name = owner_of(system)["owner"]
    return Loss(
        lambda: system.targets[name].process.kill(),
        lambda: system.start_target(name),
    )


def coordinator_kill(system: clusters.Cluster) -> Loss:
    name = owner_of(system)["coordinator"]
    return Loss(
        lambda: system.hosts[name].process.kill(),
        lambda: system.start_host(name),
        name,
    )


def leader_kill(system: clusters.Cluster) -> Loss:
    name = system.wait_leader()
    coordinator = owner_of(system)["coordinator"]
    if coordinator == name:
        # Only the leader is to be lost here, so move the coordination away.
        system.cli("zone", "out", system.hosts[name].zone, "--wait")
        time.sleep(SETTLE_S)
        system.cli("zone", "in", system.hosts[name].zone, "--wait")
        time.sleep(0.3)
        return leader_kill(system)
    return Loss(
        lambda: system.hosts[name].process.kill(),
        lambda: system.start_host(name),
        name,
    )


def planned_move(system: clusters.Cluster) -> Loss:
    name = owner_of(system)["owner"]
    return Loss(
        lambda: system.cli("target", "drain", name),
        lambda: system.cli("target", "undrain", name),
    )


def zone_out(system: clusters.Cluster) -> Loss:
    zone = owner_of(system)["zone"]
    return Loss(
        lambda: system.cli("zone", "out", zone),
        lambda: system.cli("zone", "in", zone),
    )


SCENARIOS = {
    "target kill": target_kill,
    "coordinator kill": coordinator_kill,
    "leader kill": leader_kill,
    "planned move": planned_move,
    "zone out": zone_out,
}


async def measure(
    system: clusters.Cluster, scenario: ty.Callable
) -> dict[str, ty.Any]:
    loss = await asyncio.to_thread(scenario, system)
    urls = [
        f"{host.caller_url}/kisvaros/pitches/pitches/{KEY}"
        for host in system.entry_hosts
        if host.name != loss.excluded_host
    ]
    async with probing.Prober(urls) as prober:
        await asyncio.sleep(0.5)
        lost_s = time.monotonic()
        await asyncio.to_thread(loss.inject)
        await asyncio.sleep(AFTER_LOSS_S)
    await asyncio.to_thread(loss.restore)
    await asyncio.to_thread(system.wait_in_service, "pitches")
    await asyncio.sleep(SETTLE_S)
    bad = [p for p in prober.probes if p.due_s >= lost_s and not p.good]
    slow_ms = max((p.done_s - p.due_s) * 1000 for p in prober.probes if p.good)
    return {
        "served_again_ms": prober.served_again_ms(lost_s),
        "last_bad_ms": prober.last_bad_ms(lost_s),
        "slowest_good_ms": slow_ms,
        "failed": len(bad),
        "codes": dict(collections.Counter(p.code for p in bad)),
    }


def percentile(values: ty.Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def report(name: str, results: list[dict[str, ty.Any]]) -> None:
    for field in ("served_again_ms", "last_bad_ms", "slowest_good_ms"):
        values = [item[field] for item in results if item[field] is not None]
        print(
            f"{name:17} {field:16} n={len(values):3} "
            f"p50={percentile(values, 0.5):7.0f} "
            f"p99={percentile(values, 0.99):7.0f} "
            f"worst={max(values):7.0f}",
            flush=True,
        )
    codes: collections.Counter[str] = collections.Counter()
    for item in results:
        codes.update(item["codes"])
    print(f"{name:17} failed requests  {dict(codes)}", flush=True)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--losses", type=int, default=30)
    parser.add_argument("--only")
    parser.add_argument("--json")
    options = parser.parse_args()
    results: dict[str, list[dict[str, ty.Any]]] = {}
    for name, scenario in SCENARIOS.items():
        if options.only and options.only != name:
            continue
        with tempfile.TemporaryDirectory() as folder:
            system = clusters.Cluster(pathlib.Path(folder), HOSTS)
            try:
                start_system(system)
                results[name] = [
                    asyncio.run(measure(system, scenario))
                    for _ in range(options.losses)
                ]
            finally:
                system.close()
        report(name, results[name])
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(results))


if __name__ == "__main__":
    main()

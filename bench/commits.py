"""Replicated log: commit rate, restart, state size and entry cost.

Usage: python bench/commits.py
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "src")]

import cluster as clusters  # noqa: E402
import load as loads  # noqa: E402

from goldcrestproxy import control  # noqa: E402
from goldcrestproxy.control import codec  # noqa: E402
from goldcrestproxy.control import commands  # noqa: E402
from goldcrestproxy import wire  # noqa: E402

HOSTS = [(f"control-{n}", f"zone-{n}", ["control"]) for n in ("a", "b", "c")]
TIMING = wire.ChannelTiming(heartbeat_ms=200, silence_ms=5000)


def make_claim(number: int) -> commands.Claim:
    return commands.Claim(
        customer="kisvaros",
        idempotency_key=f"bench-{number}",
        fingerprint="0" * 32,
        request_id=f"request-{number}",
        claim_id=f"claim-{number}",
        host="bench",
        session="bench",
        time_s=0.0,
    )


async def measure_rate(
    address: wire.PeerAddress, concurrency: int, count: int
):
    hello = wire.ttypes.Hello(version=1, host="bench", session="b", zone="")
    peers = wire.Peers(hello, wire.Handlers(), TIMING)
    latencies: list[float] = []
    numbers = iter(range(concurrency * 10**6, concurrency * 10**6 + count))

    async def worker() -> None:
        for number in numbers:
            start_s = time.monotonic()
            await peers.call(
                address,
                wire.Method.PROPOSE,
                wire.ttypes.ProposeRequest(
                    command=codec.encode(make_claim(number))
                ),
                10_000,
            )
            latencies.append((time.monotonic() - start_s) * 1000)

    start_s = time.monotonic()
    await asyncio.gather(*(worker() for _ in range(concurrency)))
    seconds = time.monotonic() - start_s
    peers.close()
    print(
        f"{concurrency:4} at once: {count / seconds:7.0f} commits/s "
        f"p50={loads.percentile(latencies, 0.5):6.2f} ms "
        f"p99={loads.percentile(latencies, 0.99):6.2f} ms",
        flush=True,
    )


def measure_commits() -> None:
    with tempfile.TemporaryDirectory(dir=ROOT) as folder:
        system = clusters.Cluster(pathlib.Path(folder), HOSTS)
        try:
            system.start()
            system.form_control_group()
            leader = system.hosts[system.wait_leader()]
            address = wire.PeerAddress("127.0.0.1", leader.peer_port)
            pid = leader.process.pid
            for concurrency, count in ((1, 300), (16, 3_000), (128, 12_000)):
                before = loads.processor_s(pid)
                asyncio.run(measure_rate(address, concurrency, count))
                used = loads.processor_s(pid) - before
                print(f"     leader: {used / count * 1e6:.0f} us a commit")
        finally:
            system.close()


def measure_restart() -> None:
    """Print the time until a restarted single control host is leader."""
    for entries, log_entries_max in (
        (1_000, 20_000),
        (100_000, 1_000_000),
        (100_000, 20_000),
    ):
        with tempfile.TemporaryDirectory(dir=ROOT) as name:
            folder = pathlib.Path(name)
            system = clusters.Cluster(
                folder, HOSTS[:1], limits={"log_entries_max": log_entries_max}
            )
            try:
                system.start()
                system.form_control_group()
                host = system.hosts["control-a"]
                address = wire.PeerAddress("127.0.0.1", host.peer_port)
                asyncio.run(measure_rate(address, 256, entries))
                rss = loads.memory_mb(host.process.pid)
                host.process.kill()
                start_s = time.monotonic()
                system.start_host("control-a")
                system.wait_leader(120)
                print(
                    f"restart after {entries} entries, "
                    f"snapshot each {log_entries_max}:"
                    f" {time.monotonic() - start_s:.2f} s to a leader, "
                    f"{rss:.0f} MB before",
                    flush=True,
                )
            finally:
                system.close()


def configured_state(targets: int, partitions: int) -> control.ControlState:
    state = control.ControlState()
    state.apply(
        1,
        commands.ApplyConfiguration(
            change_id="c",
            expected_revision=0,
            operator="bench",
            time_s=0.0,
            document="{}",
            desks={
                "desk": commands.DeskShape(kind="keyed", partitions=partitions)
            },
        ),
    )
    for number in range(targets):
        state.apply(
            number + 2,
            commands.AnnounceTarget(
                target=f"target-{number}",
                incarnation="i" * 32,
                zone="zone-a",
                desk="desk",
                address="127.0.0.1:9000",
                slots=4,
            ),
        )
    placed = tuple(
        commands.Placed(
            slot=commands.Slot(number=number),
            target=f"target-{number % targets}",
        )
        for number in range(partitions)
    )
    state.apply(targets + 2, commands.GrantSlots(desk="desk", placed=placed))
    return state


def measure_state() -> None:
    """Print snapshot size and time by numbers of targets and partitions."""
    for targets, partitions in (
        (30, 1024),
        (300, 1024),
        (300, 10_240),
        (3_000, 65_536),
    ):
        state = configured_state(targets, partitions)
        start_s = time.perf_counter()
        data = state.encode()
        encoded_s = time.perf_counter() - start_s
        start_s = time.perf_counter()
        control.ControlState.decode(data)
        decoded_s = time.perf_counter() - start_s
        print(
            f"state of {targets} targets, {partitions} partitions: "
            f"{len(data) / 1e3:.0f} kB, encode {encoded_s * 1e3:.0f} ms, "
            f"decode {decoded_s * 1e3:.0f} ms",
            flush=True,
        )


def measure_entry() -> None:
    """Print the time to decode and apply one entry."""
    command = make_claim(1)
    data = codec.encode(command)
    state = control.ControlState()
    count = 5_000
    start_s = time.perf_counter()
    for number in range(count):
        state.apply(number + 1, codec.decode(data))
    each_us = (time.perf_counter() - start_s) / count * 1e6
    print(
        f"entry of {len(data)} bytes: {each_us:.0f} us to decode and apply",
        flush=True,
    )


def main() -> None:
    measure_entry()
    measure_state()
    measure_commits()
    measure_restart()


if __name__ == "__main__":
    main()

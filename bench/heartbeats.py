"""Processor time of the leader for heartbeats, reports and ticks, by targets.

Usage: python bench/heartbeats.py
"""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).parent.parent
sys.path[:0] = [
    str(ROOT / "src"),
    str(ROOT / "tests"),
    str(ROOT / "tests" / "control"),
]

import test_registrar  # noqa: E402

from goldcrestproxy import registry  # noqa: E402
from goldcrestproxy import wire  # noqa: E402

HEARTBEAT_S = 0.87
TICKS_PER_S = 10
REPORTS_PER_S = 100
ROUNDS = 4
BLOCKS_PER_REPORT = 10


class Cost:
    """Total processor time of one kind of call."""

    def __init__(self):
        self.calls = 0
        self.used_s = 0.0

    def add(self, used_s):
        self.calls += 1
        self.used_s += used_s

    @property
    def mean_ms(self):
        return self.used_s / self.calls * 1000


def report(keyspace, targets, number):
    return wire.ttypes.WatchRequest(
        host=f"entry-{number}",
        session="",
        zone="",
        applied_index=0,
        entry=True,
        observations=[
            wire.ttypes.TargetObservation(
                target=target.name, incarnation=1, answers=1, work_ms=100.0
            )
            for target in targets[:8]
        ],
        blocks=[
            wire.ttypes.BlockCount(
                service_name="desk",
                first_key=keyspace.firsts[
                    (number + n * 97) % len(keyspace.firsts)
                ],
                requests=1,
            )
            for n in range(BLOCKS_PER_REPORT)
        ],
    )


async def measure(count):
    replica = test_registrar.FakeReplica()
    replica.state.apply(
        1, registry.ChangeItems(changed=(test_registrar.SERVICE,))
    )
    leader = test_registrar.new_leader(replica)
    targets = [
        test_registrar.SimulatedTarget(
            name=f"i-{n:08x}",
            address=f"10.0.{n // 200}.{n % 200}:80",
            clock_slowdown=0.0,
        )
        for n in range(count)
    ]
    heartbeat_cost, report_cost, tick_cost = Cost(), Cost(), Cost()

    async def send_heartbeat(target):
        sent_s = replica.now_s
        heartbeat = target.heartbeat(sent_s)
        start_s = time.process_time()
        answer = await leader.serve(heartbeat)
        heartbeat_cost.add(time.process_time() - start_s)
        target.apply_answer(answer, sent_s, sent_s)
        replica.now_s += HEARTBEAT_S / count

    for target in targets:
        await send_heartbeat(target)
    replica.now_s += 1.5
    await leader._tick()
    heartbeat_cost = Cost()
    keyspace = replica.state.registry.keyspaces["desk"]
    for _ in range(ROUNDS):
        for number, target in enumerate(targets):
            await send_heartbeat(target)
            sent = report(keyspace, targets, number)
            start_s = time.process_time()
            leader.observe(sent)
            report_cost.add(time.process_time() - start_s)
            if number % max(1, count // 8) == 0:
                start_s = time.process_time()
                await leader._tick()
                tick_cost.add(time.process_time() - start_s)
    cores = (
        heartbeat_cost.mean_ms * count / HEARTBEAT_S
        + report_cost.mean_ms * REPORTS_PER_S
        + tick_cost.mean_ms * TICKS_PER_S
    ) / 1000
    print(
        f"{count:5d} targets: "
        f"{heartbeat_cost.mean_ms:.3f} ms a heartbeat, "
        f"{report_cost.mean_ms:.3f} ms a report, "
        f"{tick_cost.mean_ms:.3f} ms a tick, "
        f"{cores:.3f} cores"
    )


def main():
    for count in (21, 151, 200):
        asyncio.run(measure(count))


main()

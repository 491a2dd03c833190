"""Servers freeze for some seconds, and return."""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import stand_ins  # noqa: E402
from common import system as systems  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 90
# At most 0.22 of the servers at a time, the share of the site file's cuts.
FROZEN_MAX = 19
# Time from a server's last heartbeat until the first one after its freeze.
SILENCE_S = (4.60, 4.72)
CALM_S = (3.5, 5.0)
PLAY_S = 90.0
HEARTBEAT_S = systems.HEARTBEAT_MS / 1000
# OWNER: two servers hold the same keys for longer than this.
OVERLAP_S_MAX = 0.5


class FreezingServer(stand_ins.Server):
    """A server whose process can stand still for some seconds.

    What is due in the meantime, such as a heartbeat, happens right after.
    """

    frozen_until_s = 0.0
    freezes = 0

    async def _sleep(self, pause_s: float) -> None:
        end_s = time.monotonic() + pause_s
        while time.monotonic() < max(end_s, self.frozen_until_s):
            left_s = max(end_s, self.frozen_until_s) - time.monotonic()
            await super()._sleep(min(left_s, 0.02))

    async def freeze_in_turn(
        self, turns: asyncio.Semaphore, record: stand_ins.Record, end_s: float
    ) -> None:
        """Freeze again and again, each time right after a heartbeat."""
        await asyncio.sleep(random.uniform(0, 8))
        while time.monotonic() < end_s:
            async with turns:
                answered_s = self.answered_s
                while self.answered_s == answered_s or not self.held:
                    await asyncio.sleep(0.01)
                silence_s = random.uniform(*SILENCE_S)
                self.frozen_until_s = self.answered_s + silence_s
                self.freezes += 1
                record.write(
                    "freeze",
                    server=self.name,
                    ranges=len(self.held),
                    silence_s=round(silence_s, 3),
                )
                await asyncio.sleep(silence_s)
            await asyncio.sleep(random.uniform(*CALM_S))


def overlaps(
    servers: list[FreezingServer],
) -> list[tuple[float, str, str, int, int, float, float]]:
    """Return the spans in which two servers held the same keys."""
    found = []
    rows = [(s.name, *span) for s in servers for span in s.all_spans()]
    rows.sort(key=lambda row: row[3])
    for at, (name, first, last, _, to_s) in enumerate(rows):
        for other, o_first, o_last, o_from_s, o_to_s in rows[at + 1 :]:
            if o_from_s >= to_s:
                break
            if other == name or o_first > last or o_last < first:
                continue
            until_s = min(to_s, o_to_s)
            found.append(
                (
                    until_s - o_from_s,
                    name,
                    other,
                    max(first, o_first),
                    min(last, o_last),
                    o_from_s,
                    until_s,
                )
            )
    return sorted(found, reverse=True)


async def play(system: systems.System, record: stand_ins.Record) -> int:
    """Run the case; return its exit code."""
    for name in system.control_names:
        system.start(name)
    controls = [system.registrant(name) for name in system.control_names]
    operator = stand_ins.Operator(controls, record)
    answer = await operator.order(
        "PATCH",
        "/goldcrestproxy/config",
        stand_ins.changes(
            [stand_ins.route("look", 1, "/look/", "desk")],
            [stand_ins.service("desk", 1, keyed=True)],
            1,
        ),
    )
    if answer is None or answer[0] != 200:
        raise systems.CannotRun("the first configuration was not accepted")
    servers = [
        FreezingServer(
            f"server-{n}",
            "desk",
            f"{system.network}.{n + 20}:{system.ports[2]}",
            controls,
            record,
            heartbeat_s=HEARTBEAT_S,
            zone=f"zone-{'abc'[n % 3]}",
        )
        for n in range(SERVERS)
    ]
    tasks = [asyncio.create_task(server.run()) for server in servers]
    ready_s = time.monotonic() + 15
    while not all(server.held for server in servers):
        if time.monotonic() > ready_s:
            raise systems.CannotRun("not all servers got keys")
        await asyncio.sleep(0.1)
    record.write("ready", servers=len(servers))
    end_s = time.monotonic() + PLAY_S
    if TROUBLE:
        turns = asyncio.Semaphore(FROZEN_MAX)
        tasks.extend(
            asyncio.create_task(server.freeze_in_turn(turns, record, end_s))
            for server in servers
        )
    await asyncio.sleep(PLAY_S)
    for task in tasks:
        task.cancel()
    broken = [row for row in overlaps(servers) if row[0] > OVERLAP_S_MAX]
    base_s = time.monotonic() - record.now_s()
    for length_s, name, other, first, last, from_s, to_s in broken:
        record.write(
            "broken",
            rule="OWNER",
            servers=f"{name},{other}",
            keys=f"{first}-{last}",
            both_from=round(from_s - base_s, 3),
            both_to=round(to_s - base_s, 3),
            both_s=round(length_s, 3),
        )
    for name in system.control_names:
        if not system.running(name):
            raise systems.CannotRun(f"{name} has ended")
    pairs = {frozenset(row[1:3]) for row in broken}
    record.write(
        "result",
        freezes=sum(server.freezes for server in servers),
        overlaps=len(broken),
        pairs=len(pairs),
    )
    print(
        f"{len(broken)} ranges of {len(pairs)} pairs of servers were held "
        f"twice for over {OVERLAP_S_MAX} s"
    )
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(systems.run_case(FOLDER, play, entries=0, trouble=TROUBLE))

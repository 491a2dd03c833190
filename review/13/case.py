"""One upload that crashes servers, among uploads that harm nobody."""

from __future__ import annotations

import asyncio
import functools
import itertools
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import deployment as deployments  # noqa: E402
import peers  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 6
WORK_S = 0.072
DEADLINE_S = 1.2
# For trials: with short bodies the request is quarantined.
BODY_BYTES = int(os.environ.get("BODY_BYTES", "100000"))
HARMLESS_PER_S = 20.0
DEADLY_EVERY_S = 0.7
BACK_AFTER_S = 3.0
LENGTH_S = 40.0
CONTACT_S = 3.0
CRASHES_BEFORE_BOUND = 3
RETRIES_MAX = 3
PATH = "/photos/stall"


class Play:
    def __init__(self, system, record):
        self.system = system
        self.record = record
        self.rng = random.Random(1)
        self.deadly_body = self.rng.randbytes(BODY_BYTES)
        self.deadly_attempts = set()
        self.crashes_s = []
        self.servers = []
        self.arrivals = []
        self.answers = {}
        self.tasks = set()
        self._number = itertools.count(1)
        self._life = itertools.count(1)
        self._ports = [
            deployments.free_port(f"{system.net}.{201 + n}")
            for n in range(SERVERS)
        ]

    async def start_server(self, place):
        server = peers.Server(
            f"i-{place}-{next(self._life)}",
            "gallery",
            (f"{self.system.net}.{201 + place}", self._ports[place]),
            self.system.registrants,
            self.record,
            work_s=WORK_S,
        )
        server.arrivals = self.arrivals
        if TROUBLE:
            server.deadly_body = self.deadly_body
            server.on_crash = functools.partial(self._crash, place)
        self.servers.append(server)
        await server.start()

    def _crash(self, place):
        self.crashes_s.append(time.monotonic())
        self.spawn(self._restart(place))

    async def _restart(self, place):
        await asyncio.sleep(BACK_AFTER_S)
        await self.start_server(place)

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send(self, body, *, deadly):
        attempt = f"{next(self._number):08x}"
        if deadly:
            self.deadly_attempts.add(attempt)
        entry = self.rng.choice(self.system.entry_names)
        self.record.add(
            "client sends", attempt, "deadly" if deadly else "", "to", entry
        )
        status, _, _ = await peers.send(
            self.system.caller_address(entry),
            attempt,
            "POST",
            PATH,
            body,
            deadline_s=DEADLINE_S,
        )
        self.answers[attempt] = status
        self.record.add("client gets", status, "for", attempt)

    async def send_harmless(self, until_s):
        while time.monotonic() < until_s:
            body = self.rng.randbytes(BODY_BYTES)
            self.spawn(self.send(body, deadly=False))
            await asyncio.sleep(1 / HARMLESS_PER_S)

    async def send_deadly(self, until_s):
        while time.monotonic() < until_s:
            began_s = time.monotonic()
            await self.send(self.deadly_body, deadly=True)
            pause_s = began_s + DEADLY_EVERY_S - time.monotonic()
            await asyncio.sleep(max(0.0, pause_s))

    async def run(self):
        operator = peers.Operator(self.system.registrants, self.record)
        self.system.start()
        confirmed = await operator.configure(
            [peers.route("r-1", "/photos/", "gallery", "upload", 2000)],
            [peers.service("gallery")],
        )
        for place in range(SERVERS):
            await self.start_server(place)
        if confirmed != 200 or not await peers.wait_ready(self.system):
            return False
        await asyncio.sleep(2.0)
        until_s = time.monotonic() + LENGTH_S
        await asyncio.gather(
            self.send_harmless(until_s), self.send_deadly(until_s)
        )
        await asyncio.sleep(DEADLINE_S)
        for task in list(self.tasks):
            task.cancel()
        for server in self.servers:
            await server.stop()
        return True

    def late_retries(self):
        """Return the arrivals beyond ``contact`` after the third crash."""
        if len(self.crashes_s) < CRASHES_BEFORE_BOUND:
            return []
        bound_s = self.crashes_s[CRASHES_BEFORE_BOUND - 1] + CONTACT_S
        return [
            attempt
            for attempt, at_s in self.arrivals
            if attempt in self.deadly_attempts and at_s > bound_s
        ]


def main():
    record = deployments.Record(FOLDER / "record.txt")
    system = deployments.Deployment(controls=3, entries=2, losses=1)
    code, summary = 2, ["the case could not run"]
    try:
        play = Play(system, record)
        if asyncio.run(play.run()):
            late = play.late_retries()
            broken = len(late) > RETRIES_MAX
            harmless = [
                status
                for attempt, status in play.answers.items()
                if attempt not in play.deadly_attempts
            ]
            summary = [
                f"crashes: {len(play.crashes_s)} of "
                f"{len(play.deadly_attempts)} deadly requests",
                "retries at servers later than contact after the third "
                f"crash: {len(late)}; {RETRIES_MAX} are allowed",
                f"other uploads: {harmless.count(200)} of {len(harmless)} "
                "served",
                f"ended by themselves: {system.ended_by_itself()}",
                "BUDGET broken" if broken else "BUDGET held",
            ]
            code = 1 if broken else 0
    finally:
        deployments.finish(record, system, summary, code)


main()

"""A server leaves while many requests wait in an entry host for their turn."""

from __future__ import annotations

import asyncio
import itertools
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import deployment as deployments  # noqa: E402
import peers  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 11
WORK_S = 0.281
DEADLINE_S = 5.886
DRAIN_S = 2.0
# A server serves a little longer than the drain time.
SERVE_ON_S = DRAIN_S + 0.6
USUAL_PER_S = 110
BURST_FACTOR = 2.5
BURST_S = 6.6
CALM_S = 4.0
# From the start of the burst until the server says that it leaves.
LEAVES_AFTER_S = 6.0
BODY = b"x" * 2000
LAG_CHECK_S = 0.01


class LagWatch:
    """Measures how late this process may notice what arrives."""

    def __init__(self):
        self.longest_s = 0.0

    async def run(self):
        while True:
            due_s = time.monotonic() + LAG_CHECK_S
            await asyncio.sleep(LAG_CHECK_S)
            self.longest_s = max(self.longest_s, time.monotonic() - due_s)


class Clients:
    def __init__(self, address, record):
        self._address = address
        self._record = record
        self._number = itertools.count(1)
        self._tasks = set()
        self.answers = {}
        self.sent_s = {}

    async def press(self, per_s, for_s):
        started_s = time.monotonic()
        sent = 0
        while (elapsed_s := time.monotonic() - started_s) < for_s:
            while sent < elapsed_s * per_s:
                sent += 1
                self._start()
            await asyncio.sleep(0.005)

    def _start(self):
        attempt = f"{next(self._number):08x}"
        task = asyncio.create_task(self._send(attempt))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send(self, attempt):
        self.sent_s[attempt] = time.monotonic()
        self._record.add("client sends", attempt)
        status, _, _ = await peers.send(
            self._address,
            attempt,
            "POST",
            f"/bookings/{attempt}",
            BODY,
            deadline_s=DEADLINE_S,
        )
        self.answers[attempt] = status
        self._record.add("client gets", status, "for", attempt)

    async def wait(self):
        while self._tasks:
            await asyncio.wait(set(self._tasks))


async def play(system, record):
    operator = peers.Operator(system.registrants, record)
    system.start()
    confirmed = await operator.configure(
        [peers.route("r-1", "/bookings/", "desk", "unsafe", 6000)],
        [peers.service("desk")],
    )
    port = deployments.free_port(f"{system.net}.201")
    servers = [
        peers.Server(
            f"i-{n}",
            "desk",
            (f"{system.net}.{201 + n}", port),
            system.registrants,
            record,
            work_s=WORK_S,
        )
        for n in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    if confirmed != 200 or not await peers.wait_ready(system):
        return None
    await asyncio.sleep(2.0)
    lag = LagWatch()
    watching = asyncio.create_task(lag.run())
    clients = Clients(system.caller_address("entry-0"), record)
    await clients.press(USUAL_PER_S, CALM_S)
    record.add("the burst begins")
    factor = BURST_FACTOR if TROUBLE else 1.0
    pressing = asyncio.create_task(
        clients.press(USUAL_PER_S * factor, BURST_S)
    )
    await asyncio.sleep(LEAVES_AFTER_S)
    leaver = servers[0]
    leaving = asyncio.create_task(leaver.leave(SERVE_ON_S))
    await pressing
    record.add("the burst is over")
    await clients.press(USUAL_PER_S, 5.0)
    await clients.wait()
    await leaving
    watching.cancel()
    for server in servers:
        await server.stop()
    return leaver, clients, lag.longest_s


def main():
    record = deployments.Record(FOLDER / "record.txt")
    system = deployments.Deployment(
        controls=3, entries=1, losses=1, bounds={"drain": DRAIN_S * 1000}
    )
    code, summary = 2, ["the case could not run"]
    try:
        played = asyncio.run(play(system, record))
        if played is not None:
            leaver, clients, lag_s = played
            # What this process may have noticed late is not counted.
            bound_s = leaver.leaving_acked_s + DRAIN_S + lag_s
            late = [
                (attempt, at_s - leaver.leaving_acked_s)
                for attempt, at_s in leaver.arrivals
                if at_s > bound_s
            ]
            lost = [
                attempt
                for attempt, _ in late
                if clients.answers.get(attempt) != 200
            ]
            answers = list(clients.answers.values())
            counts = ", ".join(
                f"{answers.count(status)} with {status}"
                for status in sorted(set(answers))
            )
            confirmed_s = leaver.leaving_acked_s
            after = sum(at_s > confirmed_s for _, at_s in leaver.arrivals)
            last_s = max((after_s for _, after_s in late), default=0)
            summary = [
                f"requests sent: {len(clients.sent_s)}, answered: {counts}",
                f"requests at {leaver.name} after the confirmation: {after}",
                f"of them later than drain: {len(late)}, the last "
                f"{last_s:.2f} s after it",
                f"of these, not served in the end: {len(lost)}",
                f"longest lag of the stand-ins: {lag_s:.3f} s",
                f"ended by themselves: {system.ended_by_itself()}",
                "DRAIN broken" if late else "DRAIN held",
            ]
            code = 1 if late else 0
    finally:
        deployments.finish(record, system, summary, code)


main()

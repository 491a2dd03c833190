"""An order that a frozen control host had received is applied after others."""

from __future__ import annotations

import asyncio
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import stand_ins  # noqa: E402
from common import system as systems  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 6
REQUESTS_PER_S = 25.0
WORK_S = 0.02
# Bounds ``evac`` and ``contact`` of the pages.
EVAC_S = 5.0
CONTACT_S = 3.0
# The site file has freezes of up to 6.9 s.
FREEZE_S = 6.0
EVACUATED = "zone-a"
PATH = f"/goldcrestproxy/evacuate/{EVACUATED}"


async def order(
    operator: stand_ins.Operator, method: str, first: str = ""
) -> None:
    """Send an order until it is acknowledged."""
    answer = await operator.order(method, PATH, first=first)
    if answer is None or answer[0] != 200:
        raise systems.CannotRun(f"{method} {PATH} was not acknowledged")


async def play(system: systems.System, record: stand_ins.Record) -> int:
    """Run the case; return its exit code."""
    for name in (*system.control_names, *system.entry_names):
        system.start(name)
    controls = [system.registrant(name) for name in system.control_names]
    operator = stand_ins.Operator(controls, record)
    answer = await operator.order(
        "PATCH",
        "/goldcrestproxy/config",
        stand_ins.changes(
            [stand_ins.route("look", 1, "/look/", "vault")],
            [stand_ins.service("vault", 1, keyed=False)],
            1,
        ),
    )
    if answer is None or answer[0] != 200:
        raise systems.CannotRun("the first configuration was not accepted")
    servers = [
        stand_ins.Server(
            f"server-{n}",
            "vault",
            f"{system.network}.{n + 20}:{system.ports[2]}",
            controls,
            record,
            heartbeat_s=systems.HEARTBEAT_MS / 1000,
            zone=f"zone-{'abc'[n % 3]}",
            keyed=False,
        )
        for n in range(SERVERS)
    ]
    for server in servers:
        await server.listen(WORK_S)
    tasks = [asyncio.create_task(server.run()) for server in servers]
    clients = [
        stand_ins.Client(system.caller_address(name), record, REQUESTS_PER_S)
        for name in system.entry_names
    ]
    tasks.extend(
        asyncio.create_task(client.run("/look/pitch", keyed=False))
        for client in clients
    )
    await asyncio.sleep(5)
    if not any(status == 200 for _, _, status in clients[0].answers):
        raise systems.CannotRun("no request is served")
    # The operator takes a zone out, back, and out again.
    await order(operator, "POST")
    await asyncio.sleep(2)
    frozen = system.control_names[-1]
    if TROUBLE:
        system.signal(frozen, signal.SIGSTOP)
        record.write("freeze", host=frozen)
        thaw = asyncio.create_task(asyncio.sleep(FREEZE_S))
    await order(operator, "DELETE", first=system.registrant(frozen))
    await asyncio.sleep(2.0)
    await order(operator, "POST", first=controls[0])
    acknowledged_s = record.now_s()
    record.write("evacuated", zone=EVACUATED)
    calm_s = acknowledged_s + EVAC_S
    if TROUBLE:
        await thaw
        system.signal(frozen, signal.SIGCONT)
        record.write("thaw", host=frozen)
        calm_s = max(calm_s, record.now_s() + CONTACT_S)
    await asyncio.sleep(calm_s - record.now_s() + 5)
    end_s = record.now_s()
    await order(operator, "DELETE")
    for task in tasks:
        task.cancel()
    # Requests in flight end within their time-outs.
    await asyncio.sleep(1.6)
    sent_s = {
        attempt: at_s
        for client in clients
        for attempt, at_s, _ in client.answers
    }
    late = [
        (attempt, server.name, at_s)
        for server in servers
        if server.zone == EVACUATED
        for attempt, at_s in server.runs
        if calm_s < sent_s.get(attempt, 0.0) and at_s < end_s
    ]
    for attempt, name, at_s in late:
        record.write(
            "broken",
            rule="EVAC",
            id=attempt,
            server=name,
            zone=EVACUATED,
            after_acknowledgement_s=round(at_s - acknowledged_s, 3),
        )
    record.write("result", late_requests=len(late))
    print(f"{len(late)} requests reached servers of the evacuated zone")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(systems.run_case(FOLDER, play, entries=2, trouble=TROUBLE))

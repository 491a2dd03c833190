"""Control hosts are replaced one by one after some tens of changes."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from common import stand_ins  # noqa: E402
from common import system as systems  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTES = 350
CHANGES = int(os.environ.get("CHANGES", "70"))
REPLACED = 3
# Bound ``sync_time`` of the pages, after which a host counts as caught up.
SYNC_TIME_S = 4.0
# Bounds ``contact`` and ``ack``.
CONTACT_S = 3.0
ACK_S = 4.0
READ_BACK_S = 15.0


def change(version: int) -> bytes:
    """Return a call that sets a new version of each route."""
    routes = [
        stand_ins.route(f"r-{n:05d}", version, f"/lohu{n}/", "desk")
        for n in range(ROUTES)
    ]
    services = [stand_ins.service("desk", 1, keyed=True)]
    return stand_ins.changes(routes, services, 1)


async def replace(
    system: systems.System,
    operator: stand_ins.Operator,
    old: str,
    record: stand_ins.Record,
) -> None:
    """Start a new control host, and stop an old one once it had its time."""
    new = system.add_control()
    system.start(new)
    record.write("started", host=new, address=system.registrant(new))
    await asyncio.sleep(SYNC_TIME_S + 2)
    operator.addresses.append(system.registrant(new))
    system.signal(old, signal.SIGTERM)
    record.write("sigterm", host=old)
    while system.running(old):
        await asyncio.sleep(0.05)
    record.write("ended", host=old)
    # The list from which the operator picks lags by ``seed-lag``.
    await asyncio.sleep(3)
    operator.addresses.remove(system.registrant(old))


def is_read_back(answer: tuple[int, bytes] | None, version: int) -> bool:
    """Whether a config that was read holds all that was acknowledged."""
    if answer is None or answer[0] != 200:
        return False
    routes = json.loads(answer[1])["routes"]
    return len(routes) == ROUTES and all(
        item["version"] == version for item in routes
    )


async def play(system: systems.System, record: stand_ins.Record) -> int:
    """Run the case; return its exit code."""
    for name in system.control_names:
        system.start(name)
    system.first_start = False
    operator = stand_ins.Operator(
        [system.registrant(name) for name in system.control_names], record
    )
    for version in range(1, CHANGES + 1):
        answer = await operator.order(
            "PATCH", "/goldcrestproxy/config", change(version)
        )
        if answer is None or answer[0] != 200:
            raise systems.CannotRun(f"change {version} was not accepted")
    old_names = list(system.control_names)
    if TROUBLE:
        for old in old_names[:REPLACED]:
            await replace(system, operator, old, record)
    # From here on the core is stable and all hosts are in touch.
    await asyncio.sleep(CONTACT_S)
    calm_s = time.monotonic()
    evacuated = await operator.order(
        "POST", "/goldcrestproxy/evacuate/zone-a", give_up_s=READ_BACK_S
    )
    acknowledged_s = time.monotonic() - calm_s
    answer = await operator.order(
        "GET", "/goldcrestproxy/config", give_up_s=READ_BACK_S
    )
    read_back = is_read_back(answer, CHANGES)
    late = evacuated is None or acknowledged_s > ACK_S
    for name in system.control_names:
        refused = system.log_lines(name, "frame of")
        record.write(
            "host",
            name=name,
            runs=system.running(name),
            rejected_frames=len(refused),
            example=repr(refused[-1][-120:]) if refused else "",
        )
    record.write(
        "result",
        acknowledged_version=CHANGES,
        evacuation_acknowledged=not late,
        read_back=read_back,
    )
    print(f"evacuation acknowledged: {not late}, read back: {read_back}")
    return 0 if read_back and not late else 1


if __name__ == "__main__":
    sys.exit(systems.run_case(FOLDER, play, entries=0, trouble=TROUBLE))

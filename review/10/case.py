"""The leader is killed while a new control host joins as a learner."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import harness  # noqa: E402

RECOVER_S = 15.0
SYNC_S = 4.0
ASKED_S = 12.0


async def until_learner(deployment, leader, name):
    """Wait until the leader has added a host as a learner."""
    until_s = time.monotonic() + 15
    read = ""
    with open(deployment.folder / f"{leader}.log", errors="replace") as log:
        while f"{name} (learner)" not in read:
            if time.monotonic() > until_s:
                raise harness.CannotRun(f"{name} did not join")
            await asyncio.sleep(0.001)
            read = read[-200:] + log.read()


async def case(deployment, record, trouble):
    deployment.start_all()
    operator = harness.Operator(deployment, record)
    targets = [
        harness.Target(
            deployment,
            record,
            f"i-{number:08x}",
            "ledger",
            harness.ZONES[number % 2],
            keyed=True,
            listen_address=f"{deployment.net}.{100 + number}",
        )
        for number in range(4)
    ]
    for target in targets:
        await target.start()
    await operator.configure({"ledger": True}, {"view": ("safe", "ledger")})
    await harness.until_served(
        deployment, record, "entry-0", "GET", "/view/a", key=7
    )
    await asyncio.sleep(SYNC_S)

    # Planned: the new host first, then SIGTERM for the old one.
    leader = deployment.leader()
    old = next(name for name in deployment.controls if name != leader)
    new = deployment.add_control()
    if trouble:
        await until_learner(deployment, leader, new)
        deployment.kill(leader)
        await asyncio.sleep(0.5)
        deployment.start(leader)
    await asyncio.sleep(2 * SYNC_S)
    deployment.signal(old, signal.SIGTERM)
    await harness.until(
        lambda: deployment.ended(old) is not None, 8, "the old host has ended"
    )
    deployment.remove_control(old)
    await asyncio.sleep(2 * SYNC_S)
    await operator.order(
        "POST", f"/goldcrestproxy/evacuate/{harness.ZONES[2]}"
    )
    record.add("hosts", old=old, new=new, listed=deployment.controls)

    # Two of five hosts lose their disks, as many as are to be borne.
    lost = random.sample([n for n in deployment.controls if n != new], 2)
    for name in lost:
        deployment.kill(name)
    for name in lost:
        deployment.wipe(name)
    await asyncio.sleep(0.5)
    for name in lost:
        deployment.start(name)

    await asyncio.sleep(RECOVER_S)
    served = 0
    for number in range(20):
        _, answer = await harness.request(
            deployment,
            record,
            "entry-0",
            "GET",
            "/view/b",
            key=number * 3000,
            deadline_ms=1500,
        )
        served += answer is not None and answer.status == 200
    try:
        answer = await operator.order(
            "GET", "/goldcrestproxy/config", within_s=ASKED_S
        )
        read_back = answer.status
    except harness.CannotRun:
        read_back = None
    record.add("after recover", served=served, of=20, config=read_back)
    if read_back != 200 or served < 5:
        return (
            f"RECOVER, CONFIG: {RECOVER_S:.0f} s after all hosts were back, "
            f"{served} of 20 requests were served and the config was "
            f"{'read' if read_back == 200 else 'not to be read'}"
        )
    return None


harness.play(FOLDER, case)

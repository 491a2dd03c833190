"""A report arrives seconds late, at a leader that is new."""

from __future__ import annotations

import asyncio
import itertools
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

import harness  # noqa: E402

# RULES.md: "Two servers that are up hold the same keys for over half a
# second".
BOTH_HOLD_S = 0.5
FAST_S, SLOW_S = 0.02, 0.12
CALLERS = 12
TARGETS = 8


class Holders:
    """Which keys two targets hold at the same time, and for how long."""

    def __init__(self, targets):
        self._targets = targets
        # By pair of targets, since when each key is held by both.
        self._since_s = {}
        self.longest_s = 0.0
        self.longest = None

    def check(self):
        now_s = time.monotonic()
        rows = {
            target.name: target.held if now_s < target.hold_end_s else []
            for target in self._targets
        }
        both = {}
        for one, other in itertools.combinations(sorted(rows), 2):
            for low, high, _ in rows[one]:
                for a, b, _ in rows[other]:
                    if low <= b and a <= high:
                        both[one, other, max(low, a)] = min(high, b)
        self._since_s = {
            key: self._since_s.get(key, now_s) for key in both
        }
        for key, since_s in self._since_s.items():
            if now_s - since_s > self.longest_s:
                self.longest_s = now_s - since_s
                self.longest = (*key, both[key])

    async def watch(self):
        while True:
            self.check()
            await asyncio.sleep(0.02)


async def keep_calling(deployment, record, stopped):
    while not stopped.is_set():
        await harness.request(
            deployment,
            record,
            random.choice(deployment.entries),
            "GET",
            "/view/a",
            key=random.randrange(harness.KEY_COUNT),
            deadline_ms=2000,
        )
        await asyncio.sleep(0.03)


async def case(deployment, record, trouble):
    deployment.start_all()
    operator = harness.Operator(deployment, record)
    targets = [
        harness.Target(
            deployment,
            record,
            f"i-{number:08x}",
            "ledger",
            harness.ZONES[min(number, 1)],
            keyed=True,
            slots=4,
            work_s=SLOW_S if number else FAST_S,
            listen_address=f"{deployment.net}.{100 + number}",
        )
        for number in range(TARGETS)
    ]
    fast = targets[0]
    for target in targets:
        await target.start()
    holders = Holders(targets)
    watching = asyncio.create_task(holders.watch())
    await operator.configure({"ledger": True}, {"view": ("safe", "ledger")})
    await harness.until_served(
        deployment, record, "entry-0", "GET", "/view/a", key=7
    )
    stopped = asyncio.Event()
    callers = [
        asyncio.create_task(keep_calling(deployment, record, stopped))
        for _ in range(CALLERS)
    ]
    await asyncio.sleep(14)

    # The report in which the fast target says what it has released goes to
    # a control host to which its link is slow; after a second without an
    # answer it calls the next one.
    leader = deployment.leader()
    slow_host = next(n for n in deployment.controls if n != leader)
    link = harness.SlowLink(
        f"{deployment.net}.150", deployment.registrants(slow_host)
    )
    await link.start()
    evacuate = f"/goldcrestproxy/evacuate/{fast.zone}"
    before = fast.key_count()
    await operator.order("POST", evacuate)

    async def released():
        return bool(fast.freed) and fast.key_count() == 0

    if trouble:
        fast.links[slow_host] = link.address
        fast.next_with_all_freed = slow_host
    await harness.until(released, 6, "the target has released its keys")
    await harness.until(
        lambda: not fast.freed, 6, "its release is acknowledged"
    )
    fast.links.clear()
    await asyncio.sleep(0.5)
    await operator.order("DELETE", evacuate)
    await asyncio.sleep(5)
    record.add("taken back", keys_before=before, keys=fast.key_count())

    last_s = fast.last_acknowledged_s
    await harness.until(
        lambda: fast.last_acknowledged_s > last_s, 5, "a report"
    )
    deployment.kill(deployment.leader())
    killed_s = time.monotonic()

    async def reads_config():
        try:
            answer = await harness.call(
                deployment.registrants(slow_host),
                "GET",
                "/goldcrestproxy/config",
            )
        except OSError:
            return False
        return answer.status == 200

    await harness.until(reads_config, 10, "a new leader")
    record.add(
        "new leader",
        after_s=round(time.monotonic() - killed_s, 3),
        reported_ago_s=round(time.monotonic() - fast.last_acknowledged_s, 3),
    )
    if trouble:
        link.deliver()
        record.add("late report", delay_s=round(link.delay_s, 3))
    await asyncio.sleep(5)
    stopped.set()
    await asyncio.gather(*callers)
    watching.cancel()
    record.add("answer to the late report", start=link.answer.decode("latin1"))
    record.add(
        "end", longest_s=round(holders.longest_s, 3), keys=holders.longest
    )
    if holders.longest_s > BOTH_HOLD_S:
        one, other, first, last = holders.longest
        return (
            f"OWNER: {one} and {other} both held keys {first} to {last} for "
            f"{holders.longest_s:.2f} s"
        )
    return None


harness.play(FOLDER, case, control_count=5)

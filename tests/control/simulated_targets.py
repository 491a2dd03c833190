"""Targets and a replica without a network, for tests of the registrar."""

from __future__ import annotations

import asyncio
import random

import attrs

from goldcrestproxy import control
from goldcrestproxy.control import registrar
from goldcrestproxy import errors
from goldcrestproxy import registry

SETTINGS = registrar.RegistrarSettings(heartbeat_ms=870, hold_ms=3500)
SERVICE = registry.Item(
    key=registry.ItemKey(kind=registry.ItemKind.SERVICE, name="desk"),
    version=1,
    value=registry.Service(
        health_path="/",
        connections_max=10,
        cold_ms=3000,
        cold_requests_per_s=5.0,
        keyed=True,
    ),
    source="{}",
)


@attrs.define
class FakeReplica:
    """Commits immediately; successive leaders share its state."""

    host: str = "control-a"
    term: int = 1
    state: control.ControlState = attrs.field(factory=control.ControlState)
    now_s: float = 1000.0
    leading: bool = True

    def clock(self):
        return self.now_s

    def has_leader_lease(self):
        return self.leading

    async def propose(self, command):
        if not self.leading:
            raise errors.NotLeaderError("")
        return self.state.apply(self.state.applied_index + 1, command)


@attrs.define
class DelayedReplica(FakeReplica):
    """Applies proposals in order, when the test says so."""

    pending: list[tuple[object, asyncio.Future[object]]] = attrs.field(
        factory=list
    )

    async def propose(self, command):
        if not self.leading:
            raise errors.NotLeaderError("")
        future = asyncio.get_running_loop().create_future()
        self.pending.append((command, future))
        return await future

    async def commit(self, count=1_000):
        """Apply the oldest proposals and let what waits for them go on."""
        for command, future in self.pending[:count]:
            future.set_result(
                self.state.apply(self.state.applied_index + 1, command)
            )
        del self.pending[:count]
        await settle()


async def settle():
    """Let all tasks run until each waits."""
    for _ in range(20):
        await asyncio.sleep(0)


@attrs.define
class SimulatedTarget:
    """A target that follows the heartbeat protocol."""

    name: str
    address: str
    clock_slowdown: float
    incarnation: int = 1
    sequence: int = 0
    # Last key and token of each held range, by first key.
    held: dict[int, tuple[int, int]] = attrs.field(factory=dict)
    until_s: float = 0.0
    released: list[registry.ReleasedRange] = attrs.field(factory=list)
    seen_tokens: dict[int, int] = attrs.field(factory=dict)
    leaving: bool = False
    cold_ms: int = 0
    zone: str = "zone-a"

    def heartbeat(self, now_s):
        self.expire(now_s)
        self.sequence += 1
        return registry.Heartbeat(
            target=self.name,
            incarnation=self.incarnation,
            service="desk",
            zone=self.zone,
            address=self.address,
            slots=4,
            leaving=self.leaving,
            cold_ms=self.cold_ms,
            sequence=self.sequence,
            held=tuple(
                registry.HeldRange(first_key=first, last_key=last, token=token)
                for first, (last, token) in self.held.items()
            ),
            released=tuple(self.released),
        )

    def apply_answer(self, answer, sent_s, now_s):
        self.released.clear()
        if answer.ranges is None:
            return
        granted = {}
        for row in answer.ranges:
            keys = range(row.first_key, row.last_key + 1)
            if all(self.seen_tokens.get(k, 0) <= row.token for k in keys):
                granted[row.first_key] = (row.last_key, row.token)
                self.seen_tokens.update(dict.fromkeys(keys, row.token))
        kept = {
            k for f, (last, _) in granted.items() for k in range(f, last + 1)
        }
        for first, (last, token) in self.held.items():
            lost = [k for k in range(first, last + 1) if k not in kept]
            if lost:
                self.released.append(
                    registry.ReleasedRange(
                        first_key=min(lost),
                        last_key=max(lost),
                        handover=f"{self.name}-{token}",
                    )
                )
        self.held = granted
        hold_s = answer.hold_ms / 1000 * (1 + self.clock_slowdown)
        self.until_s = sent_s + hold_s
        self.expire(now_s)

    def expire(self, now_s):
        if now_s >= self.until_s:
            self.held.clear()

    def keys(self, now_s):
        self.expire(now_s)
        return {
            k for f, (last, _) in self.held.items() for k in range(f, last + 1)
        }

    def restart(self):
        self.incarnation += 1
        self.sequence = 0
        self.held.clear()
        self.released.clear()
        self.seen_tokens.clear()


def new_leader(replica, seed=1):
    return registrar.Registrar(replica, replica, SETTINGS, random.Random(seed))


def targets(count):
    return [
        SimulatedTarget(f"t{n}", f"10.0.0.{n}:80", 0.02 if n % 2 else 0.0)
        for n in range(count)
    ]


async def send_heartbeat(leader, replica, target, *, delay_s=0.0, lost=False):
    sent_s = replica.now_s
    report = target.heartbeat(sent_s)
    replica.now_s += delay_s
    answer = await leader.serve(report)
    if not lost:
        target.apply_answer(answer, sent_s, replica.now_s)
    return answer

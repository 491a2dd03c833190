"""Open-loop load generator over keep-alive connections.

Requests are due at fixed times. Latency counts from the due time, also when
the generator or the system is late.
"""

from __future__ import annotations

import asyncio
import collections
import os
import time
import typing as ty

import attrs

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Completion:
    """Completion of one request.

    ``status`` is 0 without an answer; ``result`` is the Goldcrest-Result.
    """

    due_s: float
    latency_ms: float
    status: int
    result: str


class Connection:
    """Keep-alive connection that sends one request at a time."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self._streams: ty.Any = None

    async def fetch(
        self, method: str, path: str, body: bytes, headers: str
    ) -> tuple[int, str, bytes]:
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: bench\r\n{headers}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        try:
            answer = await reader.readuntil(b"\r\n\r\n")
            status = int(answer[9:12])
            fields = _parse_headers(answer)
            length = int(fields.get("content-length", "0"))
            text = await reader.readexactly(length)
        except BaseException:
            self.close()
            raise
        return status, fields.get("goldcrest-result", ""), text

    def close(self) -> None:
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


def _parse_headers(head: bytes) -> dict[str, str]:
    headers = {}
    for line in head.decode("latin1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    return headers


@attrs.define
class Load:
    """Send requests at a fixed rate to the addresses in turn."""

    addresses: ty.Sequence[tuple[str, int]]
    rate_per_s: float
    make_request: ty.Callable[[int], tuple[str, str, bytes]]
    headers: str = ""
    timeout_s: float = 8.0
    completions: list[Completion] = attrs.field(factory=list)
    _idle: dict[tuple[str, int], list[Connection]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )

    async def run(self, seconds: float) -> list[Completion]:
        start_s = time.monotonic()
        pending: set[asyncio.Task[None]] = set()
        number = 0
        while True:
            due_s = start_s + number / self.rate_per_s
            if due_s > start_s + seconds:
                break
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            task = asyncio.create_task(self._one(number, due_s))
            pending.add(task)
            task.add_done_callback(pending.discard)
            number += 1
        if pending:
            await asyncio.wait(pending)
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        return self.completions

    async def _one(self, number: int, due_s: float) -> None:
        address = self.addresses[number % len(self.addresses)]
        idle = self._idle[address]
        connection = idle.pop() if idle else Connection(*address)
        method, path, body = self.make_request(number)
        status, result = 0, "no answer"
        try:
            async with asyncio.timeout(self.timeout_s):
                status, result, _ = await connection.fetch(
                    method, path, body, self.headers
                )
            idle.append(connection)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            connection.close()
        latency_ms = (time.monotonic() - due_s) * 1000
        self.completions.append(Completion(due_s, latency_ms, status, result))


def percentile(values: ty.Sequence[float], share: float) -> float:
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def describe(completions: ty.Sequence[Completion]) -> str:
    latencies_ms = [d.latency_ms for d in completions if d.status == 200]
    quantiles = " ".join(
        f"p{label}={percentile(latencies_ms, share):7.1f}"
        for label, share in (("50", 0.5), ("99", 0.99), ("99.9", 0.999))
    )
    return (
        f"n={len(completions):6} "
        f"good={len(latencies_ms) / max(1, len(completions)):7.2%} {quantiles}"
    )


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def memory_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * 4096 / 1e6

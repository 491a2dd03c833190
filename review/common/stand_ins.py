"""Stand-ins for the platform's operator, servers and clients.

They speak what the users' pages say, with the project's names on the wire
(deploy/wire.toml).
"""

from __future__ import annotations

import asyncio
import itertools
import json
import pathlib
import random
import time
import typing as ty

CALL_TIMEOUT_S = 1.0
# Longest time for the answer to a large configuration.
LARGE_TIMEOUT_S = 4.0
LARGE_BYTES = 64 * 1024


class Record:
    """Writes what was sent, answered and run, with the time."""

    def __init__(self, file: pathlib.Path) -> None:
        self._file = file.open("w")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the case."""
        return time.monotonic() - self._started_s

    def write(self, kind: str, **fields: ty.Any) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now_s():9.4f} {kind} {text}\n")
        self._file.flush()


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
    source: str = "",
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a connection of its own; return the answer.

    :param source: the caller's address, any one if empty
    :raises OSError: without a complete answer in time
    """
    host, _, port = address.rpartition(":")
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host,
                int(port),
                local_addr=(source, 0) if source else None,
            )
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": address, "Connection": "close"}
            fields.update(headers or {})
            if body or method not in ("GET", "DELETE"):
                fields["Content-Length"] = str(len(body))
            lines.extend(f"{name}: {value}" for name, value in fields.items())
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            return await _read_answer(reader, method)
    except (asyncio.IncompleteReadError, ValueError) as error:
        raise OSError(f"broken answer: {error!r}") from error
    finally:
        if writer is not None:
            writer.close()


async def _read_answer(
    reader: asyncio.StreamReader, method: str
) -> tuple[int, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *rest = head.rstrip("\r\n").split("\r\n")
    status = int(first.split(" ", 2)[1])
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if method == "HEAD" or status in (204, 304):
        return status, headers, b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    else:
        body = await reader.read()
    return status, headers, body


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Read one request; return its first line, headers and body.

    :raises asyncio.IncompleteReadError: when the connection has ended
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *rest = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if not size:
                return first, headers, body
    length = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(length)


class Operator:
    """Sends orders to one control host after another until one answers.

    A call without a clear answer is sent again as it was.
    """

    def __init__(self, addresses: list[str], record: Record) -> None:
        self.addresses = addresses
        self._record = record
        self._rng = random.Random()

    async def order(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        give_up_s: float = 20,
        first: str = "",
    ) -> tuple[int, bytes] | None:
        """Return the clear answer to an order, None without one in time.

        :param first: the control host that it happens to pick first
        """
        sent_s = time.monotonic()
        pause_s = 0.05
        timeout_s = (
            LARGE_TIMEOUT_S
            if len(body) > LARGE_BYTES or method == "GET"
            else CALL_TIMEOUT_S
        )
        tries = 0
        address = ""
        while time.monotonic() < sent_s + give_up_s:
            others = [a for a in self.addresses if a != address]
            address = first or self._rng.choice(others or self.addresses)
            first = ""
            tries += 1
            try:
                status, _, answer = await call(
                    address, method, path, body, timeout_s=timeout_s
                )
            except (OSError, TimeoutError) as error:
                status, answer = 0, repr(error).encode()
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                self._record.write(
                    "order",
                    method=method,
                    path=path,
                    bytes=len(body),
                    status=status,
                    by=address,
                    tries=tries,
                    ms=round((time.monotonic() - sent_s) * 1000),
                )
                return status, answer
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        self._record.write(
            "order",
            method=method,
            path=path,
            bytes=len(body),
            status="none",
            tries=tries,
            last=answer[:120],
            ms=round((time.monotonic() - sent_s) * 1000),
        )
        return None


class Server:
    """A server that registers, holds keys and reports them.

    ``cut`` partitions it from control: its calls get no answer. Its clock is
    the monotonic one of this process.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        controls: list[str],
        record: Record,
        *,
        heartbeat_s: float,
        zone: str = "zone-a",
        keyed: bool = True,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.keyed = keyed
        self.cut = False
        self.state = "ready"
        self._controls = controls
        self._record = record
        self._heartbeat_s = heartbeat_s
        self._rng = random.Random()
        self._sequence = itertools.count(1)
        self._born = int(time.time() * 1000)
        # Ranges by first key, with the last key and the fence.
        self.held: dict[int, tuple[int, int]] = {}
        self.until_s = 0.0
        self._released: list[list[ty.Any]] = []
        self._seen: dict[int, int] = {}
        # When it sent the heartbeat that was answered last.
        self.answered_s = 0.0
        # Attempt ids that ran here, with the time.
        self.runs: list[tuple[str, float]] = []
        # Spans in which it held each block: (first, last, from, to).
        self.spans: list[tuple[int, int, float, float]] = []
        self._open: dict[tuple[int, int, int], float] = {}

    def holds(self, key: int) -> bool:
        """Whether it holds a key now."""
        if time.monotonic() >= self.until_s:
            return False
        return any(
            first <= key <= last for first, (last, _) in self.held.items()
        )

    async def listen(self, work_s: float) -> asyncio.Server:
        """Serve requests; each takes ``work_s``."""

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                while True:
                    await self._serve_one(reader, writer, work_s)
            except (OSError, asyncio.IncompleteReadError, ValueError):
                pass
            finally:
                writer.close()

        host, _, port = self.address.rpartition(":")
        return await asyncio.start_server(serve, host, int(port))

    async def _serve_one(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        work_s: float,
    ) -> None:
        first, headers, _ = await read_message(reader)
        attempt = headers.get("attempt-id", "")
        expected = headers.get("target-instance", self.name)
        key = headers.get("shard-key")
        if "/healthz" in first:
            status, more, body = "200 OK", f"Instance-Id: {self.name}\r\n", b""
        elif expected != self.name or (
            self.keyed and (key is None or not self.holds(int(key)))
        ):
            status, more, body = (
                "421 Misdirected Request",
                f"Not-Executed: 1\r\nInstance-Id: {self.name}\r\n",
                b"",
            )
        else:
            self.runs.append((attempt, self._record.now_s()))
            self._record.write("run", server=self.name, id=attempt)
            await self.begin(headers)
            await asyncio.sleep(work_s)
            status = "200 OK"
            more = f"Response-Signature: {self.name}.{attempt}\r\n"
            body = f"from {self.name}".encode()
        writer.write(
            (
                f"HTTP/1.1 {status}\r\nAttempt-Id: {attempt}\r\n{more}"
                f"Server-Load: 1,0,4,100\r\nContent-Length: {len(body)}"
                "\r\n\r\n"
            ).encode()
            + body
        )
        await writer.drain()

    async def begin(self, headers: dict[str, str]) -> None:
        """Run a request; a server that crashes raises OSError here."""

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self._expire()
            if await self._heartbeat() and self._released:
                await asyncio.sleep(0.05)
                continue
            pause_s = self._heartbeat_s * self._rng.uniform(1.0, 1.05)
            await self._sleep(pause_s)

    async def _sleep(self, pause_s: float) -> None:
        end_s = time.monotonic() + pause_s
        if self.until_s < end_s:
            await asyncio.sleep(max(0.0, self.until_s - time.monotonic()))
            self._expire()
        await asyncio.sleep(max(0.0, end_s - time.monotonic()))

    async def _heartbeat(self) -> bool:
        """Call one daemon after another until one answers."""
        first = self._rng.randrange(len(self._controls))
        for n in range(len(self._controls)):
            address = self._controls[(first + n) % len(self._controls)]
            sent_s = time.monotonic()
            body = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 4,
                "state": self.state,
                "cold_left_ms": 0,
                "sequence": next(self._sequence),
                "born": self._born,
                "held": [[f, la, t] for f, (la, t) in self.held.items()],
                "released": self._released,
            }
            if self.cut:
                # Packets in either direction are lost.
                await asyncio.sleep(CALL_TIMEOUT_S)
                continue
            try:
                status, _, answer = await call(
                    address,
                    "PUT",
                    f"/goldcrestproxy/instances/{self.name}",
                    json.dumps(body).encode(),
                )
            except (OSError, TimeoutError):
                continue
            if self.cut or not 200 <= status < 300 or len(answer) > 4096:
                continue
            self._apply(json.loads(answer), sent_s)
            return True
        return False

    def _apply(self, answer: dict[str, ty.Any], sent_s: float) -> None:
        self.answered_s = sent_s
        self._released = []
        self._expire()
        if "held" not in answer:
            return
        now_s = time.monotonic()
        granted = {
            f: (la, t)
            for f, la, t, _ in answer["held"]
            if self._seen.get(f, 0) <= t
        }
        self._seen.update({f: t for f, (_, t) in granted.items()})
        until_s = sent_s + answer["hold_ms"] / 1000
        if until_s <= now_s:
            return
        for f, (la, t) in self.held.items():
            if not any(g <= f <= end for g, (end, _) in granted.items()):
                self._released.append([f, la, f"{self.name}-{t}-{f}"])
        before, self.held = self.held, granted
        self.until_s = until_s
        self._track(now_s)
        if set(before) != set(granted):
            self._record.write(
                "hold",
                server=self.name,
                ranges=len(granted),
                more=len(set(granted) - set(before)),
                less=len(set(before) - set(granted)),
            )

    def _expire(self) -> None:
        if self.held and time.monotonic() >= self.until_s:
            self._record.write(
                "expired", server=self.name, ranges=len(self.held)
            )
            self.held = {}
            self._track(self.until_s)

    def _track(self, now_s: float) -> None:
        """Note which ranges are held from and to when."""
        current = {(f, la, t) for f, (la, t) in self.held.items()}
        for row in set(self._open) - current:
            self.spans.append((row[0], row[1], self._open.pop(row), now_s))
        for row in current - set(self._open):
            self._open[row] = now_s

    def all_spans(self) -> list[tuple[int, int, float, float]]:
        """Return all spans, those that go on included."""
        end_s = min(time.monotonic(), self.until_s)
        return [
            *self.spans,
            *((f, la, at_s, end_s) for (f, la, _), at_s in self._open.items()),
        ]


class Client:
    """Sends requests to one entry host, each on a connection of its own."""

    def __init__(self, address: str, record: Record, per_s: float) -> None:
        self._address = address
        self._record = record
        self._per_s = per_s
        self._rng = random.Random()
        self.answers: list[tuple[str, float, int]] = []
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, path: str, *, keyed: bool) -> None:
        """Send requests until cancelled."""
        while True:
            task = asyncio.create_task(self._send(path, keyed=keyed))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.expovariate(self._per_s))

    async def _send(self, path: str, *, keyed: bool) -> None:
        attempt = f"{self._rng.getrandbits(64):016x}"
        headers = {
            "Host": "desk.example",
            "Attempt-Id": attempt,
            "Deadline-Ms": "1000",
        }
        if keyed:
            headers["Shard-Key"] = str(self._rng.randrange(65536))
        sent_s = self._record.now_s()
        try:
            status, _, _ = await call(
                self._address, "GET", path, headers=headers, timeout_s=1.5
            )
        except (OSError, TimeoutError):
            status = 0
        self.answers.append((attempt, sent_s, status))
        self._record.write(
            "answered", id=attempt, sent=round(sent_s, 4), status=status
        )


def service(name: str, version: int, *, keyed: bool) -> dict[str, ty.Any]:
    """Return a service for a configuration."""
    return {
        "name": name,
        "version": version,
        "health_path": "/healthz",
        "connections_max": 130,
        "cold_s": 3.0,
        "cold_requests_per_s": 3.4,
        "keyed": keyed,
        "key_warm_up_s": 2.0,
    }


def route(
    name: str, version: int, prefix: str, service_name: str, kind: str = "safe"
) -> dict[str, ty.Any]:
    """Return a route for a configuration."""
    return {
        "name": name,
        "version": version,
        "host": "desk.example",
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 500,
        "rank": 1,
        "service": service_name,
        "attempts_max": 2,
    }


def limits(version: int) -> dict[str, ty.Any]:
    """Return the limits of a configuration."""
    return {
        "version": version,
        "header_bytes_max": 16384,
        "body_bytes_max": 67108864,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }


def changes(
    routes: list[dict[str, ty.Any]],
    services: list[dict[str, ty.Any]],
    version: int | None = None,
) -> bytes:
    """Return the body of a call that sets items."""
    upsert: dict[str, ty.Any] = {"routes": routes, "services": services}
    if version is not None:
        upsert["limits"] = limits(version)
    return json.dumps({"upsert": upsert, "remove": {"routes": []}}).encode()

"""Stand-ins for the platform's servers, operator and clients.

They follow PROTOCOL.md with the field names of deploy/wire.toml, and run in
the process of the case.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import time

HEARTBEAT_S = 0.87
ANSWER_S = 1.0


async def call(address, method, path, body=b"", headers=(), timeout_s=1.0):
    """Make a call on a connection of its own; return status and body.

    Returns (0, b"") without a whole answer in time.
    """
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                lines = [
                    f"{method} {path} HTTP/1.1",
                    f"Host: {address[0]}",
                    *(f"{name}: {value}" for name, value in headers),
                    f"Content-Length: {len(body)}",
                    "Connection: close",
                    "",
                    "",
                ]
                writer.write("\r\n".join(lines).encode() + body)
                status, _, answer = await read_answer(reader)
                return status, answer
            finally:
                writer.close()
    except (OSError, TimeoutError, EOFError, ValueError):
        return 0, b""


async def read_head(reader):
    """Return the first line and the headers; names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_answer(reader):
    while True:
        first, headers = await read_head(reader)
        status = int(first.split()[1])
        if status >= 200:
            break
    body = await read_body(reader, headers)
    return status, headers, body


class Operator:
    """Sends orders to one control host after another until one answers."""

    def __init__(self, registrants, record):
        self._registrants = registrants
        self._record = record
        self._next = 0

    async def order(self, method, path, body=b"", within_s=30.0):
        """Return the status and body of the first clear answer.

        Returns (0, b"") without one in time.
        """
        until_s = time.monotonic() + within_s
        pause_s = 0.1
        while time.monotonic() < until_s:
            address = self._registrants[self._next % len(self._registrants)]
            status, answer = await call(
                address,
                method,
                path,
                body,
                [("Content-Type", "application/json")],
            )
            if 200 <= status < 300 or status in (400, 409, 412, 413, 422):
                self._record.add("operator", method, path, status)
                return status, answer
            self._next += 1
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        self._record.add("operator", method, path, "no clear answer")
        return 0, b""

    async def configure(self, routes, services, within_s=30.0):
        body = {
            "upsert": {
                "routes": routes,
                "services": services,
                "limits": {
                    "header_bytes_max": 16384,
                    "body_bytes_max": 67108864,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                    "version": 1,
                },
            },
            "remove": {"routes": []},
        }
        status, _ = await self.order(
            "PATCH",
            "/goldcrestproxy/config",
            json.dumps(body).encode(),
            within_s,
        )
        return status


def route(name, prefix, service, kind="safe", timeout_ms=2000, version=1):
    return {
        "name": name,
        "host": "shop.example",
        "path_prefix": prefix,
        "route_kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": timeout_ms // 3,
        "rank": 1,
        "service": service,
        "attempts_max": 2,
        "version": version,
    }


def service(name, keyed=False, version=1):
    value = {
        "name": name,
        "health_path": "/healthz",
        "connections_max": 1200,
        "protocol": "h1",
        "tls": False,
        "cold_s": 3.0,
        "cold_requests_per_s": 18.0,
        "version": version,
    }
    if keyed:
        value |= {"keyed": True, "key_warm_up_s": 2.0, "grants": "heartbeat"}
    return value


class Server:
    """A server of a service, with slots and a short queue.

    ``runs`` holds (attempt id, time, whole) of each request that it began
    to work on, ``arrivals`` (attempt id, time) of each that it did not
    answer with 421.
    """

    def __init__(
        self,
        name,
        service_name,
        address,
        registrants,
        record,
        *,
        zone="zone-a",
        slots=4,
        queue=16,
        work_s=0.1,
        keyed=False,
    ):
        self.name = name
        self.service_name = service_name
        self.address = address
        self.zone = zone
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.keyed = keyed
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.runs = []
        self.broken_off = []
        # A body that ends this server as it begins to run the request, and
        # what is called then.
        self.deadly_body = None
        self.on_crash = None
        self.leaving_acked_s = None
        self.held = {}
        self.held_until_s = 0.0
        self.released = []
        self._seen = {}
        self._registrants = list(registrants)
        self._record = record
        self._sequence = itertools.count(1)
        self._running = 0
        self._waiting = 0
        self._turns = asyncio.Semaphore(slots)
        self._writers = set()
        self._tasks = set()
        self._listener = None
        self._beats = None

    async def start(self):
        self._listener = await asyncio.start_server(
            self._accept, *self.address, backlog=1024
        )
        self._beats = asyncio.create_task(self._send_beats())

    async def stop(self):
        """End at once, as a process does; its connections end with it."""
        if self._beats is not None:
            self._beats.cancel()
        if self._listener is not None:
            self._listener.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def beat(self):
        sent_s = time.monotonic()
        released = self.released
        body = {
            "service": self.service_name,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": next(self._sequence),
            "born": self.born,
        }
        if self.keyed:
            body["held"] = [[f, t, e] for (f, t), e in self.held.items()]
            body["released"] = released
        for _ in range(len(self._registrants)):
            status, answer = await call(
                self._registrants[0],
                "PUT",
                f"/goldcrestproxy/instances/{self.name}",
                json.dumps(body).encode(),
                [("Content-Type", "application/json")],
                ANSWER_S,
            )
            if 200 <= status < 300:
                self._apply(json.loads(answer), sent_s)
                return True
            self._registrants.append(self._registrants.pop(0))
        return False

    def _apply(self, answer, sent_s):
        self.released = []
        if "held" not in answer:
            return
        if time.monotonic() >= self.held_until_s:
            self.held = {}
        granted = {
            (first, last): epoch
            for first, last, epoch, _ in answer["held"]
            if self._seen.get(first, 0) <= epoch
        }
        for (first, last), epoch in self.held.items():
            if not any(f <= first and last <= t for f, t in granted):
                self.released.append([first, last, f"{self.name}{epoch}"])
        for (first, _), epoch in granted.items():
            self._seen[first] = epoch
        self.held = granted
        self.held_until_s = sent_s + answer["hold_ms"] / 1000

    async def _send_beats(self):
        while True:
            answered = await self.beat()
            if answered and self.state == "draining":
                if self.leaving_acked_s is None:
                    self.leaving_acked_s = time.monotonic()
                    self._record.add(self.name, "draining is confirmed")
            await asyncio.sleep(0.1 if self.released else HEARTBEAT_S)

    async def leave(self, serve_on_s):
        """Report draining, serve on, deregister and end."""
        self.state = "draining"
        self._record.add(self.name, "says that it is draining")
        self._beats.cancel()
        self._beats = asyncio.create_task(self._send_beats())
        while self.leaving_acked_s is None:
            await asyncio.sleep(0.02)
        await asyncio.sleep(serve_on_s)
        await call(
            self._registrants[0],
            "DELETE",
            f"/goldcrestproxy/instances/{self.name}",
            json.dumps({"born": self.born}).encode(),
        )
        self._record.add(self.name, "ends")
        await self.stop()

    def _holds(self, key):
        return time.monotonic() < self.held_until_s and any(
            first <= key <= last for first, last in self.held
        )

    def _accept(self, reader, writer):
        task = asyncio.create_task(self._serve_connection(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve_connection(self, reader, writer):
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(self, reader, writer):
        first, headers = await read_head(reader)
        _, path, _ = first.split()
        body = await read_body(reader, headers)
        attempt = headers.get("attempt-id", "")
        if path == "/healthz":
            status = 200 if self.state == "ready" else 503
            self._answer(
                writer, status, attempt, b"", "Instance-Id", self.name
            )
            return True
        if headers.get("target-instance", self.name) != self.name:
            self._answer(writer, 421, attempt, b"", "Not-Executed", "1")
            return True
        if self.keyed and not self._holds(int(headers.get("shard-key", -1))):
            self._answer(writer, 421, attempt, b"", "Not-Executed", "1")
            return True
        self.arrivals.append((attempt, time.monotonic()))
        self._record.add(self.name, "gets", attempt)
        if self._waiting >= self.queue and self._turns.locked():
            self._answer(writer, 503, attempt, b"", "Not-Executed", "1")
            return True
        self._waiting += 1
        try:
            await self._turns.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        self._record.add(self.name, "runs", attempt)
        self.runs.append((attempt, time.monotonic()))
        if self.deadly_body is not None and body == self.deadly_body:
            self._record.add(self.name, "crashes under", attempt)
            self.on_crash()
            await self.stop()
            return False
        whole = False
        try:
            await asyncio.sleep(self.work_s)
            whole = True
        finally:
            self._running -= 1
            self._turns.release()
            if not whole:
                self.broken_off.append(attempt)
                self._record.add(self.name, "breaks off", attempt)
        self._answer(
            writer,
            200,
            attempt,
            f"{self.name} has done {attempt}".encode(),
            "Response-Signature",
            f"{self.name}.{attempt}",
        )
        await writer.drain()
        return True

    def _answer(self, writer, status, attempt, body, *extra):
        lines = [
            f"HTTP/1.1 {status} -",
            f"Attempt-Id: {attempt}",
            f"Content-Length: {len(body)}",
            f"Server-Load: {self._running},{self._waiting},{self.slots},100",
            "Keep-Alive: timeout=10",
            f"{extra[0]}: {extra[1]}",
            "",
            "",
        ]
        writer.write("\r\n".join(lines).encode() + body)


async def send(
    address, attempt, method, path, body=b"", *, deadline_s, key=None
):
    """Send a client attempt; return its status, headers and body.

    The status is 0 if the connection ends or the deadline passes without a
    whole answer.
    """
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: shop.example",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {int(deadline_s * 1000)}",
        f"Content-Length: {len(body)}",
    ]
    if key is not None:
        lines.append(f"Shard-Key: {key}")
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                head = "\r\n".join([*lines, "", ""]).encode()
                writer.write(head + body)
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError, EOFError, ValueError):
        return 0, {}, b""


async def wait_ready(deployment, within_s=30.0):
    """Wait until every entry host says that it is ready."""
    until_s = time.monotonic() + within_s
    for name in deployment.entry_names:
        address = deployment.balancer_address(name)
        while True:
            status, _ = await call(address, "GET", "/goldcrestproxy/ready")
            if status == 200:
                break
            if time.monotonic() > until_s:
                return False
            await asyncio.sleep(0.1)
    return True

"""Callers on keep-alive connections, and an operator, for the soak."""

from __future__ import annotations

import asyncio
import json
import random
import time

import attrs

READ_BYTES = 65536
DEADLINE_S = 2.0
# Longer than the deadline plus the longest delay of a late answer.
ANSWER_TIMEOUT_S = 6.0


@attrs.define
class Outcome:
    """Result of one request as its caller observed it.

    ``status`` is None without a complete answer; ``failure`` has the reason.
    """

    request_id: str
    entry: str
    kind: str
    key: int | None
    sent_s: float
    done_s: float = 0.0
    status: int | None = None
    failure: str = ""
    signed: bool = False
    body_matches: bool = False
    # Whether the whole request was written before the connection ended.
    written: bool = False


class Caller:
    """Send requests one after another, on one connection at a time.

    :param number: distinguishes the request ids and random draws of callers
    :param addresses: host and port of each entry host, by its name
    :param outcomes: list to which an outcome is added for each request
    """

    def __init__(self, number, addresses, seed, outcomes):
        self._number = number
        self._addresses = addresses
        self._rng = random.Random(f"{seed}/{number}")
        self._outcomes = outcomes
        self._count = 0
        self._streams = None
        self._entry = ""

    async def run(self):
        """Send until cancelled."""
        while True:
            await self.send_one()
            await asyncio.sleep(self._rng.expovariate(10))

    async def send_one(self):
        """Send one request."""
        self._count += 1
        kind = self._rng.choice(["look", "look", "book", "book", "photo"])
        key = None if kind == "photo" else self._rng.randrange(65536)
        request_id = f"{self._number:04x}{self._count:012x}"
        body = b"" if kind == "look" else f"body of {request_id}".encode()
        if kind == "photo":
            body *= self._rng.randint(1, 3000)
        try:
            async with asyncio.timeout(1.0):
                await self._connect()
        except (OSError, TimeoutError):
            self._close_connection()
            return
        outcome = Outcome(request_id, self._entry, kind, key, time.monotonic())
        self._outcomes.append(outcome)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._exchange(outcome, body)
        except TimeoutError:
            outcome.failure = "silent"
            self._close_connection()
        except (OSError, EOFError) as error:
            outcome.failure = f"closed: {error!r}"
            self._close_connection()
        outcome.done_s = time.monotonic()

    async def _connect(self):
        if self._streams is None:
            self._entry = self._rng.choice(sorted(self._addresses))
            address = self._addresses[self._entry]
            self._streams = await asyncio.open_connection(*address)

    def _close_connection(self):
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def _exchange(self, outcome, body):
        reader, writer = self._streams
        method = "GET" if outcome.kind == "look" else "POST"
        head_lines = [
            f"{method} /{outcome.kind}/{outcome.request_id} HTTP/1.1",
            "Host: desk.example",
            f"Attempt-Id: {outcome.request_id}",
            f"Deadline-Ms: {DEADLINE_S * 1000:.0f}",
        ]
        if outcome.key is not None:
            head_lines.append(f"Shard-Key: {outcome.key}")
        if body:
            head_lines.append(f"Content-Length: {len(body)}")
        writer.write("\r\n".join([*head_lines, "", ""]).encode() + body)
        await writer.drain()
        outcome.written = True
        status, headers, answer = await _read_answer(reader)
        outcome.status = status
        outcome.signed = "response-signature" in headers
        expected_body = b"looked up" if outcome.kind == "look" else body
        outcome.body_matches = answer == expected_body and (
            headers.get("attempt-id") == outcome.request_id
        )
        if headers.get("connection", "").lower() == "close":
            self._close_connection()


async def _read_answer(reader):
    """Read one complete answer; return status, headers and body.

    :raises EOFError: when the connection ends before that
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    first, *lines = head.split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readexactly(2)
    else:
        body = await reader.readexactly(int(headers["content-length"]))
    return int(first.split(" ")[1]), headers, body


class Operator:
    """Change the configuration repeatedly and record what was acknowledged."""

    def __init__(self, registrants, make_items, seed):
        self._registrants = registrants
        self._make_items = make_items
        self._rng = random.Random(f"{seed}/operator")
        self.sent = {}
        self.acknowledged = 0

    async def run(self):
        """Send about a change a second, each until it is acknowledged.

        :raises AssertionError: when a change is refused
        """
        version = 1
        while True:
            await asyncio.sleep(self._rng.uniform(0.3, 1.5))
            version += self._rng.randint(1, 3)
            timeout_ms = self._rng.randint(5_000, 30_000)
            self.sent[version] = timeout_ms
            body = self._make_items(version, timeout_ms=timeout_ms)
            while True:
                status, _ = await self.call("PATCH", body)
                if status == 200:
                    self.acknowledged = version
                    break
                if status is not None and 400 <= status < 500:
                    raise AssertionError(f"refused version {version}")
                await asyncio.sleep(0.1)

    async def read_back(self):
        """Return version and timeout of each route, or None on failure."""
        status, body = await self.call("GET", "")
        if status != 200:
            return None
        return {
            route["name"]: (route["version"], route["timeout_ms"])
            for route in json.loads(body)["routes"]
        }

    async def call(self, method, body):
        """Send one request to a control host drawn at random.

        Return status and body; the status is None without an answer.
        """
        host, port = self._rng.choice(self._registrants).split(":")
        writer = None
        try:
            async with asyncio.timeout(1.5):
                reader, writer = await asyncio.open_connection(host, int(port))
                data = body.encode()
                writer.write(
                    f"{method} /goldcrestproxy/config HTTP/1.1\r\n"
                    f"Host: {host}\r\nContent-Length: {len(data)}\r\n"
                    "Connection: close\r\n\r\n".encode()
                    + data
                )
                status, _, answer = await _read_answer(reader)
                return status, answer
        except (OSError, EOFError, TimeoutError):
            return None, b""
        finally:
            if writer is not None:
                writer.close()

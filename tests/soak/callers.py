"""Callers on keep-alive connections, and an operator, for the soak."""

from __future__ import annotations

import asyncio
import json
import random
import re
import time

import attrs

READ_BYTES = 65536
# Some deadlines last longer than a whole stop.
DEADLINES_S = (2.0, 4.0, 9.0)
# Longer than the deadlines plus the longest delay of a late answer.
ANSWER_TIMEOUT_S = max(DEADLINES_S) + 4.0
DROPPED_SHARE = 0.03
SLOW_WORK_SHARE = 0.05
SLOW_WORK_S_MAX = 4.0
SLOW_BODY_SHARE = 0.1
SLOW_BODY_S_MAX = 3.0
LONG_PAUSE_SHARE = 0.05
LONG_PAUSE_S_MAX = 4.0
OBSERVATION_INTERVAL_S = 0.05
# Code of the refusal of a keyed request without a key.
NO_KEY_CODE = 2002
STATUS_LINE = re.compile(rb"HTTP/1\.1 ([2-9][0-9]{2}) [\t -~]*")
FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t -~\x80-\xff]*)")
LENGTH = re.compile(rb"[0-9]+")
CHUNK_SIZE = re.compile(rb"[0-9a-fA-F]+")


@attrs.frozen(kw_only=True)
class Plan:
    """One request, and the pause of its caller before it.

    ``work_s`` and ``dropped`` are instructions to the target. The body is
    written in ``pieces``, with a pause of ``piece_pause_s`` between them.
    """

    request_id: str
    kind: str
    key: int | None
    pieces: tuple[bytes, ...]
    piece_pause_s: float
    pause_s: float
    deadline_s: float = DEADLINES_S[0]
    work_s: float | None = None
    dropped: bool = False


def draw_plan(seed, number, count, *, calm):
    """Return request ``count`` of caller ``number``.

    :param calm: whether the request is prompt and its target answers
    """
    rng = random.Random(f"{seed}/{number}/{count}")
    kind = rng.choice(["look", "look", "book", "book", "photo"])
    request_id = f"{number:04x}{count:012x}"
    body = b"" if kind == "look" else f"body of {request_id}".encode()
    if kind == "photo":
        body *= rng.randint(1, 3000)
    plan = Plan(
        request_id=request_id,
        kind=kind,
        key=None if kind == "photo" else rng.randrange(65536),
        pieces=(body,),
        piece_pause_s=0.0,
        pause_s=rng.expovariate(10),
    )
    if calm:
        return plan
    if body and rng.random() < SLOW_BODY_SHARE:
        piece_count = rng.randint(2, 5)
        piece_bytes = -(-len(body) // piece_count)
        plan = attrs.evolve(
            plan,
            pieces=tuple(
                body[at : at + piece_bytes]
                for at in range(0, len(body), piece_bytes)
            ),
            piece_pause_s=rng.uniform(0, SLOW_BODY_S_MAX / piece_count),
        )
    if rng.random() < LONG_PAUSE_SHARE:
        plan = attrs.evolve(plan, pause_s=rng.uniform(0, LONG_PAUSE_S_MAX))
    if rng.random() < SLOW_WORK_SHARE:
        plan = attrs.evolve(plan, work_s=rng.uniform(0, SLOW_WORK_S_MAX))
    return attrs.evolve(
        plan,
        deadline_s=rng.choice(DEADLINES_S),
        dropped=rng.random() < DROPPED_SHARE,
    )


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
    deadline_s: float = DEADLINES_S[0]
    # When the connection was established.
    connected_s: float = 0.0
    # When the whole request had been written; None if the connection ended
    # or an answer came before.
    written_s: float | None = None
    done_s: float = 0.0
    # Whether the head of an answer was received.
    answer_began: bool = False
    status: int | None = None
    failure: str = ""
    signed: bool = False
    body_matches: bool = False


class Caller:
    """Send requests one after another, on one connection at a time.

    :param number: distinguishes the request ids and random draws of callers
    :param addresses: host and port of each entry host, by its name
    :param outcomes: list to which an outcome is added for each request
    """

    def __init__(self, number, addresses, seed, outcomes):
        self.calm = False
        self._number = number
        self._addresses = addresses
        self._seed = seed
        self._rng = random.Random(f"{seed}/{number}")
        self._outcomes = outcomes
        self._count = 0
        self._streams = None
        self._entry = ""
        self._connected_s = 0.0

    async def run(self):
        """Send until cancelled."""
        while True:
            await self.send_one()

    async def send_one(self):
        """Draw a request, pause and send it."""
        self._count += 1
        plan = draw_plan(self._seed, self._number, self._count, calm=self.calm)
        await asyncio.sleep(plan.pause_s)
        await self.send(plan)

    async def send(self, plan):
        """Send one request and record its outcome."""
        try:
            async with asyncio.timeout(1.0):
                await self._connect()
        except (OSError, TimeoutError):
            self.close()
            return
        outcome = Outcome(
            plan.request_id,
            self._entry,
            plan.kind,
            plan.key,
            time.monotonic(),
            plan.deadline_s,
            self._connected_s,
        )
        self._outcomes.append(outcome)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._exchange(plan, outcome)
        except TimeoutError:
            outcome.failure = "silent"
            self.close()
        except (OSError, EOFError) as error:
            outcome.failure = f"closed: {error!r}"
            self.close()
        outcome.done_s = time.monotonic()

    async def _connect(self):
        if self._streams is None:
            self._entry = self._rng.choice(sorted(self._addresses))
            address = self._addresses[self._entry]
            self._streams = await asyncio.open_connection(*address)
            self._connected_s = time.monotonic()

    def close(self):
        """Close the open connection, if any."""
        if self._streams is not None:
            self._streams[1].close()
        self._streams = None

    async def _exchange(self, plan, outcome):
        reader, writer = self._streams

        def began():
            outcome.answer_began = True

        answer_task = asyncio.create_task(_read_answer(reader, began))
        try:
            await _write(plan, outcome, writer, answer_task)
            status, headers, answer = await answer_task
        finally:
            answer_task.cancel()
            await asyncio.gather(answer_task, return_exceptions=True)
        outcome.status = status
        outcome.signed = "response-signature" in headers
        body = b"".join(plan.pieces)
        expected_body = b"looked up" if plan.kind == "look" else body
        outcome.body_matches = answer == expected_body and (
            headers.get("attempt-id") == plan.request_id
        )
        closes = headers.get("connection", "").lower() == "close"
        if closes or outcome.written_s is None:
            self.close()


async def _write(plan, outcome, writer, answer_task):
    """Write a request until an early answer or the connection's end."""
    writer.write(_head(plan) + plan.pieces[0])
    await writer.drain()
    for piece in plan.pieces[1:]:
        await asyncio.wait({answer_task}, timeout=plan.piece_pause_s)
        if answer_task.done():
            return
        writer.write(piece)
        await writer.drain()
    outcome.written_s = time.monotonic()


def _head(plan):
    method = "GET" if plan.kind == "look" else "POST"
    lines = [
        f"{method} /{plan.kind}/{plan.request_id} HTTP/1.1",
        "Host: desk.example",
        f"Attempt-Id: {plan.request_id}",
        f"Deadline-Ms: {plan.deadline_s * 1000:.0f}",
    ]
    if plan.key is not None:
        lines.append(f"Shard-Key: {plan.key}")
    if plan.work_s is not None:
        lines.append(f"Work-Seconds: {plan.work_s:.3f}")
    if plan.dropped:
        lines.append("Drop-Silently: 1")
    if body_bytes := sum(map(len, plan.pieces)):
        lines.append(f"Content-Length: {body_bytes}")
    return "\r\n".join([*lines, "", ""]).encode()


async def _read_answer(reader, on_head=lambda: None):
    """Read one complete answer; return status, headers and body.

    :param on_head: called when the head has been read
    :raises EOFError: when the connection ends before that
    :raises AssertionError: when it breaks a rule of HTTP/1.1
    """
    head = await reader.readuntil(b"\r\n\r\n")
    on_head()
    first, *lines = head.removesuffix(b"\r\n\r\n").split(b"\r\n")
    status = _match(STATUS_LINE, first)[1]
    headers = {}
    for line in lines:
        name, value = _match(FIELD_LINE, line).groups()
        headers.setdefault(name.decode().lower(), []).append(
            value.decode("latin1").strip(" \t")
        )
    lengths = headers.get("content-length", [])
    if codings := headers.get("transfer-encoding", []):
        assert not lengths, f"MIXED: two framings in {head!r}"
        assert codings == ["chunked"], f"MIXED: framing of {head!r}"
        body = b""
        while size := await _read_chunk_size(reader):
            body += (await reader.readexactly(size + 2))[:-2]
        assert await reader.readexactly(2) == b"\r\n", "MIXED: last chunk"
    else:
        assert len(lengths) == 1, f"MIXED: no framing in {head!r}"
        body = await reader.readexactly(
            int(_match(LENGTH, lengths[0].encode())[0])
        )
    return (
        int(status),
        {name: ", ".join(values) for name, values in headers.items()},
        body,
    )


async def _read_chunk_size(reader):
    line = (await reader.readuntil(b"\r\n")).removesuffix(b"\r\n")
    return int(_match(CHUNK_SIZE, line)[0], 16)


def _match(pattern, line):
    match = pattern.fullmatch(line)
    assert match is not None, f"MIXED: {line!r} in an answer"
    return match


@attrs.define
class Sighting:
    """Whether an entry host had the route that a version brings alone."""

    entry: str
    version: int
    sent_s: float
    done_s: float
    found: bool


class VersionObserver:
    """Asks an entry host again and again for the routes of versions.

    :param operator: names the versions and when they were sent
    :param sightings: list to which each answer that tells is added
    """

    def __init__(self, entry, address, operator, sightings):
        self._entry = entry
        self._address = address
        self._operator = operator
        self._sightings = sightings
        self._streams = None

    async def run(self):
        """Ask until cancelled, on one connection at a time."""
        while True:
            versions = sorted(self._operator.sent_s)[-2:]
            for version in versions:
                try:
                    async with asyncio.timeout(2.0):
                        await self._ask(version)
                except (OSError, EOFError, TimeoutError):
                    if self._streams is not None:
                        self._streams[1].close()
                    self._streams = None
            await asyncio.sleep(OBSERVATION_INTERVAL_S)

    async def _ask(self, version):
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        sent_s = time.monotonic()
        # Without a key it is refused before it reaches a target.
        writer.write(
            f"GET /v{version}/ HTTP/1.1\r\nHost: desk.example\r\n\r\n".encode()
        )
        status, headers, answer = await _read_answer(reader)
        if headers.get("connection", "").lower() == "close":
            writer.close()
            self._streams = None
        code = json.loads(answer).get("code")
        if status == 404 or code == NO_KEY_CODE:
            self._sightings.append(
                Sighting(
                    self._entry,
                    version,
                    sent_s,
                    time.monotonic(),
                    found=status != 404,
                )
            )


class Operator:
    """Change the configuration repeatedly and record what was acknowledged."""

    def __init__(self, registrants, make_items, seed):
        self._registrants = registrants
        self._make_items = make_items
        self._rng = random.Random(f"{seed}/operator")
        self.sent = {}
        self.acknowledged = 0
        # By version, when it was first sent, and when it was acknowledged.
        self.sent_s = {}
        self.acknowledged_s = {}

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
            self.sent_s[version] = time.monotonic()
            while True:
                status, _ = await self.call("PATCH", body)
                if status == 200:
                    self.acknowledged = version
                    self.acknowledged_s[version] = time.monotonic()
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

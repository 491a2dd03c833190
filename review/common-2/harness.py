"""Deployment, stand-ins and records for the scripts of this review.

Starts the project's daemons with the commands and templates of
``deploy/system.toml`` on loopback addresses. Targets, callers, operators and
slow links are stand-ins in the process of the script. Uses the standard
library only.
"""

from __future__ import annotations

import asyncio
import collections
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
KEY_COUNT = 65_536
# Of the site file sites/sld-bkk-gateway.toml, as DEPLOY.md names them.
HEARTBEAT_S = 1.5
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
HOST_NAME = "desk.example"
REPORT_CALLS_MAX = 20
REPORT_PAUSE_S_MAX = 0.4
HELD = 0
BROKEN = 1
NOT_RUN = 2


class CannotRun(Exception):
    """The case could not be played, so nothing was shown."""


class Record:
    """Lines of what was sent, answered and run, with seconds since start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self.started_s = time.monotonic()

    def add(self, event, **fields):
        at_s = round(time.monotonic() - self.started_s, 4)
        self._file.write(
            json.dumps({"at_s": at_s, "event": event, **fields}) + "\n"
        )
        self._file.flush()

    def close(self):
        self._file.close()


# ---------------------------------------------------------------- templates


def _look_up(scopes, path):
    if path == ".":
        return scopes[-1]
    names = path.split(".")
    for scope in reversed(scopes):
        value = scope
        for name in names:
            if isinstance(value, list) and name.isdecimal():
                value = value[int(name)] if int(name) < len(value) else None
            elif isinstance(value, dict):
                value = value.get(name)
            else:
                value = None
            if value is None:
                break
        if value is not None:
            return value
    return None


def render(text, scopes, key="", last=True):
    """Fill in a template as DEPLOY.md describes."""
    section = re.search(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}", text, re.S)
    if section:
        sign, name, inner = section.groups()
        value = _look_up(scopes, name)
        if sign == "^":
            parts = [] if value else [render(inner, scopes, key, last)]
        elif isinstance(value, dict):
            parts = [
                render(inner, [*scopes, item], name, number == len(value) - 1)
                for number, (name, item) in enumerate(value.items())
            ]
        elif isinstance(value, list):
            parts = [
                render(
                    inner, [*scopes, item], str(n), n == len(value) - 1
                )
                for n, item in enumerate(value)
            ]
        else:
            parts = [render(inner, scopes, key, last)] if value else []
        return (
            render(text[: section.start()], scopes, key, last)
            + "".join(parts)
            + render(text[section.end() :], scopes, key, last)
        )

    def fill(match):
        name = match.group(1)
        if name == "@":
            return key
        if name == ",":
            return "" if last else ","
        name, _, form = name.partition("|")
        value = _look_up(scopes, name)
        if form == "json":
            return json.dumps(value)
        if value is None:
            return ""
        return json.dumps(value) if isinstance(value, dict) else str(value)

    return re.sub(r"\{\{([^}#^/]+)\}\}", fill, text)


# ---------------------------------------------------------------- daemons


def _free_port(addresses):
    for _ in range(50):
        port = random.randrange(20_000, 32_000)
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.setsockopt(
                        socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                    )
                    probe.bind((address, port))
        except OSError:
            continue
        return port
    raise CannotRun("no free port")


class Deployment:
    """Daemons of a small installation: control and entry hosts."""

    def __init__(self, record, control_count=5, entry_count=2):
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._folder.name)
        self._processes = {}
        self._deploy = tomllib.loads(
            (ROOT / "deploy/system.toml").read_text()
        )
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.net = net
        self.controls = [f"control-{n}" for n in range(control_count)]
        self.entries = [f"entry-{n}" for n in range(entry_count)]
        self.address = {
            name: f"{net}.{n + 1}" for n, name in enumerate(self.controls)
        }
        self.address.update(
            {name: f"{net}.{n + 21}" for n, name in enumerate(self.entries)}
        )
        hosts = list(self.address.values())
        self.peer_port = _free_port(hosts)
        self.registrants_port = _free_port(hosts)
        self.callers_port = _free_port(hosts)
        self.balancer_port = _free_port(hosts)
        self.first_start = True
        self._losses_tolerated = (control_count - 1) // 2

    def registrants(self, name):
        return self.address[name], self.registrants_port

    def callers(self, name):
        return self.address[name], self.callers_port

    def _fields(self, name):
        address = self.address[name]
        control = name in self.controls
        number = int(name.rpartition("-")[2])
        data_folder = self.folder / f"data-{name}"
        fields = {
            "node": name,
            "ip": address,
            "zone": ZONES[number % len(ZONES)],
            "peer_ports": [self.peer_port, self.peer_port + 15],
            "seeds": [
                f"{self.address[seed]}:{self.registrants_port}"
                for seed in self.controls[:3]
            ],
            "first_start": self.first_start,
            "heartbeat_ms": int(HEARTBEAT_S * 1000),
            "zones": dict.fromkeys(ZONES, "region-1"),
            "listen": (
                {"registrants": f"{address}:{self.registrants_port}"}
                if control
                else {
                    "callers": f"{address}:{self.callers_port}",
                    "balancer": f"{address}:{self.balancer_port}",
                }
            ),
            "limits": {"memory_mb": 300, "descriptors_max": 4096},
            "tolerated": {"nodes": self._losses_tolerated},
            "bounds": {
                "drain": 2000,
                "stop_s": 6,
                "config": 2000,
                "resend_ratio": 0.2,
                "resend_window_s": 10,
                "resend_slack": 62,
                "hold_ms_max": 10000,
            },
        }
        if control:
            fields["data_folder"] = str(data_folder)
        return fields

    def start(self, name):
        role = "control" if name in self.controls else "entry"
        deploy = self._deploy["roles"][role]
        template = (ROOT / deploy["template"]).read_text()
        settings = self.folder / f"{name}.json5"
        settings.write_text(render(template, [self._fields(name)]))
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["GOLDCRESTPROXY_NODE_FILE"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        log = open(self.folder / f"{name}.log", "ab")
        self._processes[name] = subprocess.Popen(
            deploy["run"].split(),
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record.add("daemon started", host=name)

    def start_all(self):
        for name in [*self.controls, *self.entries]:
            self.start(name)

    def add_control(self):
        """Start a further control host with an empty disk."""
        number = len(self.address) - len(self.entries)
        name = f"control-{number}"
        self.address[name] = f"{self.net}.{number + 1}"
        self.controls.append(name)
        self.first_start = False
        self.start(name)
        return name

    def remove_control(self, name):
        """Take a control host that has ended off the operator's list."""
        self.controls.remove(name)
        self.record.add("control host gone for good", host=name)

    def wipe(self, name):
        """Empty the data folder of a control host that has ended."""
        shutil.rmtree(self.folder / f"data-{name}", ignore_errors=True)
        self.record.add("disk lost", host=name)

    def signal(self, name, number):
        self.record.add(
            "signal", host=name, signal=signal.Signals(number).name
        )
        self._processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self._processes[name].wait()

    def ended(self, name):
        return self._processes[name].poll()

    def log(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    def leader(self):
        """Return the control host that became leader last, by its log."""
        latest = ("", "")
        for name in self.controls:
            if self.ended(name) is not None:
                continue
            for line in self.log(name).splitlines():
                if "became leader" in line:
                    term = re.search(r"in term (\d+)", line)
                    latest = max(latest, (term.group(1).zfill(6), name))
        return latest[1]

    def stop_all(self):
        for process in self._processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self._processes.values():
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            for name in self._processes:
                print(f"--- {name}\n{self.log(name)}", file=sys.stderr)
        self._folder.cleanup()


# ---------------------------------------------------------------- HTTP


Answer = collections.namedtuple("Answer", "status headers body")


async def read_head(reader):
    """Return the first line and the headers of a message, None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.decode("latin1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, *, until_close=False):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_close else b""


async def call(address, method, path, body=None, headers=None, timeout_s=1.0):
    """Make a call on a new connection and return its answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": address[0], **(headers or {})}
            if body is not None:
                fields["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in fields.items()]
            head = "\r\n".join([*lines, "", ""]).encode("latin1")
            writer.write(head + (body or b""))
            while True:
                first, answered = await read_head(reader) or ("", {})
                if not first:
                    raise ConnectionError("closed without an answer")
                status = int(first.split()[1])
                if status >= 200:
                    break
            answer_body = await read_body(reader, answered, until_close=True)
            return Answer(status, answered, answer_body)
        finally:
            writer.close()


class SlowLink:
    """Link to an address on which what is sent arrives seconds later.

    What a caller sends, and the end of its connection, is kept until
    ``deliver`` is called, and then arrives with the gaps in between with
    which it was sent. The other direction is not delayed.
    """

    def __init__(self, listen_address, target):
        self._listen_address = listen_address
        self._target = target
        self._delivered = asyncio.Event()
        # When the first byte was sent, None before that.
        self.sent_s = None
        # How long it was under way.
        self.delay_s = 0.0
        # The start of the answer to what arrived late.
        self.answer = b""
        self.address = None

    async def start(self):
        server = await asyncio.start_server(
            self._accept, self._listen_address, 0
        )
        self.address = server.sockets[0].getsockname()[:2]

    def deliver(self):
        """Let everything arrive that was sent."""
        self.delay_s = time.monotonic() - self.sent_s
        self._delivered.set()

    async def _accept(self, reader, writer):
        chunks = asyncio.Queue()

        async def receive():
            data = b"-"
            while data:
                try:
                    data = await reader.read(65_536)
                except ConnectionError:
                    data = b""
                now_s = time.monotonic()
                self.sent_s = self.sent_s or now_s
                chunks.put_nowait((now_s, data))

        async def send_back(target_reader):
            with contextlib.suppress(ConnectionError):
                while data := await target_reader.read(65_536):
                    self.answer = self.answer or data[:40]
                    writer.write(data)

        receiving = asyncio.create_task(receive())
        await self._delivered.wait()
        target_writer = returning = None
        try:
            while True:
                sent_s, data = await chunks.get()
                await asyncio.sleep(sent_s + self.delay_s - time.monotonic())
                if not data:
                    return
                if target_writer is None:
                    target_reader, target_writer = (
                        await asyncio.open_connection(*self._target)
                    )
                    returning = asyncio.create_task(send_back(target_reader))
                target_writer.write(data)
        except OSError:
            pass
        finally:
            receiving.cancel()
            if returning is not None:
                returning.cancel()
                target_writer.close()
            writer.close()


class Operator:
    """Sends orders to control hosts as PROTOCOL.md describes."""

    def __init__(self, deployment, record):
        self._deployment = deployment
        self._record = record

    async def order(self, method, path, body=None, within_s=30.0):
        """Send an order until it is accepted; return its answer."""
        data = None if body is None else json.dumps(body).encode()
        until_s = time.monotonic() + within_s
        pause_s = 0.05
        while time.monotonic() < until_s:
            name = random.choice(self._deployment.controls)
            try:
                answer = await call(
                    self._deployment.registrants(name),
                    method,
                    path,
                    data,
                    {"Content-Type": "application/json"} if data else None,
                )
            except (OSError, asyncio.IncompleteReadError):
                answer = None
            if answer is not None and answer.status < 500:
                self._record.add(
                    "order",
                    method=method,
                    path=path,
                    host=name,
                    status=answer.status,
                )
                return answer
            await asyncio.sleep(pause_s)
            pause_s = min(0.4, pause_s * 1.5)
        raise CannotRun(f"{method} {path} was not accepted")

    async def configure(self, services, routes, version=1):
        """Send the first configuration."""
        upsert = {
            "services": [
                {
                    "name": name,
                    "version": version,
                    "health_path": "/healthz",
                    "connections_max": 130,
                    "cold_s": 3,
                    "cold_requests_per_s": 18,
                    "protocol": "h1",
                    "tls": False,
                    **(
                        {
                            "keyed": True,
                            "key_warm_up_s": 2,
                            "grants": "heartbeat",
                        }
                        if keyed
                        else {}
                    ),
                }
                for name, keyed in services.items()
            ],
            "routes": [
                {
                    "name": name,
                    "version": version,
                    "host": HOST_NAME,
                    "path_prefix": f"/{name}/",
                    "route_kind": kind,
                    "timeout_ms": 4000,
                    "target_latency_ms": 600,
                    "rank": 1,
                    "service": service,
                    "attempts_max": 2,
                }
                for name, (kind, service) in routes.items()
            ],
            "limits": {
                "version": version,
                "header_bytes_max": 16384,
                "body_bytes_max": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        answer = await self.order(
            "PATCH",
            "/goldcrestproxy/config",
            {"upsert": upsert, "remove": {"routes": []}},
        )
        if answer.status != 200:
            raise CannotRun(f"configuration refused: {answer}")


# ---------------------------------------------------------------- targets


class Target:
    """A sound target: reports, holds keys and serves as PROTOCOL.md says."""

    def __init__(self, deployment, record, name, service, zone, **options):
        self.deployment = deployment
        self.record = record
        self.name = name
        self.service = service
        self.zone = zone
        self.keyed = options.get("keyed", False)
        self.slots = options.get("slots", 2)
        self.work_s = options.get("work_s", 0.03)
        self.heartbeat_s = options.get("heartbeat_s", HEARTBEAT_S)
        self.listen_address = options.get("listen_address", deployment.net)
        self.port = options.get("port", 0)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        # Rows [first, last, token] that are held, until the hold ends.
        self.held = []
        self.hold_end_s = 0.0
        self.freed = []
        self.seen_tokens = {}
        self.working = collections.Counter()
        self.running = 0
        self.ran = collections.Counter()
        # Addresses by control host, where a link is not the direct one.
        self.links = {}
        # The control host to which the next report goes first.
        self.next_control = None
        # The same for the next report that says that all keys are released.
        self.next_with_all_freed = None
        self.address = None
        self.last_acknowledged_s = 0.0
        self._server = None
        self._task = None
        self._connections = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve_connection, self.listen_address, self.port
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        self.port = port
        self.address = f"{host}:{port}"
        self._task = asyncio.create_task(self._report_forever())

    async def stop(self):
        """End as a crash would."""
        self._task.cancel()
        self._server.close()
        for writer in list(self._connections):
            writer.close()

    # ---- reports

    async def _report_forever(self):
        while True:
            acknowledged = await self.report()
            releasing = acknowledged and (
                self.freed or self._keys_in_release()
            )
            await asyncio.sleep(
                0.1
                if releasing
                else self.heartbeat_s * random.uniform(0.97, 1.03)
            )

    def _keys_in_release(self):
        return any(
            not self._row_of(key) for key in self.working if self.working[key]
        )

    def body(self):
        self.sequence += 1
        body = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.keyed:
            self._expire()
            held = [list(row) for row in self.held]
            held += [
                [key, key, 0]
                for key, count in self.working.items()
                if count and not self._row_of(key)
            ]
            body["held"] = held
            body["released"] = [list(row) for row in self.freed]
        return body

    async def report(self):
        """Report to one control host after the other until one acknowledges.

        Each has a second for it. Gives up after ``REPORT_CALLS_MAX`` calls.
        """
        controls = list(self.deployment.controls)
        random.shuffle(controls)
        if self.freed and not self.held and self.next_with_all_freed:
            self.next_control = self.next_with_all_freed
            self.next_with_all_freed = None
        if self.next_control is not None:
            controls.remove(self.next_control)
            controls.insert(0, self.next_control)
            self.next_control = None
        pause_s = 0.05
        for control in itertools.islice(
            itertools.cycle(controls), REPORT_CALLS_MAX
        ):
            body = self.body()
            sent_s = time.monotonic()
            address = self.links.get(
                control, self.deployment.registrants(control)
            )
            self.record.add(
                "report",
                target=self.name,
                host=control,
                sequence=body["sequence"],
                state=self.state,
                rows=len(body.get("held", ())),
                freed=len(body.get("released", ())),
            )
            try:
                answer = await call(
                    address,
                    "PUT",
                    f"/goldcrestproxy/instances/{self.name}",
                    json.dumps(body).encode(),
                    {"Content-Type": "application/json"},
                )
            except (OSError, asyncio.IncompleteReadError):
                answer = None
            if answer is not None and 200 <= answer.status < 300:
                self.last_acknowledged_s = time.monotonic()
                if len(answer.body) <= 4096:
                    self._acknowledge(body, json.loads(answer.body), sent_s)
                    self.record.add(
                        "acknowledged",
                        target=self.name,
                        host=control,
                        sequence=body["sequence"],
                        keys=self.key_count(),
                    )
                    return True
            await asyncio.sleep(pause_s)
            pause_s = min(REPORT_PAUSE_S_MAX, pause_s * 2)
        return False

    def _acknowledge(self, body, answer, sent_s):
        if not self.keyed:
            return
        sent_freed = body["released"]
        self.freed = [row for row in self.freed if list(row) not in sent_freed]
        if "held" not in answer:
            return
        self._expire()
        before = self.held
        now = []
        for first, last, token, _ in answer["held"]:
            if any(
                token < seen
                for low, (high, seen) in self.seen_tokens.items()
                if low <= last and first <= high
            ):
                continue
            self.seen_tokens[first] = (last, token)
            now.append((first, last, token))
        self.held = now
        self.hold_end_s = sent_s + answer["hold_ms"] / 1000
        for first, last, token in before:
            for low, high in _subtract(first, last, now):
                self.freed.append((low, high, f"{self.name[-8:]}{token:08x}"))

    def _expire(self):
        if self.held and time.monotonic() >= self.hold_end_s:
            self.record.add("hold expired", target=self.name)
            self.held = []

    def _row_of(self, key):
        for row in self.held:
            if row[0] <= key <= row[1]:
                return row
        return None

    def holds(self, key):
        return (
            time.monotonic() < self.hold_end_s
            and self._row_of(key) is not None
        )

    def key_count(self):
        if time.monotonic() >= self.hold_end_s:
            return 0
        return sum(last + 1 - first for first, last, _ in self.held)

    # ---- requests

    async def _serve_connection(self, reader, writer):
        self._connections.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                method, path, _ = first.split(" ")
                body = await read_body(reader, headers)
                await self.answer(writer, method, path, headers, body)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def answer(self, writer, method, path, headers, body):
        request_id = headers.get("attempt-id", "")
        self.record.add(
            "arrival", target=self.name, id=request_id, method=method
        )
        refusal = self._refusal(headers)
        if refusal:
            self.send(writer, refusal, request_id, not_run=True)
            return
        key = int(headers["shard-key"]) if self.keyed else None
        self.ran[request_id] += 1
        self.record.add(
            "run", target=self.name, id=request_id, key=key, method=method
        )
        self.running += 1
        self.working[key] += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.working[key] -= 1
        self.send(writer, 200, request_id, body=b"x" * 200, signed=True)

    def _refusal(self, headers):
        if not headers.get("attempt-id"):
            return 400
        if headers.get("target-instance", self.name) != self.name:
            return 421
        if self.keyed and not self.holds(int(headers.get("shard-key", -1))):
            return 421
        if self.running >= self.slots + 8:
            return 503
        return 0

    def send(
        self,
        writer,
        status,
        request_id,
        *,
        body=b"",
        not_run=False,
        signed=False,
    ):
        lines = [
            f"HTTP/1.1 {status} Status",
            f"Attempt-Id: {request_id}",
            f"Server-Load: {self.running},0,{self.slots},100",
            "Keep-Alive: timeout=10",
            f"Content-Length: {len(body)}",
        ]
        if not_run:
            lines.append("Not-Executed: 1")
        if signed:
            lines.append(f"Response-Signature: {request_id}.{self.name}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)


def _subtract(first, last, rows):
    """Return the parts of a range that are in none of the rows."""
    parts = [(first, last)]
    for low, high, _ in rows:
        parts = [
            piece
            for a, b in parts
            for piece in ((a, min(b, low - 1)), (max(a, high + 1), b))
            if piece[0] <= piece[1]
        ]
    return sorted(set(parts))


# ---------------------------------------------------------------- callers


async def request(
    deployment, record, entry, method, path, *, key=None, body=None,
    deadline_ms=3000,
):
    """Send a caller's request; return its id and its answer, None if cut."""
    request_id = os.urandom(8).hex()
    headers = {
        "Host": HOST_NAME,
        "Attempt-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
    }
    if key is not None:
        headers["Shard-Key"] = str(key)
    record.add("sent", id=request_id, host=entry, path=path, key=key)
    try:
        answer = await call(
            deployment.callers(entry),
            method,
            path,
            body,
            headers,
            timeout_s=deadline_ms / 1000,
        )
    except (OSError, asyncio.IncompleteReadError) as error:
        record.add("cut", id=request_id, error=repr(error))
        return request_id, None
    record.add(
        "answered",
        id=request_id,
        status=answer.status,
        signed="response-signature" in answer.headers,
    )
    return request_id, answer


async def until(check, within_s, what):
    """Wait until a check is met.

    :raises CannotRun: if it is not met in time
    """
    until_s = time.monotonic() + within_s
    while time.monotonic() < until_s:
        result = check()
        if asyncio.iscoroutine(result):
            result = await result
        if result:
            return result
        await asyncio.sleep(0.05)
    raise CannotRun(f"not met in {within_s} s: {what}")


async def until_served(deployment, record, entry, method, path, **options):
    """Wait until requests of a kind are answered with success."""

    async def served():
        _, answer = await request(
            deployment, record, entry, method, path, **options
        )
        return answer is not None and answer.status == 200

    await until(served, 30, f"{method} {path} is served")


def play(folder, case, **options):
    """Run a case and exit with its result.

    ``case`` is a coroutine function of the deployment, the record and
    whether the disruption is to happen; it returns a text if a rule was
    broken, and None if it held.
    """
    # All daemons are ended below, also when the script is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    deployment = Deployment(record, **options)
    code = NOT_RUN

    async def run():
        async with asyncio.timeout(110):
            return await case(deployment, record, trouble)

    try:
        broken = asyncio.run(run())
        code = BROKEN if broken else HELD
        result = broken or "the rule held"
    except CannotRun as error:
        result = f"cannot run: {error}"
    except TimeoutError:
        result = "cannot run: time is over"
    finally:
        deployment.stop_all()
    record.add("result", code=code, text=result)
    record.close()
    print(result)
    sys.exit(code)

"""Fleet of daemons and stand-in targets, each a separate process."""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import re
import resource
import signal
import subprocess
import sys
import time

import cluster as clusters

TESTS = pathlib.Path(__file__).parent
TIMEOUT_S = 30.0


def free_ports(count):
    return [clusters.free_port() for _ in range(count)]


class Fleet:
    """Start, query and stop the processes of a fleet.

    Control hosts listen on 127.0.0.1 to .5, entry hosts on 127.0.0.11 and
    up.
    """

    def __init__(self, folder, control_count=3, entry_count=2):
        # Options of prlimit for a daemon by name, from its next start.
        self.resource_limits = {}
        self.folder = folder
        self.processes = {}
        self.logs = {}
        self.refused_ids = []
        peer, registrants, callers, balancer = free_ports(4)
        self.peer_port = peer
        self.ports = {"callers": callers, "balancer": balancer}
        self.registrants = [
            f"127.0.0.{n + 1}:{registrants}" for n in range(control_count)
        ]
        self._settings = {}
        # Relays of targets by address, for daemons that use them.
        self._routes = {}
        for n in range(control_count):
            self._add(
                f"control-{n}",
                f"127.0.0.{n + 1}",
                peer,
                {"registrants": self.registrants[n]},
                data_folder=str(folder / f"data-{n}"),
            )
        for n in range(entry_count):
            address = f"127.0.0.{n + 11}"
            self._add(
                f"entry-{n}",
                address,
                peer,
                {
                    "callers": f"{address}:{callers}",
                    "balancer": f"{address}:{balancer}",
                },
            )

    def change_settings(self, name, **changes):
        """Change settings of a daemon; they apply from its next start."""
        self._settings[name].update(changes)

    def reroute(self, name, routes):
        """Let a daemon reach targets through relays, from its next start.

        ``routes`` holds the relay's HOST:PORT for each target's HOST:PORT.
        """
        self._routes[name] = routes

    def set_first_start(self, name, value):
        """Set whether the whole fleet is starting for the first time."""
        self._settings[name]["fleet"]["first_start"] = value

    def _add(self, name, address, peer, endpoints, **settings):
        self._settings[name] = {
            "host": name,
            "address": address,
            "zone": "zone-a",
            "roles": [name.partition("-")[0]],
            "peer_port": peer,
            "telemetry": {"log_format": "json", "log_output": "stdout"},
            "fleet": {
                "seeds": self.registrants[:3],
                "first_start": True,
                "zones": ["zone-a", "zone-b"],
                "losses_tolerated": 1,
                "heartbeat_ms": 300,
                "hold_ms": 1500,
                "stop_s": 6,
                **endpoints,
            },
            **settings,
        }

    def start(self, *names):
        for name in names or list(self._settings):
            file = self.folder / f"{name}.json"
            file.write_text(json.dumps(self._settings[name]))
            program = [sys.executable, "-m", "goldcrestproxy.daemon"]
            if name in self._routes:
                program = [
                    sys.executable,
                    str(TESTS / "rerouted_daemon.py"),
                    json.dumps(self._routes[name]),
                ]
            self._run(
                name,
                program,
                "--settings",
                str(file),
            )

    def add_target(self, name, service, *options, keyed=False, address=None):
        if address is None:
            (port,) = free_ports(1)
            address = f"127.0.0.1:{port}"
        self._run(
            name,
            [sys.executable, str(TESTS / "stand_in_fleet.py")],
            name,
            service,
            address,
            ",".join(self.registrants),
            *(["--keyed"] if keyed else []),
            *options,
        )

    def _run(self, name, program, *arguments):
        self.logs[name] = self.folder / f"{name}.log"
        limits = self.resource_limits.get(name)
        if limits:
            program = ["prlimit", *limits, *program]
        with self.logs[name].open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [*program, *arguments], stdout=output, stderr=output
            )

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def wait_ended(self, name, timeout_s=10.0):
        return self.processes[name].wait(timeout_s)

    def send_operator_request(self, method, path, body=None):
        """Send a request to control hosts until one answers below 500."""
        deadline_s = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline_s:
            for registrant in self.registrants:
                try:
                    status, answer, _ = call(registrant, method, path, body)
                except OSError:
                    continue
                if status < 500:
                    return status, answer
            time.sleep(0.05)
        raise AssertionError(
            f"no control host answered {method} {path} below 500"
        )

    def request(
        self,
        entry,
        method,
        path,
        *,
        key=None,
        body=None,
        timeout_s=15,
        source="",
        chunked=False,
        **extra_headers,
    ):
        headers = {
            "Host": "desk.example",
            "Attempt-Id": os.urandom(8).hex(),
            "Deadline-Ms": "2000",
            **extra_headers,
        }
        if key is not None:
            headers["Shard-Key"] = str(key)
        address = f"127.0.0.{entry + 11}:{self.ports['callers']}"
        if chunked:
            headers["Transfer-Encoding"] = "chunked"
        return call(
            address,
            method,
            path,
            body,
            headers,
            timeout_s,
            source=source,
            chunked=chunked,
        )

    def request_until_served(self, entry, method, path, **options):
        """Send a request again while it is refused as not run.

        Return status, body, headers and the id of the last attempt; keys may
        still move when targets have just joined.
        """
        deadline_s = time.monotonic() + TIMEOUT_S
        while True:
            request_id = os.urandom(8).hex()
            status, body, headers = self.request(
                entry, method, path, **options, **{"Attempt-Id": request_id}
            )
            if status != 503 or time.monotonic() > deadline_s:
                return status, body, headers, request_id
            self.refused_ids.append(request_id)
            time.sleep(float(headers["Retry-After"]))

    def is_ready(self, entry):
        address = f"127.0.0.{entry + 11}:{self.ports['balancer']}"
        try:
            return call(address, "GET", "/goldcrestproxy/ready")[0] == 200
        except OSError:
            return False

    def wait_until(self, check, timeout_s=TIMEOUT_S):
        deadline_s = time.monotonic() + timeout_s
        while not check():
            if time.monotonic() > deadline_s:
                raise AssertionError(
                    f"not met within {timeout_s} s; {self.log_tails()}"
                )
            time.sleep(0.05)

    def log_tails(self):
        return {
            name: log.read_text()[-600:] for name, log in self.logs.items()
        }

    def runs(self, request_id):
        return self._count_in_logs(f"RUN {request_id}")

    def events(self, kind):
        """Return what targets with ``--events`` printed of this kind."""
        return [
            event
            for log in self.logs.values()
            for line in log.read_text().splitlines()
            if line.startswith("EVENT ")
            and (event := json.loads(line[6:]))["kind"] == kind
        ]

    def drops(self, request_id):
        return self._count_in_logs(f"DROPPED {request_id}")

    def closes(self, request_id):
        return self._count_in_logs(f"CLOSED {request_id}")

    def resident_bytes(self, name):
        """Return the memory that a process uses."""
        pages = pathlib.Path(f"/proc/{self.processes[name].pid}/statm")
        return int(pages.read_text().split()[1]) * resource.getpagesize()

    def descriptors(self, name):
        """Return the number of files that a process has open."""
        folder = pathlib.Path(f"/proc/{self.processes[name].pid}/fd")
        return len(list(folder.iterdir()))

    def _count_in_logs(self, line):
        return sum(log.read_text().count(line) for log in self.logs.values())

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


def call(
    address,
    method,
    path,
    body=None,
    headers=None,
    timeout_s=15,
    *,
    source="",
    chunked=False,
):
    """Send one HTTP request; return status, body and headers.

    ``source`` is the local IP address; ``chunked`` sends the body in chunks.
    """
    host, port = address.split(":")
    # Binding without an address would need a port that no other connection of
    # this machine uses.
    source_address = (source, 0) if source else None
    connection = http.client.HTTPConnection(
        host, int(port), timeout=timeout_s, source_address=source_address
    )
    try:
        if chunked:
            body = iter([body[:2], body[2:]])
        connection.request(
            method, path, body, headers or {}, encode_chunked=chunked
        )
        answer = connection.getresponse()
        check_framed(answer, method)
        return answer.status, answer.read(), dict(answer.getheaders())
    finally:
        connection.close()


def check_framed(answer, method):
    """Check that an answer tells its end, once and without doubt.

    http.client reads others until the connection is closed.
    """
    headers = answer.headers
    assert not headers.defects, headers.defects
    if method == "HEAD" or answer.status in (204, 304):
        return
    framings = [
        *(headers.get_all("Content-Length") or []),
        *(headers.get_all("Transfer-Encoding") or []),
    ]
    assert len(framings) == 1, framings
    assert re.fullmatch(r"[0-9]+|chunked", framings[0]), framings


def items(version=1, *, timeout_ms=30_000):
    """Return a configuration with one keyed and one pooled service."""
    route = {
        "version": version,
        "host": "desk.example",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 200,
        "rank": 1,
        "attempts_max": 2,
    }
    service = {
        "version": version,
        "health_path": "/healthz",
        "connections_max": 50,
        "cold_s": 1.0,
        "cold_requests_per_s": 50.0,
    }
    return json.dumps(
        {
            "upsert": {
                "routes": [
                    {
                        **route,
                        "name": "lookup",
                        "path_prefix": "/look/",
                        "route_kind": "safe",
                        "service": "desk",
                    },
                    {
                        **route,
                        "name": "book",
                        "path_prefix": "/book/",
                        "route_kind": "unsafe",
                        "service": "desk",
                    },
                    {
                        **route,
                        "name": "version",
                        "path_prefix": f"/v{version}/",
                        "route_kind": "safe",
                        "service": "desk",
                    },
                    {
                        **route,
                        "name": "photo",
                        "path_prefix": "/photo/",
                        "route_kind": "upload",
                        "service": "vault",
                    },
                ],
                "services": [
                    {**service, "name": "desk", "keyed": True},
                    {**service, "name": "vault"},
                ],
            },
            "remove": {},
        }
    )

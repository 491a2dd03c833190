"""Cluster of daemons and stand-in targets on loopback, for tests and bench.

Every daemon and target is a process with a port of its own. Processes are
started here and ended by process id.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import typing as ty
import urllib.error
import urllib.request

import attrs

TESTS = pathlib.Path(__file__).parent
START_TIMEOUT_S = 20.0


# Below the ephemeral ports, which the kernel assigns to outgoing
# connections.
_PORTS = itertools.cycle(random.sample(range(15_000, 32_000), 5_000))


def free_port() -> int:
    for port in _PORTS:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise AssertionError("no free port among the candidates")


def wait_until(
    check: ty.Callable[[], ty.Any],
    condition: str,
    timeout_s: float = START_TIMEOUT_S,
) -> ty.Any:
    deadline_s = time.monotonic() + timeout_s
    while True:
        with contextlib.suppress(OSError, KeyError):
            value = check()
            if value:
                return value
        if time.monotonic() > deadline_s:
            raise AssertionError(f"not met within {timeout_s} s: {condition}")
        time.sleep(0.02)


@attrs.define
class Answer:
    status: int
    headers: ty.Any
    body: bytes

    @property
    def json(self) -> ty.Any:
        return json.loads(self.body)

    @property
    def code(self) -> int:
        return int(self.headers.get("Goldcrest-Result", "-1 ").split()[0])

    @property
    def outcome(self) -> str:
        return self.headers.get("Goldcrest-Outcome", "")


def fetch(
    url: str,
    method: str = "GET",
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 15.0,
) -> Answer:
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return Answer(response.status, response.headers, response.read())
    except urllib.error.HTTPError as error:
        return Answer(error.code, error.headers, error.read())


class Process:
    """Child process whose output goes to a log file."""

    def __init__(
        self, name: str, command: list[str], folder: pathlib.Path
    ) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        with self.log.open("ab") as log:
            self._process = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def alive(self) -> bool:
        return self._process.poll() is None

    def send(self, number: int) -> None:
        self._process.send_signal(number)

    def kill(self) -> None:
        if self.alive:
            self.send(signal.SIGKILL)
        self._process.wait()

    def stop(self, timeout_s: float = 20.0) -> int:
        self.send(signal.SIGTERM)
        return self._process.wait(timeout_s)


@attrs.define
class Host:
    name: str
    zone: str
    roles: list[str]
    caller_port: int = attrs.field(factory=free_port)
    service_port: int = attrs.field(factory=free_port)
    peer_port: int = attrs.field(factory=free_port)
    process: Process | None = None

    @property
    def service_address(self) -> str:
        return f"127.0.0.1:{self.service_port}"

    @property
    def caller_url(self) -> str:
        return f"http://127.0.0.1:{self.caller_port}"


@attrs.define
class TargetSpec:
    name: str
    desk: str
    zone: str
    arguments: list[str]
    port: int
    process: Process | None = None


class Cluster:
    """Start, query and stop daemons and stand-in targets.

    :param hosts: name, zone and roles of each daemon
    :param timeouts: settings of the same name, in ms, for every daemon
    :param limits: settings of the same name for every daemon
    """

    def __init__(
        self,
        folder: pathlib.Path,
        hosts: ty.Sequence[tuple[str, str, list[str]]],
        timeouts: dict[str, int] | None = None,
        limits: dict[str, int] | None = None,
    ) -> None:
        self.folder = folder
        self.hosts = {name: Host(name, zone, r) for name, zone, r in hosts}
        self.targets: dict[str, TargetSpec] = {}
        self.timeouts = timeouts or {}
        self.limits = limits or {}
        self.telemetry: dict[str, ty.Any] = {}
        self.peer_ports: dict[tuple[str, str], int] = {}
        # Announced port by target, where it differs from the listening port.
        self.target_ports: dict[str, int] = {}
        # Relays of targets by host and address; see rerouted_daemon.py.
        self.routes: dict[str, dict[str, str]] = {}

    @property
    def entry_hosts(self) -> list[Host]:
        return [h for h in self.hosts.values() if "entry" in h.roles]

    @property
    def control_hosts(self) -> list[Host]:
        return [h for h in self.hosts.values() if "control" in h.roles]

    @property
    def record_file(self) -> pathlib.Path:
        return self.folder / "runs.jsonl"

    def runs(self, event: str = "start") -> list[dict]:
        if not self.record_file.exists():
            return []
        lines = self.record_file.read_text().splitlines()
        events = [json.loads(line) for line in lines if line.endswith("}")]
        return [line for line in events if line["event"] == event]

    def settings_of(self, host: Host) -> dict:
        return {
            "host": host.name,
            "address": "127.0.0.1",
            "zone": host.zone,
            "roles": host.roles,
            "caller_port": host.caller_port,
            "service_port": host.service_port,
            "peer_port": host.peer_port,
            "data_folder": str(self.folder / f"data-{host.name}"),
            "control_hosts": [
                {
                    "host": control.name,
                    "address": "127.0.0.1",
                    "peer_port": self.peer_ports.get(
                        (host.name, control.name), control.peer_port
                    ),
                }
                for control in self.control_hosts
            ],
            "timeouts": {"stop_grace_ms": 100, **self.timeouts},
            "limits": self.limits,
            "telemetry": self.telemetry,
        }

    def start_host(self, name: str) -> None:
        host = self.hosts[name]
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps(self.settings_of(host)))
        program = ["-m", "goldcrestproxy.daemon"]
        if name in self.routes:
            program = [
                str(TESTS / "rerouted_daemon.py"),
                json.dumps(self.routes[name]),
            ]
        host.process = Process(
            name,
            [sys.executable, *program, "--settings", str(file)],
            self.folder,
        )

    def start(self) -> None:
        for name in self.hosts:
            self.start_host(name)
        for host in self.hosts.values():
            wait_until(
                lambda h=host: fetch(
                    f"http://{h.service_address}/health/live"
                ),
                f"{host.name} is listening",
            )

    def form_control_group(self) -> None:
        answer = self.cli_json("members", "found")
        assert len(answer["members"]) == len(self.control_hosts)
        self.wait_leader()

    def wait_leader(self, timeout_s: float = START_TIMEOUT_S) -> str:
        return wait_until(self.leader, "a leader is elected", timeout_s)

    def leader(self) -> str | None:
        for host in self.control_hosts:
            if host.process is None or not host.process.alive:
                continue
            try:
                status = fetch(
                    f"http://{host.service_address}/v1/status", timeout_s=1.0
                )
            except OSError:
                continue
            if status.json.get("control_role") == "leader":
                return host.name
        return None

    def cli(
        self, *arguments: str, host: str | None = None
    ) -> subprocess.CompletedProcess[str]:
        server = self.hosts[host] if host else self._first_alive()
        return subprocess.run(
            [
                sys.executable,
                "-m",
                "goldcrestproxy.cli",
                "--server",
                server.service_address,
                *arguments,
            ],
            capture_output=True,
            check=False,
            text=True,
            timeout=120,
            stdin=subprocess.DEVNULL,
        )

    def cli_json(self, *arguments: str, host: str | None = None) -> ty.Any:
        done = self.cli("--output", "json", *arguments, host=host)
        assert done.returncode == 0, done.stderr + done.stdout
        return json.loads(done.stdout)

    def apply(self, document: dict, *arguments: str) -> ty.Any:
        file = self.folder / "deployment.json"
        file.write_text(json.dumps(document))
        return self.cli_json("apply", str(file), "--wait", *arguments)

    def add_target(
        self, name: str, desk: str, zone: str, *arguments: str
    ) -> None:
        self.prepare_target(name, desk, zone, *arguments)
        self.start_target(name)

    def prepare_target(
        self, name: str, desk: str, zone: str, *arguments: str
    ) -> int:
        """Assign a port to a target without starting it; return the port."""
        spec = TargetSpec(name, desk, zone, list(arguments), free_port())
        self.targets[name] = spec
        return spec.port

    def start_target(self, name: str) -> None:
        spec = self.targets[name]
        announce_arguments = [
            part
            for host in self.hosts.values()
            for part in ("--announce", host.service_address)
        ]
        spec.process = Process(
            name,
            [
                sys.executable,
                str(TESTS / "stand_in_target.py"),
                *("--name", name),
                *("--desk", spec.desk),
                *("--zone", spec.zone),
                *("--port", str(spec.port)),
                *("--announced-port", str(self.target_ports.get(name, 0))),
                *("--record", str(self.record_file)),
                *announce_arguments,
                *spec.arguments,
            ],
            self.folder,
        )

    def wait_in_service(self, desk: str) -> None:
        """Wait until all targets of a desk serve and its slots are settled."""

        def ready() -> bool:
            targets = self.status_targets()
            of_desk = [t for t in targets if t["desk"] == desk]
            expected = [
                s.name for s in self.targets.values() if s.desk == desk
            ]
            in_service = {
                t["target"]
                for t in of_desk
                if t["condition"] == "in-service" and t["coordinator"]
            }
            return in_service >= set(expected)

        wait_until(ready, f"desk {desk} is in service")
        self.wait_settled(desk)

    def wait_settled(self, desk: str) -> None:
        """Wait until 20 successive reads show the same slot owners."""
        observed: list[object] = []

        def settled() -> bool:
            owned = [
                (t["target"], t["owned"])
                for t in self.status_targets()
                if t["desk"] == desk
            ]
            observed.append(owned)
            return (
                len(observed) > 20
                and len({str(o) for o in observed[-20:]}) == 1
            )

        wait_until(settled, f"slots of desk {desk} are settled")

    def status_targets(self) -> list[dict]:
        host = self._first_alive()
        answer = fetch(
            f"http://{host.service_address}/v1/targets", timeout_s=5.0
        )
        return answer.json["targets"]

    def owner(self, customer: str, desk: str, key: str) -> dict:
        host = self._first_alive()
        return fetch(
            f"http://{host.service_address}/v1/owners?customer={customer}"
            f"&desk={desk}&key={key}"
        ).json

    def control_target(self, name: str, **value: ty.Any) -> dict:
        return fetch(
            f"http://127.0.0.1:{self.targets[name].port}/control",
            "POST",
            json.dumps(value).encode(),
        ).json

    def close(self) -> None:
        processes = [
            *(h.process for h in self.hosts.values()),
            *(t.process for t in self.targets.values()),
        ]
        for process in processes:
            if process is not None and process.alive:
                process.send(signal.SIGCONT)
                process.kill()

    def alive_entry_host(self) -> Host:
        """Return an entry host whose daemon is running."""
        for host in self.entry_hosts:
            if host.process is not None and host.process.alive:
                return host
        raise AssertionError("no entry host is running")

    def _first_alive(self) -> Host:
        for host in self.hosts.values():
            if host.process is not None and host.process.alive:
                return host
        raise AssertionError("no daemon is running")

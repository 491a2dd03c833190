"""Runs a case on the project's daemons, started as the deploy file says."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import typing as ty

from common import stand_ins

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
# ``heartbeat`` of the site that the claims name.
HEARTBEAT_MS = 1500
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
EXIT_CANNOT_RUN = 2


class CannotRun(Exception):
    """The case could not be set up."""


def run_command(role: str) -> list[str]:
    """Return the command of a role in the deploy file."""
    file = REPOSITORY / "deploy" / "system.toml"
    deploy = tomllib.loads(file.read_text())
    return deploy["roles"][role]["run"].split(" ")


class System:
    """Daemons of a small deployment on loopback addresses.

    Settings are those of the templates in ``deploy``, with the bounds of
    the users' pages.
    """

    def __init__(self, controls: int, entries: int, losses: int) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        # A network of its own, so that runs do not meet.
        self.network = (
            f"127.{random.randint(40, 240)}.{random.randint(0, 250)}"
        )
        self.ports = _free_ports(f"{self.network}.1", 5)
        self.losses = losses
        self.control_names = [f"control-{n}" for n in range(controls)]
        self.entry_names = [f"entry-{n}" for n in range(entries)]
        self.addresses = {
            name: f"{self.network}.{n + 1}"
            for n, name in enumerate(self.control_names)
        }
        self.addresses.update(
            {
                name: f"{self.network}.{n + 101}"
                for n, name in enumerate(self.entry_names)
            }
        )
        self.seeds = [self.registrant(name) for name in self.control_names[:3]]
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.first_start = True

    def registrant(self, name: str) -> str:
        """Return where a control host takes calls."""
        return f"{self.addresses[name]}:{self.ports[1]}"

    def caller_address(self, name: str) -> str:
        """Return where an entry host takes requests."""
        return f"{self.addresses[name]}:{self.ports[2]}"

    def balancer_address(self, name: str) -> str:
        """Return where an entry host answers readiness checks."""
        return f"{self.addresses[name]}:{self.ports[3]}"

    def add_control(self) -> str:
        """Name a further control host with an address of its own."""
        name = f"control-{len(self.control_names)}"
        self.addresses[name] = f"{self.network}.{len(self.control_names) + 1}"
        self.control_names.append(name)
        return name

    def start(self, name: str) -> None:
        """Start a daemon with the command of its role."""
        role = name.partition("-")[0]
        file = self.folder / f"{name}.json5"
        file.write_text(json.dumps(self._settings(name, role)))
        environment = {
            key: os.environ[key]
            for key in PASSED_VARIABLES
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["GOLDCRESTPROXY_NODE_FILE"] = str(file)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                run_command(role),
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a daemon."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a daemon."""
        self.processes[name].kill()
        self.processes[name].wait()

    def running(self, name: str) -> bool:
        """Whether a daemon's process runs."""
        return self.processes[name].poll() is None

    def close(self) -> None:
        """End all daemons and remove their files, unless KEEP is set."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    def log_lines(self, name: str, text: str) -> list[str]:
        """Return the lines of a daemon's log that contain a text."""
        file = self.folder / f"{name}.log"
        if not file.exists():
            return []
        lines = file.read_text(errors="replace").splitlines()
        return [line for line in lines if text in line]

    def _settings(self, name: str, role: str) -> dict[str, object]:
        settings: dict[str, object] = {
            "host": name,
            "address": self.addresses[name],
            "zone": "zone-a",
            "roles": [role],
            "peer_port": self.ports[0],
            "telemetry": {
                "log_format": "json",
                "log_output": "stdout",
                "metrics_port": self.ports[4],
            },
        }
        if role == "control":
            folder = self.folder / f"data-{name}"
            folder.mkdir(exist_ok=True)
            settings["data_folder"] = str(folder)
            settings["timeouts"] = {
                "heartbeat_ms": 100,
                "election_min_ms": 400,
                "election_max_ms": 800,
                "renewal_ms": 300,
                "grant_ms": 1000,
                "lease_ms": 2000,
                "channel_heartbeat_ms": 300,
                "channel_silence_ms": 1000,
            }
            settings["fleet"] = {
                "registrants": self.registrant(name),
                "seeds": self.seeds,
                "first_start": self.first_start,
                "zones": ["zone-a", "zone-b", "zone-c"],
                "losses_tolerated": self.losses,
                "heartbeat_ms": HEARTBEAT_MS,
                "hold_ms_max": 10000,
                "stop_s": 6,
            }
        else:
            settings["timeouts"] = {
                "channel_heartbeat_ms": 300,
                "channel_silence_ms": 1500,
                "channel_connect_ms": 1000,
            }
            settings["fleet"] = {
                "callers": self.caller_address(name),
                "balancer": self.balancer_address(name),
                "seeds": self.seeds,
                "resend_ratio": 0.2,
                "resend_slack": 62,
                "resend_window_s": 10,
                "stop_s": 6,
                "heartbeat_ms": HEARTBEAT_MS,
                "in_force_ms": 2000,
                "drain_ms": 2000,
            }
        return settings


def run_case(
    folder: pathlib.Path,
    play: ty.Callable[[System, stand_ins.Record], ty.Awaitable[int]],
    *,
    entries: int,
    trouble: bool,
) -> int:
    """Run a case with five control hosts; return its exit code.

    All processes are ended, also when the case fails or is terminated.
    """
    record = stand_ins.Record(folder / "record.txt")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_CANNOT_RUN))
    system = System(controls=5, entries=entries, losses=2)
    record.write("start", trouble=int(trouble), folder=system.folder.name)

    async def run() -> int:
        return await play(system, record)

    try:
        return asyncio.run(run())
    except Exception as error:
        traceback.print_exc()
        record.write("cannot_run", why=repr(error))
        return EXIT_CANNOT_RUN
    finally:
        system.close()


def _free_ports(address: str, count: int) -> list[int]:
    ports: list[int] = []
    deadline_s = time.monotonic() + 5
    while len(ports) < count and time.monotonic() < deadline_s:
        port = random.randint(15_000, 31_000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((address, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    if len(ports) < count:
        raise CannotRun("no free ports")
    return ports

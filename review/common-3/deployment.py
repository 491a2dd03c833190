"""A small deployment: the project's programs on loopback addresses.

The programs run as deploy/system.toml says, with settings files rendered from
its templates by the rules of DEPLOY.md, and fields as ``fleetbench wire``
shows them for a small site.
"""

from __future__ import annotations

import json
import os
import pathlib
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
TOKEN = re.compile(r"\{\{(.*?)\}\}", re.DOTALL)
ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "region-1"
SETTINGS_VARIABLE = "GOLDCRESTPROXY_NODE_FILE"


def render(template, fields):
    """Fill in a template as DEPLOY.md tells."""
    parts = TOKEN.split(template)
    tree, stack = [], []
    current = tree
    for number, part in enumerate(parts):
        if number % 2 == 0:
            current.append(("text", part))
            continue
        word = part.strip()
        if word[0] in "#^":
            section = (word[0], word[1:], [])
            current.append(section)
            stack.append(current)
            current = section[2]
        elif word[0] == "/":
            current = stack.pop()
        else:
            current.append(("value", word))
    return _render(tree, [{"value": fields, "key": "", "last": True}])


def _look_up(name, scopes):
    if name == ".":
        return scopes[-1]["value"]
    for scope in reversed(scopes):
        value = scope["value"]
        for word in name.split("."):
            if isinstance(value, dict) and word in value:
                value = value[word]
            elif isinstance(value, list) and word.isdecimal():
                value = value[int(word)]
            else:
                break
        else:
            return value
    return None


def _text(value, as_json):
    if as_json:
        return json.dumps(value)
    match value:
        case None:
            return ""
        case bool():
            return json.dumps(value)
        case list():
            return ",".join(_text(item, False) for item in value)
        case dict():
            return json.dumps(value)
    return str(value)


def _render(tree, scopes):
    out = []
    for node in tree:
        match node:
            case ("text", text):
                out.append(text)
            case ("value", "@"):
                out.append(str(scopes[-1]["key"]))
            case ("value", ","):
                out.append("" if scopes[-1]["last"] else ",")
            case ("value", word):
                name, _, kind = word.partition("|")
                out.append(_text(_look_up(name, scopes), kind == "json"))
            case ("^", name, children):
                if not _look_up(name, scopes):
                    out.append(_render(children, scopes))
            case ("#", name, children):
                value = _look_up(name, scopes)
                if isinstance(value, dict):
                    entries = list(value.items())
                elif isinstance(value, list):
                    entries = list(enumerate(value))
                else:
                    entries = [] if value in (None, False) else [("", value)]
                for at, (key, entry) in enumerate(entries):
                    scope = {
                        "value": entry,
                        "key": key,
                        "last": at == len(entries) - 1,
                    }
                    out.append(_render(children, [*scopes, scope]))
    return "".join(out)


def free_port(address):
    with socket.socket() as listener:
        listener.bind((address, 0))
        return listener.getsockname()[1]


class Deployment:
    """Start and stop control hosts and entry hosts.

    Each host has an address of its own. Ports are the same on all hosts, as
    on the users' platform.
    """

    def __init__(self, controls=5, entries=2, losses=2, bounds=None):
        # So that a case that is stopped ends its processes, too.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        number = os.getpid() % 16384
        self.net = f"127.{64 + number // 256}.{number % 256}"
        self.processes = {}
        self.hosts = {}
        self.roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())[
            "roles"
        ]
        probe = f"{self.net}.1"
        self.ports = {
            name: free_port(probe)
            for name in ("callers", "balancer", "registrants", "peer")
        }
        self.losses = losses
        self.bounds = {
            "contact": 3000,
            "ack": 4000,
            "sync_time": 4,
            "drain": 2000,
            "stop_s": 6,
            "lost_time": 200,
            "config": 2000,
            "resend_ratio": 0.2,
            "resend_window_s": 10,
            "resend_slack": 62,
            "evac": 5000,
            "recover": 15,
            "hold_ms_max": 10000,
            **(bounds or {}),
        }
        for n in range(controls):
            self._add(f"control-{n}", f"{self.net}.{n + 1}", "control", n)
        for n in range(entries):
            self._add(f"entry-{n}", f"{self.net}.{n + 101}", "entry", n)
        self.control_names = [f"control-{n}" for n in range(controls)]
        self.entry_names = [f"entry-{n}" for n in range(entries)]

    def _add(self, name, address, role, number):
        self.hosts[name] = {
            "name": name,
            "address": address,
            "role": role,
            "zone": ZONES[number % len(ZONES)],
            "started": False,
        }

    def endpoint(self, name, port):
        return f"{self.hosts[name]['address']}:{self.ports[port]}"

    @property
    def registrants(self):
        return [
            (self.hosts[name]["address"], self.ports["registrants"])
            for name in self.control_names
        ]

    def caller_address(self, name):
        return self.hosts[name]["address"], self.ports["callers"]

    def balancer_address(self, name):
        return self.hosts[name]["address"], self.ports["balancer"]

    def _fields(self, host):
        listen = (
            {"registrants": self.endpoint(host["name"], "registrants")}
            if host["role"] == "control"
            else {
                "callers": self.endpoint(host["name"], "callers"),
                "balancer": self.endpoint(host["name"], "balancer"),
            }
        )
        fields = {
            "node": host["name"],
            "role": host["role"],
            "ip": host["address"],
            "zone": host["zone"],
            "region": REGION,
            "peer_ports": [self.ports["peer"], self.ports["peer"]],
            "seeds": [
                self.endpoint(name, "registrants")
                for name in self.control_names[:3]
            ],
            # True only when the whole system starts for the first time.
            "first_start": not host["started"],
            "heartbeat_ms": 870,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": listen,
            "limits": {"memory_mb": 300, "descriptors_max": 4100},
            "tolerated": {"nodes": self.losses, "zones": 1, "regions": 0},
            "bounds": self.bounds,
        }
        if host["role"] == "control":
            fields["data_folder"] = str(self.data_folder(host["name"]))
        return fields

    def data_folder(self, name):
        return self.folder / f"data-{name}"

    def start(self, *names):
        """Start hosts; each start after the first one has no first_start."""
        for name in names or list(self.hosts):
            host = self.hosts[name]
            role = self.roles[host["role"]]
            template = (ROOT / role["template"]).read_text()
            file = self.folder / f"{name}.settings"
            file.write_text(render(template, self._fields(host)))
            if host["role"] == "control":
                self.data_folder(name).mkdir(exist_ok=True)
            host["started"] = True
            words = role["run"].split()
            program = shutil.which(words[0])
            env = {
                key: os.environ[key]
                for key in ("PATH", "HOME", "LANG")
                if key in os.environ
            }
            env[SETTINGS_VARIABLE] = str(file)
            env["PYTHONPATH"] = str(ROOT / "target/deps")
            env["PYTHONDONTWRITEBYTECODE"] = "1"
            log = (self.folder / f"{name}.log").open("ab")
            self.processes[name] = subprocess.Popen(
                [program, *words[1:]],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
            log.close()

    def kill(self, name):
        process = self.processes[name]
        process.send_signal(signal.SIGKILL)
        process.wait(10)

    def wipe(self, name):
        """Empty the disk of a host that has ended."""
        shutil.rmtree(self.data_folder(name))
        self.data_folder(name).mkdir()

    def ended_by_itself(self, expected=()):
        """Return the exit codes of hosts that nobody stopped."""
        return {
            name: process.returncode
            for name, process in self.processes.items()
            if process.poll() is not None and name not in expected
        }

    def close(self):
        """End all processes and remove the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait(10)
        shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """What was sent, answered and run, with the time of each."""

    def __init__(self, file):
        self.started_s = time.monotonic()
        self._file = pathlib.Path(file)
        self.lines = []

    @property
    def now_s(self):
        return time.monotonic() - self.started_s

    def add(self, *words):
        self.lines.append(f"{self.now_s:9.3f} " + " ".join(map(str, words)))

    def write(self, *summary):
        text = "\n".join([*summary, "", *self.lines]) + "\n"
        self._file.write_text(text)
        for line in summary:
            print(line)


def finish(record, deployment, summary, code):
    """Write the record, end all processes and exit."""
    deployment.close()
    record.write(*summary)
    sys.exit(code)

"""The main job in one minute: a small system on loopback addresses.

Starts three control and entry daemons, one entry-only daemon and stand-in
targets in three zones, applies a template for two customers, sends requests,
kills the owner of a key, takes a zone out and back, and stops everything.
"""

from __future__ import annotations

import pathlib
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT / "tests"))

import cluster as clusters  # noqa: E402

HOSTS = [
    ("entry-a", "zone-a", ["entry", "control"]),
    ("entry-b", "zone-b", ["entry", "control"]),
    ("entry-c", "zone-c", ["entry", "control"]),
    ("entry-d", "zone-a", ["entry"]),
]
ZONES = ("zone-a", "zone-b", "zone-c")


def say(text: str) -> None:
    print(text, flush=True)


def show(system: clusters.Cluster, *arguments: str) -> None:
    say(f"$ goldcrestproxy {' '.join(arguments)}")
    done = system.cli(*arguments)
    say((done.stdout + done.stderr).rstrip() + "\n")


def start_targets(system: clusters.Cluster) -> None:
    for number in range(6):
        zone = ZONES[number % 3]
        system.add_target(f"pitch-{number}", "pitches", zone, "--fencing")
    for number in range(3):
        system.add_target(f"photo-{number}", "photos", ZONES[number])
    system.wait_in_service("pitches")
    system.wait_in_service("photos")
    say("9 targets announced themselves and are in service\n")


def send_requests(system: clusters.Cluster) -> None:
    for customer in ("kisvaros", "bangkok-books"):
        for host in system.entry_hosts:
            url = f"{host.caller_url}/{customer}/pitches/pitches/p1"
            looked = clusters.fetch(url)
            reserved = clusters.fetch(
                url,
                "POST",
                b'{"trader": "Ilona"}',
                {"Idempotency-Key": f"{customer}-p1"},
            )
            say(
                f"{customer} through {host.name}: lookup {looked.status} by "
                f"{looked.json['target']}, reservation {reserved.status} by "
                f"{reserved.json['target']}"
            )
    starts = [r for r in system.runs() if r["method"] == "POST"]
    say(f"8 reservations with 2 idempotency keys ran {len(starts)} times")
    photo = b"\xff" * 4_000_000
    url = f"{system.entry_hosts[3].caller_url}/kisvaros/photos/photos/stall-1"
    uploaded = clusters.fetch(url, "PUT", photo)
    say(f"upload of 4 MB: {uploaded.status}, {uploaded.json['bytes']} bytes\n")


def kill_owner(system: clusters.Cluster) -> None:
    owner = system.owner("kisvaros", "pitches", "p1")["owner"]
    say(f"kills {owner}, the owner of key p1")
    process = system.targets[owner].process
    assert process is not None
    process.kill()
    started_s = time.monotonic()
    url = f"{system.entry_hosts[0].caller_url}/kisvaros/pitches/pitches/p1"
    clusters.wait_until(
        lambda: clusters.fetch(url).status == 200, "key served again"
    )
    served_ms = (time.monotonic() - started_s) * 1000
    say(f"key p1 is served again after {served_ms:.0f} ms\n")


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        system = clusters.Cluster(pathlib.Path(folder), HOSTS)
        try:
            system.start()
            say("3 control and entry daemons and 1 entry daemon started")
            system.form_control_group()
            show(system, "status")
            example = str(ROOT / "examples" / "demo.json")
            show(system, "check", example)
            show(system, "apply", example, "--wait")
            start_targets(system)
            send_requests(system)
            show(system, "owners", "kisvaros", "pitches", "p1")
            kill_owner(system)
            show(system, "zone", "out", "zone-b", "--wait")
            time.sleep(1.0)
            show(system, "targets")
            show(system, "zone", "in", "zone-b", "--wait")
            show(system, "history")
        finally:
            system.close()
    say("stopped; nothing is left running")


if __name__ == "__main__":
    main()

"""One-minute demonstration of a small system on loopback addresses.

Starts three control and entry daemons, one entry-only daemon and stand-in
targets in three zones, applies a template for two customers, sends requests,
kills the owner of a key, takes a zone out and back in, and stops all
processes.
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


def print_line(text: str) -> None:
    print(text, flush=True)


def run_command(system: clusters.Cluster, *arguments: str) -> None:
    print_line(f"$ goldcrestproxy {' '.join(arguments)}")
    done = system.cli(*arguments)
    print_line((done.stdout + done.stderr).rstrip() + "\n")


def start_targets(system: clusters.Cluster) -> None:
    for number in range(6):
        zone = ZONES[number % 3]
        system.add_target(f"pitch-{number}", "pitches", zone, "--fencing")
    for number in range(3):
        system.add_target(f"photo-{number}", "photos", ZONES[number])
    system.wait_in_service("pitches")
    system.wait_in_service("photos")
    print_line("9 targets announced themselves and are in service\n")


def send_requests(system: clusters.Cluster) -> None:
    for customer in ("kisvaros", "bangkok-books"):
        for host in system.entry_hosts:
            url = f"{host.caller_url}/{customer}/pitches/pitches/p1"
            lookup = clusters.fetch(url)
            booking = clusters.fetch(
                url,
                "POST",
                b'{"trader": "Ilona"}',
                {"Idempotency-Key": f"{customer}-p1"},
            )
            print_line(
                f"{customer} through {host.name}: lookup {lookup.status} by "
                f"{lookup.json['target']}, reservation {booking.status} by "
                f"{booking.json['target']}"
            )
    starts = [r for r in system.runs() if r["method"] == "POST"]
    print_line(
        f"8 reservations with 2 idempotency keys ran {len(starts)} times"
    )
    photo = b"\xff" * 4_000_000
    url = f"{system.entry_hosts[3].caller_url}/kisvaros/photos/photos/stall-1"
    upload = clusters.fetch(url, "PUT", photo)
    print_line(
        f"upload of 4 MB: {upload.status}, {upload.json['bytes']} bytes\n"
    )


def kill_owner(system: clusters.Cluster) -> None:
    owner = system.owner("kisvaros", "pitches", "p1")["owner"]
    print_line(f"kills {owner}, the owner of key p1")
    process = system.targets[owner].process
    assert process is not None
    process.kill()
    started_s = time.monotonic()
    url = f"{system.entry_hosts[0].caller_url}/kisvaros/pitches/pitches/p1"
    clusters.wait_until(
        lambda: clusters.fetch(url).status == 200, "key served again"
    )
    served_ms = (time.monotonic() - started_s) * 1000
    print_line(f"key p1 is served again after {served_ms:.0f} ms\n")


def main() -> None:
    with tempfile.TemporaryDirectory() as folder:
        system = clusters.Cluster(pathlib.Path(folder), HOSTS)
        try:
            system.start()
            print_line(
                "3 control and entry daemons and 1 entry daemon started"
            )
            system.form_control_group()
            run_command(system, "status")
            example = str(ROOT / "examples" / "demo.json")
            run_command(system, "check", example)
            run_command(system, "apply", example, "--wait")
            start_targets(system)
            send_requests(system)
            run_command(system, "owners", "kisvaros", "pitches", "p1")
            kill_owner(system)
            run_command(system, "zone", "out", "zone-b", "--wait")
            time.sleep(1.0)
            run_command(system, "targets")
            run_command(system, "zone", "in", "zone-b", "--wait")
            run_command(system, "history")
        finally:
            system.close()
    print_line("stopped; nothing is left running")


if __name__ == "__main__":
    main()

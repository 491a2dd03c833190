"""Requests that end each target that begins to run them."""

from __future__ import annotations

import itertools
import json
import os
import signal
import time

import fleet as fleets
import pytest

# From the third crash on, by then no host may send the request any more.
CONTACT_S = 3.0
QUARANTINED = 3006
LONG_BODY_BYTES = 100_000
ENTRY_HOSTS = 3
TARGETS = 5


class CrashingFleet(fleets.Fleet):
    """A fleet whose crashed targets start again under new names."""

    def __init__(self, folder, restart_s):
        super().__init__(folder, entry_count=ENTRY_HOSTS)
        self.crashed_s = []
        self._restart_s = restart_s
        self._names = (f"desk-{n}" for n in itertools.count())
        self._addresses = {}
        # Addresses of crashed targets by the time of their next start.
        self._restarts = []

    def add_desk(self, address):
        name = next(self._names)
        self._addresses[name] = address
        self.add_target(name, "desk", keyed=True, address=address)

    def restart_crashed_targets(self):
        now_s = time.monotonic()
        for name, address in list(self._addresses.items()):
            if self.processes[name].poll() is not None:
                self.crashed_s.append(now_s)
                del self._addresses[name]
                self._restarts.append((now_s + self._restart_s, address))
        while self._restarts and self._restarts[0][0] <= now_s:
            self.add_desk(self._restarts.pop(0)[1])

    def send(self, number, method, path, body=b"pitch 9", **options):
        """Send from an address and to a host that depend on ``number``."""
        if method != "POST":
            body = None
        status, text, _ = self.request(
            number % ENTRY_HOSTS,
            method,
            path,
            body=body,
            source=f"127.0.1.{number % 7 + 1}",
            chunked=body is not None and number % 2 == 1,
            **options,
        )
        return status, text

    def is_quarantined(self, number, method, path, **options):
        status, text = self.send(number, method, path, **options)
        return status == 503 and json.loads(text)["code"] == QUARANTINED


@pytest.fixture
def fleet(tmp_path, restart_s):
    new_fleet = CrashingFleet(tmp_path, restart_s)
    try:
        new_fleet.start()
        status, _ = new_fleet.send_operator_request(
            "PATCH", "/goldcrestproxy/config", fleets.items()
        )
        assert status == 200
        for port in fleets.free_ports(TARGETS):
            new_fleet.add_desk(f"127.0.0.1:{port}")
        new_fleet.wait_until(
            lambda: all(
                new_fleet.is_ready(number)
                and new_fleet.send(number, "GET", "/look/1", key=9)[0] == 200
                for number in range(ENTRY_HOSTS)
            )
        )
        yield new_fleet
    finally:
        new_fleet.close()


@pytest.mark.parametrize("restart_s", [0.0, 3.0])
@pytest.mark.parametrize(
    ("method", "path"), [("GET", "/look/crash"), ("POST", "/book/crash")]
)
def test_a_crashing_request_is_refused_from_any_address_at_any_host(
    fleet, method, path
):
    numbers = itertools.count()

    def crashed_three_targets():
        fleet.send(next(numbers), method, path, key=9)
        fleet.restart_crashed_targets()
        return len(fleet.crashed_s) >= 3

    fleet.wait_until(crashed_three_targets)
    while time.monotonic() < fleet.crashed_s[2] + CONTACT_S:
        fleet.send(next(numbers), method, path, key=9)
        fleet.restart_crashed_targets()
    crashed_by_then = len(fleet.crashed_s)
    for number in range(2 * ENTRY_HOSTS * 7):
        assert fleet.is_quarantined(number, method, path, key=9)
    fleet.restart_crashed_targets()
    assert len(fleet.crashed_s) == crashed_by_then
    fleet.wait_until(
        lambda: all(
            fleet.send(number, "GET", "/look/1", key=9)[0] == 200
            for number in range(ENTRY_HOSTS)
        )
    )


@pytest.mark.parametrize("restart_s", [1.0])
def test_crashes_count_over_a_change_of_the_leader(fleet):
    numbers = itertools.count()

    def crashed(count):
        fleet.send(next(numbers), "GET", "/look/crash", key=9)
        fleet.restart_crashed_targets()
        return len(fleet.crashed_s) >= count

    fleet.wait_until(lambda: crashed(2))
    leader = next(
        name
        for name, log in fleet.logs.items()
        if "became leader" in log.read_text()
    )
    fleet.signal(leader, signal.SIGKILL)
    fleet.wait_until(lambda: crashed(3))
    while time.monotonic() < fleet.crashed_s[2] + CONTACT_S:
        crashed(3)
    crashed_by_then = len(fleet.crashed_s)
    for number in range(ENTRY_HOSTS):
        assert fleet.is_quarantined(number, "GET", "/look/crash", key=9)
    assert len(fleet.crashed_s) == crashed_by_then


@pytest.mark.parametrize("restart_s", [0.5])
def test_a_long_upload_that_crashes_targets_is_refused_beside_others(fleet):
    """Guards against answers to other uploads that clear its crashes."""
    numbers = itertools.count()
    deadly_body = os.urandom(LONG_BODY_BYTES) + b"crash"

    def send(number, body):
        return fleet.send(number, "POST", "/book/1", body, key=9)[0]

    def is_refused(number):
        return fleet.is_quarantined(
            number, "POST", "/book/1", body=deadly_body, key=9
        )

    def serves_another_upload():
        fleet.restart_crashed_targets()
        return send(next(numbers), os.urandom(LONG_BODY_BYTES)) == 200

    def crash_another_target():
        send(next(numbers), deadly_body)
        fleet.wait_until(serves_another_upload)

    while len(fleet.crashed_s) < 3:
        crash_another_target()
    while time.monotonic() < fleet.crashed_s[2] + CONTACT_S:
        crash_another_target()
    crashed_by_then = len(fleet.crashed_s)
    for number in range(2 * ENTRY_HOSTS):
        assert is_refused(number)
        fleet.wait_until(serves_another_upload)
    assert len(fleet.crashed_s) == crashed_by_then

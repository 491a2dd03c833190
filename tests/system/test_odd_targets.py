"""One odd entry among those of the targets, from another writer."""

from __future__ import annotations

import json
import time

import fleet as fleets
import odd_entries as odd
import pytest

HOSTS = ("control-0", "control-1", "control-2", "entry-0", "entry-1")
FOLLOWED_S = 3.0


@pytest.fixture
def fleet(tmp_path):
    new_fleet = fleets.Fleet(tmp_path)
    try:
        new_fleet.start()
        status, _ = new_fleet.send_operator_request(
            "PATCH", "/goldcrestproxy/config", fleets.items()
        )
        assert status == 200
        new_fleet.add_target("desk-0", "desk", keyed=True)
        new_fleet.add_target("vault-0", "vault")
        new_fleet.wait_until(lambda: serves(new_fleet))
        yield new_fleet
    finally:
        new_fleet.close()


def serves(fleet):
    try:
        return all(
            fleet.request(host, method, path, key=key)[0] == 200
            for host in range(2)
            for method, path, key in (
                ("GET", "/look/1", 5),
                ("POST", "/photo/1", None),
            )
        )
    except OSError:
        return False


def check_follows(fleet):
    """Check that no process ends and that hosts follow further changes."""
    end_s = time.monotonic() + FOLLOWED_S
    while time.monotonic() < end_s:
        assert serves(fleet)
        time.sleep(0.02)
    ended = [
        name for name in HOSTS if fleet.processes[name].poll() is not None
    ]
    assert ended == []
    change = json.loads(fleets.items(version=2))
    change["upsert"]["routes"][0]["path_prefix"] = "/later/"
    status, _ = fleet.send_operator_request(
        "PATCH", "/goldcrestproxy/config", json.dumps(change)
    )
    assert status == 200
    fleet.wait_until(
        lambda: all(
            fleet.request(host, "GET", "/later/1", key=5)[0] == 200
            for host in range(2)
        )
    )


def test_odd_entries_end_no_process_and_stop_no_change(fleet):
    bodies = [
        *odd.ODD_BODIES,
        *(
            json.dumps({**odd.VALID, name: value}).encode()
            for name, value in odd.ODD_FIELDS
        ),
    ]
    for number, body in enumerate(bodies):
        status, _ = fleet.send_operator_request(
            "PUT", f"/goldcrestproxy/instances/odd-{number}", body
        )
        assert status == 400, body[:200]
    check_follows(fleet)


def test_an_incarnation_out_of_range_ends_no_host_that_reports_it(fleet):
    """Its answers are measured, and measurements are reported."""
    vault = fleet.processes["vault-0"].args
    body = json.dumps(
        {
            **odd.VALID,
            "service": "vault",
            "address": vault[4],
            "born": 10**30,
            "slots": 4,
        }
    )
    for sequence in range(5):
        fleet.send_operator_request(
            "PUT",
            "/goldcrestproxy/instances/vault-0",
            json.dumps({**json.loads(body), "sequence": sequence}),
        )
    check_follows(fleet)

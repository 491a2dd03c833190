"""Planned stops of control hosts in separate processes."""

from __future__ import annotations

import concurrent.futures
import signal
import time

import fleet as fleets
import pytest

CONFIG = "/goldcrestproxy/config"
# A leader that waits for its followers keeps the leadership for seconds.
TIMEOUTS = {"election_min_ms": 1500, "election_max_ms": 3000, "lease_ms": 4000}


@pytest.fixture
def fleet(tmp_path):
    """Fleet of three control hosts that holds a configuration."""
    new_fleet = fleets.Fleet(tmp_path, entry_count=0)
    for n in range(3):
        new_fleet.change_settings(f"control-{n}", timeouts=TIMEOUTS)
    try:
        new_fleet.start()
        status, _ = new_fleet.send_operator_request(
            "PATCH", CONFIG, fleets.items()
        )
        assert status == 200
        yield new_fleet
    finally:
        new_fleet.close()


def leader_of(fleet):
    """Return the number of the only host that has become the leader."""
    (leader,) = [
        n
        for n in range(3)
        if "became leader" in fleet.logs[f"control-{n}"].read_text()
    ]
    return leader


def stop_with_a_change_in_flight(fleet, pool, leader):
    """Stop the leader while its followers are frozen; return the answer."""
    for n in range(3):
        if n != leader:
            fleet.signal(f"control-{n}", signal.SIGSTOP)
    answer = pool.submit(
        fleets.call,
        fleet.registrants[leader],
        "PATCH",
        CONFIG,
        fleets.items(2, timeout_ms=1500),
    )
    time.sleep(0.3)
    assert not answer.done()
    fleet.signal(f"control-{leader}", signal.SIGTERM)
    return answer


def test_change_in_flight_at_a_stop_of_the_leader_is_answered(fleet):
    leader = leader_of(fleet)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        answer = stop_with_a_change_in_flight(fleet, pool, leader)
        for n in range(3):
            if n != leader:
                fleet.signal(f"control-{n}", signal.SIGCONT)
        status, _, headers = answer.result()
    assert (status, headers.get("Connection")) == (200, "close")
    assert fleet.wait_ended(f"control-{leader}") == 0
    assert b"1500" in fleet.send_operator_request("GET", CONFIG)[1]


def test_change_that_cannot_be_committed_is_answered_before_the_exit(fleet):
    """No promise that it has no effect: a follower may have it in its log."""
    leader = leader_of(fleet)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        answer = stop_with_a_change_in_flight(fleet, pool, leader)
        status, _, _ = answer.result()
    assert status == 502
    assert fleet.wait_ended(f"control-{leader}", timeout_s=3.0) == 0


def test_change_forwarded_by_a_host_that_stops_is_answered(fleet):
    """The leader is frozen meanwhile, and may be too late with its answer."""
    leader = leader_of(fleet)
    follower = (leader + 1) % 3
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        fleet.signal(f"control-{leader}", signal.SIGSTOP)
        answer = pool.submit(
            fleets.call,
            fleet.registrants[follower],
            "PATCH",
            CONFIG,
            fleets.items(2, timeout_ms=1500),
        )
        time.sleep(0.15)
        fleet.signal(f"control-{follower}", signal.SIGTERM)
        time.sleep(0.05)
        fleet.signal(f"control-{leader}", signal.SIGCONT)
        status, _, headers = answer.result()
    assert status in (200, 502)
    assert headers.get("Connection") == "close"
    assert fleet.wait_ended(f"control-{follower}", timeout_s=3.0) == 0


def test_signals_during_a_stop_and_bad_settings_do_not_interrupt_it(fleet):
    leader = leader_of(fleet)
    name = f"control-{leader}"
    file = fleet.folder / f"{name}.json"
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        answer = stop_with_a_change_in_flight(fleet, pool, leader)
        file.write_bytes(file.read_bytes()[:40] + b"\xe2\x82")
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            fleet.signal(name, number)
            time.sleep(0.05)
        for n in range(3):
            if n != leader:
                fleet.signal(f"control-{n}", signal.SIGCONT)
        status, _, _ = answer.result()
    assert status == 200
    assert fleet.wait_ended(name) == 0

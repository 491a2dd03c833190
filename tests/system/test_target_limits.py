"""Targets that name the requests per second that they take."""

from __future__ import annotations

import collections
import concurrent.futures
import json
import signal
import time

import fleet as fleets
import pytest

ENTRY_HOSTS = 3
# Limits bind from this time after a target first named its limit.
CONTACT_S = 3.0
WINDOW_S = 4.0
LIMIT_PER_S = 5.0
# Requests that a limit allows in a window.
WINDOW_REQUESTS_MAX = 1.5 * LIMIT_PER_S * WINDOW_S + 5
SENDERS = 12
INTERVAL_S = 0.1


@pytest.fixture
def fleet(tmp_path):
    new_fleet = fleets.Fleet(tmp_path, entry_count=ENTRY_HOSTS)
    try:
        new_fleet.start()
        status, _ = new_fleet.send_operator_request(
            "PATCH", "/goldcrestproxy/config", fleets.items()
        )
        assert status == 200
        new_fleet.add_target(
            "vault-0", "vault", "--events", "--limit", str(LIMIT_PER_S)
        )
        new_fleet.wait_until(
            lambda: all(
                new_fleet.is_ready(n)
                and new_fleet.request(n, "POST", "/photo/1", body=b"x")[0]
                in (200, 503)
                for n in range(ENTRY_HOSTS)
            )
        )
        yield new_fleet
    finally:
        new_fleet.close()


def run_times_s(fleet, name):
    lines = fleet.logs[name].read_text().splitlines()
    events = [json.loads(x[6:]) for x in lines if x.startswith("EVENT ")]
    return [event["at_s"] for event in events if event["kind"] == "run"]


def send_for(fleet, duration_s):
    """Send from several callers to all hosts; return the answers."""
    end_s = time.monotonic() + duration_s

    def send(number):
        answers = []
        while time.monotonic() < end_s:
            request_id = f"load{number:04d}{len(answers):08d}"
            status, _, headers = fleet.request(
                number % ENTRY_HOSTS,
                "POST",
                "/photo/1",
                body=b"x",
                **{"Attempt-Id": request_id},
            )
            answers.append((status, request_id, headers))
            time.sleep(INTERVAL_S)
        return answers

    with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
        return [
            answer
            for answers in pool.map(send, range(SENDERS))
            for answer in answers
        ]


def assert_limit_held(times_s):
    for first_s in times_s:
        in_window = [t for t in times_s if first_s <= t < first_s + WINDOW_S]
        assert len(in_window) <= WINDOW_REQUESTS_MAX


def assert_refusals_are_true(fleet, answers):
    refused = [one for one in answers if one[0] == 503]
    assert {status for status, _, _ in answers} == {200, 503}
    assert [one for _, one, _ in refused if fleet.runs(one)] == []
    assert all(float(head["Retry-After"]) > 0 for _, _, head in refused)


@pytest.mark.parametrize("number", [signal.SIGKILL, signal.SIGSTOP])
def test_a_limit_holds_when_the_leader_is_lost(fleet, number):
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        started_s = time.monotonic()
        sending = pool.submit(send_for, fleet, CONTACT_S + 3 * WINDOW_S)
        time.sleep(CONTACT_S + 1.0)
        leader = next(
            name
            for name, log in fleet.logs.items()
            if "became leader" in log.read_text()
        )
        fleet.signal(leader, number)
        answers = sending.result()
    times_s = [
        t for t in run_times_s(fleet, "vault-0") if t > started_s + CONTACT_S
    ]
    assert_limit_held(times_s)
    assert_refusals_are_true(fleet, answers)
    # Of the last window, when a new leader has taken over.
    end_s = started_s + CONTACT_S + 3 * WINDOW_S
    late = [t for t in times_s if t > end_s - WINDOW_S]
    assert len(late) >= LIMIT_PER_S * WINDOW_S / 2


def test_all_hosts_together_keep_to_a_limit_until_it_is_withdrawn(fleet):
    started_s = time.monotonic()
    answers = send_for(fleet, CONTACT_S + 2 * WINDOW_S)
    times_s = [
        t for t in run_times_s(fleet, "vault-0") if t > started_s + CONTACT_S
    ]
    assert_limit_held(times_s)
    # Callers get at least half of what the target takes.
    assert len(times_s) >= LIMIT_PER_S * 2 * WINDOW_S / 2
    assert_refusals_are_true(fleet, answers)

    fleet.signal("vault-0", signal.SIGUSR2)
    send_for(fleet, CONTACT_S)
    statuses = collections.Counter(
        status for status, _, _ in send_for(fleet, 1.0)
    )
    assert set(statuses) == {200}

"""Targets that ask hosts for rest, or say in answers that they leave."""

from __future__ import annotations

import concurrent.futures
import itertools
import json
import signal
import time

import cluster as clusters
import fleet as fleets
import pytest

ENTRY_HOSTS = 3
TARGETS = 4
REST_S = 3.0
# Requests on their way when a host is asked for rest.
REST_GRACE_S = 0.5
REST_REQUESTS_MAX = 2
# From then on after the first such answer, a host sends nothing more.
DRAIN_S = 2.0
SENDERS = 12
INTERVAL_S = 0.02
KINDS = {
    "keyed": ("desk", "GET", "/look/1"),
    "unsafe": ("desk", "POST", "/book/1"),
    "pool": ("vault", "POST", "/photo/1"),
}


@pytest.fixture
def fleet(tmp_path, kind):
    new_fleet = fleets.Fleet(tmp_path, entry_count=ENTRY_HOSTS)
    service = KINDS[kind][0]
    try:
        new_fleet.start()
        status, _ = new_fleet.send_operator_request(
            "PATCH", "/goldcrestproxy/config", fleets.items()
        )
        assert status == 200
        for number in range(TARGETS):
            new_fleet.add_target(
                f"{service}-{number}",
                service,
                "--events",
                "--rest",
                str(REST_S),
                keyed=service == "desk",
            )
        new_fleet.wait_until(
            lambda: all(
                new_fleet.is_ready(n) and send(new_fleet, kind, n, n)[0] == 200
                for n in range(ENTRY_HOSTS)
            )
        )
        yield new_fleet
    finally:
        new_fleet.close()


def send(fleet, kind, host, number, request_id=None):
    _, method, path = KINDS[kind]
    options = {} if request_id is None else {"Attempt-Id": request_id}
    status, _, headers = fleet.request(
        host,
        method,
        path,
        key=number * 997 % 65536,
        body=None if method == "GET" else b"x",
        **options,
    )
    return status, headers


def send_for(fleet, kind, duration_s):
    """Send to all hosts; the id of a request begins with its host."""
    started_s = time.monotonic()
    numbers = itertools.count()

    def run(sender):
        answers = []
        while time.monotonic() < started_s + duration_s:
            number = next(numbers)
            host = sender % ENTRY_HOSTS
            request_id = f"{host}-rest{number:010d}"
            sent_s = time.monotonic()
            status, headers = send(fleet, kind, host, number, request_id)
            answers.append((sent_s, status, headers, request_id))
            time.sleep(INTERVAL_S)
        return answers

    with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
        return list(itertools.chain(*pool.map(run, range(SENDERS))))


def events(fleet, name, kind):
    lines = fleet.logs[name].read_text().splitlines()
    parsed = [json.loads(x[6:]) for x in lines if x.startswith("EVENT ")]
    return [event for event in parsed if event["kind"] == kind]


def busiest_target(fleet, kind):
    """Return the target that most requests have reached."""
    names = [f"{KINDS[kind][0]}-{number}" for number in range(TARGETS)]
    return max(names, key=lambda name: len(events(fleet, name, "arrival")))


def by_host(found):
    return {
        str(host): [e for e in found if e["id"].startswith(f"{host}-rest")]
        for host in range(ENTRY_HOSTS)
    }


@pytest.mark.parametrize("kind", list(KINDS))
def test_a_target_that_asks_for_rest_gets_it(fleet, kind):
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sending = pool.submit(send_for, fleet, kind, REST_S + 4.0)
        time.sleep(1.0)
        name = busiest_target(fleet, kind)
        fleet.signal(name, signal.SIGHUP)
        answers = sending.result()
    away = by_host(events(fleet, name, "away"))
    arrivals = by_host(events(fleet, name, "arrival"))
    assert any(away.values())
    for host, turned_away in away.items():
        for asked in turned_away:
            from_s = asked["at_s"] + REST_GRACE_S
            until_s = asked["at_s"] + asked["rest_s"]
            late = [e for e in arrivals[host] if from_s <= e["at_s"] < until_s]
            assert len(late) <= REST_REQUESTS_MAX, (host, asked)
    end_s = max(
        e["at_s"] + e["rest_s"] for e in itertools.chain(*away.values())
    )
    assert {status for _, status, _, _ in answers} <= {200, 503}
    for _, status, headers, request_id in answers:
        if status == 503:
            assert fleet.runs(request_id) == 0
            assert float(headers["Retry-After"]) > 0
    # Targets of a pool that do not rest serve meanwhile.
    refused = [one for one in answers if one[1] == 503]
    if kind == "pool":
        assert len(refused) <= 10 + len(answers) / 50
    # Afterwards it serves again, or others have its keys.
    late = [status for at_s, status, _, _ in answers if at_s > end_s + 1.0]
    assert late.count(200) >= 0.9 * len(late)


@pytest.mark.parametrize("kind", list(KINDS))
def test_a_target_whose_answers_say_that_it_leaves_gets_no_more(fleet, kind):
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sending = pool.submit(send_for, fleet, kind, DRAIN_S + 4.0)
        time.sleep(1.0)
        name = busiest_target(fleet, kind)
        left_s = time.monotonic()
        fleet.signal(name, signal.SIGALRM)
        answers = sending.result()
    late = [
        event
        for event in events(fleet, name, "arrival")
        if event["at_s"] > left_s + DRAIN_S + 0.2
    ]
    assert late == []
    assert events(fleet, name, "arrival")
    # Its keys have moved, so all requests are served.
    last = [status for at_s, status, _, _ in answers if at_s > left_s + 3.0]
    assert last.count(200) >= 0.98 * len(last)


@pytest.mark.parametrize("desk", ["pitches", "photos"])
def test_a_coordinated_target_that_asks_for_rest_gets_it(cluster, desk):
    for number, zone in enumerate(("zone-a", "zone-b")):
        cluster.add_target(f"{desk}-{number}", desk, zone)
    cluster.wait_in_service(desk)
    started_s = time.monotonic()

    def send(number):
        host = cluster.entry_hosts[number % len(cluster.entry_hosts)]
        answers = []
        while time.monotonic() < started_s + REST_S + 3.0:
            key = f"p{len(answers) % 40}"
            answers.append(
                clusters.fetch(
                    f"{host.caller_url}/kisvaros/{desk}/{desk}/{key}",
                    *(("POST", b"x") if desk == "pitches" else ()),
                )
            )
            time.sleep(INTERVAL_S)
        return answers

    with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
        sending = [pool.submit(send, number) for number in range(SENDERS)]
        time.sleep(1.0)
        cluster.control_target(f"{desk}-0", rest_s=REST_S)
        answers = list(
            itertools.chain(*(future.result() for future in sending))
        )
    away = cluster.runs("away")
    assert away
    # All requests of a target come from its coordinator.
    late = [a for a in away if a["time_s"] > away[0]["time_s"] + REST_GRACE_S]
    assert len(late) <= REST_REQUESTS_MAX
    assert [answer.status for answer in answers].count(200) > len(answers) / 4
    refused = [answer for answer in answers if answer.status != 200]
    unknown = [a for a in refused if a.outcome != "not-run"]
    assert [(a.code, a.json) for a in unknown] == []
    assert all(float(a.headers["Retry-After"]) > 0 for a in refused)
    runs = cluster.runs()
    over_s = away[0]["time_s"] + away[0]["rest_s"]
    assert any(
        run["target"] == f"{desk}-0" and run["time_s"] > over_s for run in runs
    )

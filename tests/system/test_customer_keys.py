"""Customers with keys and quotas, over separate processes."""

from __future__ import annotations

import bisect
import http.client
import json
import signal
import threading
import time

import fleet as fleets
import pytest

TOWN_KEY, FIRM_KEY, WITHDRAWN_KEY = (
    f"{name}0secret0key0{'x' * 8}" for name in ("town", "firm", "gone")
)
ODD_KEY = "odd\nsecret0key"
QUOTA_PER_S, BURST = 20, 10
# What may run in a window of 5 s, by the default tolerance.
WINDOW_S, WINDOW_RUNS_MAX = 5.0, (20 * 5 + 10) * 1.1 + 20


def customer(name, keys, version=1, **terms):
    return {"name": name, "api_keys": keys, "version": version, **terms}


def change(fleet, *customers, removed=()):
    """Set and remove customers; return the status and the answer."""
    body = {
        "upsert": {"customers": list(customers)},
        "remove": {"customers": list(removed)},
    }
    return fleet.send_operator_request(
        "PATCH", "/goldcrestproxy/config", json.dumps(body)
    )


def look(fleet, entry, credential=None, *, path="/look/1", **headers):
    if credential is not None:
        headers["Credential"] = credential
    return fleet.request_until_served(entry, "GET", path, key=17, **headers)


@pytest.fixture
def fleet(tmp_path):
    """Fleet with a public route and three customers, one with a quota."""
    new_fleet = fleets.Fleet(tmp_path)
    try:
        new_fleet.start()
        first = json.loads(fleets.items())
        route = first["upsert"]["routes"][0]
        first["upsert"]["routes"].append(
            {
                **route,
                "name": "open",
                "path_prefix": "/open/",
                "public": True,
            }
        )
        first["upsert"]["customers"] = [
            customer("town", [TOWN_KEY, WITHDRAWN_KEY], rank=1),
            customer(
                "firm",
                [FIRM_KEY],
                requests_per_s=QUOTA_PER_S,
                burst_requests=BURST,
            ),
        ]
        status, answer = new_fleet.send_operator_request(
            "PATCH", "/goldcrestproxy/config", json.dumps(first)
        )
        assert status == 200, answer
        for n in range(2):
            new_fleet.add_target(f"desk-{n}", "desk", "--events", keyed=True)
        new_fleet.wait_until(
            lambda: all(
                new_fleet.is_ready(n)
                and look(new_fleet, n, TOWN_KEY)[0] == 200
                for n in range(2)
            )
        )
        yield new_fleet
    finally:
        new_fleet.close()


def headers_of_run(fleet, request_id):
    (event,) = [e for e in fleet.events("run") if e["id"] == request_id]
    return {name.lower(): value for name, value in event["headers"]}


def test_targets_get_the_customers_name_and_no_key(fleet):
    status, _, _, request_id = look(
        fleet, 0, TOWN_KEY, Tenant="firm", Accept="text/plain"
    )
    assert status == 200
    headers = headers_of_run(fleet, request_id)
    assert headers["tenant"] == "town"
    assert headers["accept"] == "text/plain"
    assert "credential" not in headers


def test_public_routes_need_no_key(fleet):
    for credential, name in (
        (None, None),
        ("unknown0key", None),
        (FIRM_KEY, "firm"),
    ):
        status, _, _, request_id = look(
            fleet, 1, credential, path="/open/1", Tenant="town"
        )
        assert status == 200
        headers = headers_of_run(fleet, request_id)
        assert headers.get("tenant") == name
        assert "credential" not in headers


def test_requests_without_a_customers_key_are_refused_and_not_run(fleet):
    for credential in (None, "unknown0key", TOWN_KEY[:-1], f"{TOWN_KEY}x"):
        status, body, _, request_id = look(fleet, 0, credential)
        assert (status, json.loads(body)["code"]) == (401, 1010)
        assert not fleet.runs(request_id)


def test_keys_bind_every_host_in_time_also_on_open_connections(fleet):
    address = f"127.0.0.11:{fleet.ports['callers']}"
    connection = http.client.HTTPConnection(address, timeout=10)

    def status_on_open_connection(credential):
        connection.request(
            "GET",
            "/look/1",
            headers={
                "Host": "desk.example",
                "Shard-Key": "17",
                "Deadline-Ms": "2000",
                "Credential": credential,
            },
        )
        answer = connection.getresponse()
        answer.read()
        return answer.status

    assert status_on_open_connection(WITHDRAWN_KEY) == 200
    status, _ = change(fleet, customer("town", [TOWN_KEY, "new0key"], 2))
    confirmed_s = time.monotonic()
    assert status == 200
    time.sleep(max(0.0, confirmed_s + 2.0 - time.monotonic()))
    assert [look(fleet, n, "new0key")[0] for n in range(2)] == [200, 200]
    assert status_on_open_connection(WITHDRAWN_KEY) == 401
    assert [look(fleet, n, WITHDRAWN_KEY)[0] for n in range(2)] == [401, 401]
    assert status_on_open_connection(TOWN_KEY) == 200
    change(fleet, removed=[{"name": "town", "version": 3}])
    time.sleep(2.0)
    assert [look(fleet, n, TOWN_KEY)[0] for n in range(2)] == [401, 401]


def test_customers_read_back_as_they_were_sent_over_restarts(fleet):
    _, before = fleet.send_operator_request("GET", "/goldcrestproxy/config")
    sent = json.loads(before)["customers"]
    assert sent[0]["api_keys"] == [TOWN_KEY, WITHDRAWN_KEY]
    controls = [f"control-{n}" for n in range(3)]
    for name in controls:
        fleet.signal(name, signal.SIGKILL)
        fleet.wait_ended(name)
        fleet.set_first_start(name, False)
    fleet.start(*controls)
    assert (
        fleet.send_operator_request("GET", "/goldcrestproxy/config")[1]
        == before
    )


def test_invalid_customers_change_nothing_and_show_no_key(fleet):
    _, before = fleet.send_operator_request("GET", "/goldcrestproxy/config")
    for bad in (
        customer("town", [ODD_KEY], 2),
        customer("town", [TOWN_KEY, ""], 2),
        customer("town", TOWN_KEY, 2),
        customer("town", [TOWN_KEY], 2, requests_per_s=-1),
        customer("town", [TOWN_KEY], 2, rank=[FIRM_KEY]),
    ):
        status, answer = change(fleet, bad)
        assert status == 400
        assert b"secret" not in answer
    assert (
        fleet.send_operator_request("GET", "/goldcrestproxy/config")[1]
        == before
    )


def test_no_key_reaches_logs_or_metrics(fleet):
    """Only the disks of control hosts hold keys, since they are read back."""
    for credential in (TOWN_KEY, FIRM_KEY, "secret0unknown"):
        for path in ("/look/1", "/open/1", "/nowhere/"):
            look(fleet, 0, credential, path=path)
            look(fleet, 1, credential, path=path, **{"Fail-With": "500"})
    change(fleet, customer("town", [ODD_KEY], 2))
    change(fleet, customer("town", [TOWN_KEY], 3))
    fleet.signal("desk-0", signal.SIGKILL)
    time.sleep(0.5)
    look(fleet, 0, TOWN_KEY)
    seen = {name: log.read_text() for name, log in fleet.logs.items()}
    assert [name for name, text in seen.items() if "secret" in text] == []


class Load:
    """Callers that send without a pause and ignore Retry-After."""

    def __init__(self, fleet, credential, threads=6):
        self.answers = []
        self._fleet = fleet
        self._credential = credential
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(n,))
            for n in range(threads)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, number):
        count = 0
        while not self._stop.is_set():
            count += 1
            request_id = f"{self._credential[:4]}-{number}-{count}"
            try:
                status, _, headers = self._fleet.request(
                    number % 2,
                    "GET",
                    "/look/1",
                    key=17,
                    **{
                        "Credential": self._credential,
                        "Attempt-Id": request_id,
                    },
                )
            except OSError:
                continue
            self.answers.append((request_id, status, headers))
            time.sleep(0.002)


def worst_window(fleet, customer_name):
    times = sorted(
        event["at_s"]
        for event in fleet.events("run")
        if ["Tenant", customer_name] in event["headers"]
    )
    return max(
        bisect.bisect_right(times, start_s + WINDOW_S) - n
        for n, start_s in enumerate(times)
    )


def check_quota(fleet, load, *, served_min):
    assert worst_window(fleet, "firm") <= WINDOW_RUNS_MAX
    statuses = {status for _, status, _ in load.answers}
    assert 429 in statuses
    ran = {event["id"] for event in fleet.events("run")}
    for request_id, status, headers in load.answers:
        if status in (429, 503):
            assert request_id not in ran
            assert float(headers["Retry-After"]) > 0
    served = sum(status == 200 for _, status, _ in load.answers)
    assert served >= served_min


def test_all_hosts_together_keep_to_a_quota(fleet):
    with Load(fleet, FIRM_KEY) as load:
        time.sleep(4.0)
        # A customer without a quota does not notice.
        assert [look(fleet, n, TOWN_KEY)[0] for n in range(2)] == [200, 200]
        time.sleep(4.0)
    check_quota(fleet, load, served_min=0.8 * QUOTA_PER_S * 8)


def test_a_quota_holds_over_the_loss_of_the_leader(fleet):
    with Load(fleet, FIRM_KEY) as load:
        time.sleep(3.0)
        for name in ("control-0", "control-1", "control-2"):
            fleet.signal(name, signal.SIGKILL)
            fleet.wait_ended(name)
            fleet.set_first_start(name, False)
        time.sleep(3.0)
        fleet.start("control-0", "control-1", "control-2")
        time.sleep(5.0)
    check_quota(fleet, load, served_min=0.4 * QUOTA_PER_S * 11)


def test_a_quota_holds_over_the_freeze_of_an_entry_host(fleet):
    with Load(fleet, FIRM_KEY) as load:
        time.sleep(2.0)
        fleet.signal("entry-0", signal.SIGSTOP)
        time.sleep(3.0)
        fleet.signal("entry-0", signal.SIGCONT)
        time.sleep(3.0)
    check_quota(fleet, load, served_min=0.5 * QUOTA_PER_S * 8)

"""Planned stops, zones taken out, leaving and cold targets, quarantine."""

from __future__ import annotations

import concurrent.futures
import http.client
import itertools
import os
import signal
import socket
import threading
import time

import cluster as clusters
import pytest
from test_failures import check_guarantees
from test_failures import key_url
from test_failures import Load

LONG_BODY_BYTES = 100_000


class SteadyLoad:
    """Send lookups to each URL in a thread until stopped; keep the answers."""

    def __init__(self, urls):
        self.answers = []
        self.errors = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(url,)) for url in urls
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, url):
        while not self._stop.is_set():
            try:
                self.answers.append(clusters.fetch(url))
            except OSError as error:
                self.errors.append(error)
                return

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()


@pytest.mark.parametrize("name", ["entry-d", "entry-a"])
def test_planned_stop_cuts_no_request(keyed, name):
    """Slow requests are in flight when the host receives SIGTERM."""
    keyed.control_target("pitch-0", service_ms=150)
    host = keyed.hosts[name]
    urls = [key_url(host, f"k{n}") for n in range(6)]
    others = [key_url(keyed.hosts["entry-b"], f"k{n}") for n in range(6)]
    steady_load = SteadyLoad(others)
    answers, errors = [], []

    def send(url):
        while True:
            try:
                ready = clusters.fetch(
                    f"http://{host.service_address}/health/ready"
                )
                if ready.status != 200:
                    return
                answers.append(clusters.fetch(url))
            except OSError as error:
                errors.append(error)
                return

    threads = [threading.Thread(target=send, args=(u,)) for u in urls]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    assert host.process.stop() == 0
    for thread in threads:
        thread.join()
    time.sleep(0.5)
    steady_load.stop()
    # Only a health check may reach the closed port, never a request.
    assert all("health" in str(getattr(e, "url", "health")) for e in errors)
    assert [a.status for a in answers if a.status != 200] == []
    assert steady_load.errors == []
    assert [a.status for a in steady_load.answers if a.status != 200] == []


# A drain that is shorter than the deadlines of the requests.
short_drain = pytest.mark.parametrize(
    "cluster", [{"stop_drain_ms": 600}], indirect=True, ids=["short-drain"]
)


def wait_taken(host, count=1):
    clusters.wait_until(
        lambda: (
            clusters.fetch(f"http://{host.service_address}/v1/status").json[
                "requests_in_flight"
            ]
            == count
        ),
        f"{host.name} has taken {count} requests",
    )


def wait_started(cluster, what):
    clusters.wait_until(
        lambda: [r for r in cluster.runs() if r["path"].endswith(what)],
        f"a target has started {what}",
    )


def wait_drain(host):
    clusters.wait_until(
        lambda: "requests in flight" in host.process.log.read_text(),
        f"{host.name} waits for its requests",
    )


def stop_during(cluster, url, wait, **arguments):
    """Stop entry-d during a request; return the answer to the request."""
    host = cluster.hosts["entry-d"]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        running = pool.submit(clusters.fetch, url, **arguments)
        wait()
        assert host.process.stop() == 0
        return running.result()


@short_drain
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_request_at_a_silent_target_is_answered_before_a_stop_ends(
    keyed, method
):
    answer = stop_during(
        keyed,
        f"{key_url(keyed.hosts['entry-d'])}/silent",
        lambda: wait_started(keyed, "silent"),
        method=method,
    )
    assert (answer.code, answer.outcome) == (4001, "unknown")
    assert answer.headers["Connection"] == "close"


@short_drain
def test_claim_of_a_request_that_a_stop_ended_is_settled(keyed):
    arguments = {
        "method": "POST",
        "body": b"reserve",
        "headers": {"Idempotency-Key": "stopped"},
    }
    answer = stop_during(
        keyed,
        f"{key_url(keyed.hosts['entry-d'])}/silent",
        lambda: wait_started(keyed, "silent"),
        **arguments,
    )
    assert (answer.code, answer.outcome) == (4001, "unknown")
    other = f"{key_url(keyed.hosts['entry-b'])}/silent"
    assert clusters.fetch(other, **arguments).code == 4001


@short_drain
def test_claim_of_a_caller_that_left_is_settled_before_a_stop_ends(keyed):
    """The coordinator is another host, which the stop does not wait for."""
    host = keyed.hosts["entry-d"]
    key = next(
        key
        for key in map(str, range(100))
        if keyed.owner("kisvaros", "pitches", key)["coordinator"] != host.name
    )
    headers = {"Idempotency-Key": "left"}
    connection = http.client.HTTPConnection("127.0.0.1", host.caller_port)
    connection.request(
        "POST", f"/kisvaros/pitches/pitches/{key}/silent", headers=headers
    )
    wait_started(keyed, "silent")
    connection.close()
    time.sleep(0.2)
    assert host.process.stop() == 0
    other = f"{key_url(keyed.hosts['entry-b'], key)}/silent"
    again = clusters.fetch(other, "POST", headers=headers)
    assert again.code == 4001


@short_drain
def test_request_that_was_not_sent_before_a_stop_ends_is_not_run(keyed):
    """The desk has no target, so the request waits for one."""
    host = keyed.hosts["entry-d"]
    answer = stop_during(
        keyed,
        f"{host.caller_url}/kisvaros/photos/photos/1",
        lambda: wait_taken(host),
    )
    assert (answer.code, answer.outcome) == (2006, "not-run")
    assert int(answer.headers["Retry-After"]) >= 1
    assert answer.headers["Connection"] == "close"


@short_drain
def test_request_whose_body_is_arriving_when_a_stop_ends_is_answered(
    keyed,
):
    host = keyed.hosts["entry-d"]
    with socket.create_connection(("127.0.0.1", host.caller_port)) as caller:
        caller.settimeout(10)
        caller.sendall(
            b"POST /kisvaros/pitches/pitches/p1 HTTP/1.1\r\n"
            b"Host: entry\r\nContent-Length: 10\r\n\r\nfirst"
        )
        wait_taken(host)
        assert host.process.stop() == 0
        answer = http.client.HTTPResponse(caller)
        answer.begin()
    assert answer.headers["Goldcrest-Result"] == "2006 stopping"
    assert answer.headers["Goldcrest-Outcome"] == "not-run"


@short_drain
def test_request_on_an_open_connection_is_refused_during_the_drain(
    keyed,
):
    host = keyed.hosts["entry-d"]
    connection = http.client.HTTPConnection(
        "127.0.0.1", host.caller_port, timeout=10
    )
    connection.connect()
    silent = f"{key_url(host)}/silent"
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        running = pool.submit(clusters.fetch, silent, "POST")
        wait_started(keyed, "silent")
        host.process.send(signal.SIGTERM)
        wait_drain(host)
        connection.request("GET", "/kisvaros/pitches/pitches/p1")
        answer = connection.getresponse()
        assert answer.headers["Goldcrest-Result"] == "2006 stopping"
        assert answer.headers["Connection"] == "close"
        running.result()


def test_sighup_cuts_no_request(keyed):
    host = keyed.hosts["entry-d"]
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        running = pool.submit(clusters.fetch, f"{key_url(host)}/slow")
        wait_started(keyed, "slow")
        host.process.send(signal.SIGHUP)
        assert running.result().status == 200
    assert clusters.fetch(key_url(host)).status == 200


def test_zone_taken_out_gets_no_new_work_and_returns(keyed):
    load = Load(keyed)
    time.sleep(0.5)
    keyed.cli_json("zone", "out", "zone-b", "--wait")
    out_s = time.monotonic()
    time.sleep(2.5)
    late = [
        r
        for r in keyed.runs()
        if r["target"] == "pitch-1" and r["time_s"] > out_s + 2.0
    ]
    assert late == []
    keyed.cli_json("zone", "in", "zone-b", "--wait")
    clusters.wait_until(
        lambda: any(
            r["target"] == "pitch-1" and r["time_s"] > out_s + 2.5
            for r in keyed.runs()
        ),
        "zone-b runs requests again",
    )
    check_guarantees(keyed, load)
    bad = [a for a in load.answers if a.status != 200]
    assert len(bad) <= len(load.answers) * 0.01


def test_leaving_target_gets_no_new_work(keyed):
    load = Load(keyed)
    time.sleep(0.5)
    keyed.control_target("pitch-2", leaving=True)
    left_s = time.monotonic()
    time.sleep(2.5)
    late = [
        r
        for r in keyed.runs()
        if r["target"] == "pitch-2" and r["time_s"] > left_s + 2.0
    ]
    assert late == []
    check_guarantees(keyed, load)


def test_cold_target_gets_no_more_than_it_bears(cluster):
    """Targets accept one request at a time until 8 have completed."""
    for number, zone in enumerate(("zone-a", "zone-b", "zone-c")):
        cluster.add_target(
            f"pitch-{number}",
            "pitches",
            zone,
            *("--cold-requests", "8", "--cold-bears", "1"),
            *("--service-ms", "15"),
        )
    cluster.wait_in_service("pitches")
    load = Load(cluster)
    time.sleep(2.0)
    load.stop()
    cold = [r for r in cluster.runs() if r["cold"]]
    assert cold
    assert max(r["running"] for r in cold) == 1


def test_poisoned_request_is_quarantined_everywhere(cluster):
    for number in range(4):
        zone = ("zone-a", "zone-b", "zone-c")[number % 3]
        cluster.add_target(f"pitch-{number}", "pitches", zone, "--fencing")
    cluster.wait_in_service("pitches")
    crashes = 0
    for attempt in range(12):
        host = cluster.entry_hosts[attempt % len(cluster.entry_hosts)]
        url = f"{host.caller_url}/kisvaros/pitches/pitches/p9/crash"
        # The same body, with a length and in chunks.
        body = b"poison" if attempt % 2 else iter([b"poi", b"son"])
        answer = clusters.fetch(url, "POST", body)
        if answer.code == 3006:
            break
        crashes = sum(not t.process.alive for t in cluster.targets.values())
        time.sleep(1.0)
    else:
        raise AssertionError("the request was not quarantined")
    assert crashes <= 2
    assert answer.outcome == "not-run"
    for host in cluster.entry_hosts:
        url = f"{host.caller_url}/kisvaros/pitches/pitches/p9/crash"
        assert clusters.fetch(url, "POST", b"poison").code == 3006
        # Other requests for the same key are served.
        good = clusters.wait_until(
            lambda h=host: clusters.fetch(key_url(h, "p9")).status == 200,
            "key p9 is served",
        )
        assert good
    suspects = cluster.cli_json("quarantine")["suspects"]
    (name,) = [s["fingerprint"] for s in suspects if s["quarantined"]]
    cluster.cli_json("quarantine", "--release", name)
    assert cluster.cli_json("quarantine")["suspects"] == []


def test_a_long_upload_that_crashes_targets_is_quarantined_beside_others(
    cluster,
):
    """Guards against answers to other uploads that clear its crashes."""
    for number in range(4):
        zone = ("zone-a", "zone-b", "zone-c")[number % 3]
        cluster.add_target(f"pitch-{number}", "pitches", zone, "--fencing")
    cluster.wait_in_service("pitches")
    hosts = itertools.cycle(cluster.entry_hosts)
    deadly_body = os.urandom(LONG_BODY_BYTES) + b"crash"

    def send(body):
        url = f"{next(hosts).caller_url}/kisvaros/pitches/pitches/p9/photo"
        return clusters.fetch(url, "POST", body)

    def serves_another_upload():
        return send(os.urandom(LONG_BODY_BYTES)).status == 200

    for _ in range(4):
        clusters.wait_until(serves_another_upload, "key p9 is served")
        answer = send(deadly_body)
        if answer.code == 3006:
            break
        time.sleep(1.0)
    crashes = sum(not t.process.alive for t in cluster.targets.values())
    assert answer.code == 3006
    assert crashes <= 2
    assert serves_another_upload()


def test_long_bodies_under_one_idempotency_key_are_told_apart(cluster):
    """Guards against the recorded answer to another body."""
    cluster.add_target("pitch-0", "pitches", "zone-a", "--fencing")
    cluster.wait_in_service("pitches")
    host = cluster.entry_hosts[0]
    url = f"{host.caller_url}/kisvaros/pitches/pitches/p9/photo"
    headers = {"Idempotency-Key": "photo"}
    first, second = os.urandom(LONG_BODY_BYTES), os.urandom(LONG_BODY_BYTES)
    assert clusters.fetch(url, "POST", first, headers).status == 200
    assert clusters.fetch(url, "POST", second, headers).code == 1009
    assert clusters.fetch(url, "POST", first, headers).status == 200
    assert len([run for run in cluster.runs() if "photo" in run["path"]]) == 1
    cluster.targets["pitch-0"].process.send(signal.SIGKILL)
    clusters.wait_until(
        lambda: clusters.fetch(key_url(host, "p9")).code == 2003,
        "the key has no owner",
    )
    assert clusters.fetch(url, "POST", first, headers).status == 200


def test_limit_that_a_target_names_binds_all_hosts_together(cluster):
    """One pool target names a limit, later a lower one, later none."""
    cluster.add_target("photo-0", "photos", "zone-a", "--service-ms", "1")
    cluster.wait_in_service("photos")
    hosts = itertools.cycle(cluster.entry_hosts)

    def send_for(duration_s):
        """Return the answers, and the requests that the target ran."""
        before = len(cluster.runs())
        end_s = time.monotonic() + duration_s
        answers = []
        while time.monotonic() < end_s:
            url = f"{next(hosts).caller_url}/kisvaros/photos/photos/p1"
            answers.append(clusters.fetch(url))
            time.sleep(0.01)
        return answers, len(cluster.runs()) - before

    for limit_per_s in (10.0, 2.0):
        cluster.control_target("photo-0", limit_per_s=limit_per_s)
        time.sleep(1.0)
        answers, runs = send_for(4.0)
        assert limit_per_s * 2 <= runs <= 1.5 * limit_per_s * 4.0 + 5
        assert sum(answer.status == 200 for answer in answers) == runs
        refused = [answer for answer in answers if answer.status != 200]
        assert {answer.outcome for answer in refused} == {"not-run"}
        assert all(float(a.headers["Retry-After"]) > 0 for a in refused)
    cluster.control_target("photo-0", limit_per_s=None)
    time.sleep(1.0)
    answers, _ = send_for(1.0)
    assert {answer.status for answer in answers} == {200}

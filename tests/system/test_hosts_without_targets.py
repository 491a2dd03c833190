"""Entry hosts that lose their links to targets while callers reach them."""

from __future__ import annotations

import collections
import concurrent.futures
import itertools
import signal
import time

import cluster as clusters
import conftest
import deployments
import fleet as fleets
import pytest
import relay as relays

ENTRY_HOSTS = 3
KEYED_TARGETS, POOL_TARGETS = 4, 2
# From then on after a cut, its host must serve its callers.
CONTACT_S = 3.0
CUT_S = CONTACT_S + 4.0
# First attempts that may fail at hosts that are cut off.
FAILED_MAX, FAILED_SHARE_MAX = 10, 1 / 50
SENDERS = 12
INTERVAL_S = 0.02


class CutFleet(fleets.Fleet):
    """A fleet whose entry hosts reach the targets through relays."""

    def __init__(self, folder):
        super().__init__(folder, entry_count=ENTRY_HOSTS)
        self._ports = fleets.free_ports(KEYED_TARGETS + POOL_TARGETS)
        self.relays = {}
        for host in range(ENTRY_HOSTS):
            routes = {}
            self.relays[host] = []
            for port in self._ports:
                relay_port = clusters.free_port()
                self.relays[host].append(relays.Relay(relay_port, port))
                routes[f"127.0.0.1:{port}"] = f"127.0.0.1:{relay_port}"
            self.reroute(f"entry-{host}", routes)

    def add_targets(self):
        for number, port in enumerate(self._ports):
            keyed = number < KEYED_TARGETS
            service = "desk" if keyed else "vault"
            self.add_target(
                f"{service}-{number}",
                service,
                keyed=keyed,
                address=f"127.0.0.1:{port}",
            )

    def close(self):
        super().close()
        for relay in itertools.chain(*self.relays.values()):
            relay.close()


@pytest.fixture
def fleet(tmp_path):
    new_fleet = CutFleet(tmp_path)
    try:
        new_fleet.start()
        status, _ = new_fleet.send_operator_request(
            "PATCH", "/goldcrestproxy/config", fleets.items()
        )
        assert status == 200
        new_fleet.add_targets()
        new_fleet.wait_until(
            lambda: all(
                new_fleet.is_ready(host)
                and send(new_fleet, host, number)[0] == 200
                for host in range(ENTRY_HOSTS)
                for number in range(12)
            )
        )
        yield new_fleet
    finally:
        new_fleet.close()


def send(fleet, host, number, request_id=None):
    """Send a lookup, a booking or an upload; return status and body."""
    body = f"body {number}".encode()
    method, path, key = [
        ("GET", "/look/1", number * 997 % 65536),
        ("POST", "/book/1", number * 997 % 65536),
        ("POST", "/photo/1", None),
    ][number % 3]
    options = {} if request_id is None else {"Attempt-Id": request_id}
    try:
        status, answer, _ = fleet.request(
            host,
            method,
            path,
            key=key,
            body=None if method == "GET" else body,
            chunked=number % 2 == 1 and method == "POST",
            **{"Deadline-Ms": "800"},
            **options,
        )
    except OSError:
        return 0, b""
    if status == 200 and method == "POST":
        assert answer == body
    return status, answer


def send_for(fleet, duration_s):
    """Send to all hosts; return host, time, status and id of each request."""
    started_s = time.monotonic()
    numbers = itertools.count()

    def run(sender):
        results = []
        while time.monotonic() < started_s + duration_s:
            number = next(numbers)
            sent_s = time.monotonic() - started_s
            request_id = f"cut{number:013d}"
            host = sender % ENTRY_HOSTS
            status, _ = send(fleet, host, number, request_id)
            results.append((host, sent_s, status, request_id))
            time.sleep(INTERVAL_S)
        return results

    with concurrent.futures.ThreadPoolExecutor(SENDERS) as pool:
        return list(itertools.chain(*pool.map(run, range(SENDERS))))


def assert_served_as_elsewhere(results, cut_hosts):
    """Check first attempts that were sent from ``CONTACT_S`` on."""
    counts = {True: collections.Counter(), False: collections.Counter()}
    for host, sent_s, status, _ in results:
        if sent_s >= CONTACT_S:
            counts[host in cut_hosts][status] += 1
    cut, others = counts[True], counts[False]
    served_share = cut[200] / cut.total()
    assert served_share >= 2 / 3 * others[200] / others.total(), counts
    failed = cut.total() - cut[200]
    assert failed <= FAILED_MAX + FAILED_SHARE_MAX * cut.total(), counts


def assert_statuses_are_true(fleet, results):
    for _, _, status, request_id in results:
        runs = fleet.runs(request_id)
        assert runs <= (0 if status in (421, 429, 503) else 1), request_id


@pytest.mark.parametrize("cut", ["hang", "refuse_new", "reset"])
@pytest.mark.parametrize("cut_hosts", [(0,), (0, 1)])
def test_a_host_that_reaches_no_target_serves_its_callers(
    fleet, cut, cut_hosts
):
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sending = pool.submit(send_for, fleet, CUT_S)
        for host in cut_hosts:
            for relay in fleet.relays[host]:
                getattr(relay, cut)()
        results = sending.result()
    assert_served_as_elsewhere(results, cut_hosts)
    assert_statuses_are_true(fleet, results)


@pytest.mark.parametrize("cut", ["hang", "reset"])
def test_callers_of_a_host_that_heals_and_is_cut_off_again_are_served(
    fleet, cut
):
    healed_s, cut_again_s = 3.0, 5.5
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        started_s = time.monotonic()
        sending = pool.submit(send_for, fleet, cut_again_s + CUT_S)
        for action, at_s in ((cut, 0), ("heal", healed_s), (cut, cut_again_s)):
            time.sleep(max(0.0, started_s + at_s - time.monotonic()))
            for relay in fleet.relays[0]:
                getattr(relay, action)()
        results = sending.result()
    assert_statuses_are_true(fleet, results)
    for from_s, until_s in (
        (healed_s, cut_again_s - 1.0),
        (cut_again_s + CONTACT_S, cut_again_s + CUT_S),
    ):
        own = [
            status
            for host, sent_s, status, _ in results
            if host == 0 and from_s <= sent_s < until_s
        ]
        failed = len(own) - own.count(200)
        assert failed <= FAILED_MAX + FAILED_SHARE_MAX * len(own), from_s


@pytest.mark.parametrize("cut", ["hang", "refuse_new", "reset"])
def test_callers_are_refused_at_once_while_no_host_reaches_a_target(
    fleet, cut
):
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        sending = pool.submit(send_for, fleet, 4.0)
        for relay in itertools.chain(*fleet.relays.values()):
            getattr(relay, cut)()
        results = sending.result()
    assert_statuses_are_true(fleet, results)
    for relay in itertools.chain(*fleet.relays.values()):
        relay.heal()
    fleet.wait_until(
        lambda: all(
            send(fleet, host, number)[0] == 200
            for host in range(ENTRY_HOSTS)
            for number in range(12)
        ),
        timeout_s=5.0,
    )


def test_a_host_sends_itself_again_once_it_reaches_targets(fleet):
    for relay in fleet.relays[0]:
        relay.hang()
    send_for(fleet, 1.0)
    fleet.wait_until(lambda: send(fleet, 0, 0)[0] == 200)
    for relay in fleet.relays[0]:
        relay.heal()
    log = fleet.logs["entry-0"]
    fleet.wait_until(lambda: "targets are reached again" in log.read_text())
    time.sleep(CONTACT_S)
    healed_at = len(log.read_text())
    results = send_for(fleet, 1.0)
    # Keys may still move.
    failed = [status for _, _, status, _ in results if status != 200]
    assert len(failed) <= FAILED_MAX
    assert '"asked_hosts": ["' not in log.read_text()[healed_at:]


def test_a_large_upload_is_passed_on_whole(fleet):
    for relay in fleet.relays[0]:
        relay.hang()
    send_for(fleet, 1.0)
    body = bytes(range(256)) * 16384
    for chunked in (False, True):
        status, answer, _ = fleet.request(
            0, "POST", "/photo/1", body=body, chunked=chunked
        )
        assert status == 200
        assert answer == body


def test_a_caller_that_leaves_ends_its_request_at_both_hosts(fleet):
    for relay in fleet.relays[0]:
        relay.hang()
    send_for(fleet, 1.0)
    request_id = "leaving0"
    with pytest.raises(TimeoutError):
        fleet.request(
            0,
            "POST",
            "/photo/1",
            body=b"x",
            timeout_s=0.5,
            **{"Attempt-Id": request_id, "Work-Seconds": "5"},
        )

    def cancelled_hosts():
        return [
            name
            for name, log in fleet.logs.items()
            for line in log.read_text().splitlines()
            if request_id in line and '"outcome": "cancelled"' in line
        ]

    fleet.wait_until(lambda: len(cancelled_hosts()) == 2, timeout_s=1.0)
    assert "entry-0" in cancelled_hosts()


def test_requests_that_were_passed_on_outlast_a_stop(fleet):
    for relay in fleet.relays[0]:
        relay.hang()
    send_for(fleet, 1.0)
    with concurrent.futures.ThreadPoolExecutor(20) as pool:
        answers = [
            pool.submit(
                fleet.request,
                0,
                "POST",
                "/photo/1",
                body=b"x",
                **{"Work-Seconds": "1.0"},
            )
            for _ in range(20)
        ]
        time.sleep(0.3)
        for host in range(1, ENTRY_HOSTS):
            fleet.signal(f"entry-{host}", signal.SIGTERM)
        assert {answer.result()[0] for answer in answers} == {200}


@pytest.fixture
def rerouted(tmp_path):
    """Cluster whose hosts reach the targets through relays of their own."""
    cluster = clusters.Cluster(tmp_path, conftest.THREE_HOSTS)
    host_relays = {name: [] for name in cluster.hosts}
    for target, desk, zone in (
        ("pitch-0", "pitches", "zone-b"),
        ("photo-0", "photos", "zone-b"),
    ):
        port = cluster.prepare_target(target, desk, zone)
        for name, found in host_relays.items():
            relay_port = clusters.free_port()
            found.append(relays.Relay(relay_port, port))
            routes = cluster.routes.setdefault(name, {})
            routes[f"127.0.0.1:{port}"] = f"127.0.0.1:{relay_port}"
    try:
        cluster.start()
        cluster.form_control_group()
        cluster.apply(deployments.document())
        for target in cluster.targets:
            cluster.start_target(target)
        for desk in ("pitches", "photos"):
            cluster.wait_in_service(desk)
        yield cluster, host_relays
    finally:
        cluster.close()
        for relay in itertools.chain(*host_relays.values()):
            relay.close()


@pytest.mark.parametrize("desk", ["pitches", "photos"])
@pytest.mark.parametrize("cut", ["hang", "reset"])
def test_targets_of_a_coordinator_without_links_get_another_one(
    rerouted, desk, cut
):
    cluster, host_relays = rerouted

    def served():
        return all(
            clusters.fetch(
                f"{host.caller_url}/kisvaros/{desk}/{desk}/k{n}", timeout_s=3
            ).status
            == 200
            for host in cluster.entry_hosts
            for n in range(6)
        )

    clusters.wait_until(served, "served before the cut")
    (coordinator,) = {t["coordinator"] for t in cluster.status_targets()}
    for relay in host_relays[coordinator]:
        getattr(relay, cut)()
    time.sleep(1.0)
    clusters.wait_until(served, "served by another coordinator", 8.0)

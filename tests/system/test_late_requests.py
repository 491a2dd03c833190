"""Requests that arrive late in a planned stop, on kept connections."""

from __future__ import annotations

import http.client
import json
import os
import random
import signal
import threading
import time

import attrs
import cluster as clusters
import fleet as fleets
import pytest
import relay as relays

STOP_S = 6.0
CLIENTS = 24
# A request that was sent later than this must not be broken off at its target.
BROKEN_OFF_SENT_S_MAX = 3.0
# Bodies are written in this many pieces, with pauses.
PIECES = 4
STATUSES_NOT_RUN = (421, 429, 503)


@attrs.define
class Sent:
    """A request, when it was sent, and its status, 0 without an answer."""

    request_id: str
    sent_s: float
    kind: str
    status: int = 0


def make_fleet(folder, routes_by_host=None):
    """Return a fleet of two entry hosts that serve every kind."""
    (desk_port, vault_port) = fleets.free_ports(2)
    fleet = fleets.Fleet(folder)
    for host, make_routes in (routes_by_host or {}).items():
        fleet.reroute(host, make_routes([desk_port, vault_port]))
    fleet.start()
    status, _ = fleet.send_operator_request(
        "PATCH", "/goldcrestproxy/config", fleets.items()
    )
    assert status == 200
    fleet.add_target(
        "desk-0",
        "desk",
        "--events",
        keyed=True,
        address=f"127.0.0.1:{desk_port}",
    )
    fleet.add_target(
        "vault-0", "vault", "--events", address=f"127.0.0.1:{vault_port}"
    )
    fleet.wait_until(lambda: all(serves(fleet, host) for host in range(2)))
    return fleet


def serves(fleet, host):
    try:
        return fleet.is_ready(host) and all(
            fleet.request(host, method, path, key=key)[0] == 200
            for method, path, key in (
                ("GET", "/look/1", 5),
                ("POST", "/photo/1", None),
            )
        )
    except OSError:
        return False


def send_until_gone(fleet, host, seed, signalled, results):
    """Send on kept connections until no more can be opened."""
    rng = random.Random(seed)
    port = fleet.ports["callers"]
    while True:
        connection = http.client.HTTPConnection(
            f"127.0.0.{host + 11}", port, timeout=12
        )
        try:
            connection.connect()
        except OSError:
            if signalled.is_set():
                return
            continue
        while send_one(connection, rng, results):
            # Also after an answer that asks to close the connection.
            time.sleep(rng.choice((0.0, 0.01, 0.1)))


def send_one(connection, rng, results):
    """Send a request; return whether the connection can be used again."""
    kind, method, path, key = rng.choice(
        (
            ("look", "GET", "/look/1", 5),
            ("book", "POST", "/book/1", 5),
            ("photo", "POST", "/photo/1", None),
        )
    )
    body = rng.randbytes(3_000) if method == "POST" else b""
    sent = Sent(os.urandom(8).hex(), 0.0, kind)
    connection.auto_open = 0
    try:
        connection.putrequest(method, path, skip_host=True)
        for name, value in (
            ("Host", "desk.example"),
            ("Attempt-Id", sent.request_id),
            ("Deadline-Ms", "10000"),
            ("Work-Seconds", rng.choice(("0.01", "0.3", "1.0", "2.5"))),
            ("Content-Length", str(len(body))),
        ):
            connection.putheader(name, value)
        if key is not None:
            connection.putheader("Shard-Key", str(key))
        connection.endheaders()
        for piece in range(PIECES if body else 0):
            size = len(body) // PIECES
            connection.send(body[piece * size : (piece + 1) * size])
            time.sleep(rng.choice((0.0, 0.0, 0.05)))
    except (OSError, http.client.HTTPException):
        # It was not sent whole.
        return False
    sent.sent_s = time.monotonic()
    results.append(sent)
    try:
        answer = connection.getresponse()
        answer.read()
    except (OSError, http.client.HTTPException):
        return False
    sent.status = answer.status
    return answer.headers.get("Connection", "").lower() != "close"


def play_stop(fleet, stopped_host, caller_host, seed, further_signals=()):
    """Stop a host while callers send to one; return what they sent, and when.

    :param further_signals: times since the first signal, and signals
    """
    results, signalled = [], threading.Event()
    threads = [
        threading.Thread(
            target=send_until_gone,
            args=(fleet, caller_host, f"{seed}-{n}", signalled, results),
            daemon=True,
        )
        for n in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    name = f"entry-{stopped_host}"
    stopped_s = time.monotonic()
    fleet.signal(name, signal.SIGTERM)
    for after_s, number in further_signals:
        time.sleep(max(0.0, stopped_s + after_s - time.monotonic()))
        fleet.signal(name, number)
    assert fleet.wait_ended(name, STOP_S + 1.0) == 0
    assert time.monotonic() < stopped_s + STOP_S
    signalled.set()
    # Callers of another host end with their next connection.
    fleet.signal(f"entry-{caller_host}", signal.SIGTERM)
    for thread in threads:
        thread.join(STOP_S + 15.0)
        assert not thread.is_alive()
    return results, stopped_s


def arrivals(fleet):
    """Return the ids of the requests that targets have received."""
    ids = set()
    for name in ("desk-0", "vault-0"):
        for line in fleet.logs[name].read_text().splitlines():
            if line.startswith("EVENT "):
                event = json.loads(line[len("EVENT ") :])
                if event["kind"] == "arrival":
                    ids.add(event["id"])
    return ids


def check(fleet, results, stopped_s):
    arrived = arrivals(fleet)
    late = [r for r in results if r.sent_s > stopped_s]
    assert len(late) > CLIENTS
    for request in results:
        sent = f"{request}, {request.sent_s - stopped_s:.3f} s after SIGTERM"
        if request.request_id in arrived:
            assert request.status != 0, f"cut: {sent}"
            runs = fleet.runs(request.request_id)
            assert request.kind == "look" or runs <= 1, sent
            if request.status in STATUSES_NOT_RUN:
                assert not runs, f"refused and run: {sent}"
            if request.sent_s > stopped_s + BROKEN_OFF_SENT_S_MAX:
                assert request.status not in (502, 504), f"cut: {sent}"


@pytest.mark.parametrize(
    "further_signals",
    [
        (),
        ((0.5, signal.SIGHUP), (2.4, signal.SIGTERM), (3.0, signal.SIGTERM)),
    ],
)
def test_late_requests_in_a_planned_stop_are_answered_or_not_taken(
    tmp_path, further_signals
):
    fleet = make_fleet(tmp_path)
    try:
        results, stopped_s = play_stop(fleet, 0, 0, "late", further_signals)
        check(fleet, results, stopped_s)
    finally:
        fleet.close()


def test_late_requests_that_were_passed_on_to_a_stopping_host_are_answered(
    tmp_path,
):
    """The first host reaches no target, the second one stops."""
    made = []

    def make_routes(ports):
        routes = {}
        for port in ports:
            relay_port = clusters.free_port()
            made.append(relays.Relay(relay_port, port))
            routes[f"127.0.0.1:{port}"] = f"127.0.0.1:{relay_port}"
        return routes

    fleet = make_fleet(tmp_path, {"entry-0": make_routes})
    try:
        for relay in made:
            relay.reset()
        fleet.wait_until(lambda: serves(fleet, 0))
        results, stopped_s = play_stop(fleet, 1, 0, "passed")
        check(fleet, results, stopped_s)
    finally:
        fleet.close()
        for relay in made:
            relay.close()

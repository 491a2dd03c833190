"""Invalid input from callers, targets, peers and operators.

Each gets an answer with its result code, and the daemon keeps running.
"""

from __future__ import annotations

import concurrent.futures
import http.client
import json
import socket
import time

import cluster as clusters
import pytest
from test_failures import key_url


def post(url, value):
    body = value if isinstance(value, bytes) else json.dumps(value).encode()
    return clusters.fetch(url, "POST", body)


def announcement(**change):
    valid = {
        "target": "t",
        "incarnation": "i",
        "zone": "zone-a",
        "desk": "pitches",
        "address": "127.0.0.1:9",
        "slots": 4,
    }
    return {**valid, **change}


def test_callers_targets_peers_and_operators_send_nonsense(keyed):
    host = keyed.entry_hosts[0]
    service = f"http://{host.service_address}"
    callers = [
        ("/nobody/pitches/pitches/p1", {}, 1002),
        ("/kisvaros/none/pitches/p1", {}, 1003),
        ("/kisvaros/pitches/none/p1", {}, 1004),
        ("/kisvaros/pitches/pitches/" + "k" * 300, {}, 1005),
        ("/kisvaros/pitches/pitches/p1", {"Goldcrest-Deadline-Ms": "x"}, 1008),
        ("/kisvaros/pitches/pitches/p1", {"Goldcrest-Request-Id": "ä"}, 1001),
        ("/kisvaros/pitches/pitches/p1", {"Idempotency-Key": "k" * 300}, 1001),
        ("//", {}, 1001),
    ]
    for path, headers, code in callers:
        answer = clusters.fetch(host.caller_url + path, headers=headers)
        assert (answer.code, answer.outcome) == (code, "not-run"), path
        assert answer.json["text"]
    answer = post(key_url(host), b"x" * 2_000_000)
    assert (answer.status, answer.code) == (413, 1006)
    for invalid_value in (
        b"{",
        [],
        announcement(slots=0),
        announcement(slots="4"),
        announcement(address="somewhere"),
        announcement(target="a/b"),
        announcement(speed=3),
        announcement(target="x" * 20_000),
    ):
        answer = post(f"{service}/v1/targets/announce", invalid_value)
        assert answer.json["code"] == 6005, invalid_value
    with socket.create_connection(("127.0.0.1", host.peer_port)) as peer:
        peer.sendall(b"\xff" * 64)
        peer.settimeout(3)
        while peer.recv(4096):
            pass
    assert post(f"{service}/v1/configuration", b"]").json["code"] == 1001
    assert (
        post(
            f"{service}/v1/configuration",
            {"document": "{template: 3}", "change_id": "c"},
        ).json["code"]
        == 6002
    )
    assert clusters.fetch(key_url(host)).status == 200
    assert host.process.alive


@pytest.mark.parametrize(
    ("path_suffix", "idempotent_status", "code"),
    [("crossed", 502, 4004), ("short", 502, 4003), ("malformed", 502, 4001)],
)
def test_wrong_answers_of_targets_reach_nobody(
    keyed, path_suffix, idempotent_status, code
):
    host = keyed.entry_hosts[0]
    answer = clusters.fetch(f"{key_url(host)}/{path_suffix}", "POST", b"x")
    assert (answer.status, answer.code) == (502, code)
    assert answer.outcome == "unknown"
    posts = [r for r in keyed.runs() if r["method"] == "POST"]
    assert len(posts) == 1
    answer = clusters.fetch(f"{key_url(host)}/{path_suffix}")
    assert answer.status == idempotent_status


def test_a_malformed_answer_leaves_a_log_line_with_its_request(keyed):
    host = keyed.entry_hosts[0]
    answer = clusters.fetch(f"{key_url(host)}/malformed", "POST", b"x")
    assert answer.status == 502
    (run,) = (r for r in keyed.runs() if r["method"] == "POST")

    def read_logs():
        return [h.process.log.read_text() for h in keyed.entry_hosts]

    clusters.wait_until(
        lambda: any("malformed answer" in log for log in read_logs()),
        "the malformed answer is logged",
    )
    (line,) = (
        line
        for log in read_logs()
        for line in log.splitlines()
        if "entries: malformed answer" in line
    )
    assert f"request_id={run['request_id']} " in line
    assert "rule=content-length " in line
    assert "9223372036854775808" in line
    assert not any("Traceback" in log for log in read_logs())


def test_each_caller_gets_the_answer_to_their_own_request(keyed):
    def send_request(number):
        host = keyed.entry_hosts[number % len(keyed.entry_hosts)]
        answer = clusters.fetch(key_url(host, f"own-{number}"))
        return answer.status, answer.json["path"], number

    with concurrent.futures.ThreadPoolExecutor(24) as pool:
        for status, path, number in pool.map(send_request, range(400)):
            assert (status, path) == (200, f"/pitches/own-{number}")


def test_silent_target_costs_no_more_than_the_deadline(keyed):
    host = keyed.entry_hosts[0]
    answer = clusters.fetch(
        f"{key_url(host)}/silent",
        "POST",
        b"x",
        {"Goldcrest-Deadline-Ms": "400"},
    )
    assert (answer.code, answer.outcome) == (4002, "unknown")
    assert clusters.fetch(key_url(host)).status == 200


def test_body_that_stops_arriving_costs_no_more_than_the_deadline(keyed):
    host = keyed.entry_hosts[0]
    with socket.create_connection(("127.0.0.1", host.caller_port)) as caller:
        caller.settimeout(5)
        caller.sendall(
            b"POST /kisvaros/pitches/pitches/p1 HTTP/1.1\r\n"
            b"Host: entry\r\nContent-Length: 10\r\n"
            b"Goldcrest-Deadline-Ms: 400\r\n\r\nfirst"
        )
        answer = http.client.HTTPResponse(caller)
        answer.begin()
    assert answer.headers["Goldcrest-Result"].startswith("3002 ")
    assert answer.headers["Goldcrest-Outcome"] == "not-run"


@pytest.mark.parametrize(
    ("desk", "body_bytes", "code"),
    [("photos", 1_000_000, 2002), ("no-desk", 1_000_000, 1003)],
)
def test_refusal_reaches_a_caller_whose_body_is_still_arriving(
    cluster, desk, body_bytes, code
):
    """The desk has no target, or does not exist."""
    host = cluster.entry_hosts[0]
    connection = http.client.HTTPConnection(
        "127.0.0.1", host.caller_port, timeout=5
    )
    connection.putrequest("PUT", f"/kisvaros/{desk}/photos/1")
    connection.putheader("Content-Length", str(body_bytes))
    connection.endheaders(bytes(100_000))
    answer = connection.getresponse()
    assert answer.headers["Goldcrest-Result"].startswith(f"{code} ")
    assert answer.headers["Goldcrest-Outcome"] == "not-run"
    answer.read()
    connection.close()


def test_answer_says_when_to_come_back_and_comes_at_once(keyed):
    """All slots are busy with slow requests; the others would be late."""
    host = keyed.entry_hosts[0]
    for name in keyed.targets:
        keyed.control_target(name, service_ms=400)

    def send_request(number):
        started_s = time.monotonic()
        answer = clusters.fetch(
            key_url(host, "same"), headers={"Goldcrest-Deadline-Ms": "900"}
        )
        return answer, time.monotonic() - started_s

    with concurrent.futures.ThreadPoolExecutor(40) as pool:
        timed_answers = list(pool.map(send_request, range(40)))
        timed_answers += list(pool.map(send_request, range(40)))
    refused = [(a, s) for a, s in timed_answers if a.code == 3001]
    assert refused
    for answer, _ in refused:
        assert answer.outcome == "not-run"
        assert int(answer.headers["Retry-After"]) >= 1
    assert min(seconds for _, seconds in refused) < 0.4


def start_daemon(folder, settings_text):
    file = folder / "host.json"
    file.write_text(settings_text)
    return clusters.Process(
        "daemon",
        [
            clusters.sys.executable,
            "-m",
            "goldcrestproxy.daemon",
            "--settings",
            str(file),
        ],
        folder,
    )


def test_daemon_reports_invalid_settings(tmp_path):
    process = start_daemon(tmp_path, "{host: ")
    clusters.wait_until(lambda: not process.alive, "daemon exits")
    text = process.log.read_text()
    assert "host.json: is not JSON with comments" in text
    assert "Traceback" not in text


def test_port_in_use_is_reported(cluster, tmp_path):
    taken = cluster.entry_hosts[0]
    value = cluster.settings_of(taken)
    value["data_folder"] = str(tmp_path / "other")
    folder = tmp_path / "second"
    folder.mkdir()
    process = start_daemon(folder, json.dumps(value))
    clusters.wait_until(lambda: not process.alive, "daemon exits")
    text = process.log.read_text()
    assert "peer_port: cannot listen on 127.0.0.1" in text
    assert "Traceback" not in text


def test_damaged_log_is_refused_with_file_and_offset(cluster):
    for number in range(5):
        cluster.cli_json("zone", "out", f"zone-{number}")
    leader = cluster.wait_leader()
    host = next(h for h in cluster.control_hosts if h.name != leader)
    host.process.kill()
    data = cluster.folder / f"data-{host.name}"
    (log,) = data.glob("log-*")
    damaged = bytearray(log.read_bytes())
    damaged[200] ^= 0xFF
    log.write_bytes(bytes(damaged))
    cluster.start_host(host.name)
    clusters.wait_until(
        lambda: not host.process.alive, "daemon exits on the damaged log"
    )
    text = host.process.log.read_text()
    assert f"{log.name}: damaged at offset" in text
    assert "members add" in text

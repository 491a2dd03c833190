"""Uploads: bounded memory, and the outcome when target or caller is lost."""

from __future__ import annotations

import http.client
import threading
import time

import cluster as clusters
import pytest

CHUNK = bytes(64 * 1024)
MEMORY_GROWTH_BYTES_MAX = 24 * 1024 * 1024


def peak_memory_bytes(process):
    with open(f"/proc/{process.pid}/status") as status:
        for line in status:
            if line.startswith("VmHWM"):
                return int(line.split()[1]) * 1024
    raise AssertionError("no VmHWM")


def upload(host, name, chunks, pause_s=0.0, on_chunk=lambda number: None):
    connection = http.client.HTTPConnection(
        "127.0.0.1", host.caller_port, timeout=30
    )
    connection.putrequest("PUT", f"/kisvaros/photos/photos/{name}")
    connection.putheader("Content-Length", str(chunks * len(CHUNK)))
    connection.endheaders()
    for number in range(chunks):
        connection.send(CHUNK)
        on_chunk(number)
        if pause_s:
            time.sleep(pause_s)
    response = connection.getresponse()
    return clusters.Answer(response.status, response.headers, response.read())


def test_memory_stays_bounded_whatever_the_size_of_the_body(pool):
    for number, host in enumerate(pool.entry_hosts):
        assert upload(host, f"warm-{number}", 16).status == 200
    before = [peak_memory_bytes(h.process) for h in pool.entry_hosts]
    for number, host in enumerate(pool.entry_hosts):
        answer = upload(host, f"box-{number}", 900)
        assert answer.json["bytes"] == 900 * len(CHUNK)
    for host, start in zip(pool.entry_hosts, before, strict=True):
        growth = peak_memory_bytes(host.process) - start
        assert growth < MEMORY_GROWTH_BYTES_MAX, host.name


def test_target_lost_in_mid_upload_gives_an_honest_outcome(pool):
    """The sent part of a large body is not kept, so no retry is possible."""
    host = pool.entry_hosts[0]
    targets = [t.process for t in pool.targets.values()]

    def kill_both(number):
        if number == 40:
            for process in targets:
                process.kill()

    answer = upload(host, "box", 200, 0.002, kill_both)
    assert answer.status == 502
    assert answer.outcome == "unknown"
    ended = [r for r in pool.runs("end") if r["path"] == "/photos/box"]
    assert ended == []
    for name in pool.targets:
        pool.start_target(name)
    pool.wait_in_service("photos")
    again = upload(host, "box", 200)
    assert (again.status, again.json["bytes"]) == (200, 200 * len(CHUNK))


def test_caller_lost_in_mid_upload_leaves_no_run(pool):
    host = pool.entry_hosts[0]
    connection = http.client.HTTPConnection("127.0.0.1", host.caller_port)
    connection.putrequest("PUT", "/kisvaros/photos/photos/half")
    connection.putheader("Content-Length", str(100 * len(CHUNK)))
    connection.endheaders()
    for _ in range(30):
        connection.send(CHUNK)
    connection.close()
    done = threading.Event()
    clusters.wait_until(
        lambda: (
            clusters.fetch(f"http://{host.service_address}/v1/status").json[
                "requests_in_flight"
            ]
            == 0
        ),
        "no request is in flight",
    )
    done.wait(0.3)
    assert [r for r in pool.runs() if r["path"] == "/photos/half"] == []


@pytest.mark.parametrize("part", ["head", "body"])
def test_answers_without_end_cost_bounded_time_and_memory(pool, part):
    """The caller is answered, and the target's connection is closed."""
    before = [peak_memory_bytes(h.process) for h in pool.entry_hosts]
    started_s = time.monotonic()
    for host in pool.entry_hosts:
        url = f"{host.caller_url}/kisvaros/photos/photos/endless-{part}"
        try:
            answer = clusters.fetch(
                url, headers={"Goldcrest-Deadline-Ms": "1000"}
            )
        except http.client.IncompleteRead:
            # An answer that has begun can only be cut visibly.
            assert part == "body"
        else:
            assert part == "head"
            assert answer.outcome == "unknown"
    answered_s = time.monotonic() - started_s
    # The deadline of each request, and time to answer.
    assert answered_s < len(pool.entry_hosts) * 1.5
    clusters.wait_until(
        lambda: len(pool.runs("closed")) == len(pool.runs("start")),
        "the connections to the targets are closed",
    )
    for host, start in zip(pool.entry_hosts, before, strict=True):
        growth_bytes = peak_memory_bytes(host.process) - start
        assert growth_bytes < MEMORY_GROWTH_BYTES_MAX

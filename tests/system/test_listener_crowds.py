"""Crowds of unfinished bodies at all listeners but that of callers.

As in test_body_crowds.py nothing depends on the speed of the machine. The
hosts may use less memory than those of the sites, so that a small crowd shows
what a large one would do there.
"""

from __future__ import annotations

import asyncio
import time

import fleet as fleets
import pytest
import test_body_crowds
from test_body_crowds import chunk

CALLERS = 60
HOST_MEMORY_MB = 160
HOST_DESCRIPTORS = 1638
DESCRIPTORS_MAX = HOST_DESCRIPTORS - 200
HELD_S = 6.0
BLOCK = b"x" * 65536
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


# What follows the first header lines, without the end of the body. Each form
# is sent in pieces, over and over.
FORMS = {
    "large-chunks": (CHUNKED, 64 * [chunk(BLOCK)], b"10000\r\nx"),
    "small-chunks": (CHUNKED, 64 * [64 * chunk(BLOCK[:1024])], b"400\r\nx"),
    "one-byte-chunks": (CHUNKED, 64 * [1024 * chunk(b"x")], b"1\r\n"),
    "length": (b"Content-Length: 4194304\r\n\r\n", 63 * [BLOCK], BLOCK[1:]),
}
LISTENERS = {
    "targets": ("control-0", b"PUT /goldcrestproxy/instances/a"),
    "operators": ("control-0", b"PATCH /goldcrestproxy/config"),
    "balancer": ("entry-0", b"POST /goldcrestproxy/ready"),
    "metrics": ("entry-0", b"POST /metrics"),
    "control-metrics": ("control-0", b"POST /metrics"),
}


class Crowd(test_body_crowds.Crowd):
    """Callers of one listener that send all but the end of a body."""

    callers = CALLERS

    def __init__(self, address, line, form):
        header, pieces, end = FORMS[form]
        head = line + b" HTTP/1.1\r\nHost: a.example\r\n" + header
        super().__init__(address, [head, *pieces, end])

    async def _stay_connected(self):
        _, writer = await asyncio.open_connection(*self._address)
        try:
            for piece in self._rest:
                writer.write(piece)
                await writer.drain()
            while not writer.transport.is_closing():
                await asyncio.sleep(0.2)
        finally:
            writer.transport.abort()


@pytest.fixture(scope="module")
def metrics_port():
    return fleets.free_ports(1)[0]


@pytest.fixture
def fleet(tmp_path, metrics_port):
    """Fleet whose entry host and first control host have low limits."""
    new_fleet = fleets.Fleet(tmp_path, entry_count=1)
    for name in ("control-0", "entry-0"):
        new_fleet.change_settings(
            name,
            limits={
                "memory_mb": HOST_MEMORY_MB,
                "descriptors_max": HOST_DESCRIPTORS,
            },
            telemetry={
                "log_format": "json",
                "log_output": "stdout",
                "metrics_port": metrics_port,
            },
        )
    try:
        new_fleet.start()
        status, _ = new_fleet.send_operator_request(
            "PATCH", "/goldcrestproxy/config", fleets.items()
        )
        assert status == 200
        new_fleet.wait_until(lambda: new_fleet.is_ready(0))
        yield new_fleet
    finally:
        new_fleet.close()


def endpoint(fleet, listener, metrics_port):
    match listener:
        case "targets" | "operators":
            return fleet.registrants[0]
        case "balancer":
            return f"127.0.0.11:{fleet.ports['balancer']}"
        case "metrics":
            return f"127.0.0.11:{metrics_port}"
        case "control-metrics":
            return f"127.0.0.1:{metrics_port}"


def serves(address, listener):
    path = {
        "targets": "/goldcrestproxy/config",
        "operators": "/goldcrestproxy/config",
        "balancer": "/goldcrestproxy/ready",
    }.get(listener, "/metrics")
    try:
        return fleets.call(address, "GET", path)[0] == 200
    except OSError:
        return False


@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("listener", LISTENERS)
def test_a_crowd_of_unfinished_bodies_ends_no_host_at_any_listener(
    fleet, metrics_port, listener, form
):
    name, line = LISTENERS[listener]
    process = fleet.processes[name]
    text = endpoint(fleet, listener, metrics_port)
    host, _, port = text.rpartition(":")
    memory_bytes, descriptors = [], []
    with Crowd((host, int(port)), line, form):
        end_s = time.monotonic() + HELD_S
        while time.monotonic() < end_s and process.poll() is None:
            memory_bytes.append(fleet.resident_bytes(name))
            descriptors.append(fleet.descriptors(name))
            time.sleep(0.05)
        assert process.poll() is None
        fleet.wait_until(lambda: serves(text, listener))
        memory_bytes.append(fleet.resident_bytes(name))
    assert process.poll() is None
    assert max(memory_bytes) < HOST_MEMORY_MB * 1_000_000
    assert max(descriptors) < DESCRIPTORS_MAX


def test_a_long_configuration_call_in_large_chunks_is_served_in_calm(fleet):
    """The longest body that a control host takes, but for its padding."""
    body = fleets.items(2).encode()
    padded = body + b" " * (15 * 1024 * 1024 - len(body))
    status, _, _ = fleets.call(
        fleet.registrants[0],
        "PATCH",
        "/goldcrestproxy/config",
        padded,
        {"Transfer-Encoding": "chunked"},
        chunked=True,
    )
    assert status == 200

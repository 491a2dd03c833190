"""Crowds of callers whose requests never end, at one entry host.

Nothing here depends on the speed of the machine: the process lives, its
memory and descriptors stay below those of the smallest hosts, and an
ordinary request is answered while the crowd stays connected.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
import threading
import time

import fleet as fleets
import pytest

CALLERS = 800
# Of the smallest hosts that the fleet runs on. Files that the process opens
# for itself are counted too, so some descriptors are left for them.
HOST_MEMORY_BYTES = 160 * 1000 * 1000
HOST_DESCRIPTORS = 1638
DESCRIPTORS_MAX = HOST_DESCRIPTORS - 200
HELD_S = 4.0
ENTRY = "entry-0"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 65536


def chunk(data, extension=b""):
    return b"%x%s\r\n%s\r\n" % (len(data), extension, data)


# What follows the first header lines of a request.
FORMS = {
    "large-chunks": CHUNKED + 3 * chunk(BLOCK) + chunk(BLOCK)[:-3],
    "small-chunks": CHUNKED + 3000 * chunk(BLOCK[:64]) + b"40\r\nx",
    "one-byte-chunks": CHUNKED + 20_000 * chunk(b"x") + b"1\r\n",
    "extensions": CHUNKED + 40 * chunk(b"x", b";a=" + b"b" * 4096) + b"1",
    "trailers": CHUNKED + chunk(BLOCK) + b"0\r\n" + 2000 * b"X-More: y\r\n",
    "length": b"Content-Length: 262144\r\n\r\n" + (4 * BLOCK)[:-1],
    "headers": 3000 * b"X-More: 0123456789\r\n",
    "unread-answers": b"Content-Length: 262144\r\n\r\n" + 4 * BLOCK,
}


class Crowd:
    """Callers that send all but the end of a request and stay connected."""

    callers = CALLERS

    def __init__(self, address, rest):
        self._address = address
        self._rest = rest
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._tasks = []

    def __enter__(self):
        self._thread.start()
        work = asyncio.run_coroutine_threadsafe(self._start(), self._loop)
        work.result()
        return self

    def __exit__(self, *_):
        asyncio.run_coroutine_threadsafe(self._end(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _start(self):
        for _ in range(self.callers):
            self._tasks.append(asyncio.create_task(self._call()))

    async def _end(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call(self):
        """Send again on a new connection whenever one is closed."""
        while True:
            with contextlib.suppress(OSError, EOFError):
                await self._stay_connected()
            await asyncio.sleep(0.5)

    async def _stay_connected(self):
        # A small buffer: what the host answers stays with the host.
        _, writer = await asyncio.open_connection(*self._address, limit=1024)
        try:
            writer.write(
                b"POST /photo/1 HTTP/1.1\r\nHost: desk.example\r\n"
                b"Attempt-Id: " + os.urandom(8).hex().encode() + b"\r\n"
                b"Deadline-Ms: 60000\r\n"
            )
            writer.write(self._rest)
            await writer.drain()
            while not writer.transport.is_closing():
                await asyncio.sleep(0.2)
        finally:
            writer.transport.abort()


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Fleet of one entry host and a pool with one target."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, 4096), hard))
    new_fleet = fleets.Fleet(tmp_path_factory.mktemp("fleet"), entry_count=1)
    new_fleet.resource_limits[ENTRY] = [
        f"--rss={HOST_MEMORY_BYTES}",
        f"--nofile={HOST_DESCRIPTORS}",
    ]
    try:
        new_fleet.start()
        status, _ = new_fleet.send_operator_request(
            "PATCH", "/goldcrestproxy/config", fleets.items()
        )
        assert status == 200
        new_fleet.add_target("vault-0", "vault")
        yield new_fleet
    finally:
        new_fleet.close()
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.fixture
def entry_host(fleet):
    """The fleet, with an entry host that has just started."""
    if fleet.processes[ENTRY].poll() is None:
        fleet.signal(ENTRY, signal.SIGKILL)
    fleet.wait_ended(ENTRY)
    fleet.set_first_start(ENTRY, False)
    fleet.start(ENTRY)
    fleet.wait_until(lambda: serves(fleet))
    return fleet


def serves(fleet):
    try:
        return fleet.request(0, "POST", "/photo/1", body=b"x")[0] == 200
    except OSError:
        return False


@pytest.mark.parametrize("form", FORMS)
def test_a_crowd_of_unfinished_requests_ends_no_host(entry_host, form):
    process = entry_host.processes[ENTRY]
    address = "127.0.0.11", entry_host.ports["callers"]
    memory_bytes, descriptors = [], []
    with Crowd(address, FORMS[form]):
        end_s = time.monotonic() + HELD_S
        while time.monotonic() < end_s and process.poll() is None:
            memory_bytes.append(entry_host.resident_bytes(ENTRY))
            descriptors.append(entry_host.descriptors(ENTRY))
            time.sleep(0.05)
        assert process.poll() is None
        entry_host.wait_until(lambda: serves(entry_host))
        memory_bytes.append(entry_host.resident_bytes(ENTRY))
    assert process.poll() is None
    assert max(memory_bytes) < HOST_MEMORY_BYTES
    assert max(descriptors) < DESCRIPTORS_MAX

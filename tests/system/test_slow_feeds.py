"""Entry hosts whose links to control hosts are nearly full."""

from __future__ import annotations

import json
import random
import time

import cluster as clusters
import fleet as fleets
import pytest
import relay as relays

ROUTES = 1520
# From then on after its confirmation, a change is in force at all hosts.
IN_FORCE_S = 2.0
OBSERVED_S = 12.0
# What other traffic leaves of the link.
LINK_BYTES_PER_S = 24_000.0


@pytest.fixture
def link():
    return relays.Link()


@pytest.fixture
def fleet(tmp_path, link):
    """Fleet whose first entry host reaches control hosts over ``link``."""
    new_fleet = fleets.Fleet(tmp_path)
    link_relays = []
    routes = {}
    for number in range(3):
        control = f"127.0.0.{number + 1}"
        port = clusters.free_port()
        link_relays.append(
            relays.Relay(port, new_fleet.peer_port, to=control, link=link)
        )
        routes[f"{control}:{new_fleet.peer_port}"] = f"127.0.0.1:{port}"
    new_fleet.reroute("entry-0", routes)
    try:
        new_fleet.start()
        status, _ = new_fleet.send_operator_request(
            "PATCH", "/goldcrestproxy/config", fleets.items()
        )
        assert status == 200
        new_fleet.add_target("desk-0", "desk", keyed=True)
        new_fleet.add_target("vault-0", "vault")
        new_fleet.wait_until(
            lambda: all(
                send(new_fleet, host, "desk.example", "/photo/1") == 200
                for host in range(2)
            )
        )
        yield new_fleet
    finally:
        new_fleet.close()
        for relay in link_relays:
            relay.close()


def send(fleet, host, name, path):
    """Send an upload and return its status."""
    try:
        return fleet.request(host, "POST", path, body=b"x", Host=name)[0]
    except OSError:
        return 0


def many_routes(rng):
    """Return a change that adds routes and removes one."""
    added = [
        {
            "name": f"r-{rng.randbytes(4).hex()}",
            "version": 2,
            "host": f"{rng.randbytes(4).hex()}.example",
            "path_prefix": f"/{rng.randbytes(5).hex()}/",
            "route_kind": "upload",
            "timeout_ms": 2000,
            "target_latency_ms": 600,
            "rank": 1,
            "attempts_max": 2,
            "service": "vault",
        }
        for _ in range(ROUTES)
    ]
    return {
        "upsert": {"routes": added},
        "remove": {"routes": [{"name": "photo", "version": 2}]},
    }


def test_a_host_that_is_fed_slowly_handles_nothing_as_an_older_version(
    fleet, link
):
    change = many_routes(random.Random(1))
    added = change["upsert"]["routes"][-1]
    link.bytes_per_s = LINK_BYTES_PER_S
    status, _ = fleet.send_operator_request(
        "PATCH", "/goldcrestproxy/config", json.dumps(change)
    )
    assert status == 200
    confirmed_s = time.monotonic()
    on_added, on_removed = [], []
    while time.monotonic() < confirmed_s + OBSERVED_S:
        sent_s = time.monotonic() - confirmed_s
        status = send(fleet, 0, added["host"], f"{added['path_prefix']}1")
        on_added.append((round(sent_s, 2), status))
        sent_s = time.monotonic() - confirmed_s
        status = send(fleet, 0, "desk.example", "/photo/1")
        on_removed.append((round(sent_s, 2), status))
        time.sleep(0.05)
    late = [status for sent_s, status in on_added if sent_s > IN_FORCE_S]
    assert 404 not in late, on_added
    assert set(late) <= {200, 503}, on_added
    assert late[-1] == 200, on_added
    late = [status for sent_s, status in on_removed if sent_s > IN_FORCE_S]
    assert 200 not in late, on_removed
    assert late[-1] == 404, on_removed

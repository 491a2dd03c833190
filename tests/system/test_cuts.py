"""Silent network partitions: bytes are lost, connections stay open."""

from __future__ import annotations

import time

import cluster as clusters
import conftest
import deployments
import pytest
import relay as relays
from test_failures import check_guarantees
from test_failures import key_url
from test_failures import Load
from test_failures import wait_served


@pytest.fixture
def relayed(tmp_path):
    """Cluster whose channels to control hosts all pass through relays."""
    cluster = clusters.Cluster(tmp_path, conftest.THREE_HOSTS)
    relay_by_pair = {}
    for source in cluster.hosts:
        for to in cluster.control_hosts:
            if source != to.name:
                port = clusters.free_port()
                relay_by_pair[source, to.name] = relays.Relay(
                    port, to.peer_port
                )
                cluster.peer_ports[source, to.name] = port
    try:
        cluster.start()
        cluster.form_control_group()
        cluster.apply(deployments.document())
        for number, zone in enumerate(("zone-a", "zone-b", "zone-c")):
            cluster.add_target(f"pitch-{number}", "pitches", zone, "--fencing")
        cluster.wait_in_service("pitches")
        yield cluster, relay_by_pair
    finally:
        cluster.close()
        for relay in relay_by_pair.values():
            relay.close()


def status(host):
    return clusters.fetch(f"http://{host.service_address}/v1/status").json


def test_leader_cut_off_for_long_disturbs_nobody_when_it_returns(relayed):
    cluster, relay_by_pair = relayed
    host = cluster.hosts[cluster.wait_leader()]
    load = Load(cluster)
    time.sleep(0.3)
    host_relays = [
        relay for pair, relay in relay_by_pair.items() if host.name in pair
    ]
    for relay in host_relays:
        relay.drops_all = True
    time.sleep(4.0)
    others = [h for h in cluster.control_hosts if h is not host]
    terms = [status(h)["term"] for h in others]
    # The isolated host must not lead, hold the lease or accept changes.
    isolated_status = status(host)
    assert isolated_status["control_role"] != "leader"
    assert not isolated_status["has_lease"]
    done = cluster.cli("zone", "out", "zone-x", host=host.name)
    assert done.returncode != 0
    accepted = cluster.cli_json("zone", "out", "zone-y", host=others[0].name)
    for relay in host_relays:
        relay.drops_all = False
    time.sleep(1.0)
    assert [status(h)["term"] for h in others] == terms
    clusters.wait_until(
        lambda: status(host)["revision"] == accepted["revision"],
        "the former leader has caught up",
    )
    assert cluster.cli_json("get")["zones_out"] == ["zone-y"]
    wait_served(cluster, "k1")
    check_guarantees(cluster, load)


def test_forgotten_connections_to_a_target_cost_no_caller_their_answer(
    cluster,
):
    """Open connections to the target stay silent; new ones work."""
    headers_sent = {"Goldcrest-Deadline-Ms": "2000"}
    host = cluster.hosts["entry-a"]
    port = cluster.prepare_target("pitch-0", "pitches", "zone-a", "--fencing")
    cluster.target_ports["pitch-0"] = clusters.free_port()
    relay = relays.Relay(cluster.target_ports["pitch-0"], port)
    try:
        cluster.start_target("pitch-0")
        cluster.wait_in_service("pitches")
        for _ in range(30):
            assert (
                clusters.fetch(key_url(host), headers=headers_sent).status
                == 200
            )
        before = relay.connections
        relay.silence_connections()
        for method in ("GET", "POST", "GET"):
            answer = clusters.fetch(
                key_url(host),
                method,
                b"x" if method == "POST" else None,
                headers_sent,
            )
            assert (method, answer.status) == (method, 200), answer.body
        assert relay.connections > before
    finally:
        relay.close()


def test_request_sent_on_a_forgotten_connection_is_not_called_not_run(
    cluster,
):
    """Its answer is lost, and no new connection can be opened."""
    host = cluster.hosts["entry-a"]
    port = cluster.prepare_target("pitch-0", "pitches", "zone-a", "--fencing")
    cluster.target_ports["pitch-0"] = clusters.free_port()
    relay = relays.Relay(cluster.target_ports["pitch-0"], port)
    try:
        cluster.start_target("pitch-0")
        cluster.wait_in_service("pitches")
        for _ in range(30):
            assert clusters.fetch(key_url(host)).status == 200
        relay.strand_connections()
        answer = clusters.fetch(f"{key_url(host)}/last")
    finally:
        relay.close()
    assert [r for r in cluster.runs() if r["path"].endswith("/last")]
    assert answer.outcome == "unknown"


def test_silent_new_connection_ends_as_unknown(cluster):
    """The deadline ends the request, as for any other silent target."""
    host = cluster.hosts["entry-a"]
    cluster.add_target("pitch-0", "pitches", "zone-a", "--fencing")
    cluster.wait_in_service("pitches")
    for _ in range(5):
        assert clusters.fetch(key_url(host)).status == 200
    answer = clusters.fetch(
        f"{key_url(host)}/silent", headers={"Goldcrest-Deadline-Ms": "1200"}
    )
    assert (answer.code, answer.outcome) == (4002, "unknown")

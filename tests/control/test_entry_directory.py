from __future__ import annotations

import random

import pytest

from goldcrestproxy.control import entry_directory
from goldcrestproxy import wire


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def directory(clock):
    return entry_directory.EntryDirectory(clock, random.Random(1))


def report(host, zone="zone-a", *, takes_requests=True):
    return wire.ttypes.WatchRequest(
        host=host,
        zone=zone,
        address="10.0.0.1",
        peer_port=7000,
        takes_requests=takes_requests,
    )


def listed(host, zone="zone-a"):
    return wire.ttypes.EntryHost(
        host=host,
        zone=zone,
        address="10.0.0.2",
        peer_port=7000,
        takes_requests=True,
        age_ms=0,
    )


def names(hosts):
    return {host.host for host in hosts}


def test_a_host_is_told_of_hosts_in_its_zone_and_in_others(directory):
    for number in range(20):
        directory.record(report(f"a{number}"))
        directory.record(report(f"b{number}", "zone-b"))
    told = directory.neighbours(report("a0"))
    assert len(told) == entry_directory.NEIGHBOURS_MAX
    assert "a0" not in names(told)
    assert {host.zone for host in told} == {"zone-a", "zone-b"}


def test_hosts_that_reach_no_target_are_not_told(directory):
    directory.record(report("a1"))
    directory.record(report("a2"))
    directory.record(report("a2", takes_requests=False))
    assert names(directory.neighbours(report("a0"))) == {"a1"}


def test_hosts_of_an_older_build_are_not_told(directory):
    directory.record(wire.ttypes.WatchRequest(host="a1", zone="zone-a"))
    assert directory.neighbours(report("a0")) == []


def test_silent_hosts_are_forgotten(directory, clock):
    directory.record(report("a1"))
    directory.merge([listed("a2")])
    clock.now_s += entry_directory.REPORT_AGE_S_MAX + 0.1
    directory.record(report("a3"))
    assert names(directory.neighbours(report("a0"))) == {"a3"}


def test_control_hosts_tell_each_other(directory):
    directory.record(report("a1"))
    directory.merge(listed(f"b{n}", "zone-b") for n in range(50))
    assert names(directory.fed()) == {"a1"}
    assert len(directory.known()) == entry_directory.EXCHANGED_MAX
    assert names(directory.neighbours(report("b1", "zone-b"))) <= {
        "a1",
        *(f"b{n}" for n in range(50)),
    }


def test_a_host_that_moved_to_another_control_host_stays_known(clock):
    leader = entry_directory.EntryDirectory(clock, random.Random(1))
    follower = entry_directory.EntryDirectory(clock, random.Random(2))
    follower.record(report("a1"))
    for _ in range(20):
        clock.now_s += 0.3
        leader.record(report("a1"))
        follower.merge(leader.known())
        assert names(follower.neighbours(report("a0"))) == {"a1"}


def test_all_control_hosts_hear_that_a_host_takes_no_requests(clock):
    leader = entry_directory.EntryDirectory(clock, random.Random(1))
    follower = entry_directory.EntryDirectory(clock, random.Random(2))
    follower.record(report("a1"))
    leader.merge(follower.fed())
    follower.record(report("a1", takes_requests=False))
    leader.merge(follower.fed())
    assert leader.neighbours(report("a0")) == []
    follower.merge(leader.known())
    assert follower.neighbours(report("a0")) == []


def test_a_silent_host_is_forgotten_everywhere_in_time(clock):
    leader = entry_directory.EntryDirectory(clock, random.Random(1))
    follower = entry_directory.EntryDirectory(clock, random.Random(2))
    leader.record(report("a1"))
    heard_s = clock.now_s
    while clock.now_s < heard_s + entry_directory.REPORT_AGE_S_MAX:
        clock.now_s += 0.3
        follower.merge(leader.known())
        leader.merge(follower.known())
    assert leader.neighbours(report("a0")) == []
    assert follower.neighbours(report("a0")) == []

from __future__ import annotations

import random

from goldcrestproxy.routing import passing_on
from goldcrestproxy.routing import target_contact


def neighbour(host, zone="zone-a"):
    return passing_on.Neighbour(
        host=host, zone=zone, address="10.0.0.1", peer_port=7000
    )


def choose(neighbours, loads=None, now_s=10.0):
    return passing_on.choose_neighbour(
        neighbours, loads or {}, "zone-a", now_s, random.Random(1)
    )


def test_the_own_zone_comes_first_among_equals():
    assert choose([neighbour("b", "zone-b"), neighbour("a")]).host == "a"


def test_requests_are_spread_over_neighbours():
    neighbours = [neighbour("a"), neighbour("b"), neighbour("c", "zone-b")]
    loads = {n.host: passing_on.NeighbourLoad() for n in neighbours}
    for _ in range(30):
        loads[choose(neighbours, loads).host].in_flight += 1
    assert {load.in_flight for load in loads.values()} == {10}


def test_a_neighbour_that_failed_is_asked_last_until_its_back_off_ends():
    loads = {"a": passing_on.NeighbourLoad(back_off_until_s=11.0)}
    both = [neighbour("a"), neighbour("b", "zone-b")]
    assert choose(both, loads).host == "b"
    assert choose(both, loads, now_s=11.0).host == "a"
    assert choose([neighbour("a")], loads).host == "a"
    assert choose([]) is None


def test_targets_that_no_host_reaches_are_tried_ever_more_rarely():
    back_off = passing_on.TargetBackOff()
    passed_on = 0
    for ms in range(0, 20_000, 10):
        if not back_off.applies("t1", ms / 1000):
            passed_on += 1
            back_off.record_failure("t1", ms / 1000)
    assert passed_on <= 8
    assert not back_off.applies("t2", 0.0)
    back_off.record_success("t1")
    assert not back_off.applies("t1", 20.0)


def test_failures_at_several_targets_without_an_answer_mean_cut_off():
    contact = target_contact.TargetContact()
    for name in ("t1", "t2", "t2"):
        contact.record_failure(name)
        assert not contact.is_isolated(20)
    contact.record_failure("t3")
    assert contact.is_isolated(20)
    assert not contact.is_isolated(0)
    contact.record_connection("t9")
    assert not contact.is_isolated(20)
    assert contact.unreached == {"t1", "t2", "t3"}


def test_one_target_that_is_down_does_not_mean_cut_off():
    contact = target_contact.TargetContact()
    for _ in range(50):
        contact.record_failure("t1")
        contact.record_answer()
    assert not contact.is_isolated(20)
    assert contact.is_unreached("t1")


def test_an_answer_on_an_open_connection_does_not_show_a_way_for_new_ones():
    contact = target_contact.TargetContact()
    for name in ("t1", "t2", "t3"):
        contact.record_failure(name)
    contact.record_answer()
    assert not contact.is_isolated(20)
    assert contact.is_unreached("t1")
    contact.record_connection("t1")
    assert not contact.is_unreached("t1")


def test_targets_that_left_do_not_count():
    contact = target_contact.TargetContact()
    for name in ("t1", "t2", "t3"):
        contact.record_failure(name)
    contact.retain({"t1"})
    assert contact.unreached == {"t1"}
    assert not contact.is_isolated(20)

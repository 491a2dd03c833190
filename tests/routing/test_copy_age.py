"""What a host may decide on a copy of the state, by the copy's age."""

from __future__ import annotations

import pytest

from goldcrestproxy.routing import copy_age

BOUND_S = 2.0


@pytest.fixture
def age():
    return copy_age.CopyAge(BOUND_S * 1000)


def test_a_copy_of_unknown_age_refuses_no_route_for_good(age):
    assert not age.may_refuse_unknown(100.0)
    assert age.may_serve(100.0)


def test_an_unknown_route_is_refused_for_good_within_the_bound_only(age):
    age.record_answer(7, as_of_s=10.0, applied_index=7, now_s=10.1)
    assert age.may_refuse_unknown(11.0)
    # A route that was confirmed at 10.0 binds from now on.
    assert not age.may_refuse_unknown(10.0 + BOUND_S)


def test_a_host_that_is_behind_serves_no_longer_than_the_bound(age):
    age.record_answer(7, as_of_s=10.0, applied_index=7, now_s=10.0)
    age.record_answer(9, as_of_s=10.5, applied_index=8, now_s=10.5)
    assert age.is_behind
    assert age.may_serve(11.0)
    assert not age.may_serve(10.0 + BOUND_S)
    age.record_applied(9)
    assert age.may_serve(10.0 + BOUND_S)
    assert age.age_s(10.0 + BOUND_S) == BOUND_S - 0.5


def test_applied_changes_confirm_the_copy_while_others_follow(age):
    for number in range(10):
        age.record_answer(
            number + 2,
            as_of_s=10.0 + number,
            applied_index=number + 1,
            now_s=10.0 + number,
        )
        assert age.may_serve(10.0 + number)
    assert age.is_behind
    age.record_applied(11)
    assert not age.is_behind


def test_a_host_without_control_hosts_serves_the_routes_that_it_has(age):
    age.record_answer(7, as_of_s=10.0, applied_index=7, now_s=10.0)
    assert age.may_serve(3_600.0)
    assert not age.may_refuse_unknown(3_600.0)


def test_a_change_that_is_announced_before_its_feed_refuses_nothing(age):
    age.record_answer(7, as_of_s=10.0, applied_index=7, now_s=10.0)
    age.record_answer(8, as_of_s=12.5, applied_index=7, now_s=12.5)
    assert age.may_serve(12.6)
    assert not age.may_serve(12.5 + copy_age.FEED_GRACE_S)


def test_a_change_that_arrives_slowly_is_known_before_it_is_complete(age):
    age.record_answer(7, as_of_s=10.0, applied_index=7, now_s=10.0)
    age.record_announced(8, 10.4)
    age.record_announced(8, 11.6)
    assert age.may_serve(11.0)
    assert not age.may_serve(10.0 + BOUND_S)
    age.record_applied(8)
    assert age.may_serve(10.0 + BOUND_S)
    # Only control hosts say as of when a copy is the newest one.
    assert age.age_s(12.0) == BOUND_S


def test_a_host_that_returns_behind_does_not_serve_as_before(age):
    age.record_answer(7, as_of_s=10.0, applied_index=7, now_s=10.0)
    # No control host answered for a while.
    age.record_answer(8, as_of_s=13.0, applied_index=7, now_s=13.0)
    assert not age.may_serve(13.0 + copy_age.FEED_GRACE_S)


def test_changes_that_are_never_applied_take_bounded_memory(age):
    for number in range(copy_age.CHANGES_MAX * 3):
        age.record_answer(
            number + 10, as_of_s=number, applied_index=1, now_s=number
        )
    assert len(age._pending) == copy_age.CHANGES_MAX

"""Which change of its members a control group needs next."""

from __future__ import annotations

import pytest

from goldcrestproxy import control
from goldcrestproxy.control import membership_plan

LONG_S = 60.0


def member(host, *, life=1, voter=True):
    return control.Member(
        replica=f"{host}-{life}",
        host=host,
        address="127.0.0.1",
        peer_port=1,
        voter=voter,
    )


def group(*members):
    return control.Members(members=members)


def next_change(members, *, silent=(), caught_up=(), remove_silent=True):
    return membership_plan.next_change(
        members,
        membership_plan.Observations(
            silent_s=dict.fromkeys(silent, LONG_S),
            caught_up=frozenset(caught_up),
        ),
        remove_silent=remove_silent,
    )


THREE = (member("a"), member("b"), member("c"))


def test_a_group_without_silent_members_and_learners_needs_no_change():
    assert next_change(group(*THREE)) is None


def test_a_learner_is_promoted_once_it_has_caught_up():
    learner = member("d", voter=False)
    members = group(*THREE, learner)
    assert next_change(members) is None
    change = next_change(members, caught_up={"d-1"})
    assert change == membership_plan.Promote(learner=learner)
    assert membership_plan.apply(members, change) == group(*THREE, member("d"))


def test_a_silent_learner_is_not_promoted_but_removed():
    """Guards against voters that were gone before they had a vote."""
    learner = member("d", voter=False)
    change = next_change(
        group(*THREE, learner), silent={"d-1"}, caught_up={"d-1"}
    )
    assert change == membership_plan.RemoveSilent(member=learner)


def test_an_old_identity_keeps_its_vote_until_the_new_one_has_one():
    newer = member("a", life=2, voter=False)
    assert next_change(group(*THREE, newer)) is None
    members = group(*THREE, member("a", life=2))
    change = next_change(members)
    assert change == membership_plan.RemoveReplaced(member=member("a"))
    assert not membership_plan.apply(members, change).find("a-1")


def test_an_older_learner_of_a_host_goes_at_once():
    older, newer = (member("a", life=n, voter=False) for n in (2, 3))
    change = next_change(group(*THREE, older, newer), caught_up={"a-2"})
    assert change == membership_plan.RemoveReplaced(member=older)


@pytest.mark.parametrize("silent", [{"a-1"}, {"a-1", "d-1"}])
def test_one_silent_voter_of_an_even_group_is_removed(silent):
    members = group(*THREE, member("d"))
    change = next_change(members, silent=silent)
    assert change == membership_plan.RemoveSilent(member=member("a"))
    assert next_change(members, silent=silent, remove_silent=False) is None


def test_the_voter_that_was_silent_for_longest_is_removed():
    change = membership_plan.next_change(
        group(*THREE, member("d")),
        membership_plan.Observations(
            silent_s={"a-1": 3.0, "b-1": 30.0}, caught_up=frozenset()
        ),
        remove_silent=True,
    )
    assert change == membership_plan.RemoveSilent(member=member("b"))


def test_a_silent_voter_of_an_odd_group_stays():
    assert next_change(group(*THREE), silent={"a-1"}) is None

"""Which change of its members a control group needs next."""

from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
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


def next_change(members, *, silent=(), caught_up=(), losses_tolerated=1):
    return membership_plan.next_change(
        members,
        membership_plan.Observations(
            silent_s=dict.fromkeys(silent, LONG_S),
            caught_up=frozenset(caught_up),
        ),
        losses_tolerated=losses_tolerated,
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
    assert next_change(members, silent=silent, losses_tolerated=None) is None


def test_the_voter_that_was_silent_for_longest_is_removed():
    change = membership_plan.next_change(
        group(*THREE, member("d")),
        membership_plan.Observations(
            silent_s={"a-1": 3.0, "b-1": 30.0}, caught_up=frozenset()
        ),
        losses_tolerated=1,
    )
    assert change == membership_plan.RemoveSilent(member=member("b"))


@pytest.mark.parametrize("losses_tolerated", [0, 1, 2])
def test_a_silent_voter_of_a_group_that_needs_it_stays(losses_tolerated):
    """Guards against cuts that decide who is in the group."""
    assert (
        next_change(
            group(*THREE), silent={"a-1"}, losses_tolerated=losses_tolerated
        )
        is None
    )


def test_silent_voters_beyond_the_needed_number_are_all_removed():
    """Guards against an odd group that counts voters that are gone."""
    members = group(*(member(name) for name in "abcdefg"))
    silent = {"a-1", "c-1", "e-1"}
    for _ in range(2):
        change = next_change(members, silent=silent, losses_tolerated=2)
        members = membership_plan.apply(members, change)
    assert next_change(members, silent=silent, losses_tolerated=2) is None
    assert len(members.voters()) == 5


class ReplacedHosts(stateful.RuleBasedStateMachine):
    """Hosts join, fall silent and return while leaders change."""

    @stateful.initialize(losses_tolerated=st.sampled_from([1, 2]))
    def start(self, losses_tolerated):
        self.losses_tolerated = losses_tolerated
        self.size = 2 * losses_tolerated + 1
        self.members = group(*(member(f"h{n}") for n in range(self.size)))
        self.silent = set()
        self.joined = 0

    def live_voters(self):
        return [
            voter
            for voter in self.members.voters()
            if voter.replica not in self.silent
        ]

    def lost(self):
        return max(0, self.size - len(self.live_voters()))

    def settle(self, noticed):
        """Let a leader act that has noticed some of the silent members."""
        for _ in range(20):
            change = next_change(
                self.members,
                silent=noticed,
                caught_up={
                    found.replica
                    for found in self.members.members
                    if found.replica not in self.silent
                },
                losses_tolerated=self.losses_tolerated,
            )
            if change is None:
                return
            before = {voter.replica for voter in self.members.voters()}
            self.members = membership_plan.apply(self.members, change)
            after = {voter.replica for voter in self.members.voters()}
            assert len(before ^ after) <= 1
            assert len(self.live_voters()) >= self.members.majority()
        raise AssertionError("the members change without end")

    @stateful.precondition(lambda self: self.joined < 3)
    @stateful.rule()
    def join(self):
        self.joined += 1
        self.members = self.members.with_member(
            member(f"new{self.joined}", voter=False)
        )

    @stateful.precondition(lambda self: self.lost() < self.losses_tolerated)
    @stateful.rule(data=st.data())
    def fall_silent(self, data):
        """As many hosts as may be lost fall silent at once."""
        self.settle(self.silent)
        spare = self.losses_tolerated - self.lost()
        lost = data.draw(
            st.lists(
                st.sampled_from(self.live_voters()),
                max_size=spare,
                unique_by=lambda voter: voter.replica,
            )
        )
        self.silent |= {voter.replica for voter in lost}
        assert len(self.live_voters()) >= self.members.majority()

    @stateful.precondition(lambda self: self.silent)
    @stateful.rule(data=st.data())
    def return_or_rejoin(self, data):
        replica = data.draw(st.sampled_from(sorted(self.silent)))
        self.silent.discard(replica)
        if self.members.find(replica) is None:
            host, _, life = replica.rpartition("-")
            self.members = self.members.with_member(
                member(host, life=int(life), voter=False)
            )

    @stateful.rule(data=st.data())
    def change_leader(self, data):
        self.settle(
            {
                replica
                for replica in sorted(self.silent)
                if data.draw(st.booleans())
            }
        )

    @stateful.rule()
    def wait(self):
        self.settle(self.silent)
        spare = len(self.live_voters()) - self.members.majority()
        assert spare >= self.losses_tolerated - self.lost()
        assert len(self.members.voters()) >= self.size


TestReplacedHosts = ReplacedHosts.TestCase
TestReplacedHosts.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)

"""Claims of idempotency keys: one run at a time, in any message order."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from goldcrestproxy import control
from goldcrestproxy.control import commands
from goldcrestproxy.control import outcomes
from goldcrestproxy import results


def claim(claim_id, fingerprint="f", session="s", earlier_fingerprint=""):
    return commands.Claim(
        customer="c",
        idempotency_key="k",
        fingerprint=fingerprint,
        request_id="r",
        claim_id=claim_id,
        host="h",
        session=session,
        time_s=1.0,
        earlier_fingerprint=earlier_fingerprint,
    )


def settle(claim_id, code=0, not_run=False):
    return commands.SettleClaim(
        customer="c",
        idempotency_key="k",
        claim_id=claim_id,
        answer=commands.Answer(code=code, status=201),
        not_run=not_run,
    )


IDS = st.sampled_from(["one", "two", "three"])


@given(
    st.lists(
        st.one_of(
            st.builds(claim, IDS, session=st.sampled_from(["s", "t"])),
            st.builds(settle, IDS, st.just(0), st.booleans()),
            st.builds(
                commands.EndSession,
                host=st.just("h"),
                session=st.sampled_from(["s", "t"]),
            ),
        ),
        max_size=25,
    )
)
def test_at_most_one_claim_may_run_at_a_time(sequence):
    state = control.ControlState()
    may_run: set[str] = set()
    for index, command in enumerate(sequence, start=1):
        outcome = state.apply(index, command)
        if isinstance(command, commands.Claim):
            if isinstance(outcome, outcomes.Claimed):
                may_run.add(command.claim_id)
        elif isinstance(command, commands.SettleClaim) and command.not_run:
            # Only a settlement as not run allows another run.
            if not state.claims.claims:
                may_run.clear()
        assert len(may_run) <= 1


def test_repeated_request_gets_the_recorded_answer():
    state = control.ControlState()
    assert state.apply(1, claim("one")) == outcomes.Claimed()
    running = state.apply(2, claim("two"))
    assert running.answer is None
    state.apply(3, settle("one"))
    again = state.apply(4, claim("three"))
    assert again.answer == commands.Answer(code=0, status=201)


def test_repeated_proposal_of_a_claim_is_granted_again():
    state = control.ControlState()
    state.apply(1, claim("one"))
    assert state.apply(2, claim("one")) == outcomes.Claimed()


def test_end_of_session_settles_claim_as_unknown_without_second_run():
    state = control.ControlState()
    state.apply(1, claim("one"))
    state.apply(2, commands.EndSession(host="h", session="s"))
    again = state.apply(3, claim("two"))
    assert again.answer.code == results.OUTCOME_UNKNOWN


def test_late_answer_replaces_unknown_outcome():
    state = control.ControlState()
    state.apply(1, claim("one"))
    state.apply(2, commands.EndSession(host="h", session="s"))
    state.apply(3, settle("one"))
    assert state.apply(4, claim("two")).answer.status == 201


def test_different_request_with_the_same_key_is_detected():
    state = control.ControlState()
    state.apply(1, claim("one"))
    other = state.apply(2, claim("two", fingerprint="other"))
    assert not other.same_request


def test_claims_for_long_bodies_are_compared_across_builds():
    """Guards against second runs of uploads during an upgrade."""
    earlier = claim("one", fingerprint="by length")
    later = claim("two", fingerprint="f", earlier_fingerprint="by length")
    for first, second in ((earlier, later), (later, earlier)):
        state = control.ControlState()
        state.apply(1, first)
        assert state.apply(2, second).same_request


def test_long_bodies_of_one_length_are_different_requests():
    state = control.ControlState()
    state.apply(1, claim("one", "f", earlier_fingerprint="by length"))
    other = claim("two", "g", earlier_fingerprint="by length")
    assert not state.apply(2, other).same_request


def test_old_settled_claims_are_evicted():
    state = control.ControlState()
    state.apply(1, claim("one"))
    state.apply(2, commands.ForgetClaims(before_s=9.0))
    assert state.claims.claims
    state.apply(3, settle("one"))
    state.apply(4, commands.ForgetClaims(before_s=9.0))
    assert not state.claims.claims

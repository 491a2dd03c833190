"""Requests whose target changes between its choice and the first byte."""

from __future__ import annotations

import asyncio

import attrs
import pytest
import test_dispatcher

from goldcrestproxy.entries import fleet_map
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import cold_rate
from goldcrestproxy.routing import fleet_retries
from goldcrestproxy.routing import target_choice

ANSWER = test_dispatcher.ANSWER
NOT_RUN = results.Outcome.NOT_RUN


def make_target(name, incarnation=1):
    return fleet_map.TrackedTarget(
        record=attrs.evolve(
            test_dispatcher.TARGET, target=name, incarnation=incarnation
        ),
        stats=target_choice.TargetStats(slots=4),
        rate=cold_rate.ColdRateLimiter(phase=0.0),
    )


@pytest.fixture
def fleet():
    """Return a fleet with a pool of two targets, the first one preferred."""
    made = test_dispatcher.FakeFleet(test_dispatcher.UNSAFE)
    made.services["s"] = attrs.evolve(made.services["s"], keyed=False)
    made.targets["t2"] = make_target("t2")
    made.targets["t2"].stats.work_ms = 400.0
    return made


@pytest.fixture
def keyed_fleet():
    """Return a fleet with a single target, which owns all keys."""
    return test_dispatcher.FakeFleet(test_dispatcher.UNSAFE)


def leave(fleet):
    """Take the target out, as it leaves, is lost or its zone is out."""
    del fleet.targets["t1"]


def restart(fleet):
    fleet.targets["t1"] = make_target("t1", incarnation=2)
    fleet.targets["t1"].stats.work_ms = 900.0


def say_in_an_answer_that_it_leaves(fleet):
    fleet.target.leaving_s = 1.0


def ask_for_rest(fleet):
    fleet.target.rest.record_request_to_rest(5_000, 1.0)


@pytest.mark.parametrize(
    "change", [leave, restart, say_in_an_answer_that_it_leaves, ask_for_rest]
)
def test_a_request_that_waited_goes_to_a_target_that_may_still_get_it(
    fleet, change
):
    """Guards against requests at targets that left while these waited."""
    sender = test_dispatcher.FakeSender(fleet, [ANSWER, ANSWER])
    changes = [lambda: change(fleet)]
    sender.on_connect = lambda: changes.pop()() if changes else None
    assert test_dispatcher.dispatch(fleet, sender) is ANSWER
    assert sender.targets == ["t1", "t2"]
    assert sender.sent == 1


def test_a_request_that_waited_goes_to_the_new_owner_of_its_key(keyed_fleet):
    """Guards against requests at targets that do not own their keys."""
    sender = test_dispatcher.FakeSender(keyed_fleet, [ANSWER, ANSWER])

    def move_key():
        if keyed_fleet.target.name == "t1":
            keyed_fleet.target = make_target("t2")

    sender.on_connect = move_key
    assert test_dispatcher.dispatch(keyed_fleet, sender) is ANSWER
    assert sender.targets == ["t1", "t2"]
    assert sender.sent == 1


def test_a_request_that_waited_is_not_sent_to_a_lost_owner(keyed_fleet):
    sender = test_dispatcher.FakeSender(keyed_fleet, [ANSWER])

    def lose():
        keyed_fleet.target.record = attrs.evolve(
            keyed_fleet.target.record, lost=True
        )

    sender.on_connect = lose
    with pytest.raises(errors.RefusedError) as refused:
        test_dispatcher.dispatch(keyed_fleet, sender)
    assert results.BY_CODE[refused.value.code].outcome is NOT_RUN
    assert refused.value.retry_after_ms > 0
    assert sender.sent == 0


def test_a_request_without_another_target_is_refused_at_once_as_not_run(
    fleet,
):
    del fleet.targets["t2"]
    sender = test_dispatcher.FakeSender(fleet, [ANSWER])
    sender.on_connect = lambda: fleet.targets.clear()
    with pytest.raises(errors.RefusedError) as refused:
        test_dispatcher.dispatch(fleet, sender)
    assert results.BY_CODE[refused.value.code].outcome is NOT_RUN
    assert refused.value.retry_after_ms > 0
    assert sender.targets == ["t1"]


def restart_before_each_attempt(fleet, sender, turns):
    """Let the only target be another process after each choice."""
    del fleet.targets["t2"]

    def restart():
        if len(sender.targets) <= turns:
            number = len(sender.targets) + 1
            fleet.targets["t1"] = make_target("t1", incarnation=number)

    sender.on_connect = restart


def test_being_turned_away_costs_neither_an_attempt_nor_a_retry(fleet):
    """Guards against callers refused for what waited here, not at targets."""
    sender = test_dispatcher.FakeSender(fleet, [ANSWER] * 7)
    restart_before_each_attempt(fleet, sender, turns=6)
    dispatcher = test_dispatcher.make_dispatcher(fleet, sender)
    dispatcher._budgets = fleet_retries.ServiceRetryBudgets(
        ratio=0.0, slack=0.0, window_s=10.0
    )
    request = test_dispatcher.REQUEST
    answer = asyncio.run(
        dispatcher.dispatch(request, dispatcher.find_route(request))
    )
    assert answer is ANSWER
    assert sender.sent == 1
    # The route allows two attempts.
    assert len(sender.targets) == 7


def test_a_request_is_not_turned_away_for_ever(fleet):
    sender = test_dispatcher.FakeSender(fleet, [ANSWER] * 1000)
    restart_before_each_attempt(fleet, sender, turns=1000)
    with pytest.raises(errors.RefusedError) as refused:
        test_dispatcher.dispatch(fleet, sender)
    assert results.BY_CODE[refused.value.code].outcome is NOT_RUN
    assert refused.value.retry_after_ms > 0
    assert sender.sent == 0


def test_an_earlier_attempt_is_not_hidden_by_being_turned_away(fleet):
    """Guards against a refusal as not run after an attempt that may have."""
    fleet.routes = test_dispatcher.route_table.RouteTable(
        [test_dispatcher.route(test_dispatcher.SAFE)]
    )
    cut = test_dispatcher.failed(fleet_retries.MaybeRun(text="cut"))
    sender = test_dispatcher.FakeSender(fleet, [cut, ANSWER])
    sender.on_connect = lambda: fleet.targets.clear() if sender.sent else None
    with pytest.raises(errors.RefusedError) as refused:
        test_dispatcher.dispatch(fleet, sender)
    assert refused.value.code == results.OUTCOME_UNKNOWN
    assert sender.sent == 1

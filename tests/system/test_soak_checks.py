"""The checks of the soak report each kind of violation."""

from __future__ import annotations

import collections

import pytest
from soak import callers
from soak import checks
from soak import faults


def outcome(**changes):
    result = callers.Outcome("r1", "entry-0", "book", 5, sent_s=10.0)
    result.done_s, result.status = 10.1, 200
    result.signed = result.body_matches = result.written = True
    for name, value in changes.items():
        setattr(result, name, value)
    return result


def ran(*targets):
    runs = collections.defaultdict(list)
    runs["r1"] = [checks.Run(target, 10.05, 5) for target in targets]
    return runs


def nothing_ran():
    return collections.defaultdict(list)


def hold(at_s, until_s, token, first=0, last=99):
    return {
        "kind": "hold",
        "at_s": at_s,
        "until_s": until_s,
        "ranges": [[first, last, token]],
    }


def violation_kinds(
    outcomes,
    runs,
    holds=(),
    exit_times_s=None,
    planned_stops=(),
    fault_spans=(),
):
    lines = checks.check(
        outcomes, runs, holds, exit_times_s or {}, planned_stops, fault_spans
    )
    return [line.partition(":")[0] for line in lines]


def test_an_ordinary_request_is_no_violation():
    assert violation_kinds([outcome()], ran("a")) == []


@pytest.mark.parametrize(
    ("observed", "runs", "expected"),
    [
        (outcome(), ran("a", "b"), ["TWICE"]),
        (outcome(status=503), ran("a"), ["REFUSED"]),
        (outcome(body_matches=False), ran("a"), ["MIXED"]),
        (outcome(signed=False), ran("a"), ["MIXED"]),
        (outcome(), ran(), ["MIXED"]),
        (outcome(request_id="r2", status=504), ran("a"), ["UNASKED"]),
        (outcome(status=None, failure="closed"), ran("a"), ["LOST"]),
    ],
)
def test_each_kind_of_violation_is_found(observed, runs, expected):
    assert (
        violation_kinds(
            [observed], runs, planned_stops=[("entry-0", 9.0, 11.0)]
        )
        == expected
    )


def test_a_cut_near_another_fault_is_not_due_to_the_stop():
    observed = outcome(status=None, failure="closed")
    planned_stops = [("entry-0", 9.0, 11.0)]
    assert (
        violation_kinds(
            [observed],
            ran("a"),
            planned_stops=planned_stops,
            fault_spans=[(8.0, 9.5)],
        )
        == []
    )


def test_two_holders_at_the_same_time_are_found():
    holds = [("a", hold(1.0, 4.0, 7)), ("b", hold(3.9, 6.0, 8))]
    assert violation_kinds([], nothing_ran(), holds) == ["OWNER"]
    assert (
        violation_kinds([], nothing_ran(), holds, exit_times_s={"a": [3.0]})
        == []
    )
    apart = [("a", hold(1.0, 4.0, 7)), ("b", hold(4.1, 6.0, 8))]
    assert violation_kinds([], nothing_ran(), apart) == []
    others = [("a", hold(1.0, 4.0, 7)), ("b", hold(3.0, 6.0, 8, 100, 199))]
    assert violation_kinds([], nothing_ran(), others) == []


def test_an_outdated_item_is_found():
    read = {"book": (3, 5000)}
    assert list(checks.check_items(read, {3: 5000}, 3)) == []
    assert len(list(checks.check_items(read, {3: 5000}, 4))) == 1
    assert len(list(checks.check_items(read, {3: 6000}, 3))) == 1
    assert len(list(checks.check_items(None, {}, 1))) == 1


def test_a_service_that_does_not_recover_is_found():
    good, bad = outcome(), outcome(status=503)
    assert list(checks.check_recovery([good] * 9 + [bad], 5.0)) == []
    assert len(list(checks.check_recovery([good] * 8 + [bad] * 2, 5.0))) == 1
    assert len(list(checks.check_recovery([], 5.0))) == 1


def test_a_seed_gives_the_same_faults_within_what_is_tolerated():
    names = ["control-0", "control-1", "control-2", "entry-0", "target-0"]
    for seed in range(50):
        drawn = faults.draw(seed, 120.0, names, names, 1)
        assert drawn == faults.draw(seed, 120.0, names, names, 1)
        downs = [
            (fault.at_s, fault.at_s + fault.for_s)
            for fault in drawn
            if isinstance(fault, faults.Kill | faults.Stop | faults.Freeze)
            and fault.process.startswith("control-")
        ]
        for at, (start_s, _) in enumerate(downs):
            assert all(end <= start_s for _, end in downs[:at])

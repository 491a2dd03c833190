"""The checks of the soak report each kind of violation."""

from __future__ import annotations

import asyncio
import collections
import signal

import malformed_answers as malformed
import pytest
from soak import callers
from soak import checks
from soak import faults


def outcome(**changes):
    result = callers.Outcome("r1", "entry-0", "book", 5, sent_s=10.0)
    result.done_s, result.status = 10.1, 200
    result.connected_s, result.written_s = 9.9, 10.01
    result.signed = result.body_matches = True
    for name, value in changes.items():
        setattr(result, name, value)
    return result


def ran(*targets):
    runs = collections.defaultdict(list)
    runs["r1"] = [checks.Run(target, 10.05, 5) for target in targets]
    return runs


def nothing_ran():
    return collections.defaultdict(list)


def dropped(*targets):
    drops = {"r1": list(targets)} if targets else {}
    return collections.defaultdict(list, drops)


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
    drops=None,
):
    lines = checks.check(
        outcomes,
        runs,
        drops or dropped(),
        holds,
        exit_times_s or {},
        planned_stops,
        fault_spans,
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


def test_a_drop_of_a_request_that_nobody_sent_is_found():
    unknown = outcome(request_id="r2", status=504)
    assert violation_kinds([unknown], ran(), drops=dropped("a")) == ["UNASKED"]


def test_a_cut_near_another_fault_is_not_due_to_the_stop():
    observed = outcome(status=None, failure="closed")
    planned_stops = [("entry-0", 9.0, 11.0)]
    assert (
        violation_kinds(
            [observed],
            ran("a"),
            planned_stops=planned_stops,
            fault_spans=[checks.FaultSpan("entry-0", 8.0, 9.5)],
        )
        == []
    )


CLOSED = {"status": None, "failure": "closed"}
LATE = {"status": 504, "done_s": 12.6}
# Ended long after the request was written, or while it arrived.
SLOWLY_CLOSED = CLOSED | {"done_s": 10.3}
SILENT = {"status": None, "failure": "silent", "done_s": 23.0}


@pytest.mark.parametrize(
    ("changes", "runs", "drops", "expected"),
    [
        (CLOSED, ran("a"), dropped(), "SILENT"),
        (CLOSED, ran(), dropped("a"), "SILENT"),
        (SLOWLY_CLOSED, ran(), dropped(), "SILENT"),
        (SILENT, ran(), dropped(), "SILENT"),
        (SILENT, ran(), dropped("a"), "SILENT"),
        (LATE, ran(), dropped("a"), "SILENT"),
        (LATE, ran(), dropped(), "SILENT"),
        ({"status": 503}, ran(), dropped("a"), "REFUSED"),
        (CLOSED, ran(), dropped(), None),
        ({"status": 504}, ran("a"), dropped("b"), "TWICE"),
        (CLOSED | {"written_s": None}, ran(), dropped("a"), "SILENT"),
        (SLOWLY_CLOSED | {"written_s": None}, ran(), dropped(), None),
        (SILENT | {"done_s": 0.0}, ran(), dropped("a"), None),
        ({"status": 504, "done_s": 12.4}, ran(), dropped("a"), None),
        (LATE | {"deadline_s": 4.0}, ran(), dropped("a"), None),
        ({"status": 503}, ran(), dropped(), None),
    ],
)
def test_a_request_without_an_answer_in_time_is_found(
    changes, runs, drops, expected
):
    observed = outcome(**changes)
    kinds = [] if expected is None else [expected]
    assert violation_kinds([observed], runs, drops=drops) == kinds
    planned = {"planned_stops": [("entry-0", 9.0, 13.0)]}
    kinds = [kind.replace("SILENT", "LOST") for kind in kinds]
    assert violation_kinds([observed], runs, drops=drops, **planned) == kinds


@pytest.mark.parametrize(
    ("changes", "span", "excused"),
    [
        (CLOSED, ("entry-0", 8.0, 9.5), True),
        # The target's answer may have broken off.
        (CLOSED | {"answer_began": True}, ("a", 10.0, 10.05), True),
        (CLOSED, ("a", 10.0, 10.05), False),
        # Silent for good, on a connection that is older.
        (CLOSED | {"connected_s": 2.0}, ("entry-0", 3.0, 3.0, True), True),
        (CLOSED | {"connected_s": 4.0}, ("entry-0", 3.0, 3.0, True), False),
        (CLOSED | {"connected_s": 2.0}, ("entry-0", 3.0, 3.0), False),
        (CLOSED, ("entry-1", 8.0, 9.5), False),
        (CLOSED | {"answer_began": True}, ("b", 10.0, 10.05), False),
        (CLOSED, ("control-0", 8.0, 11.0), False),
        (CLOSED, ("entry-0", 10.2, 11.0), False),
        # Begins when the answer was due already.
        (SILENT, ("entry-0", 12.6, 15.0), False),
    ],
)
def test_only_a_fault_near_the_hosts_of_a_request_excuses_silence(
    changes, span, excused
):
    kinds = violation_kinds(
        [outcome(**changes)],
        nothing_ran(),
        drops=dropped("a"),
        fault_spans=[checks.FaultSpan(*span)],
    )
    assert kinds == ([] if excused else ["SILENT"])


def test_runs_drops_and_holds_are_read_from_the_log_of_a_target(tmp_path):
    log = tmp_path / "a.log"
    log.write_text(
        'RUN r1\nEVENT {"kind": "run", "at_s": 1.0, "id": "r1", "key": "5"}\n'
        'DROPPED r2\nEVENT {"kind": "drop", "at_s": 2.0, "id": "r2"}\n'
        'EVENT {"kind": "hold", "at_s": 3.0, "until_s": 4.0, "ranges": []}\n'
        'EVENT {"kind": "drop", "at'
    )
    runs, drops, holds = checks.read_events({"a": log})
    assert runs == {"r1": [checks.Run("a", 1.0, 5)]}
    assert drops == {"r2": ["a"]}
    assert [name for name, _ in holds] == ["a"]


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


def test_a_seed_gives_stops_with_each_series_of_signals():
    names = ["control-0", "entry-0", "target-0"]
    others = set()
    for seed in range(200):
        for fault in faults.draw(seed, 120.0, names, names, 1):
            if not isinstance(fault, faults.Stop):
                continue
            numbers = [number for _, number in fault.signals]
            if fault.process != "entry-0":
                assert numbers == [signal.SIGTERM]
                continue
            assert list(fault.signals) == sorted(fault.signals)
            assert fault.signals[-1][0] < faults.STOP_S
            first = numbers.index(signal.SIGTERM)
            others.update((number, "before") for number in numbers[:first])
            others.update(
                (number, "during") for number in numbers[first + 1 :]
            )
            if signal.SIGSTOP in numbers:
                frozen = numbers.index(signal.SIGSTOP)
                assert signal.SIGCONT in numbers[frozen:]
    assert others == {
        (signal.SIGHUP, "before"),
        (signal.SIGTERM, "during"),
        (signal.SIGHUP, "during"),
        (signal.SIGSTOP, "during"),
        (signal.SIGCONT, "during"),
    }


def test_a_seed_gives_the_same_requests_of_all_kinds():
    plans = [callers.draw_plan(1, 2, n, calm=False) for n in range(2000)]
    assert plans == [
        callers.draw_plan(1, 2, n, calm=False) for n in range(2000)
    ]
    assert any(plan.dropped for plan in plans)
    assert any(plan.work_s for plan in plans)
    assert any(len(plan.pieces) > 1 for plan in plans)
    assert {plan.deadline_s for plan in plans} == set(callers.DEADLINES_S)
    assert max(callers.DEADLINES_S) > 6.0
    assert callers.ANSWER_TIMEOUT_S > (
        max(callers.DEADLINES_S) + checks.ANSWER_MARGIN_S
    )
    for n, plan in enumerate(plans):
        calm = callers.draw_plan(1, 2, n, calm=True)
        assert not calm.dropped and calm.work_s is None
        assert calm.request_id == plan.request_id
        assert calm.pieces == (b"".join(plan.pieces),)


@pytest.mark.parametrize("early", [False, True])
def test_a_body_is_written_in_pieces_until_an_early_answer(early):
    body = b"abcd"
    plan = callers.Plan(
        request_id="r1",
        kind="book",
        key=5,
        pieces=(b"ab", b"cd"),
        piece_pause_s=0.2,
        pause_s=0.0,
        work_s=1.0,
        dropped=True,
    )
    heads = []

    async def answer(reader, writer):
        heads.append(await reader.readuntil(b"\r\n\r\n"))
        await reader.readexactly(2 if early else len(body))
        writer.write(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n")
        await reader.read()
        writer.close()

    async def scenario():
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        outcomes = []
        caller = callers.Caller(1, {"entry-0": address}, 1, outcomes)
        await caller.send(plan)
        caller.close()
        server.close()
        return outcomes

    (outcome,) = asyncio.run(scenario())
    assert outcome.status == 503
    assert outcome.answer_began
    assert (outcome.written_s is None) == early
    assert b"Drop-Silently: 1" in heads[0]
    assert b"Work-Seconds: 1.000" in heads[0]
    assert b"Content-Length: 4" in heads[0]


def sighting(version, at_s, *, found, entry="entry-0"):
    return callers.Sighting(entry, version, at_s, at_s + 0.01, found=found)


def versions_checked(sightings, exit_times_s=None, fault_spans=()):
    """Version 2 is sent at 10 s, version 3 at 20 s, confirmed 0.1 s later."""
    return [
        violation.partition(":")[0]
        for violation in checks.check_versions(
            sightings,
            {2: 10.0, 3: 20.0},
            {2: 10.1, 3: 20.1},
            exit_times_s or {},
            fault_spans,
        )
    ]


def test_versions_that_come_in_force_in_time_are_no_violation():
    assert not versions_checked(
        [
            sighting(2, 11.0, found=False),
            sighting(2, 12.5, found=True),
            sighting(2, 21.0, found=True),
            sighting(3, 21.1, found=False),
            sighting(3, 22.0, found=True),
            sighting(2, 22.5, found=False),
        ]
    )


@pytest.mark.parametrize(
    "sightings",
    [
        [sighting(2, 12.5, found=False)],
        [sighting(2, 22.5, found=True)],
        [sighting(3, 20.2, found=True), sighting(2, 20.8, found=True)],
        [sighting(2, 10.3, found=True), sighting(2, 10.8, found=False)],
    ],
)
def test_answers_that_only_an_older_version_allows_are_violations(sightings):
    assert versions_checked(sightings) == ["CONFIG"]


def test_a_host_that_hears_of_nothing_may_serve_but_not_refuse():
    faults = [checks.FaultSpan("control-1", 20.0, 23.0)]
    assert not versions_checked(
        [sighting(2, 22.5, found=True)], fault_spans=faults
    )
    assert versions_checked(
        [sighting(3, 22.5, found=False)], fault_spans=faults
    ) == ["CONFIG"]


def test_a_new_process_may_be_behind_the_one_before():
    sightings = [sighting(3, 20.2, found=True), sighting(2, 20.8, found=True)]
    assert not versions_checked(sightings, {"entry-0": [20.5]})


async def read_answer(raw_answer):
    reader = asyncio.StreamReader()
    reader.feed_data(raw_answer)
    reader.feed_eof()
    return await callers._read_answer(reader)


@pytest.mark.parametrize("raw_answer", malformed.ANSWERS)
def test_callers_of_the_soak_take_no_malformed_answer(raw_answer):
    with pytest.raises((AssertionError, EOFError)):
        asyncio.run(read_answer(raw_answer))


def test_callers_of_the_soak_read_both_framings():
    for raw_answer in (
        malformed.with_length(malformed.LENGTH),
        malformed.with_chunks(b"1c\r\n" + malformed.BODY + b"\r\n0\r\n\r\n"),
    ):
        status, headers, body = asyncio.run(read_answer(raw_answer))
        assert (status, body) == (200, malformed.BODY)
        assert headers["response-signature"] == "t1.sig"

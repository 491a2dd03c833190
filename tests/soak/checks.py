"""Checks of the guarantees, from the records of callers and targets."""

from __future__ import annotations

import collections
import json

import attrs

# Statuses which guarantee that a request has not run and will not run.
NOT_RUN = {408, 421, 429, 503}
# A hold lasts from the sending of the heartbeat, however late its answer is.
# Targets and this process read the same clock, so no tolerance is needed.
HOLD_OVERLAP_S_MAX = 0.0
# Share of the requests sent after the last fault and the recovery time.
SERVED_SHARE_MIN = 0.9
# Another fault so close to a planned stop may cut off a request.
STOP_FAULT_MARGIN_S = 3.0
# Time after a deadline within which an answer is due.
ANSWER_MARGIN_S = 0.5
# A request that is cut later than this after its last byte did not cross the
# close of an idle connection.
CROSSING_S_MAX = 0.2
# Time from the acknowledgement of a change until it binds every host.
IN_FORCE_S = 2.0
# After another answer, a process may still give an older one for so long.
REGRESSION_SLACK_S = 0.25
# Time without faults at a host and its way to control hosts, after which a
# change must be in force there.
CONTACT_S = 3.0
# Time for a process to stop.
GRACE_S = 6.0


@attrs.frozen
class Run:
    """Start of a request at a target."""

    target: str
    at_s: float
    key: int | None


@attrs.frozen
class FaultSpan:
    """Time of a fault at a process or its link.

    A lasting fault goes on for the connections that were open at its end.
    """

    process: str
    from_s: float
    to_s: float
    lasting: bool = False


def read_events(logs):
    """Return runs and drops by request id, and rows of holds.

    A drop is the name of the target that received a request and was told not
    to answer it; a row of holds is a target and its event.

    :param logs: the log file of each target's process
    """
    runs = collections.defaultdict(list)
    drops = collections.defaultdict(list)
    holds = []
    for name, log in logs.items():
        for line in log.read_text(errors="replace").splitlines():
            if not line.startswith("EVENT "):
                continue
            try:
                event = json.loads(line[len("EVENT ") :])
            except ValueError:
                # The process was killed in the middle of a line.
                continue
            if event["kind"] == "run":
                key = event["key"]
                runs[event["id"]].append(
                    Run(name, event["at_s"], None if key is None else int(key))
                )
            elif event["kind"] == "drop":
                drops[event["id"]].append(name)
            elif event["kind"] == "hold":
                holds.append((name, event))
    return runs, drops, holds


def check(
    outcomes, runs, drops, holds, exit_times_s, planned_stops, fault_spans
):
    """Return a line for each violation of a guarantee.

    :param drops: names of targets by the id of the request they dropped
    :param exit_times_s: times at which each process ended, by its name
    :param planned_stops: (entry host, from, to) of planned stops
    :param fault_spans: spans of all other faults
    """
    violations = []
    for outcome in outcomes:
        request_id = outcome.request_id
        ran, dropped = runs[request_id], drops[request_id]
        violations.extend(_check_request(outcome, ran, dropped))
        passed_to = {*(run.target for run in ran), *dropped}
        violations.extend(
            _check_answer(outcome, passed_to, planned_stops, fault_spans)
        )
    violations.extend(_check_unasked(outcomes, {**runs, **drops}))
    violations.extend(_check_owners(holds, exit_times_s))
    return violations


def _check_request(outcome, ran, dropped):
    name = f"{outcome.kind} {outcome.request_id}"
    # An entry host cannot tell a drop from a run without an answer.
    targets = [*(run.target for run in ran), *dropped]
    if outcome.kind != "look" and len(targets) > 1:
        yield f"TWICE: {name} ran at {targets}"
    if outcome.status in NOT_RUN and targets:
        yield f"REFUSED: {name} got {outcome.status} and ran at {targets}"
    if outcome.status == 200:
        if not outcome.signed or not outcome.body_matches:
            yield f"MIXED: {name} got another answer than its own"
        if not ran:
            yield f"MIXED: {name} got an answer and never ran"


def _check_unasked(outcomes, request_ids):
    sent_ids = {outcome.request_id for outcome in outcomes}
    for request_id in request_ids:
        if request_id and request_id not in sent_ids:
            yield f"UNASKED: {request_id} ran and nobody sent it"


def _check_owners(holds, exit_times_s):
    """Return a line for each pair of targets that held a key together."""
    spans = collections.defaultdict(list)
    by_target = collections.defaultdict(list)
    for target, event in holds:
        by_target[target].append(event)
    for target, events in by_target.items():
        for event, following in zip(events, [*events[1:], None], strict=True):
            # A hold ends with the next answer or the exit of the process.
            until_s = event["until_s"]
            if following is not None:
                until_s = min(until_s, following["at_s"])
            exits_s = [
                end
                for end in exit_times_s.get(target, ())
                if end > event["at_s"]
            ]
            until_s = min([until_s, *exits_s])
            if until_s <= event["at_s"]:
                continue
            for first, last, token in event["ranges"]:
                spans[target, token, first, last].append(
                    (event["at_s"], until_s)
                )
    merged = _merge(spans)
    merged.sort(key=lambda span: span[2])
    return _overlaps(merged)


def _merge(spans):
    """Merge adjoining spans to (first, last, from, until, token, target)."""
    merged = []
    for (target, token, first, last), times in spans.items():
        times.sort()
        start_s, end_s = times[0]
        for from_s, until_s in times[1:]:
            if from_s <= end_s + 0.001:
                end_s = max(end_s, until_s)
            else:
                merged.append((first, last, start_s, end_s, token, target))
                start_s, end_s = from_s, until_s
        merged.append((first, last, start_s, end_s, token, target))
    return merged


def _overlaps(merged):
    violations = []
    open_spans = []
    for span in merged:
        first, last, from_s, until_s, token, target = span
        open_spans = [o for o in open_spans if o[3] > from_s]
        for other in open_spans:
            if other[5] == target or other[0] > last or other[1] < first:
                continue
            if min(until_s, other[3]) - from_s > HOLD_OVERLAP_S_MAX:
                violations.append(
                    f"OWNER: {target} with token {token} and {other[5]} with "
                    f"token {other[4]} both hold keys {max(first, other[0])} "
                    f"to {min(last, other[1])} at {from_s:.3f}"
                )
        open_spans.append(span)
    return violations


def _check_answer(outcome, passed_to, planned_stops, fault_spans):
    """Yield a line if a request had no answer in time without a fault.

    A fault at the entry host excuses it. So does one at a target whose answer
    had begun: it may have broken off.

    :param passed_to: names of the targets that received the request
    """
    # A target receives a request only once it has been written whole.
    written = outcome.written_s is not None or passed_to
    if not written or not outcome.done_s:
        return
    due_s = outcome.sent_s + outcome.deadline_s + ANSWER_MARGIN_S
    late = outcome.done_s > due_s
    crossed_close = (
        not passed_to and outcome.done_s <= outcome.written_s + CROSSING_S_MAX
    )
    if not late and (outcome.status is not None or crossed_close):
        return
    names = {outcome.entry, *(passed_to if outcome.answer_began else ())}
    # What happens after an answer was due excuses nothing.
    end_s = min(outcome.done_s, due_s)
    if any(
        span.process in names and _is_near(span, outcome, end_s)
        for span in fault_spans
    ):
        return
    stopped = any(
        entry == outcome.entry and from_s <= end_s <= to_s + 1
        for entry, from_s, to_s in planned_stops
    )
    after_ms = (outcome.done_s - outcome.sent_s) * 1000
    yield (
        f"{'LOST' if stopped else 'SILENT'}: {outcome.kind} "
        f"{outcome.request_id} at {outcome.entry}, passed to "
        f"{sorted(passed_to)}, had {outcome.status or outcome.failure} after "
        f"{after_ms:.0f} ms of {outcome.deadline_s * 1000:.0f}"
        f"{' during a planned stop' if stopped else ''}"
    )


def _is_near(span, outcome, end_s):
    if span.from_s >= end_s:
        return False
    if span.lasting and span.to_s > outcome.connected_s:
        return True
    return span.to_s > outcome.sent_s - STOP_FAULT_MARGIN_S


def check_items(read_items, sent, acknowledged):
    """Yield a line for each item older or other than what was acknowledged."""
    if read_items is None:
        yield "CONFIG: nobody could read the configuration back"
        return
    for name, (version, timeout_ms) in read_items.items():
        if version < acknowledged:
            yield (
                f"CONFIG: {name} has version {version}; {acknowledged} was "
                "acknowledged"
            )
        if version in sent and sent[version] != timeout_ms:
            yield f"CONFIG: {name} {version} is not what was sent"


def check_versions(
    sightings, sent_s, acknowledged_s, exit_times_s, fault_spans
):
    """Yield a line for each answer that only an older version allows.

    A host that cannot hear of a change may serve the routes that it has, but
    must not refuse one as unknown, and none may go back to an older version.

    :param sent_s: times at which versions were sent, by version
    :param acknowledged_s: times at which they were acknowledged
    :param exit_times_s: times at which each process ended, by its name
    """
    seen = {}
    for sighting in sorted(sightings, key=lambda s: s.done_s):
        binding = max(
            (
                version
                for version, at_s in acknowledged_s.items()
                if at_s + IN_FORCE_S < sighting.sent_s
            ),
            default=0,
        )
        possible = [v for v, at_s in sent_s.items() if at_s < sighting.done_s]
        is_newest = sighting.version == max(possible, default=0)
        text = (
            f"CONFIG: {sighting.entry}, at {sighting.sent_s:.3f}: route of "
            f"version {sighting.version} is "
            f"{'in force' if sighting.found else 'unknown'}"
        )
        outdated = sighting.found and sighting.version < binding
        if outdated and not _is_disturbed(sighting, fault_spans):
            yield f"{text}, {binding} was acknowledged"
        if not sighting.found and is_newest and sighting.version <= binding:
            yield f"{text}, it was acknowledged"
        lifetime = sum(
            end_s < sighting.sent_s
            for end_s in exit_times_s.get(sighting.entry, ())
        )
        known = seen.setdefault((sighting.entry, lifetime), (0, 0.0))
        if sighting.sent_s > known[1] + REGRESSION_SLACK_S and (
            (sighting.found and sighting.version < known[0])
            or (
                not sighting.found
                and is_newest
                and sighting.version == known[0]
            )
        ):
            yield f"{text}, {known[0]} was in force there before"
        if sighting.found and sighting.version > known[0]:
            seen[sighting.entry, lifetime] = sighting.version, sighting.done_s


def _is_disturbed(sighting, fault_spans):
    """Whether the host may not have heard of a change, for a fault."""
    return any(
        (span.process == sighting.entry or "control" in span.process)
        and span.from_s < sighting.done_s
        and (span.lasting or span.to_s > sighting.sent_s - CONTACT_S)
        for span in fault_spans
    )


def check_recovery(outcomes, from_s):
    """Yield a line when too few requests are served after all faults."""
    late = [o for o in outcomes if o.sent_s >= from_s and o.done_s]
    served = sum(outcome.status == 200 for outcome in late)
    if not late or served < SERVED_SHARE_MIN * len(late):
        yield f"RECOVER: {served} of {len(late)} requests served at the end"

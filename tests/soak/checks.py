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
# Time for a process to stop.
GRACE_S = 6.0


@attrs.frozen
class Run:
    """Start of a request at a target."""

    target: str
    at_s: float
    key: int | None


def read_events(logs):
    """Return runs by request id, and holds as (target, event) rows.

    :param logs: the log file of each target's process
    """
    runs = collections.defaultdict(list)
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
            elif event["kind"] == "hold":
                holds.append((name, event))
    return runs, holds


def check(outcomes, runs, holds, exit_times_s, planned_stops, fault_spans):
    """Return a line for each violation of a guarantee.

    :param exit_times_s: times at which each process ended, by its name
    :param planned_stops: (entry host, from, to) of planned stops
    :param fault_spans: (from, to) of all other faults
    """
    violations = []
    for outcome in outcomes:
        violations.extend(_check_request(outcome, runs[outcome.request_id]))
    violations.extend(_check_unasked(outcomes, runs))
    violations.extend(_check_owners(holds, exit_times_s))
    violations.extend(_check_stops(outcomes, runs, planned_stops, fault_spans))
    return violations


def _check_request(outcome, ran):
    name = f"{outcome.kind} {outcome.request_id}"
    if outcome.kind != "look" and len(ran) > 1:
        yield f"TWICE: {name} ran at {[run.target for run in ran]}"
    if outcome.status in NOT_RUN and ran:
        yield f"REFUSED: {name} got {outcome.status} and ran at {ran}"
    if outcome.status == 200:
        if not outcome.signed or not outcome.body_matches:
            yield f"MIXED: {name} got another answer than its own"
        if not ran:
            yield f"MIXED: {name} got an answer and never ran"


def _check_unasked(outcomes, runs):
    sent_ids = {outcome.request_id for outcome in outcomes}
    for request_id in runs:
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


def _check_stops(outcomes, runs, planned_stops, fault_spans):
    """Yield a line for each request that ran and that a planned stop cut."""
    for outcome in outcomes:
        if outcome.status is not None or not runs[outcome.request_id]:
            continue
        for entry, from_s, to_s in planned_stops:
            if outcome.entry != entry or not (
                from_s <= outcome.done_s <= to_s + 1
            ):
                continue
            undisturbed = not any(
                start < outcome.done_s
                and end > outcome.sent_s - STOP_FAULT_MARGIN_S
                for start, end in fault_spans
            )
            if undisturbed:
                yield (
                    f"LOST: {outcome.kind} {outcome.request_id} was cut by "
                    f"the stop of {entry}: {outcome.failure}"
                )


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


def check_recovery(outcomes, from_s):
    """Yield a line when too few requests are served after all faults."""
    late = [o for o in outcomes if o.sent_s >= from_s and o.done_s]
    served = sum(outcome.status == 200 for outcome in late)
    if not late or served < SERVED_SHARE_MIN * len(late):
        yield f"RECOVER: {served} of {len(late)} requests served at the end"

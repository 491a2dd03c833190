"""Measurements of entry hosts, accumulated between reports to the leader."""

from __future__ import annotations

import collections
import typing as ty

import attrs

from goldcrestproxy.control import broken_runs
from goldcrestproxy.control import clock as clocks
from goldcrestproxy.routing import target_choice
from goldcrestproxy import wire

# Broken runs per report; a larger number indicates a network failure.
BROKEN_RUNS_MAX: ty.Final = 50
REPORTED_REST_MS_MAX: ty.Final = 3_600_000


@attrs.define
class _LimitReport:
    """The latest limit of a target and the requests that callers had."""

    limit_per_s: float | None = None
    withdrawn: bool = False
    offered_requests: int = 0


class Observations:
    """Count requests per key block and processing time per target."""

    def __init__(self, clock: clocks.Clock = clocks.monotonic) -> None:
        """Create an empty accumulator.

        :param clock: monotonic time in seconds
        """
        self._clock = clock
        # Runs that were reported, with the time of the report.
        self._reported_runs: collections.deque[
            tuple[float, wire.ttypes.BrokenRun]
        ] = collections.deque(maxlen=BROKEN_RUNS_MAX)
        self._blocks: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._work: dict[tuple[str, int], tuple[float, int]] = {}
        self._broken_runs: list[wire.ttypes.BrokenRun] = []
        self._cleared: set[str] = set()
        self._limits: dict[tuple[str, int], _LimitReport] = {}
        self._rests_ms: dict[tuple[str, int], float] = {}
        self._leaving: set[tuple[str, int]] = set()
        # Those that were reported, with the time of the report.
        self._reported_leaving: dict[tuple[str, int], float] = {}

    def count_request(self, service: str, block: int) -> None:
        """Count a request for a key in a block."""
        self._blocks[service, block] += 1

    def record_answer(
        self,
        target: str,
        incarnation: int,
        duration_ms: float,
        load: target_choice.LoadReport | None,
    ) -> None:
        """Record the processing time of an answer, excluding queueing.

        With ``w`` requests queued for ``c`` slots, a request takes about
        ``1 + w / c`` times its processing time. Answers without a load
        report are not counted.
        """
        if load is None:
            return
        work_ms = duration_ms / (1 + load.waiting / load.slots)
        self._add_work((target, incarnation), work_ms, 1)

    def record_broken_run(
        self, target: str, incarnation: int, fingerprint: str
    ) -> None:
        """Record that a connection broke while a request may have run."""
        if len(self._broken_runs) < BROKEN_RUNS_MAX:
            self._broken_runs.append(
                wire.ttypes.BrokenRun(
                    fingerprint=fingerprint,
                    target=target,
                    incarnation=incarnation,
                )
            )

    def record_limit(
        self, target: str, incarnation: int, limit_per_s: float | None
    ) -> None:
        """Record the limit that an answer of a target named, if any."""
        report = self._limit_report(target, incarnation)
        report.limit_per_s = limit_per_s
        report.withdrawn = limit_per_s is None

    def count_offered(
        self, target: str, incarnation: int, requests: int = 1
    ) -> None:
        """Count requests that callers have for a target with a limit."""
        report = self._limit_report(target, incarnation)
        report.offered_requests += requests

    def _limit_report(self, target: str, incarnation: int) -> _LimitReport:
        return self._limits.setdefault((target, incarnation), _LimitReport())

    def record_cleared(self, fingerprint: str) -> None:
        """Record that a target has answered a request under suspicion."""
        self._cleared.add(fingerprint)

    def record_rest(
        self, target: str, incarnation: int, rest_ms: float
    ) -> None:
        """Record that a target wants no requests from a host for a time."""
        key = target, incarnation
        self._rests_ms[key] = max(rest_ms, self._rests_ms.get(key, 0.0))

    def record_leaving(self, target: str, incarnation: int) -> None:
        """Record that a target's answer said that it leaves."""
        self._leaving.add((target, incarnation))

    def merge(self, request: wire.ttypes.WatchRequest) -> None:
        """Add the measurements reported by another host."""
        for observation in request.observations or ():
            self._add_work(
                (observation.target, observation.incarnation),
                observation.work_ms,
                observation.answers,
            )
        for block in request.blocks or ():
            self._blocks[block.service_name, block.first_key] += block.requests
        self._broken_runs.extend(request.broken or ())
        self._cleared.update(request.cleared or ())
        self._merge_leaving(request)
        for rest in request.rests or ():
            self.record_rest(rest.target, rest.incarnation, rest.rest_ms)
        for limit in request.limits or ():
            if limit.limit_per_s is not None or limit.withdrawn:
                self.record_limit(
                    limit.target, limit.incarnation, limit.limit_per_s
                )
            self.count_offered(
                limit.target, limit.incarnation, limit.offered_requests or 0
            )

    def restore_runs(self, request: wire.ttypes.WatchRequest) -> None:
        """Keep the runs of a report that may not have arrived.

        Its counts are dropped: later they would look like a burst.
        """
        free = max(0, BROKEN_RUNS_MAX - len(self._broken_runs))
        self._broken_runs.extend((request.broken or ())[:free])
        self._cleared.update(request.cleared or ())
        self._merge_leaving(request)

    def _merge_leaving(self, request: wire.ttypes.WatchRequest) -> None:
        for process in request.leaving or ():
            self.record_leaving(process.target, process.incarnation)

    def repeat_runs(self) -> None:
        """Report recent broken runs and leaving targets to another host.

        They are lost with the host that had them.
        """
        since_s = self._clock() - broken_runs.REPORT_RETENTION_S
        self._broken_runs.extend(
            run for at_s, run in self._reported_runs if at_s >= since_s
        )
        self._reported_runs.clear()
        self._leaving.update(
            process
            for process, at_s in self._reported_leaving.items()
            if at_s >= since_s
        )
        self._reported_leaving.clear()

    def _add_work(
        self, key: tuple[str, int], work_ms: float, answers: int
    ) -> None:
        total_ms, counted = self._work.get(key, (0.0, 0))
        self._work[key] = (total_ms + work_ms, counted + answers)

    def flush_into(self, request: wire.ttypes.WatchRequest) -> None:
        """Move the accumulated measurements into a report."""
        request.observations = [
            wire.ttypes.TargetObservation(
                target=target,
                incarnation=incarnation,
                answers=answers,
                work_ms=work_ms,
            )
            for (target, incarnation), (work_ms, answers) in (
                self._work.items()
            )
        ]
        request.blocks = [
            wire.ttypes.BlockCount(
                service_name=service, first_key=block, requests=requests
            )
            for (service, block), requests in self._blocks.items()
        ]
        request.broken = self._broken_runs
        now_s = self._clock()
        self._reported_runs.extend((now_s, run) for run in self._broken_runs)
        self._broken_runs = []
        request.limits = [
            wire.ttypes.TargetLimit(
                target=target,
                incarnation=incarnation,
                limit_per_s=report.limit_per_s,
                withdrawn=report.withdrawn,
                offered_requests=report.offered_requests,
            )
            for (target, incarnation), report in self._limits.items()
        ]
        self._limits = {}
        request.rests = [
            wire.ttypes.TargetRest(
                target=target,
                incarnation=incarnation,
                rest_ms=int(min(rest_ms, REPORTED_REST_MS_MAX)),
            )
            for (target, incarnation), rest_ms in self._rests_ms.items()
        ]
        self._rests_ms = {}
        request.leaving = [
            wire.ttypes.TargetProcess(target=target, incarnation=incarnation)
            for target, incarnation in sorted(self._leaving)
        ]
        self._reported_leaving.update(dict.fromkeys(self._leaving, now_s))
        self._leaving = set()
        request.cleared = sorted(self._cleared)
        self._cleared = set()
        self._blocks.clear()
        self._work.clear()

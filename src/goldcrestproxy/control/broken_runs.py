"""Attribution of target crashes to the requests that were running.

Entry hosts report each connection that broke off while a request may have
run. Only some of these breaks are crashes: the leader detects a crash when
the target stops sending heartbeats or restarts, and then looks up the
reports.
"""

from __future__ import annotations

import typing as ty

import attrs

# A crash is detected at the target's restart or by missed heartbeats, both
# within this time.
REPORT_RETENTION_S: ty.Final = 8.0
# Requests that broke off are not known to have run, so one more crash is
# required than where a coordinator records which requests were running.
CRASHES_TO_QUARANTINE: ty.Final = 3
# Maximum reports kept per target incarnation; the oldest are evicted first.
REPORTS_PER_TARGET_MAX: ty.Final = 200


@attrs.frozen
class _Report:
    fingerprint: str
    reported_s: float


class BrokenRuns:
    """Reports of broken runs, kept until they expire or the target crashes."""

    def __init__(self) -> None:
        """Create an empty store."""
        self._reports: dict[tuple[str, int], list[_Report]] = {}
        # When a crash was detected, by target and incarnation. A target may
        # start again before all reports of its crash have arrived.
        self._crashed_s: dict[tuple[str, int], float] = {}

    def record(
        self, target: str, incarnation: int, fingerprint: str, now_s: float
    ) -> None:
        """Record that a request may have run when its connection broke."""
        reports = self._reports.setdefault((target, incarnation), [])
        reports.append(_Report(fingerprint, now_s))
        del reports[:-REPORTS_PER_TARGET_MAX]

    def record_crash(
        self, target: str, incarnation: int, now_s: float
    ) -> None:
        """Record that a target has crashed."""
        self._crashed_s[target, incarnation] = now_s

    def pop_crashes(
        self, now_s: float
    ) -> dict[tuple[str, int], tuple[str, ...]]:
        """Remove and return the requests that may have crashed targets.

        :return: distinct fingerprints of unexpired reports, sorted, by target
            and incarnation
        """
        return {
            crashed: self._pop_fingerprints(*crashed, now_s)
            for crashed in self._crashed_s
            if crashed in self._reports
        }

    def _pop_fingerprints(
        self, target: str, incarnation: int, now_s: float
    ) -> tuple[str, ...]:
        reports = self._reports.pop((target, incarnation), [])
        return tuple(
            sorted(
                {
                    report.fingerprint
                    for report in reports
                    if now_s - report.reported_s <= REPORT_RETENTION_S
                }
            )
        )

    def evict_expired(self, now_s: float) -> None:
        """Evict old crashes, and reports without a recent broken run."""
        for key, crashed_s in list(self._crashed_s.items()):
            if now_s - crashed_s > REPORT_RETENTION_S:
                del self._crashed_s[key]
        for key, reports in list(self._reports.items()):
            if now_s - reports[-1].reported_s > REPORT_RETENTION_S:
                del self._reports[key]

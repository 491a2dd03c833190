"""Which requests were running when targets of the registry crashed.

Entry hosts report each connection that broke off while a request may have
run. Only some of these breaks are crashes: the leader learns of a crash when
the target falls silent or starts anew, and then looks back at the reports.
"""

from __future__ import annotations

import typing as ty

import attrs

# A crashed target is noticed at its next start or after its missed
# heartbeats, both within this time.
REPORT_RETENTION_S: ty.Final = 8.0
# Requests are told apart by path and caller only, so that one more crash is
# asked for than where a coordinator knows what was running.
CRASHES_TO_QUARANTINE: ty.Final = 3
# Reports that are kept for one target, the newest.
REPORTS_PER_TARGET_MAX: ty.Final = 200


@attrs.frozen
class _Report:
    fingerprint: str
    reported_s: float


class BrokenRuns:
    """Reports of broken runs, until a crash of the target explains them."""

    def __init__(self) -> None:
        """Start without reports."""
        self._reports: dict[tuple[str, int], list[_Report]] = {}

    def record(
        self, target: str, incarnation: int, fingerprint: str, now_s: float
    ) -> None:
        """Note that a run of a request may have ended with its target."""
        reports = self._reports.setdefault((target, incarnation), [])
        reports.append(_Report(fingerprint, now_s))
        del reports[:-REPORTS_PER_TARGET_MAX]

    def pop_fingerprints(
        self, target: str, incarnation: int, now_s: float
    ) -> tuple[str, ...]:
        """Return the requests that a target may have crashed of, once."""
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
        """Drop reports that no crash has explained."""
        for key, reports in list(self._reports.items()):
            if now_s - reports[-1].reported_s > REPORT_RETENTION_S:
                del self._reports[key]

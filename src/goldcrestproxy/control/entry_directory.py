"""Entry hosts that send requests on behalf of others."""

from __future__ import annotations

import math
import random
import typing as ty

import attrs

from goldcrestproxy.control import clock as clocks
from goldcrestproxy import wire

# Covers two lost reports of a host in a fleet of a hundred.
REPORT_AGE_S_MAX: ty.Final = 3.0
# Hosts that an entry host is told of with each answer.
NEIGHBOURS_MAX: ty.Final = 6
# Hosts that control hosts tell each other of with each report.
EXCHANGED_MAX: ty.Final = 32


@attrs.frozen(kw_only=True)
class _Report:
    """Latest report of an entry host, and when that host sent it."""

    host: str
    zone: str
    address: str
    peer_port: int
    takes_requests: bool
    sent_s: float
    fed_here: bool


class EntryDirectory:
    """Latest reports of entry hosts, whichever control host received them.

    A control host has one. Reports that say that a host takes no requests are
    exchanged too, since other control hosts may have an older one.
    """

    def __init__(
        self,
        clock: clocks.Clock = clocks.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        """Create an empty directory.

        :param clock: monotonic time in seconds
        """
        self._clock = clock
        self._rng = rng or random.Random()
        self._reports: dict[str, _Report] = {}

    def record(self, request: wire.ttypes.WatchRequest) -> None:
        """Record the report of an entry host that is fed here."""
        self._add(
            _Report(
                host=request.host,
                zone=request.zone,
                address=request.address or "",
                peer_port=request.peer_port or 0,
                takes_requests=bool(request.takes_requests),
                sent_s=self._clock(),
                fed_here=True,
            )
        )

    def merge(self, hosts: ty.Iterable[wire.ttypes.EntryHost] | None) -> None:
        """Add the reports that another control host has."""
        now_s = self._clock()
        for host in hosts or ():
            self._add(
                _Report(
                    host=host.host,
                    zone=host.zone,
                    address=host.address,
                    peer_port=host.peer_port,
                    takes_requests=host.takes_requests,
                    sent_s=now_s - host.age_ms / 1000,
                    fed_here=False,
                )
            )

    def fed(self) -> list[wire.ttypes.EntryHost]:
        """Return reports of hosts that are fed here, for the leader."""
        return self._sample(
            [report for report in self._recent() if report.fed_here],
            EXCHANGED_MAX,
        )

    def known(self) -> list[wire.ttypes.EntryHost]:
        """Return all reports, for a follower."""
        return self._sample(self._recent(), EXCHANGED_MAX)

    def neighbours(
        self, request: wire.ttypes.WatchRequest
    ) -> list[wire.ttypes.EntryHost]:
        """Return hosts for an entry host, half of them in its zone."""
        others = [
            report
            for report in self._recent()
            if report.takes_requests and report.host != request.host
        ]
        near = [report for report in others if report.zone == request.zone]
        chosen = self._sample(near, NEIGHBOURS_MAX // 2)
        names = {host.host for host in chosen}
        others = [report for report in others if report.host not in names]
        return chosen + self._sample(others, NEIGHBOURS_MAX - len(chosen))

    def _add(self, report: _Report) -> None:
        previous = self._reports.get(report.host)
        if previous is None or report.sent_s >= previous.sent_s:
            self._reports[report.host] = report

    def _recent(self) -> list[_Report]:
        since_s = self._clock() - REPORT_AGE_S_MAX
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if report.sent_s > since_s
        }
        return list(self._reports.values())

    def _sample(
        self, reports: list[_Report], count: int
    ) -> list[wire.ttypes.EntryHost]:
        now_s = self._clock()
        return [
            wire.ttypes.EntryHost(
                host=report.host,
                zone=report.zone,
                address=report.address,
                peer_port=report.peer_port,
                takes_requests=report.takes_requests,
                age_ms=math.ceil((now_s - report.sent_s) * 1000),
            )
            for report in self._rng.sample(reports, min(count, len(reports)))
        ]

"""Entry hosts that send requests on behalf of others."""

from __future__ import annotations

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
class _Entry:
    host: wire.ttypes.EntryHost
    heard_s: float


class EntryDirectory:
    """Entry hosts that reach targets, by their latest reports.

    Each control host has one. It knows the hosts that it feeds, and a sample
    of those that the leader knows.
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
        self._fed: dict[str, _Entry] = {}
        self._heard_of: dict[str, _Entry] = {}

    def record(self, request: wire.ttypes.WatchRequest) -> None:
        """Record the report of an entry host that is fed here."""
        if not request.takes_requests or not request.address:
            self._fed.pop(request.host, None)
            self._heard_of.pop(request.host, None)
            return
        self._fed[request.host] = _Entry(
            host=wire.ttypes.EntryHost(
                host=request.host,
                zone=request.zone,
                address=request.address,
                peer_port=request.peer_port,
            ),
            heard_s=self._clock(),
        )

    def merge(self, hosts: ty.Iterable[wire.ttypes.EntryHost] | None) -> None:
        """Add hosts that another control host knows."""
        now_s = self._clock()
        for host in hosts or ():
            if host.host not in self._fed:
                self._heard_of[host.host] = _Entry(host=host, heard_s=now_s)

    def fed(self) -> list[wire.ttypes.EntryHost]:
        """Return hosts that are fed here, for the leader."""
        return self._sample(self._recent(self._fed), EXCHANGED_MAX)

    def known(self) -> list[wire.ttypes.EntryHost]:
        """Return hosts that are known here, for a follower."""
        known = {**self._recent(self._heard_of), **self._recent(self._fed)}
        return self._sample(known, EXCHANGED_MAX)

    def neighbours(
        self, request: wire.ttypes.WatchRequest
    ) -> list[wire.ttypes.EntryHost]:
        """Return hosts for an entry host, half of them in its zone."""
        known = {**self._recent(self._heard_of), **self._recent(self._fed)}
        known.pop(request.host, None)
        same_zone = {
            name: host
            for name, host in known.items()
            if host.zone == request.zone
        }
        chosen = self._sample(same_zone, NEIGHBOURS_MAX // 2)
        for host in chosen:
            del known[host.host]
        return chosen + self._sample(known, NEIGHBOURS_MAX - len(chosen))

    def _recent(
        self, entries: dict[str, _Entry]
    ) -> dict[str, wire.ttypes.EntryHost]:
        since_s = self._clock() - REPORT_AGE_S_MAX
        for name, entry in list(entries.items()):
            if entry.heard_s < since_s:
                del entries[name]
        return {name: entry.host for name, entry in entries.items()}

    def _sample(
        self, hosts: dict[str, wire.ttypes.EntryHost], count: int
    ) -> list[wire.ttypes.EntryHost]:
        names = self._rng.sample(sorted(hosts), min(count, len(hosts)))
        return [hosts[name] for name in names]

"""Quarantine of requests that crash targets."""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy.control import commands
from goldcrestproxy.control import outcomes
from goldcrestproxy.control import records

RECORDS_MAX: ty.Final = 10_000
CRASH_RETENTION_S: ty.Final = 3600.0


@attrs.define(kw_only=True)
class QuarantineState:
    """Crashes by the fingerprints of the requests that were in flight."""

    crashes: dict[str, records.CrashRecord] = attrs.field(factory=dict)

    def is_quarantined(self, fingerprint: str | None) -> bool:
        """Whether requests with this fingerprint must be refused.

        None is that of a request whose body is not identified.
        """
        if fingerprint is None:
            return False
        record = self.crashes.get(fingerprint)
        return record is not None and record.quarantined

    def last_crashes_s(self) -> dict[str, float]:
        """Return when each quarantined fingerprint last crashed a target.

        :return: seconds since the epoch, by fingerprint
        """
        return {
            fingerprint: record.time_s
            for fingerprint, record in self.crashes.items()
            if record.quarantined
        }

    def apply(
        self, command: commands.ReportCrash | commands.ReleaseQuarantine
    ) -> outcomes.Outcome:
        """Apply a command and return its outcome."""
        match command:
            case commands.ReportCrash():
                self._evict_expired(command.time_s)
                crash = f"{command.target}/{command.incarnation}"
                for fingerprint in command.fingerprints:
                    self._record_crash(fingerprint, crash, command)
            case commands.ReleaseQuarantine():
                self.crashes.pop(command.fingerprint, None)
        return outcomes.Done()

    def _record_crash(
        self, fingerprint: str, crash: str, command: commands.ReportCrash
    ) -> None:
        record = self.crashes.setdefault(fingerprint, records.CrashRecord())
        record.time_s = command.time_s
        if crash not in record.crashes:
            record.crashes.append(crash)
        if len(record.crashes) >= command.crashes_needed:
            record.quarantined = True

    def _evict_expired(self, now_s: float) -> None:
        old = [
            fingerprint
            for fingerprint, record in self.crashes.items()
            if record.time_s < now_s - CRASH_RETENTION_S
        ]
        surplus = max(0, len(self.crashes) - len(old) - RECORDS_MAX)
        by_age = sorted(self.crashes, key=lambda f: self.crashes[f].time_s)
        for fingerprint in {*old, *by_age[:surplus]}:
            del self.crashes[fingerprint]

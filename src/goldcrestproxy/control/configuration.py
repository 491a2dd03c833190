"""Compare-and-swap changes of the replicated configuration."""

from __future__ import annotations

import hashlib
import typing as ty

import attrs

from goldcrestproxy.control import commands
from goldcrestproxy.control import outcomes
from goldcrestproxy.control import records
from goldcrestproxy import results

HISTORY_CHANGES_MAX: ty.Final = 1000

ConfigurationChange = (
    commands.ApplyConfiguration | commands.ChangeZone | commands.DrainTarget
)


@attrs.define(kw_only=True)
class ConfigurationState:
    """The current configuration and the history of its changes.

    ``revision`` counts the accepted changes. The history is limited to the
    newest HISTORY_CHANGES_MAX changes.
    """

    revision: int = 0
    document: str = ""
    zones_out: list[str] = attrs.field(factory=list)
    history: list[records.ChangeRecord] = attrs.field(factory=list)

    def accept(
        self, change: ConfigurationChange, summary: str
    ) -> outcomes.Outcome | None:
        """Validate a change and record it in the history.

        A change id that was accepted before returns its first outcome.

        :param summary: description of the change for the history
        :return: None if the change is accepted and must be applied now, else
            its outcome
        """
        digest = _digest(change)
        for record in reversed(self.history):
            if record.change_id == change.change_id:
                return self._repeat_outcome(record, digest)
        if change.expected_revision != self.revision:
            return outcomes.Refused(
                code=results.REVISION_CONFLICT,
                text=(
                    f"revision {change.expected_revision} was expected, "
                    f"{self.revision} is in force"
                ),
                revision=self.revision,
            )
        self.revision += 1
        self.history.append(
            records.ChangeRecord(
                revision=self.revision,
                change_id=change.change_id,
                operator=change.operator,
                time_s=change.time_s,
                summary=summary,
                digest=digest,
            )
        )
        del self.history[:-HISTORY_CHANGES_MAX]
        return None

    def _repeat_outcome(
        self, record: records.ChangeRecord, digest: str
    ) -> outcomes.Outcome:
        if record.digest == digest:
            return outcomes.Changed(revision=record.revision)
        return outcomes.Refused(
            code=results.CHANGE_ID_REUSED,
            text=(
                f"change id {record.change_id!r} belongs to revision "
                f"{record.revision}, which changed something else"
            ),
            revision=self.revision,
        )


def _digest(change: ConfigurationChange) -> str:
    """Return a digest of a change's effect, without its operator or time."""
    match change:
        case commands.ApplyConfiguration():
            text = f"apply {change.expected_revision} {change.document}"
        case commands.ChangeZone():
            text = f"zone {change.zone} {change.out}"
        case commands.DrainTarget():
            text = f"target {change.target} {change.leaving}"
    return hashlib.sha256(text.encode()).hexdigest()

"""Claims of idempotency keys in the replicated state.

A claim ensures that at most one attempt of a request runs at a time.
"""

from __future__ import annotations

import attrs

from goldcrestproxy.control import commands
from goldcrestproxy.control import outcomes
from goldcrestproxy.control import records
from goldcrestproxy import results


@attrs.define(kw_only=True)
class ClaimState:
    """All claims, by customer and idempotency key."""

    claims: dict[str, records.ClaimRecord] = attrs.field(factory=dict)

    def apply(
        self,
        command: (
            commands.Claim | commands.SettleClaim | commands.ForgetClaims
        ),
    ) -> outcomes.Outcome:
        """Apply a command and return its outcome."""
        match command:
            case commands.Claim():
                return self._claim(command)
            case commands.SettleClaim():
                return self._settle(command)
            case commands.ForgetClaims():
                return self._evict_settled(command.before_s)

    def unsettled(self) -> list[records.ClaimRecord]:
        """Return the claims without a recorded answer."""
        return [r for r in self.claims.values() if r.answer is None]

    def end_session(self, session: str) -> None:
        """Settle the running claims of an ended session as unknown."""
        for record in self.claims.values():
            if record.session == session and record.answer is None:
                record.answer = commands.Answer(code=results.OUTCOME_UNKNOWN)

    def _claim(self, command: commands.Claim) -> outcomes.Outcome:
        name = _claim_key(command.customer, command.idempotency_key)
        existing = self.claims.get(name)
        if existing is None:
            self.claims[name] = records.ClaimRecord(
                fingerprint=command.fingerprint,
                request_id=command.request_id,
                claim_id=command.claim_id,
                host=command.host,
                session=command.session,
                time_s=command.time_s,
                earlier_fingerprint=command.earlier_fingerprint,
            )
            return outcomes.Claimed()
        # A proposal whose outcome was lost may be proposed again.
        if existing.claim_id == command.claim_id and existing.answer is None:
            return outcomes.Claimed()
        return outcomes.AlreadyClaimed(
            request_id=existing.request_id,
            answer=existing.answer,
            same_request=existing.is_same_request(command),
        )

    def _settle(self, command: commands.SettleClaim) -> outcomes.Outcome:
        name = _claim_key(command.customer, command.idempotency_key)
        existing = self.claims.get(name)
        if existing is None or existing.claim_id != command.claim_id:
            return outcomes.Done()
        if command.not_run and existing.answer is None:
            del self.claims[name]
        elif existing.answer is None or (
            existing.answer.code == results.OUTCOME_UNKNOWN
        ):
            existing.answer = command.answer
        return outcomes.Done()

    def _evict_settled(self, before_s: float) -> outcomes.Outcome:
        old = [
            name
            for name, record in self.claims.items()
            if record.answer is not None and record.time_s < before_s
        ]
        for name in old:
            del self.claims[name]
        return outcomes.Done()


def _claim_key(customer: str, idempotency_key: str) -> str:
    return f"{customer}/{idempotency_key}"

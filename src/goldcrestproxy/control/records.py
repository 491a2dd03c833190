"""Records stored in the replicated state."""

from __future__ import annotations

import attrs

from goldcrestproxy.control import commands
from goldcrestproxy.routing import partitions


@attrs.define(kw_only=True)
class TargetRecord:
    """A target's announcement and its coordinator.

    ``epoch`` is the log index of the coordinator's assignment.
    """

    target: str
    incarnation: str
    zone: str
    desk: str
    address: str
    slots: int
    supports: commands.Supports
    leaving: bool = False
    drained: bool = False
    reachable: bool = True
    host: str = ""
    session: str = ""
    peer_address: str = ""
    peer_port: int = 0
    epoch: int = 0
    warm: bool = False
    revoking: bool = False

    @property
    def coordinated(self) -> bool:
        """Whether the target has a coordinator."""
        return bool(self.session)

    def clear_coordinator(self) -> None:
        """Remove the coordinator; its address and epoch remain."""
        self.host = ""
        self.session = ""
        self.revoking = False


@attrs.define
class SlotRecord:
    """Ownership of a partition or hot key; free if ``owner`` is empty."""

    owner: str = ""
    token: int = 0
    revoking: bool = False

    def free(self) -> None:
        """Remove the owner; the token remains, so that tokens only grow."""
        self.owner = ""
        self.revoking = False


@attrs.define(kw_only=True)
class DeskRecord:
    """The partitions of a keyed desk and the hot keys split out of them."""

    partitions: list[SlotRecord]
    hot_keys: dict[int, SlotRecord] = attrs.field(factory=dict)
    # Cache of the partitions' slots.
    _names: list[commands.Slot] = attrs.field(
        factory=list, init=False, eq=False
    )

    def slot(self, slot: commands.Slot) -> SlotRecord | None:
        """Return a slot's record, None if the slot does not exist."""
        if slot.hot:
            return self.hot_keys.get(slot.number)
        if 0 <= slot.number < len(self.partitions):
            return self.partitions[slot.number]
        return None

    def parent(self, key_hash: int) -> SlotRecord:
        """Return the record of the partition that contains a key."""
        number = partitions.partition_of(key_hash, len(self.partitions))
        return self.partitions[number]

    def slot_of(self, key_hash: int) -> commands.Slot:
        """Return the slot that currently contains a key."""
        if key_hash in self.hot_keys:
            return commands.Slot(number=key_hash, hot=True)
        number = partitions.partition_of(key_hash, len(self.partitions))
        return commands.Slot(number=number)

    def slots(self) -> list[tuple[commands.Slot, SlotRecord]]:
        """Return all slots with their records, hot keys last."""
        if len(self._names) != len(self.partitions):
            self._names = [
                commands.Slot(number=number)
                for number in range(len(self.partitions))
            ]
        pairs = list(zip(self._names, self.partitions, strict=True))
        pairs.extend(
            (commands.Slot(number=number, hot=True), record)
            for number, record in self.hot_keys.items()
        )
        return pairs


@attrs.define(kw_only=True)
class ChangeRecord:
    """An accepted configuration change in the history."""

    revision: int
    change_id: str
    operator: str
    time_s: float
    summary: str
    digest: str


@attrs.define(kw_only=True)
class ClaimRecord:
    """A claimed idempotency key; running while ``answer`` is None."""

    fingerprint: str
    request_id: str
    claim_id: str
    host: str
    session: str
    time_s: float
    answer: commands.Answer | None = None
    # See ``commands.Claim``.
    earlier_fingerprint: str = ""

    def is_same_request(self, claim: commands.Claim) -> bool:
        """Whether a claim is for the request that holds this one."""
        return (
            claim.fingerprint in (self.fingerprint, self.earlier_fingerprint)
            or claim.earlier_fingerprint == self.fingerprint
        )


@attrs.define(kw_only=True)
class CrashRecord:
    """Target crashes during which a fingerprint was in flight."""

    crashes: list[str] = attrs.field(factory=list)
    time_s: float = 0.0
    quarantined: bool = False

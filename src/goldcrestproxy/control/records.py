"""Records of the replicated state."""

from __future__ import annotations

import attrs

from goldcrestproxy.control import commands
from goldcrestproxy.routing import partitions


@attrs.define(kw_only=True)
class TargetRecord:
    """A target as it announced itself, and who coordinates it.

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
        """Whether a daemon coordinates this target."""
        return bool(self.session)

    def clear_coordinator(self) -> None:
        """Take the target from its coordinator."""
        self.host = ""
        self.session = ""
        self.revoking = False


@attrs.define
class SlotRecord:
    """Who owns a partition or hot key; no owner means that it is free."""

    owner: str = ""
    token: int = 0
    revoking: bool = False

    def free(self) -> None:
        """End the ownership."""
        self.owner = ""
        self.revoking = False


@attrs.define(kw_only=True)
class DeskRecord:
    """A keyed desk's partitions and the hot keys split out of them."""

    partitions: list[SlotRecord]
    hot_keys: dict[int, SlotRecord] = attrs.field(factory=dict)
    # The partitions' slots, made once.
    _names: list[commands.Slot] = attrs.field(
        factory=list, init=False, eq=False
    )

    def slot(self, slot: commands.Slot) -> SlotRecord | None:
        """Return a slot's record."""
        if slot.hot:
            return self.hot_keys.get(slot.number)
        if 0 <= slot.number < len(self.partitions):
            return self.partitions[slot.number]
        return None

    def parent(self, key_hash: int) -> SlotRecord:
        """Return the record of the partition that a key falls into."""
        number = partitions.partition_of(key_hash, len(self.partitions))
        return self.partitions[number]

    def slot_of(self, key_hash: int) -> commands.Slot:
        """Return the slot that a key belongs to now."""
        if key_hash in self.hot_keys:
            return commands.Slot(number=key_hash, hot=True)
        number = partitions.partition_of(key_hash, len(self.partitions))
        return commands.Slot(number=number)

    def slots(self) -> list[tuple[commands.Slot, SlotRecord]]:
        """Return every slot with its record."""
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
    """One accepted change of the configuration, for the history."""

    revision: int
    change_id: str
    operator: str
    time_s: float
    summary: str
    digest: str


@attrs.define(kw_only=True)
class ClaimRecord:
    """A claimed idempotency key."""

    fingerprint: str
    request_id: str
    claim_id: str
    host: str
    session: str
    time_s: float
    answer: commands.Answer | None = None


@attrs.define(kw_only=True)
class CrashRecord:
    """Crashes of targets during which a fingerprint was in flight."""

    crashes: list[str] = attrs.field(factory=list)
    time_s: float = 0.0
    quarantined: bool = False

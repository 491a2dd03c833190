"""Until when a target may believe that it holds a slot."""

from __future__ import annotations

from goldcrestproxy.targets.owned_slots import OwnedSlot


class GrantExpiry:
    """The latest ends of everything that was ever ordered.

    An order counts from before it is sent, whether or not it is answered.
    All times are on the coordinator's clock.
    """

    def __init__(self) -> None:
        """Start with nothing ordered."""
        self._newest_slots: frozenset[OwnedSlot] = frozenset()
        self._newest_expiry_s = 0.0
        # Slots that the newest order leaves out, unacknowledged so far.
        self._removed_expiry_s: dict[OwnedSlot, float] = {}
        self._unanswered_expiry_s = 0.0

    def record_order(
        self, slots: frozenset[OwnedSlot], expiry_s: float
    ) -> None:
        """Count an order that is about to be sent."""
        if slots is not self._newest_slots:
            for owned in self._newest_slots - slots:
                self._removed_expiry_s[owned] = self._newest_expiry_s
            self._newest_slots = slots
        self._newest_expiry_s = max(self._newest_expiry_s, expiry_s)

    def record_acknowledgement(
        self, now_s: float, *, checks_order: bool
    ) -> None:
        """Note that the target obeys the newest order.

        A target that does not check the order of orders may still obey an
        older one that was never answered.
        """
        if checks_order or now_s >= self._unanswered_expiry_s:
            self._removed_expiry_s.clear()

    def record_unanswered(self) -> None:
        """Note that the newest order may be obeyed at any later time."""
        self._unanswered_expiry_s = max(
            self._unanswered_expiry_s, self._newest_expiry_s
        )

    def is_expired(self, owned: OwnedSlot, now_s: float) -> bool:
        """Whether the target surely does not hold a slot any more."""
        if owned in self._newest_slots:
            return now_s >= self._newest_expiry_s
        return now_s >= self._removed_expiry_s.get(owned, 0.0)

    def all_expired(self, now_s: float) -> bool:
        """Whether the target surely holds nothing any more."""
        removed_expiries_s = self._removed_expiry_s.values()
        return now_s >= max(self._newest_expiry_s, *removed_expiries_s, 0.0)

"""Latest time at which a target may still hold a slot."""

from __future__ import annotations

from goldcrestproxy.targets.owned_slots import OwnedSlot


class GrantExpiry:
    """Tracks when the grants in all orders sent to a target expire.

    An order counts from before it is sent, whether or not it is answered.
    All times are on the coordinator's clock.
    """

    def __init__(self) -> None:
        self._ordered: frozenset[OwnedSlot] = frozenset()
        self._ordered_over_s = 0.0
        # Slots that the newest order leaves out, unacknowledged so far.
        self._left_out_over_s: dict[OwnedSlot, float] = {}
        self._unanswered_over_s = 0.0

    def record_order(
        self, slots: frozenset[OwnedSlot], expiry_s: float
    ) -> None:
        """Record an order that is about to be sent."""
        if slots is not self._ordered:
            for owned in self._ordered - slots:
                self._left_out_over_s[owned] = self._ordered_over_s
            self._ordered = slots
        self._ordered_over_s = max(self._ordered_over_s, expiry_s)

    def record_acknowledgement(
        self, now_s: float, *, checks_order: bool
    ) -> None:
        """Record that the target has applied the newest order.

        :param checks_order: whether the target ignores orders that arrive
            out of sequence; if not, it may still apply an older one that was
            never answered
        """
        if checks_order or now_s >= self._unanswered_over_s:
            self._left_out_over_s.clear()

    def record_unanswered(self) -> None:
        """Record that the newest order may be applied at any later time."""
        self._unanswered_over_s = max(
            self._unanswered_over_s, self._ordered_over_s
        )

    def is_expired(self, owned: OwnedSlot, now_s: float) -> bool:
        """Whether the target certainly no longer holds the slot."""
        if owned in self._ordered:
            return now_s >= self._ordered_over_s
        return now_s >= self._left_out_over_s.get(owned, 0.0)

    def all_expired(self, now_s: float) -> bool:
        """Whether the target certainly no longer holds any slot."""
        left_out = self._left_out_over_s.values()
        return now_s >= max(self._ordered_over_s, *left_out, 0.0)

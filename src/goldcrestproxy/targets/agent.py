"""Coordinator-side agent of one target: grants, reachability, ownership.

One task per target sends grant orders. An order lists every slot that the
target owns, with an expiry on the target's own clock. The same exchange serves
as the health check of the target.
"""

from __future__ import annotations

import asyncio
import logging
import typing as ty

import attrs

from goldcrestproxy import control
from goldcrestproxy import errors
from goldcrestproxy.routing import leases
from goldcrestproxy.routing import request_limits
from goldcrestproxy import signals
from goldcrestproxy.targets import client as clients
from goldcrestproxy.targets import grant_expiry
from goldcrestproxy.targets import owned_slots
from goldcrestproxy.targets.owned_slots import OwnedSlot
from goldcrestproxy.targets import protocol

LOG = logging.getLogger(__name__)

RETRY_INTERVAL_MS: ty.Final = 40
ORDER_TIMEOUT_MS: ty.Final = 150
LOST_AFTER_FAILURES: ty.Final = 2
KEEP_AFTER_S: ty.Final = 0.25


class ControlAccess(ty.Protocol):
    """The part of the link to the control leader that an agent uses."""

    @property
    def state(self) -> control.ControlState:
        """The replicated state as received so far."""

    @property
    def lease_until_s(self) -> float:
        """End of this daemon's lease, on its own clock."""

    async def propose(self, command: control.Command) -> control.Outcome:
        """Commit a command."""


@attrs.frozen(kw_only=True)
class AgentTimes:
    """Intervals and lease lengths of an agent."""

    renewal_ms: int
    terms: leases.LeaseTerms


class TargetAgent:
    """Sends grants to one target while this daemon holds its lease."""

    def __init__(
        self,
        record: control.TargetRecord,
        link: ControlAccess,
        client: clients.TargetClient,
        times: AgentTimes,
        clock: ty.Callable[[], float],
        in_flight: ty.Callable[[OwnedSlot], int],
        on_lost: ty.Callable[[], ty.Awaitable[None]],
        host: str,
        request_limit: request_limits.RequestLimit | None = None,
    ) -> None:
        """Create the agent of a target whose coordinator is this daemon.

        :param in_flight: returns the number of requests in flight of a slot
        :param on_lost: awaited before the target is reported as lost
        :param request_limit: stores the limit that the target names
        """
        self.target = record.target
        self.incarnation = record.incarnation
        self.epoch = record.epoch
        self.lost = False
        self._link = link
        self._client = client
        self._times = times
        self._clock = clock
        self._in_flight = in_flight
        self._on_lost = on_lost
        self._host = host
        self._request_limit = request_limit or request_limits.RequestLimit()
        self._order_number = 0
        self._clock_reading: leases.ClockReading | None = None
        self._ownership_reader = owned_slots.OwnershipReader(record.target)
        self._granted: frozenset[OwnedSlot] = frozenset()
        self._usable_until_s = 0.0
        self._grant_expiry = grant_expiry.GrantExpiry()
        # Slots reported as released or lost; the local copy of the map may
        # still list them.
        self._relinquished: set[OwnedSlot] = set()
        self._revoked_since_s: dict[OwnedSlot, float] = {}
        self._failures = 0
        self._last_answer_s = clock()
        self._wake_event = asyncio.Event()
        self._change_signal = signals.Signal()
        self.stopping = False

    def wake(self) -> None:
        """Make the agent re-read the replicated state at once."""
        self._wake_event.set()
        self._change_signal.notify()

    def on_map_change(self) -> None:
        """Send an order at once if the target's slots or state changed."""
        record = self._record()
        if record is None:
            self.wake()
            return
        previous = self._ownership_reader.latest
        ownership = self._ownership_reader.read(self._link.state, record)
        if ownership != previous or record.reachable == self.lost:
            self.wake()
        else:
            self._change_signal.notify()

    def is_usable(self, owned: OwnedSlot) -> bool:
        """Whether the target certainly holds this slot and is responding."""
        now_s = self._clock()
        return (
            owned in self._granted
            and self._failures == 0
            and now_s < self._usable_until_s
            and now_s < self._link.lease_until_s
        )

    @property
    def reachable(self) -> bool:
        """Whether the target is responding to orders."""
        return not self.lost and self._failures < LOST_AFTER_FAILURES

    async def wait_change(self, timeout_s: float) -> None:
        """Wait until an order completes or the map changes, or time out."""
        await self._change_signal.wait(timeout_s)

    async def run(self) -> None:
        """Send orders and report changes until ``stopping`` is set."""
        while not self.stopping:
            self._wake_event.clear()
            if self._clock() < self._link.lease_until_s:
                await self._renew_grants()
            if not self.stopping:
                await self._wait_next_order()
        self._change_signal.notify()

    async def _renew_grants(self) -> None:
        record = self._record()
        if record is None:
            return
        ownership = self._ownership_reader.read(self._link.state, record)
        desired = self._slots_to_grant(ownership)
        if await self._send_order(record, desired, ownership.elsewhere):
            if self.lost or not record.reachable:
                await self._report_reachability(record, lost=False)
            self._record_acknowledgement(record, desired)
            if self._needs_second_order(desired) and await self._send_order(
                record, desired, ownership.elsewhere
            ):
                # The first exchange only returned the target's clock.
                self._record_acknowledgement(record, desired)
        elif self._is_lost():
            await self._report_reachability(record, lost=True)
        await self._release_slots(record)

    def _record(self) -> control.TargetRecord | None:
        record = self._link.state.targets.get(self.target)
        if record is None or record.incarnation != self.incarnation:
            return None
        return record if record.epoch == self.epoch else None

    def _slots_to_grant(
        self, ownership: owned_slots.SlotOwnership
    ) -> frozenset[OwnedSlot]:
        """Return the slots to include in the next order."""
        releasable = {
            owned for owned in ownership.revoking if not self._in_flight(owned)
        }
        if not releasable and not self._relinquished:
            return ownership.all
        return ownership.all - releasable - self._relinquished

    async def _send_order(
        self,
        record: control.TargetRecord,
        desired: frozenset[OwnedSlot],
        elsewhere: tuple[int, ...],
    ) -> bool:
        """Send one order and return whether the target acknowledged it."""
        self._order_number += 1
        times = self._grant_times()
        order = protocol.GrantOrder(
            coordinator=self._host,
            epoch=self.epoch,
            order=self._order_number,
            incarnation=self.incarnation,
            desk=record.desk,
            until_clock_ms=times.until_clock_ms if times else 0,
            partitions=tuple(
                (o.slot.number, o.token) for o in desired if not o.slot.hot
            ),
            hot_keys=tuple(
                (o.slot.number, o.token) for o in desired if o.slot.hot
            ),
            elsewhere=elsewhere,
        )
        if times is not None:
            # Recorded before sending, since an order without an answer may
            # still take effect.
            self._grant_expiry.record_order(desired, times.expired_s)
        sent_s = self._clock()
        try:
            answer = await self._client.send_order(
                order,
                ORDER_TIMEOUT_MS,
                new_connection=self._failures > 0,
                may_send=self._lease_valid,
            )
        except errors.GoldcrestProxyError as error:
            self._record_failure(error)
            return False
        return self._accept_answer(answer, order, times, sent_s)

    def _accept_answer(
        self,
        answer: protocol.GrantAnswer,
        order: protocol.GrantOrder,
        times: leases.GrantTimes | None,
        sent_s: float,
    ) -> bool:
        if answer.incarnation != self.incarnation:
            self._record_failure(
                errors.WireError(
                    f"unexpected incarnation {answer.incarnation}"
                )
            )
            return False
        if answer.order != order.order:
            self._record_failure(
                errors.WireError("order was rejected or superseded")
            )
            return False
        self._failures = 0
        self._last_answer_s = self._clock()
        self._request_limit.record_answer(
            answer.limit_per_s, self._last_answer_s
        )
        self._clock_reading = leases.ClockReading(
            target_clock_ms=answer.clock_ms,
            requested_s=sent_s,
            answered_s=self._last_answer_s,
        )
        if times is not None:
            self._usable_until_s = times.usable_until_s
        return True

    def _grant_times(self) -> leases.GrantTimes | None:
        if self._clock_reading is None:
            return None
        return leases.grant_times(
            self._clock_reading, self._times.terms, self._link.lease_until_s
        )

    def _lease_valid(self) -> bool:
        return self._clock() < self._link.lease_until_s

    def _needs_second_order(self, desired: frozenset[OwnedSlot]) -> bool:
        """Whether the last order's grant ends before the next renewal."""
        left_s = self._usable_until_s - self._clock()
        return bool(desired) and left_s * 1000 < self._times.renewal_ms

    def _record_acknowledgement(
        self, record: control.TargetRecord, desired: frozenset[OwnedSlot]
    ) -> None:
        self._granted = desired
        self._grant_expiry.record_acknowledgement(
            self._clock(), checks_order=record.supports.fencing
        )
        self._change_signal.notify()

    def _record_failure(self, error: Exception) -> None:
        self._failures += 1
        self._grant_expiry.record_unanswered()
        self._change_signal.notify()
        if self._failures == LOST_AFTER_FAILURES:
            LOG.warning(
                "targets: %s is not responding: %s", self.target, error
            )

    def _is_lost(self) -> bool:
        """Whether the target is unreachable and all its grants expired."""
        now_s = self._clock()
        terms = self._times.terms
        answer_overdue = now_s >= terms.grantor_expiry_s(self._last_answer_s)
        grants_expired = self._grant_expiry.all_expired(now_s)
        enough_failures = self._failures >= LOST_AFTER_FAILURES
        return (
            answer_overdue
            and grants_expired
            and enough_failures
            and not self.lost
        )

    async def _report_reachability(
        self, record: control.TargetRecord, *, lost: bool
    ) -> None:
        self.lost = lost
        if lost:
            ownership = self._ownership_reader.read(self._link.state, record)
            self._relinquished |= ownership.all
            self._granted = frozenset()
            self._grant_expiry = grant_expiry.GrantExpiry()
            self._clock_reading = None
            await self._on_lost()
        LOG.warning(
            "targets: %s is %s",
            self.target,
            "lost" if lost else "reachable again",
        )
        await self._propose(
            control.ReportTarget(
                target=self.target,
                incarnation=self.incarnation,
                epoch=self.epoch,
                lost=lost,
            )
        )

    async def _release_slots(self, record: control.TargetRecord) -> None:
        """Propose the release of revoked slots whose grants have expired.

        A revoked slot whose requests run for longer is kept instead.
        """
        ownership = self._ownership_reader.read(self._link.state, record)
        self._relinquished &= ownership.all
        released = set(self._relinquished)
        to_keep: list[OwnedSlot] = []
        for owned in ownership.revoking - self._relinquished:
            if self._in_flight(owned):
                to_keep.extend(self._slots_to_keep(record, owned))
            elif self._grant_expiry.is_expired(owned, self._clock()):
                released.add(owned)
        self._remove_ended_revocations(ownership)
        self._relinquished |= released
        self._granted -= released
        if released:
            await self._propose(
                control.ReleaseSlots(
                    desk=record.desk,
                    held=_to_held(released),
                    target=self.target,
                    epoch=self.epoch,
                )
            )
        if to_keep:
            await self._propose(
                control.KeepSlots(
                    desk=record.desk,
                    held=_to_held(to_keep),
                    target=self.target,
                    epoch=self.epoch,
                )
            )

    def _remove_ended_revocations(
        self, ownership: owned_slots.SlotOwnership
    ) -> None:
        for owned in list(self._revoked_since_s):
            if owned not in ownership.revoking:
                del self._revoked_since_s[owned]

    def _slots_to_keep(
        self, record: control.TargetRecord, owned: OwnedSlot
    ) -> list[OwnedSlot]:
        """Return the slot if it is to be kept instead of released.

        It is kept once its requests have run for ``KEEP_AFTER_S`` since the
        revocation, provided that its target may take new work.
        """
        since_s = self._revoked_since_s.setdefault(owned, self._clock())
        within_keep_delay = self._clock() - since_s < KEEP_AFTER_S
        if within_keep_delay or not self._link.state.may_take_work(record):
            return []
        del self._revoked_since_s[owned]
        return [owned]

    async def _propose(self, command: control.Command) -> None:
        try:
            await self._link.propose(command)
        except errors.GoldcrestProxyError as error:
            LOG.info(
                "targets: %s: proposal failed, will retry: %s",
                self.target,
                error,
            )

    async def _wait_next_order(self) -> None:
        """Wait for a change, or until the next order is due."""
        wait_s = self._times.renewal_ms / 1000
        if self._failures or self._lease_expired():
            wait_s = RETRY_INTERVAL_MS / 1000
        try:
            async with asyncio.timeout(wait_s):
                await self._wake_event.wait()
        except TimeoutError:
            pass

    def _lease_expired(self) -> bool:
        return self._clock() >= self._link.lease_until_s


def _to_held(slots: ty.Iterable[OwnedSlot]) -> tuple[control.Held, ...]:
    return tuple(
        control.Held(slot=owned.slot, token=owned.token) for owned in slots
    )

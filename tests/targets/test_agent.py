"""Grants of one target: outdated maps, lost targets, releases."""

from __future__ import annotations

import asyncio
import contextlib
import time

from goldcrestproxy import control
from goldcrestproxy.control import commands
from goldcrestproxy.control import outcomes
from goldcrestproxy import errors
from goldcrestproxy.routing import leases
from goldcrestproxy import targets

TERMS = leases.LeaseTerms(lease_s=0.1, drift_parts_per_million=1000)
TIMES = targets.AgentTimes(renewal_ms=15, terms=TERMS)
SLOT = control.Slot(number=1)


class FakeTarget:
    """Records orders and, while ``answering``, acknowledges them."""

    def __init__(self):
        self.orders = []
        self.answering = True
        self.until_clock_ms = 0

    async def send_order(self, order, timeout_ms, *, new_connection, may_send):
        if not may_send():
            raise errors.WireError("may not be sent")
        if not self.answering:
            await asyncio.sleep(0.01)
            raise errors.WireError("no answer")
        self.orders.append(order)
        self.until_clock_ms = order.until_clock_ms
        return targets.GrantAnswer(
            incarnation="i1",
            clock_ms=int(time.monotonic() * 1000),
            order=order.order,
        )

    def holds(self, token):
        """Whether the target holds the slot, by its own clock."""
        within_grant = time.monotonic() * 1000 < self.until_clock_ms
        return within_grant and (1, token) in self.orders[-1].partitions


class FakeLink:
    """Link whose map changes only by commands that a test applies."""

    def __init__(self):
        self.state = control.ControlState()
        self.proposed_commands = []
        self.lease_left_s = 60.0
        self.apply_proposals = True
        self._index = 0

    @property
    def lease_until_s(self):
        return time.monotonic() + self.lease_left_s

    def apply(self, command):
        self._index += 1
        self.state.apply(self._index, command)
        return self._index

    async def propose(self, command):
        self.proposed_commands.append(command)
        if self.apply_proposals:
            self.apply(command)
        return outcomes.Done()


def configured_link(fencing=True):
    link = FakeLink()
    link.apply(
        commands.ApplyConfiguration(
            change_id="c",
            expected_revision=0,
            operator="op",
            time_s=0.0,
            document="{}",
            desks={"desk": commands.DeskShape(kind="keyed", partitions=4)},
        )
    )
    link.apply(
        commands.AnnounceTarget(
            target="t0",
            incarnation="i1",
            zone="z",
            desk="desk",
            address="127.0.0.1:1",
            slots=4,
            supports=commands.Supports(fencing=fencing),
        )
    )
    link.apply(
        commands.AssignCoordinators(
            host="h",
            session="s",
            address="127.0.0.1",
            peer_port=1,
            targets=("t0",),
        )
    )
    token = link.apply(
        commands.GrantSlots(
            desk="desk", placed=(commands.Placed(slot=SLOT, target="t0"),)
        )
    )
    return link, targets.OwnedSlot(SLOT, token)


async def no_op():
    pass


@contextlib.asynccontextmanager
async def running_agent(link, target, in_flight=lambda owned: 0):
    agent = targets.TargetAgent(
        link.state.targets["t0"],
        link,
        target,
        TIMES,
        time.monotonic,
        in_flight,
        no_op,
        "h",
    )
    task = asyncio.create_task(agent.run())
    try:
        yield agent
    finally:
        agent.stopping = True
        agent.wake()
        await task


async def wait_until(check):
    async with asyncio.timeout(5):
        while not check():
            await asyncio.sleep(0.002)


def proposed_commands(link, kind):
    return [c for c in link.proposed_commands if isinstance(c, kind)]


def revoke_command(owned):
    return commands.RevokeSlots(
        desk="desk",
        held=(commands.Held(slot=owned.slot, token=owned.token),),
    )


def test_granted_slot_becomes_and_stays_usable():
    async def scenario():
        link, owned = configured_link()
        target = FakeTarget()
        async with running_agent(link, target) as agent:
            await wait_until(lambda: agent.is_usable(owned))
            for _ in range(30):
                await asyncio.sleep(0.01)
                assert agent.is_usable(owned)
                assert target.holds(owned.token)

    asyncio.run(scenario())


def test_slot_stops_being_usable_before_the_grant_expires():
    async def scenario():
        link, owned = configured_link()
        target = FakeTarget()
        async with running_agent(link, target) as agent:
            await wait_until(lambda: agent.is_usable(owned))
            target.answering = False
            while agent.is_usable(owned):
                assert target.holds(owned.token)
                await asyncio.sleep(0)

    asyncio.run(scenario())


def test_loss_is_reported_only_after_the_grant_has_expired():
    async def scenario():
        link, owned = configured_link()
        target = FakeTarget()
        async with running_agent(link, target) as agent:
            await wait_until(lambda: agent.is_usable(owned))
            target.answering = False
            await wait_until(
                lambda: proposed_commands(link, commands.ReportTarget)
            )
            assert not target.holds(owned.token)

    asyncio.run(scenario())


def test_returned_target_is_not_granted_what_it_lost_by_an_old_map():
    """The slot may have another owner that the local map does not show."""

    async def scenario():
        link, owned = configured_link()
        target = FakeTarget()
        async with running_agent(link, target) as agent:
            await wait_until(lambda: agent.is_usable(owned))
            link.apply_proposals = False
            target.answering = False
            await wait_until(
                lambda: proposed_commands(link, commands.ReportTarget)
            )
            target.answering = True
            orders_before = len(target.orders)
            await wait_until(lambda: len(target.orders) > orders_before + 5)
            for order in target.orders[orders_before:]:
                assert order.partitions == ()
            assert not agent.is_usable(owned)

    asyncio.run(scenario())


def test_slot_is_released_once_the_target_has_acknowledged():
    async def scenario():
        link, owned = configured_link()
        target = FakeTarget()
        async with running_agent(link, target) as agent:
            await wait_until(lambda: agent.is_usable(owned))
            link.apply(revoke_command(owned))
            agent.wake()
            await wait_until(
                lambda: proposed_commands(link, commands.ReleaseSlots)
            )
            assert not target.holds(owned.token)
            assert target.orders[-1].partitions == ()

    asyncio.run(scenario())


def test_outdated_map_does_not_grant_released_slot_again():
    async def scenario():
        link, owned = configured_link()
        target = FakeTarget()
        async with running_agent(link, target) as agent:
            await wait_until(lambda: agent.is_usable(owned))
            link.apply_proposals = False
            link.apply(revoke_command(owned))
            agent.wake()
            await wait_until(
                lambda: proposed_commands(link, commands.ReleaseSlots)
            )
            # The map shows the revocation as withdrawn after the release.
            link.state.desks["desk"].partitions[1].revoking = False
            orders_before = len(target.orders)
            await wait_until(lambda: len(target.orders) > orders_before + 5)
            assert not agent.is_usable(owned)
            assert target.orders[-1].partitions == ()

    asyncio.run(scenario())


def test_release_waits_for_requests_in_flight_of_the_slot():
    async def scenario():
        link, owned = configured_link()
        running_requests = 1
        async with running_agent(
            link, FakeTarget(), lambda _: running_requests
        ) as agent:
            await wait_until(lambda: agent.is_usable(owned))
            link.apply(revoke_command(owned))
            agent.wake()
            await asyncio.sleep(0.1)
            assert not proposed_commands(link, commands.ReleaseSlots)
            running_requests = 0
            agent.wake()
            await wait_until(
                lambda: proposed_commands(link, commands.ReleaseSlots)
            )

    asyncio.run(scenario())


def test_slot_with_long_request_is_kept():
    async def scenario():
        link, owned = configured_link()
        async with running_agent(link, FakeTarget(), lambda _: 1) as agent:
            await wait_until(lambda: agent.is_usable(owned))
            link.apply(revoke_command(owned))
            await wait_until(
                lambda: proposed_commands(link, commands.KeepSlots)
            )
            await wait_until(lambda: agent.is_usable(owned))

    asyncio.run(scenario())


def test_release_without_fencing_waits_for_unanswered_orders():
    """The target may still apply an order that has timed out."""

    async def scenario():
        link, owned = configured_link(fencing=False)
        target = FakeTarget()
        async with running_agent(link, target) as agent:
            await wait_until(lambda: agent.is_usable(owned))
            target.answering = False
            await asyncio.sleep(0.03)
            unanswered_until_ms = target.until_clock_ms
            target.answering = True
            link.apply(revoke_command(owned))
            agent.wake()
            await wait_until(
                lambda: proposed_commands(link, commands.ReleaseSlots)
            )
            assert time.monotonic() * 1000 >= unanswered_until_ms

    asyncio.run(scenario())


def test_no_order_is_sent_without_a_lease():
    async def scenario():
        link, owned = configured_link()
        target = FakeTarget()
        async with running_agent(link, target) as agent:
            await wait_until(lambda: agent.is_usable(owned))
            link.lease_left_s = -1.0
            assert not agent.is_usable(owned)
            await asyncio.sleep(0.02)
            orders_before = len(target.orders)
            await asyncio.sleep(0.1)
            assert len(target.orders) == orders_before

    asyncio.run(scenario())


def test_grant_never_outlasts_the_coordinators_lease():
    async def scenario():
        link, _ = configured_link()
        target = FakeTarget()
        link.lease_left_s = 0.02
        async with running_agent(link, target):
            await wait_until(lambda: len(target.orders) > 5)
            left_ms = target.until_clock_ms - time.monotonic() * 1000
            assert left_ms <= 20

    asyncio.run(scenario())

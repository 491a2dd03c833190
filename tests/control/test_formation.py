"""Formation and repair of control groups without an operator."""

from __future__ import annotations

import asyncio
import contextlib

from lossy_folder import LossyFolder
import pytest
import replicas

from goldcrestproxy import control
from goldcrestproxy.control import membership_plan
from goldcrestproxy import errors
from goldcrestproxy import registry
from goldcrestproxy import settings
from goldcrestproxy import storage
from goldcrestproxy import wire

TIMEOUTS = settings.Timeouts(
    heartbeat_ms=20,
    election_min_ms=80,
    election_max_ms=160,
    renewal_ms=20,
    grant_ms=100,
    lease_ms=300,
)
SEEDS = tuple(wire.PeerAddress("127.0.0.1", number) for number in range(3))


class Host:
    """A control host on a fake network, identified by its port."""

    def __init__(self, network, number, *, first_start, folder=None):
        self.folder = folder or LossyFolder()
        self.handlers = wire.Handlers()
        self.running = True
        self.replica = control.Replica(
            f"host-{number}",
            storage.ReplicaStore(self.folder),
            replicas.FakePeers(network, number),
            TIMEOUTS,
            log_entries_max=1000,
        )
        self.service = control.ControlService(
            self.replica,
            TIMEOUTS,
            (),
            formation_settings=control.FormationSettings(
                host=f"host-{number}",
                address=wire.PeerAddress("127.0.0.1", number),
                seeds=SEEDS,
                first_start=first_start,
            ),
            registrar_settings=control.RegistrarSettings(
                heartbeat_ms=100, hold_ms=500
            ),
            losses_tolerated=2,
        )
        self.service.add_handlers(self.handlers)
        network.nodes[number] = self
        self._task = asyncio.create_task(self.service.run())

    async def stop(self):
        self.running = False
        self._task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._task
        self.replica.close()


@contextlib.asynccontextmanager
async def hosts(count=5, first_start=True):
    network = replicas.Network()
    for number in range(count):
        Host(network, number, first_start=first_start)
    try:
        yield network
    finally:
        for host in network.nodes.values():
            if host.running:
                await host.stop()


async def wait_until(check, timeout_s=15.0):
    async with asyncio.timeout(timeout_s):
        while not check():
            await asyncio.sleep(0.02)


def voters(network):
    found = [
        {member.replica for member in host.replica.state.members.voters()}
        for host in network.nodes.values()
        if host.running
    ]
    return found[0] if all(f == found[0] for f in found) else set()


def identities(network):
    return {
        host.replica.replica for host in network.nodes.values() if host.running
    }


def test_five_blank_hosts_form_one_group():
    async def scenario():
        async with hosts() as network:
            await wait_until(lambda: voters(network) == identities(network))

    asyncio.run(scenario())


def test_hosts_bootstrap_only_on_the_first_start():
    async def scenario():
        async with hosts(first_start=False) as network:
            await asyncio.sleep(1.0)
            assert all(
                not host.replica.members.members
                for host in network.nodes.values()
            )

    asyncio.run(scenario())


def test_a_host_that_lost_its_disk_replaces_its_old_identity():
    async def scenario():
        async with hosts() as network:
            await wait_until(lambda: voters(network) == identities(network))
            old = network.nodes[0]
            await old.stop()
            Host(network, 0, first_start=False)
            await wait_until(lambda: voters(network) == identities(network))
            assert old.replica.replica not in voters(network)
            assert len(voters(network)) == 5

    asyncio.run(scenario())


def test_two_lost_disks_are_replaced_and_then_two_others():
    async def scenario():
        async with hosts() as network:
            await wait_until(lambda: voters(network) == identities(network))
            for lost in ((0, 1), (2, 3)):
                for number in lost:
                    await network.nodes[number].stop()
                for number in lost:
                    Host(network, number, first_start=False)
                await wait_until(
                    lambda: voters(network) == identities(network)
                )

    asyncio.run(scenario())


def test_a_new_host_replaces_a_silent_voter(monkeypatch):
    monkeypatch.setattr(membership_plan, "SILENT_VOTER_S", 0.3)

    async def scenario():
        async with hosts() as network:
            await wait_until(lambda: voters(network) == identities(network))
            gone = network.nodes[4]
            await gone.stop()
            Host(network, 5, first_start=False)
            await wait_until(lambda: voters(network) == identities(network))
            assert len(voters(network)) == 5

    asyncio.run(scenario())


def test_two_hosts_that_are_replaced_at_once_leave_no_vote(monkeypatch):
    """Guards against groups that count voters that are gone for good."""
    monkeypatch.setattr(membership_plan, "SILENT_VOTER_S", 0.3)

    async def scenario():
        async with hosts() as network:
            await wait_until(lambda: voters(network) == identities(network))
            for number in (5, 6):
                Host(network, number, first_start=False)
            await wait_until(lambda: voters(network) == identities(network))
            for number in (3, 4):
                await network.nodes[number].stop()
            await wait_until(lambda: voters(network) == identities(network))
            assert len(voters(network)) == 5
            # Two lost disks are what five hosts have to bear.
            for number in (0, 6):
                await network.nodes[number].stop()
            for number in (0, 6):
                Host(network, number, first_start=False)
            await wait_until(lambda: voters(network) == identities(network))

    asyncio.run(scenario())


def test_hosts_that_were_cut_off_return_after_their_successors(monkeypatch):
    """Guards against a cut that decides who is in the group."""
    monkeypatch.setattr(membership_plan, "SILENT_VOTER_S", 0.3)

    async def scenario():
        async with hosts() as network:
            await wait_until(lambda: voters(network) == identities(network))
            leader = leader_of(network)
            cut = [h for h in network.nodes if network.nodes[h] is not leader][
                :2
            ]
            for number in cut:
                network.isolate(number)
            await asyncio.sleep(1.0)
            assert len(leader.replica.state.members.voters()) == 5
            for number in (5, 6):
                Host(network, number, first_start=False)
            await wait_until(
                lambda: (
                    {m.host for m in leader.replica.state.members.voters()}
                    == {f"host-{n}" for n in network.nodes if n not in cut}
                )
            )
            network.heal()
            await wait_until(lambda: voters(network) == identities(network))
            assert len(voters(network)) == 7

    asyncio.run(scenario())


def leader_of(network):
    """Return the host that leads, None while there is none."""
    for host in network.nodes.values():
        if host.running and host.replica.is_leader:
            return host
    return None


async def unreachable(*_):
    raise errors.ChannelClosedError("unreachable")


def test_a_learner_gets_its_vote_from_the_next_leader():
    """Guards against additions that end with the leader that began them."""

    async def scenario():
        async with hosts() as network:
            await wait_until(lambda: voters(network) == identities(network))
            new = Host(network, 5, first_start=False)
            calls = new.handlers.calls
            append = calls[wire.Method.APPEND]
            # It cannot catch up while its first leader lives.
            calls[wire.Method.APPEND] = unreachable
            await wait_until(
                lambda: all(
                    host is new
                    or host.replica.state.members.find(new.replica.replica)
                    for host in network.nodes.values()
                )
            )
            old_leader = leader_of(network)
            await old_leader.stop()
            calls[wire.Method.APPEND] = append
            Host(
                network,
                int(old_leader.replica.host.removeprefix("host-")),
                first_start=False,
                folder=old_leader.folder,
            )
            await wait_until(lambda: voters(network) == identities(network))
            assert len(voters(network)) == 6

    asyncio.run(scenario())


def test_a_lost_disk_leaves_no_vote_when_its_leader_ends():
    """The last step of an addition is done by whoever leads then."""

    async def scenario():
        async with hosts() as network:
            await wait_until(lambda: voters(network) == identities(network))
            leader = leader_of(network)
            lost = next(
                host for host in network.nodes.values() if host is not leader
            )
            await lost.stop()
            folder = LossyFolder()
            identity = storage.ReplicaStore(folder).replica
            number = int(lost.replica.host.removeprefix("host-"))
            # All that a leader did which ended before the last step.
            await leader.replica.propose(
                leader.replica.members.with_member(
                    control.Member(
                        replica=identity,
                        host=lost.replica.host,
                        address="127.0.0.1",
                        peer_port=number,
                    )
                )
            )
            Host(network, number, first_start=False, folder=folder)
            await wait_until(lambda: voters(network) == identities(network))

    asyncio.run(scenario())


def test_an_interrupted_bootstrap_is_resumed():
    async def scenario():
        network = replicas.Network()
        first = Host(network, 0, first_start=True)
        for number in (1, 2):
            Host(network, number, first_start=True)
        calls = network.nodes[2].handlers.calls
        found = calls[wire.Method.FOUND]

        calls[wire.Method.FOUND] = unreachable
        await wait_until(lambda: first.replica.log.last_index >= 1)
        await first.stop()
        calls[wire.Method.FOUND] = found
        Host(network, 0, first_start=True, folder=first.folder)
        await wait_until(lambda: voters(network) == identities(network))
        for host in network.nodes.values():
            if host.running:
                await host.stop()

    asyncio.run(scenario())


def test_no_change_is_accepted_before_the_group_bears_its_losses():
    async def scenario():
        async with hosts(count=3) as network:
            await wait_until(lambda: len(voters(network)) == 3)
            leader = next(
                host
                for host in network.nodes.values()
                if host.replica.is_leader
            )
            with pytest.raises(errors.RefusedError, match="3 voters of 5"):
                await leader.service.serve(
                    registry.SetZoneCall(zone="zone-a", out=True)
                )

    asyncio.run(scenario())

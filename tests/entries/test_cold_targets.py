"""What a cold target gets from all entry hosts together.

Hosts and their leader are simulated, and so is the time. The rate is that of
sites with 63 entry hosts, the bound what their targets bear in a second.
"""

from __future__ import annotations

import asyncio
import random
import types

import pytest
import test_dispatcher
import test_fleet_map

from goldcrestproxy import control
from goldcrestproxy.control import limit_reports
from goldcrestproxy import entries
from goldcrestproxy.entries import dispatch_state
from goldcrestproxy.entries import fleet_map
from goldcrestproxy.entries import replay
from goldcrestproxy import errors
from goldcrestproxy import registry
from goldcrestproxy import results
from goldcrestproxy.routing import route_table
from goldcrestproxy.routing import target_contact
from goldcrestproxy import settings
from goldcrestproxy import telemetry
from goldcrestproxy import wire

RATE_PER_S = 5.5
BOUND_PER_S = RATE_PER_S * 1.5 + 8
COLD_S = 3.0
STEP_S = 0.02
NAMED_ROUTE = route_table.NamedRoute(
    name="r",
    version=1,
    route=test_dispatcher.route(registry.RouteKind.UNSAFE).value,
)
SERVICE = registry.Item(
    key=registry.ItemKey(kind=registry.ItemKind.SERVICE, name="s"),
    version=1,
    value=registry.Service(
        health_path="/",
        connections_max=440,
        cold_ms=int(COLD_S * 1000),
        cold_requests_per_s=RATE_PER_S,
        keyed=True,
    ),
    source="{}",
)


class Watcher(test_fleet_map.FakeWatcher):
    """A host's watcher, whose questions the simulated leader answers."""

    def __init__(self, fleet):
        super().__init__()
        self._fleet = fleet
        self.cut = False

    @property
    def entry_hosts(self):
        return self._fleet.counted_hosts

    async def ask_permit(self, target, incarnation, limit_per_s, **options):
        leader = self._fleet.leader
        if self.cut or leader is None:
            raise errors.PeerTimeoutError("cut off")
        request = wire.ttypes.PermitRequest(
            target=target,
            incarnation=incarnation,
            limit_per_s=limit_per_s,
            forwarded=False,
            **options,
        )
        return leader.permit(request, self.entry_hosts).retry_after_ms


class Host:
    """An entry host as far as it chooses targets."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.watcher = Watcher(fleet)
        rng = fleet.rng
        fleet_view = fleet_map.FleetMap(self.watcher, fleet.clock, rng)
        metrics = telemetry.make_metrics(settings.Telemetry(), "test")
        refusals = entries.DispatchRefusals(rng)
        suspects = entries.Suspects(fleet_view, refusals, fleet.clock)
        self._selection = entries.TargetSelection(
            fleet_view,
            target_contact.TargetContact(),
            entries.TargetLimits(
                fleet_view, suspects, refusals, metrics, fleet.clock
            ),
            suspects,
            refusals,
            "zone-a",
            fleet.clock,
            rng,
        )
        for command in fleet.commands:
            self.watcher.apply(command)

    async def request(self):
        """Return whether a request may be sent to the target now."""
        state = dispatch_state.DispatchState(
            request=test_dispatcher.REQUEST,
            named_route=NAMED_ROUTE,
            service="s",
            deadline_s=self._fleet.now_s + 1.0,
            body=replay.ReplayableBody(None),
        )
        try:
            await self._selection.choose(state)
        except errors.RefusedError as error:
            assert results.BY_CODE[error.code].outcome is (
                results.Outcome.NOT_RUN
            )
            return False
        return True


class Fleet:
    """Entry hosts, one target and a leader, or none."""

    def __init__(self, hosts, seed=1):
        self.rng = random.Random(seed)
        self.now_s = 100.0
        self.counted_hosts = hosts
        self.commands = [
            registry.ChangeItems(changed=(SERVICE,)),
            self._registration(0),
            registry.LayOutKeys(
                service="s", block_keys=65536, targets=("t",), owners=(0,)
            ),
        ]
        self.hosts = [Host(self) for _ in range(hosts)]
        self.leader = None
        self.elect()
        # When requests were sent to the target while it was cold.
        self.sent_s = []
        self._cold_until_s = 0.0

    def clock(self):
        return self.now_s

    def elect(self):
        self.leader = limit_reports.LimitReports(
            types.SimpleNamespace(
                state=control.ControlState(), clock=self.clock
            )
        )

    def turn_cold(self):
        self._cold_until_s = self.now_s + COLD_S
        command = self._registration(int(COLD_S * 1000))
        self.commands.append(command)
        for host in self.hosts:
            host.watcher.apply(command)

    def restart_hosts(self, count):
        for number in self.rng.sample(range(len(self.hosts)), count):
            self.hosts[number] = Host(self)

    def run(self, duration_s, requests_per_s=1000):
        asyncio.run(self._run(duration_s, requests_per_s))

    async def _run(self, duration_s, requests_per_s):
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s += STEP_S
            for _ in range(round(requests_per_s * STEP_S)):
                sent = await self.rng.choice(self.hosts).request()
                if sent and self.now_s < self._cold_until_s:
                    self.sent_s.append(self.now_s)

    def most_in_a_second(self):
        counts = [
            sum(start_s <= sent_s < start_s + 1.0 for sent_s in self.sent_s)
            for start_s in self.sent_s
        ]
        return max(counts, default=0)

    def _registration(self, cold_ms):
        return registry.RegisterTarget(
            target="t",
            incarnation=1,
            service="s",
            zone="zone-a",
            address="10.0.0.1:80",
            slots=4,
            leaving=False,
            cold_ms=cold_ms,
        )


HOSTS = pytest.mark.parametrize("hosts", [8, 63, 200])


@HOSTS
def test_a_target_that_turns_cold_after_it_was_warm_is_not_flooded(hosts):
    fleet = Fleet(hosts)
    fleet.run(60.0, requests_per_s=50)
    fleet.turn_cold()
    fleet.run(COLD_S)
    assert fleet.most_in_a_second() <= BOUND_PER_S


@HOSTS
def test_a_target_that_turns_cold_again_and_again_is_not_flooded(hosts):
    fleet = Fleet(hosts)
    for pause_s in (0.0, 0.1, 1.0, 5.0, 20.0):
        fleet.run(pause_s, requests_per_s=50)
        fleet.turn_cold()
        fleet.run(COLD_S)
    assert fleet.most_in_a_second() <= BOUND_PER_S


@HOSTS
@pytest.mark.parametrize("leaderless_s", [0.0, 0.5, 1.5])
def test_a_change_of_leader_floods_no_cold_target(hosts, leaderless_s):
    fleet = Fleet(hosts)
    fleet.run(30.0, requests_per_s=50)
    fleet.turn_cold()
    fleet.run(0.8)
    fleet.leader = None
    fleet.run(leaderless_s)
    fleet.elect()
    fleet.run(COLD_S)
    assert fleet.most_in_a_second() <= BOUND_PER_S


@HOSTS
def test_hosts_without_a_leader_flood_no_cold_target(hosts):
    fleet = Fleet(hosts)
    fleet.run(30.0, requests_per_s=50)
    fleet.leader = None
    fleet.turn_cold()
    fleet.run(COLD_S)
    assert fleet.most_in_a_second() <= BOUND_PER_S


@HOSTS
@pytest.mark.parametrize("cut_ratio", [0.1, 0.5, 0.9])
def test_hosts_that_are_cut_off_flood_no_cold_target(hosts, cut_ratio):
    fleet = Fleet(hosts)
    fleet.run(30.0, requests_per_s=50)
    for host in fleet.hosts[: round(hosts * cut_ratio)]:
        host.watcher.cut = True
    fleet.turn_cold()
    fleet.run(COLD_S)
    assert fleet.most_in_a_second() <= BOUND_PER_S


@HOSTS
def test_hosts_that_return_flood_no_cold_target(hosts):
    fleet = Fleet(hosts)
    fleet.run(30.0, requests_per_s=50)
    fleet.turn_cold()
    for _ in range(5):
        fleet.run(0.5)
        fleet.restart_hosts(hosts // 2)
    assert fleet.most_in_a_second() <= BOUND_PER_S


@HOSTS
def test_a_leader_that_counts_few_hosts_floods_no_cold_target(hosts):
    fleet = Fleet(hosts)
    fleet.run(30.0, requests_per_s=50)
    fleet.counted_hosts = 2
    fleet.turn_cold()
    fleet.run(COLD_S)
    assert fleet.most_in_a_second() <= BOUND_PER_S


@pytest.mark.parametrize("seed", range(8))
def test_no_cold_target_is_flooded_whatever_happens(seed):
    """Cold times, cuts, restarts and leaders in random order."""
    fleet = Fleet(63, seed)
    rng = random.Random(seed)
    for _ in range(12):
        match rng.choice(["cold", "cold", "cut", "elect", "lose", "restart"]):
            case "cold":
                fleet.turn_cold()
            case "cut":
                for host in fleet.hosts:
                    host.watcher.cut = rng.random() < 0.3
            case "elect":
                fleet.elect()
            case "lose":
                fleet.leader = None
            case "restart":
                fleet.restart_hosts(20)
        fleet.run(rng.uniform(0.1, 4.0), rng.choice([20, 300]))
    assert fleet.most_in_a_second() <= BOUND_PER_S


@pytest.mark.parametrize("hosts", [8, 63, 200])
def test_callers_get_what_a_cold_target_bears(hosts):
    fleet = Fleet(hosts)
    fleet.run(30.0, requests_per_s=50)
    fleet.turn_cold()
    fleet.run(COLD_S, requests_per_s=100)
    assert len(fleet.sent_s) >= 0.8 * RATE_PER_S * COLD_S

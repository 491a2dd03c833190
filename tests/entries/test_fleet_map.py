"""The fleet map, and the control hosts that entry hosts prefer."""

from __future__ import annotations

import asyncio
import random
import types

import pytest

from goldcrestproxy import control
from goldcrestproxy.control import clock as clocks
from goldcrestproxy.entries import fleet_map
from goldcrestproxy.entries import state_watcher
from goldcrestproxy import errors
from goldcrestproxy import registry
from goldcrestproxy import results
from goldcrestproxy import wire

SERVICE = registry.Item(
    key=registry.ItemKey(kind=registry.ItemKind.SERVICE, name="desk"),
    version=1,
    value=registry.Service(
        health_path="/",
        connections_max=10,
        cold_ms=3000,
        cold_requests_per_s=5.0,
        keyed=True,
    ),
    source="{}",
)

WATCHER_SETTINGS = state_watcher.WatcherSettings(
    host="entry-a",
    zone="zone-a",
    session="s",
    address="10.1.0.1",
    peer_port=7000,
    seeds=(wire.PeerAddress("10.0.0.1", 7000),),
    watch_interval_ms=300,
    watch_timeout_ms=600,
)


class FakeWatcher:
    """A state watcher whose state the test changes."""

    current = True
    age_ms = 0
    entry_hosts = 1
    observations = None
    copy_age_ms = 0

    def __init__(self):
        self.state = control.ControlState()
        self._listeners = []

    def add_listener(self, callback):
        self._listeners.append(callback)

    def add_limit_listener(self, callback):
        self.name_limits = callback

    def apply(self, command):
        self.state.apply(self.state.applied_index + 1, command)
        for callback in self._listeners:
            callback()


@pytest.fixture
def clock():
    return types.SimpleNamespace(now_s=10.0)


@pytest.fixture
def watcher():
    made = FakeWatcher()
    made.apply(registry.ChangeItems(changed=(SERVICE,)))
    return made


@pytest.fixture
def fleet(watcher, clock):
    made = fleet_map.FleetMap(watcher, lambda: clock.now_s, random.Random(1))
    for name in ("a", "b"):
        watcher.apply(
            registry.RegisterTarget(
                target=name,
                incarnation=1,
                service="desk",
                zone="zone-a",
                address=f"10.0.0.{ord(name)}:80",
                slots=4,
                leaving=False,
                cold_ms=0,
            )
        )
    watcher.apply(
        registry.LayOutKeys(
            service="desk", block_keys=32768, targets=("a", "b"), owners=(0, 1)
        )
    )
    return made


def test_misdirected_block_has_no_owner_until_it_is_granted_anew(
    fleet, watcher, clock
):
    assert fleet.owner("desk", 5).name == "a"
    fleet.mark_misdirected("desk", 5)
    assert fleet.owner("desk", 6) is None
    assert fleet.owner("desk", 40000).name == "b"
    watcher.apply(
        registry.FreeBlocks(
            service="desk",
            target="a",
            incarnation=1,
            freed=(registry.FreedBlock(first_key=0),),
        )
    )
    watcher.apply(
        registry.GiveBlocks(
            service="desk", target="b", incarnation=1, first_keys=(0,)
        )
    )
    assert fleet.owner("desk", 5).name == "b"


def test_targets_are_checked_when_they_register_only(
    fleet, watcher, monkeypatch
):
    """A check of all of them at each change costs hosts x targets."""
    checked = []
    usable = registry.RegisteredTarget.usable.fget

    def count(record):
        checked.append(record.target)
        return usable(record)

    monkeypatch.setattr(registry.RegisteredTarget, "usable", property(count))
    watcher.apply(registry.SetZone(zone="zone-b", out=True))
    assert checked == []
    watcher.apply(
        registry.RegisterTarget(
            target="c",
            incarnation=1,
            service="desk",
            zone="zone-a",
            address="10.0.0.9:70000",
            slots=4,
            leaving=False,
            cold_ms=0,
        )
    )
    assert checked == ["c"]
    assert set(fleet.targets) == {"a", "b"}


def test_misdirected_block_is_used_again_if_its_owner_stays(fleet, clock):
    fleet.mark_misdirected("desk", 5)
    clock.now_s += fleet_map.MISDIRECTED_S + 0.01
    assert fleet.owner("desk", 5).name == "a"


def test_entry_hosts_are_spread_over_control_hosts():
    seeds = tuple(wire.PeerAddress(f"10.0.0.{n}", 7000) for n in range(5))
    first = [
        state_watcher.StateWatcher(
            state_watcher.WatcherSettings(
                host=f"entry-{n}",
                zone="zone-a",
                session="s",
                address="10.1.0.1",
                peer_port=7000,
                seeds=seeds,
                watch_interval_ms=300,
                watch_timeout_ms=600,
            ),
            peers=None,
        )._address
        for n in range(80)
    ]
    counts = [first.count(seed) for seed in seeds]
    assert min(counts) >= 6
    assert max(counts) <= 28


def test_limits_that_other_hosts_were_told_bind_here(fleet, watcher, clock):
    limit = wire.ttypes.TargetLimit(
        target="a", incarnation=1, limit_per_s=2.0, offered_per_s=8.0
    )
    watcher.name_limits([limit])
    assert fleet.targets["a"].request_limit.limit_per_s == 2.0
    assert fleet.targets["b"].request_limit.limit_per_s is None
    clock.now_s += 1.0
    # A leader that does not know the limit, as after a change.
    watcher.name_limits([])
    assert fleet.targets["a"].request_limit.limit_per_s == 2.0
    clock.now_s += 1.0
    watcher.name_limits(
        [wire.ttypes.TargetLimit(target="a", incarnation=1, withdrawn=True)]
    )
    assert fleet.targets["a"].request_limit.limit_per_s is None


@pytest.mark.parametrize(
    "error",
    [
        errors.PeerTimeoutError("silent"),
        errors.ChannelClosedError("cut"),
        results.refusal(results.NO_LEADER, "no leader"),
    ],
)
def test_no_request_is_sent_without_the_leaders_answer(
    fleet, watcher, clock, error
):
    asked = []

    async def ask_permit(target, *_, cold):
        asked.append(target)
        raise error

    watcher.ask_permit = ask_permit
    watcher.name_limits(
        [
            wire.ttypes.TargetLimit(
                target=name, incarnation=1, limit_per_s=2.0
            )
            for name in "ab"
        ]
    )
    for name in "ab":
        target = fleet.targets[name]
        assert target.request_limit.has_room(clock.now_s, 8)
        assert not asyncio.run(fleet.ask_permit(target))
        assert not target.request_limit.has_room(clock.now_s, 8)
    # The second request does not wait for the same leader again.
    assert asked == ["a"]
    clock.now_s += 1.0
    assert target.request_limit.has_room(clock.now_s, 8)
    assert not asyncio.run(fleet.ask_permit(target))
    assert asked == ["a", "b"]


def test_a_control_host_that_does_not_answer_is_not_waited_for():
    async def call(*_):
        await asyncio.Event().wait()

    watcher = state_watcher.StateWatcher(
        WATCHER_SETTINGS, peers=types.SimpleNamespace(call=call)
    )
    with pytest.raises(errors.PeerTimeoutError):
        asyncio.run(watcher.ask_permit("a", 1, 2.0))


def test_a_leader_of_an_earlier_build_gives_no_permits_for_cold_targets():
    """Its answer is about a limit that the target named."""

    async def call(*_):
        return wire.ttypes.PermitReply(retry_after_ms=0)

    watcher = state_watcher.StateWatcher(
        WATCHER_SETTINGS, peers=types.SimpleNamespace(call=call)
    )
    assert asyncio.run(watcher.ask_permit("a", 1, 2.0)) == 0
    with pytest.raises(errors.RefusedError):
        asyncio.run(watcher.ask_permit("a", 1, 2.0, cold=True))


def test_a_host_without_a_leader_sends_to_a_cold_target_now_and_then(
    fleet, watcher, clock
):
    async def ask_permit(*_, cold):
        raise errors.PeerTimeoutError("silent")

    watcher.ask_permit = ask_permit
    watcher.entry_hosts = 10
    target = fleet.targets["a"]
    sent = 0
    for _ in range(4000):
        clock.now_s += 0.01
        if target.rate.has_room(clock.now_s):
            sent += asyncio.run(fleet.ask_cold_permit(target))
    # The service's rate of 5 a second, half of it for ten hosts, in 40 s.
    assert sent in (9, 10, 11)


def report_crash(watcher, fingerprint, *, age_s=0.0, crashes_needed=1):
    """Apply a crash whose time on the leader's wall clock is ``age_s`` ago."""
    watcher.apply(
        control.ReportCrash(
            target="a",
            incarnation="1",
            fingerprints=(fingerprint,),
            time_s=clocks.wall_s() - age_s,
            crashes_needed=crashes_needed,
        )
    )


def test_only_recently_quarantined_requests_are_refused(fleet, watcher, clock):
    report_crash(watcher, "old")
    assert fleet.quarantined == {"old"}
    clock.now_s += fleet_map.QUARANTINE_S + 1
    report_crash(watcher, "poison")
    report_crash(watcher, "suspect", crashes_needed=2)
    assert fleet.quarantined == {"poison"}
    report_crash(watcher, "old")
    assert fleet.quarantined == {"old", "poison"}
    watcher.apply(control.ReleaseQuarantine(fingerprint="old"))
    watcher.apply(control.ReleaseQuarantine(fingerprint="poison"))
    assert fleet.quarantined == set()


@pytest.mark.parametrize("difference_s", [-3000.0, -200.0, 200.0, 3000.0])
def test_wall_clocks_that_differ_do_not_change_a_quarantine(
    fleet, watcher, clock, difference_s
):
    report_crash(watcher, "poison", age_s=difference_s)
    clock.now_s += fleet_map.QUARANTINE_S - 1
    assert fleet.quarantined == {"poison"}
    clock.now_s += 2
    assert fleet.quarantined == set()


def test_host_that_starts_refuses_what_was_quarantined_recently(
    fleet, watcher, clock
):
    watcher.current = False
    report_crash(watcher, "poison", age_s=fleet_map.QUARANTINE_S / 2)
    report_crash(watcher, "old", age_s=fleet_map.QUARANTINE_S + 1)
    assert fleet.quarantined == {"poison"}
    clock.now_s += fleet_map.QUARANTINE_S / 2 + 1
    assert fleet.quarantined == set()


def registration(**changes):
    fields = {
        "target": "a",
        "incarnation": 1,
        "service": "desk",
        "zone": "zone-a",
        "address": "10.0.0.97:80",
        "slots": 4,
        "leaving": False,
        "cold_ms": 0,
    }
    return registry.RegisterTarget(**{**fields, **changes})


@pytest.mark.parametrize(
    "change",
    [
        registration(leaving=True),
        registration(incarnation=2),
        registry.LoseTarget(target="a", incarnation=1, gone=False),
        registry.LoseTarget(target="a", incarnation=1, gone=True),
        registry.SetZone(zone="zone-a", out=True),
    ],
)
def test_a_target_that_leaves_or_is_replaced_is_no_longer_available(
    fleet, watcher, change
):
    """Guards against requests that keep a target which the state replaced."""
    chosen = fleet.targets["a"]
    assert fleet.is_available(chosen)
    watcher.apply(change)
    assert not fleet.is_available(chosen)

"""The replicated state: ownership, fencing tokens, configuration."""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st

from goldcrestproxy import control
from goldcrestproxy.control import commands
from goldcrestproxy.control import outcomes
from goldcrestproxy import registry
from goldcrestproxy import results

PARTITIONS = 4
TARGETS = ("t0", "t1", "t2")


def apply_document(index=1, change_id="c", expected=0, document="{}"):
    return commands.ApplyConfiguration(
        change_id=change_id,
        expected_revision=expected,
        operator="op",
        time_s=0.0,
        document=document,
        desks={
            "desk": commands.DeskShape(kind="keyed", partitions=PARTITIONS)
        },
    )


def announce(target, incarnation, leaving=False):
    return commands.AnnounceTarget(
        target=target,
        incarnation=incarnation,
        zone=f"zone-{target}",
        desk="desk",
        address="127.0.0.1:1",
        slots=4,
        leaving=leaving,
    )


def draw_command(data, state):
    """Draw a command that matches the state, or a stale one."""
    desk = state.desks["desk"]
    kinds = ("announce", "grant", "revoke", "release", "keep")
    kind = data.draw(st.sampled_from((*kinds, "split", "join", "report")))
    name = data.draw(st.sampled_from(TARGETS))
    if kind == "announce":
        return announce(name, data.draw(st.sampled_from(["i1", "i2"])))
    if kind == "report":
        return commands.ReportTarget(
            target=name,
            incarnation="i1",
            epoch=0,
            lost=data.draw(st.booleans()),
        )
    if kind in ("split", "join"):
        key_hash = data.draw(st.integers(0, 5))
        change = commands.SplitKeys if kind == "split" else commands.JoinKeys
        return change(desk="desk", key_hashes=(key_hash,))
    slot, record = data.draw(st.sampled_from(desk.slots()))
    if kind == "grant":
        return commands.GrantSlots(
            desk="desk", placed=(commands.Placed(slot=slot, target=name),)
        )
    stale = data.draw(st.integers(0, 9)) == 0
    held = (commands.Held(slot=slot, token=record.token - stale),)
    if kind == "revoke":
        return commands.RevokeSlots(desk="desk", held=held)
    change = commands.ReleaseSlots if kind == "release" else commands.KeepSlots
    epoch = state.targets[name].epoch if name in state.targets else 0
    return change(desk="desk", held=held, target=name, epoch=epoch - stale)


def configured_state():
    state = control.ControlState()
    state.apply(1, apply_document())
    for index, name in enumerate(TARGETS, start=2):
        state.apply(index, announce(name, "i1"))
        state.apply(index + 3, assign(name))
    return state


def assign(name):
    return commands.AssignCoordinators(
        host="h",
        session="s",
        address="127.0.0.1",
        peer_port=1,
        targets=(name,),
    )


def owner_of(state, key_hash):
    desk = state.desks["desk"]
    record = desk.slot(desk.slot_of(key_hash))
    return record.owner, record.token


@given(st.data())
def test_tokens_of_a_key_only_grow_and_owners_change_when_free(data):
    state = configured_state()
    keys = range(6)
    newest = dict.fromkeys(keys, 0)
    for index in range(10, 10 + data.draw(st.integers(1, 40))):
        before = {key: owner_of(state, key) for key in keys}
        state.apply(index, draw_command(data, state))
        for key in keys:
            owner, token = owner_of(state, key)
            assert token >= newest[key], f"token of key {key} decreased"
            newest[key] = token
            if owner and before[key][0] and owner != before[key][0]:
                raise AssertionError(f"key {key} moved while owned")
            if owner and owner != before[key][0]:
                assert token == index


@given(st.data())
def test_snapshot_restores_an_equal_state(data):
    state = configured_state()
    for index in range(10, 10 + data.draw(st.integers(1, 30))):
        command = draw_command(data, state)
        state.apply(index, control.decode(control.encode(command)))
    restored = control.ControlState.decode(state.encode())
    assert restored == state


def test_release_with_an_older_token_has_no_effect():
    state = control.ControlState()
    state.apply(1, apply_document())
    state.apply(2, announce("t0", "i1"))
    slot = commands.Slot(number=1)
    grant = commands.GrantSlots(
        desk="desk", placed=(commands.Placed(slot=slot, target="t0"),)
    )
    state.apply(3, grant)
    state.apply(4, assign("t0"))
    release = commands.ReleaseSlots(
        desk="desk",
        held=(commands.Held(slot=slot, token=2),),
        target="t0",
        epoch=4,
    )
    state.apply(5, release)
    assert state.desks["desk"].slot(slot).owner == "t0"


def test_release_by_an_earlier_coordinator_changes_nothing():
    """Its command was delayed until another coordinator was assigned."""
    state = control.ControlState()
    state.apply(1, apply_document())
    state.apply(2, announce("t0", "i1"))
    state.apply(3, assign("t0"))
    slot = commands.Slot(number=1)
    state.apply(
        4,
        commands.GrantSlots(
            desk="desk", placed=(commands.Placed(slot=slot, target="t0"),)
        ),
    )
    state.apply(5, commands.EndSession(host="h", session="s"))
    late = commands.ReleaseSlots(
        desk="desk",
        held=(commands.Held(slot=slot, token=4),),
        target="t0",
        epoch=3,
    )
    state.apply(6, late)
    assert state.desks["desk"].slot(slot).owner == "t0"
    state.apply(7, assign("t0"))
    state.apply(8, late)
    assert state.desks["desk"].slot(slot).owner == "t0"


def test_new_incarnation_frees_slots_of_the_old_one():
    state = control.ControlState()
    state.apply(1, apply_document())
    state.apply(2, announce("t0", "i1"))
    slot = commands.Slot(number=1)
    state.apply(
        3,
        commands.GrantSlots(
            desk="desk", placed=(commands.Placed(slot=slot, target="t0"),)
        ),
    )
    state.apply(4, announce("t0", "i2"))
    assert state.desks["desk"].slot(slot).owner == ""


@given(
    st.lists(
        st.tuples(
            st.integers(0, 3), st.integers(0, 4), st.sampled_from("abc")
        ),
        max_size=25,
    )
)
def test_of_equal_numbers_exactly_one_change_wins(changes):
    """Covers concurrent changes, equal change ids and repeated proposals."""
    state = control.ControlState()
    winners: dict[int, tuple] = {}
    seen: dict[tuple, outcomes.Outcome] = {}
    for index, (identity, expected, text) in enumerate(changes, start=1):
        change = apply_document(
            change_id=f"id-{identity}-{text}",
            expected=expected,
            document=f'"{text}"',
        )
        key = (identity, text, expected)
        revision = state.configuration.revision
        outcome = state.apply(index, change)
        match outcome:
            case outcomes.Changed(revision=accepted):
                if key in seen and isinstance(seen[key], outcomes.Changed):
                    assert seen[key] == outcome
                    assert state.configuration.revision == revision
                else:
                    assert accepted == revision + 1 == expected + 1
                    assert accepted not in winners
                    winners[accepted] = key
            case outcomes.Refused():
                assert state.configuration.revision == revision
        seen.setdefault(key, outcome)
        if isinstance(outcome, outcomes.Changed):
            seen[key] = outcome


def test_change_id_of_a_different_change_is_refused():
    state = control.ControlState()
    state.apply(1, apply_document(change_id="x", document='"a"'))
    outcome = state.apply(
        2, apply_document(change_id="x", expected=1, document='"b"')
    )
    assert outcome.code == results.CHANGE_ID_REUSED


def test_only_a_lost_target_without_slots_is_removed():
    state = configured_state()
    state.apply(10, grant(commands.Slot(number=0), "t0"))
    forget = commands.ForgetTarget(target="t0", incarnation="i1")
    state.apply(11, forget)
    assert "t0" in state.targets
    epoch = state.targets["t0"].epoch
    state.apply(
        12,
        commands.ReportTarget(
            target="t0", incarnation="i1", epoch=epoch, lost=True
        ),
    )
    state.apply(13, commands.ForgetTarget(target="t0", incarnation="another"))
    assert "t0" in state.targets
    state.apply(14, forget)
    assert "t0" not in state.targets


def test_target_in_a_zone_that_is_out_gets_no_grant():
    state = control.ControlState()
    state.apply(1, apply_document())
    state.apply(2, announce("t0", "i1"))
    state.apply(
        3,
        commands.ChangeZone(
            change_id="z",
            expected_revision=1,
            operator="op",
            time_s=0.0,
            zone="zone-t0",
            out=True,
        ),
    )
    slot = commands.Slot(number=0)
    state.apply(
        4,
        commands.GrantSlots(
            desk="desk", placed=(commands.Placed(slot=slot, target="t0"),)
        ),
    )
    assert state.desks["desk"].slot(slot).owner == ""


def grant(slot, target):
    return commands.GrantSlots(
        desk="desk", placed=(commands.Placed(slot=slot, target=target),)
    )


def release(state, slot, target):
    token = state.desks["desk"].slot(slot).token
    return commands.ReleaseSlots(
        desk="desk",
        held=(commands.Held(slot=slot, token=token),),
        target=target,
        epoch=state.targets[target].epoch,
    )


def test_token_of_a_key_that_is_hot_twice_does_not_decrease():
    state = configured_state()
    hot = commands.Slot(number=5, hot=True)
    state.apply(10, grant(commands.Slot(number=1), "t0"))
    state.apply(11, commands.SplitKeys(desk="desk", key_hashes=(5,)))
    state.apply(12, release(state, hot, "t0"))
    state.apply(13, grant(hot, "t0"))
    assert owner_of(state, 5) == ("t0", 13)
    state.apply(14, commands.JoinKeys(desk="desk", key_hashes=(5,)))
    assert owner_of(state, 5)[1] >= 13
    state.apply(15, commands.SplitKeys(desk="desk", key_hashes=(5,)))
    assert owner_of(state, 5)[1] >= 13


def test_hot_key_keeps_owner_on_split_and_joins_only_same_owner():
    state = control.ControlState()
    state.apply(1, apply_document())
    state.apply(2, announce("t0", "i1"))
    state.apply(3, announce("t1", "i1"))
    parent = commands.Slot(number=1)
    hot = commands.Slot(number=5, hot=True)
    state.apply(
        4,
        commands.GrantSlots(
            desk="desk", placed=(commands.Placed(slot=parent, target="t0"),)
        ),
    )
    desk = state.desks["desk"]
    state.apply(5, commands.SplitKeys(desk="desk", key_hashes=(5,)))
    assert desk.slot_of(5) == hot
    assert desk.slot(hot).owner == "t0"
    token = desk.slot(hot).token
    state.apply(6, assign("t0"))
    release = commands.ReleaseSlots(
        desk="desk",
        held=(commands.Held(slot=hot, token=token),),
        target="t0",
        epoch=6,
    )
    state.apply(7, release)
    state.apply(
        8,
        commands.GrantSlots(
            desk="desk", placed=(commands.Placed(slot=hot, target="t1"),)
        ),
    )
    state.apply(9, commands.JoinKeys(desk="desk", key_hashes=(5,)))
    assert desk.slot_of(5) == hot
    assert desk.slot(parent).owner == "t0"


def test_a_snapshot_of_an_earlier_build_does_not_hide_its_last_change():
    state = control.ControlState()
    state.apply(1, registry.SetZone(zone="zone-a", out=True))
    state.apply(2, commands.Noop())
    assert state.binding_index == 1
    snapshot = json.loads(state.encode())
    del snapshot["registry"]["binding_index"]
    restored = control.ControlState.decode(json.dumps(snapshot).encode())
    assert restored.binding_index >= 1

"""Assignment of coordinators to targets."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from goldcrestproxy.routing import coordination

ZONES = ("za", "zb", "zc")
daemons = st.lists(
    st.builds(
        coordination.Daemon,
        host=st.just("h"),
        session=st.sampled_from([f"s{n}" for n in range(6)]),
        zone=st.sampled_from(ZONES),
        stopping=st.booleans(),
    ),
    max_size=6,
    unique_by=lambda daemon: daemon.session,
)
targets = st.lists(
    st.builds(
        coordination.TargetAssignment,
        target=st.sampled_from([f"t{n}" for n in range(30)]),
        zone=st.sampled_from(ZONES),
        session=st.sampled_from(["", *(f"s{n}" for n in range(6))]),
        revoking=st.booleans(),
    ),
    max_size=30,
    unique_by=lambda target: target.target,
)
zones_out = st.sets(st.sampled_from(ZONES))


@given(targets, daemons, zones_out)
def test_plan_respects_zones_and_stopping_hosts(
    given_targets, given_daemons, out
):
    plan = coordination.plan_coordinators(given_targets, given_daemons, out)
    by_name = {target.target: target for target in given_targets}
    by_session = {daemon.session: daemon for daemon in given_daemons}
    running = [d for d in given_daemons if not d.stopping]
    inside = [d for d in running if d.zone not in out]
    for session, names in plan.assign.items():
        assert not by_session[session].stopping
        if inside:
            assert by_session[session].zone not in out
        for name in names:
            assert not by_name[name].session
            near = [d for d in inside if d.zone == by_name[name].zone]
            if near:
                assert by_session[session].zone == by_name[name].zone
    for name in plan.revoke:
        assert by_name[name].session and not by_name[name].revoking
    if running:
        free = [t for t in given_targets if not t.session]
        assert sum(map(len, plan.assign.values())) == len(free)


def test_stopping_host_hands_over_all_targets_at_once():
    stopping = coordination.Daemon(
        host="h", session="s0", zone="za", stopping=True
    )
    other = coordination.Daemon(host="g", session="s1", zone="zb")
    held = [
        coordination.TargetAssignment(target=f"t{n}", zone="za", session="s0")
        for n in range(20)
    ]
    plan = coordination.plan_coordinators(held, [stopping, other], ())
    assert len(plan.revoke) == 20


def test_last_host_keeps_its_targets_while_it_stops():
    stopping = coordination.Daemon(
        host="h", session="s0", zone="za", stopping=True
    )
    held = [coordination.TargetAssignment(target="t", zone="za", session="s0")]
    assert not coordination.plan_coordinators(held, [stopping], ()).revoke


def test_rebalancing_moves_few_targets_at_once():
    busy = coordination.Daemon(host="h", session="s0", zone="za")
    idle = coordination.Daemon(host="g", session="s1", zone="za")
    held = [
        coordination.TargetAssignment(target=f"t{n}", zone="za", session="s0")
        for n in range(20)
    ]
    plan = coordination.plan_coordinators(held, [busy, idle], ())
    assert 0 < len(plan.revoke) <= coordination.CONCURRENT_MOVES_MAX

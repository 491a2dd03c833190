from __future__ import annotations

from goldcrestproxy.routing import coordination
from goldcrestproxy.routing import unreached_targets

DAEMONS = [
    coordination.Daemon(host=f"h{n}", session=f"s{n}", zone="za")
    for n in range(5)
]


class Simulation:
    """The leader's plans for one target, which some sessions reach."""

    def __init__(self, reached_by):
        self.reached_by = set(reached_by)
        self.now_s = 100.0
        self.session = "s0"
        self.epoch = 1
        self.reachable = True
        self.incarnation = "i1"
        self.moves = 0
        self._unreached = unreached_targets.UnreachedTargets()

    def run(self, duration_s):
        end_s = self.now_s + duration_s
        assigned_s = self.now_s
        while self.now_s < end_s:
            if self.now_s > assigned_s + 0.3:
                self.reachable = self.session in self.reached_by
            plan = self._plan()
            if plan.revoke:
                self.session = ""
                plan = self._plan()
                ((self.session, _),) = plan.assign.items()
                self.epoch += 1
                self.moves += 1
                assigned_s = self.now_s
            self.now_s += 0.1

    def _plan(self):
        target = unreached_targets.CoordinatedTarget(
            target="t",
            incarnation=self.incarnation,
            session=self.session,
            epoch=self.epoch,
            reachable=self.reachable,
        )
        unreached_by = self._unreached.update([target], self.now_s)
        return coordination.plan_coordinators(
            [
                coordination.TargetAssignment(
                    target="t",
                    zone="za",
                    session=self.session,
                    reachable=self.reachable,
                    unreached_by=unreached_by.get("t", frozenset()),
                )
            ],
            DAEMONS,
            (),
        )


def test_a_host_that_reaches_the_target_coordinates_it_within_seconds():
    for reaching in ("s1", "s2"):
        simulation = Simulation({reaching})
        simulation.run(4.0)
        assert simulation.session == reaching
        assert simulation.reachable


def test_a_coordinator_that_reaches_its_target_keeps_it():
    simulation = Simulation({"s0"})
    simulation.run(100.0)
    assert simulation.moves == 0


def test_a_target_that_is_down_is_tried_once_by_each_host():
    simulation = Simulation(set())
    simulation.run(30.0)
    assert simulation.moves == coordination.UNREACHED_BY_MAX - 1


def test_a_new_incarnation_may_have_any_coordinator():
    simulation = Simulation(set())
    simulation.run(10.0)
    simulation.incarnation = "i2"
    simulation.reached_by = {simulation.session}
    simulation.run(10.0)
    assert simulation.reachable
    assert simulation.moves == coordination.UNREACHED_BY_MAX - 1


def test_a_host_that_misses_targets_of_others_gets_no_more():
    """It has lost all its targets, so it is the least loaded."""
    held = [
        coordination.TargetAssignment(
            target=f"t{n}",
            zone="za",
            session=f"s{n % 2 + 1}",
            unreached_by=frozenset({"s0"} if n < 4 else ()),
        )
        for n in range(20)
    ]
    free = coordination.TargetAssignment(target="t", zone="za")
    plan = coordination.plan_coordinators([*held, free], DAEMONS[:3], ())
    assert plan.revoke == ()
    assert "s0" not in plan.assign
    plan = coordination.plan_coordinators([*held, free], DAEMONS[:1], ())
    assert plan.assign == {"s0": ("t",)}

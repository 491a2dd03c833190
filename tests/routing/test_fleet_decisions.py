"""Routing decisions for requests to a fleet's targets."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from goldcrestproxy import registry
from goldcrestproxy.routing import cold_rate
from goldcrestproxy.routing import connect_timeout
from goldcrestproxy.routing import demand
from goldcrestproxy.routing import fleet_retries
from goldcrestproxy.routing import key_placement
from goldcrestproxy.routing import load_split
from goldcrestproxy.routing import route_table
from goldcrestproxy.routing import target_choice
from goldcrestproxy.routing import weighted_round_robin


def route_item(name, host="a.example", prefix="/x/", shares=(("s", 1.0),)):
    return registry.Item(
        key=registry.ItemKey(kind=registry.ItemKind.ROUTE, name=name),
        version=1,
        value=registry.Route(
            host=host,
            path_prefix=prefix,
            kind=registry.RouteKind.SAFE,
            timeout_ms=500,
            target_latency_ms=200,
            rank=1,
            attempts_max=2,
            shares=tuple(
                registry.ServiceShare(service=service, weight=weight)
                for service, weight in shares
            ),
        ),
    )


def test_the_longest_prefix_wins():
    table = route_table.RouteTable(
        [route_item("short"), route_item("long", prefix="/x/y/")]
    )
    assert table.match("a.example", "/x/y/1").name == "long"
    assert table.match("A.example", "/x/1").name == "short"
    assert table.match("a.example", "/y/1") is None
    assert table.match("b.example", "/x/1") is None


@given(st.lists(st.floats(0, 100), min_size=1, max_size=5))
def test_round_robin_keeps_to_the_weights_in_any_short_run(weights):
    schedule = weighted_round_robin.WeightedRoundRobin(
        {str(n): weight for n, weight in enumerate(weights)}
    )
    total = sum(weights)
    drawn = [schedule.next() for _ in range(50)]
    if total <= 0:
        assert set(drawn) == {None}
        return
    for n, weight in enumerate(weights):
        assert abs(drawn.count(str(n)) - 50 * weight / total) <= len(weights)


def test_a_change_of_other_routes_does_not_restart_a_schedule():
    shares = (("a", 1.0), ("b", 1.0))
    old = route_table.RouteTable([route_item("r", shares=shares)])
    first = old.choose_service(old.match("a.example", "/x/"))
    new = route_table.RouteTable(
        [route_item("r", shares=shares), route_item("q", prefix="/q/")]
    )
    new.reuse_schedules(old)
    second = new.choose_service(new.match("a.example", "/x/"))
    assert {first, second} == {"a", "b"}


def may_retry(failure, **changes):
    arguments = {
        "idempotent": True,
        "keyed": False,
        "body_replayable": True,
        "attempts": 1,
        "attempts_max": 2,
        "time_left_s": 1.0,
        "take_budget": lambda: True,
    }
    return fleet_retries.may_retry(failure, **{**arguments, **changes})


@pytest.mark.parametrize(
    ("failure", "changes", "again"),
    [
        (fleet_retries.NotRun(text=""), {"idempotent": False}, True),
        (fleet_retries.MaybeRun(text=""), {}, True),
        (fleet_retries.MaybeRun(text=""), {"idempotent": False}, False),
        (fleet_retries.MaybeRun(text="", timed_out=True), {}, False),
        (fleet_retries.Failed(status=500), {}, True),
        (fleet_retries.Failed(status=500), {"idempotent": False}, False),
        (fleet_retries.NotRun(text="", full=True), {"keyed": True}, False),
        (fleet_retries.NotRun(text="", full=True), {}, True),
        (fleet_retries.NotRun(text=""), {"attempts": 2}, False),
        (fleet_retries.NotRun(text=""), {"body_replayable": False}, False),
        (fleet_retries.NotRun(text=""), {"take_budget": lambda: False}, False),
        (
            fleet_retries.NotRun(text=""),
            {"attempts": 0, "take_budget": lambda: False},
            True,
        ),
        (fleet_retries.NotRun(text=""), {"time_left_s": 0.0}, False),
    ],
)
def test_what_is_sent_again(failure, changes, again):
    assert may_retry(failure, **changes) is again


@given(
    hosts=st.integers(1, 90),
    steps=st.lists(st.tuples(st.floats(0, 2), st.booleans()), max_size=300),
)
def test_all_hosts_together_keep_to_the_budget(hosts, steps):
    """All hosts take the same steps, the worst case for the total."""
    ratio, slack, window_s = 0.1, 56.0, 10.0
    budget = fleet_retries.SharedRetryBudget(
        ratio=ratio, slack=slack, window_s=window_s
    )
    now_s, requests, taken = 0.0, [], []
    for pause_s, wants in steps:
        now_s += pause_s
        budget.record_request()
        requests.append(now_s)
        if wants and budget.take(now_s, hosts):
            taken.append(now_s)
    for end_s in taken:
        inside = [t for t in taken if end_s - window_s < t <= end_s]
        recent = [t for t in requests if end_s - 2 * window_s < t <= end_s]
        allowed = 2 * slack + max(1, slack / hosts) * hosts
        assert len(inside) * hosts <= (
            ratio * len(recent) * hosts + allowed + hosts
        )


def most_in_a_second(sent_s):
    return max(sum(s <= t < s + 1 for t in sent_s) for s in sent_s)


def test_a_cold_target_gets_its_rate_from_all_hosts_together():
    leader = cold_rate.ColdPermits(started_s=-60.0)
    sent = []
    for step in range(3000):
        now_s = step / 1000
        for _ in range(8):
            if leader.take_permit("t", 1, 18.0, now_s, 8) == 0:
                sent.append(now_s)
    assert most_in_a_second(sent) <= 18 + 8
    assert len(sent) >= 3 * 18


def test_a_new_leader_gives_no_permit_that_an_earlier_one_gave():
    sent = []
    leader = cold_rate.ColdPermits(started_s=-60.0)
    for step in range(2000):
        now_s = step / 1000
        if step % 100 == 0:
            leader = cold_rate.ColdPermits(started_s=now_s)
        if leader.take_permit("t", 1, 18.0, now_s, 8) == 0:
            sent.append(now_s)
    assert most_in_a_second(sent or [0.0]) <= 18


def test_slots_of_hosts_without_a_leader_do_not_add_up():
    rng = random.Random(3)
    hosts = [cold_rate.ColdRateLimiter(phase=rng.random()) for _ in range(63)]
    for host in hosts:
        host.start(0.0, rng.random())
    sent = []
    for step in range(0, 60_000, 10):
        now_s = step / 1000
        # No host has requests for the first half minute.
        for host in hosts if step > 30_000 else []:
            if host.has_room(now_s) and host.take_slot(now_s, 5.5, 63):
                sent.append(now_s)
    assert most_in_a_second(sent) <= 5.5 * 1.5 + 8
    assert len(sent) >= 0.4 * 5.5 * 29


def capacities():
    """Return targets with work times in the ratio 1 to 3, as users have."""
    return {
        f"t{n}": load_split.TargetCapacity(slots=4, work_ms=ms)
        for n, ms in enumerate([33.0] * 5 + [66.0] * 11 + [99.0] * 5)
    }


@pytest.mark.parametrize("requests_per_s", [50.0, 380.0, 776.0, 2000.0])
def test_fast_targets_get_more_and_every_target_gets_some(requests_per_s):
    parts = load_split.divide(capacities(), requests_per_s)
    assert sum(parts.values()) == pytest.approx(1)
    assert parts["t0"] > 1.9 * parts["t6"] > 1.4 * 1.9 * parts["t20"]
    assert min(parts.values()) > 0


def test_no_target_is_assigned_more_than_its_capacity():
    for requests_per_s in (100.0, 776.0, 1100.0):
        parts = load_split.divide(capacities(), requests_per_s)
        for name, capacity in capacities().items():
            assert parts[name] * requests_per_s < capacity.requests_per_s


def test_light_load_leaves_slow_targets_nearly_idle():
    parts = load_split.divide(capacities(), 200.0)
    proportional = load_split.divide(capacities(), 0.0)
    assert parts["t20"] < 0.5 * proportional["t20"]


def test_adjacent_blocks_go_to_different_targets():
    owners = key_placement.assign_blocks([1.0] * 21, 1008)
    for at in range(0, 1008 - 21, 21):
        assert len(set(owners[at : at + 21])) == 21


@given(
    st.dictionaries(st.integers(0, 999), st.floats(0, 0.3), max_size=60),
    st.floats(0, 1),
)
def test_released_blocks_never_exceed_the_excess(owned, share):
    released = key_placement.blocks_to_release(owned, share)
    assert set(released) <= set(owned)
    if share <= 0:
        assert len(released) == len(owned)
    else:
        excess = sum(owned.values()) - share
        assert sum(owned[b] for b in released) <= max(0, excess) + 1e-9


@given(
    st.dictionaries(
        st.integers(0, 999), st.floats(0, 0.3), min_size=1, max_size=60
    ),
    st.floats(0.01, 1),
)
def test_a_target_below_its_share_takes_at_least_one_block(free, share):
    rng = random.Random(1)
    taken = key_placement.blocks_to_take(free, {}, share, rng)
    assert taken
    full = {1000 + n: 0.0 for n in range(key_placement.OWNED_BLOCKS_MAX)}
    assert not key_placement.blocks_to_take(free, full, share, rng)


def test_blocks_that_nobody_took_go_to_whoever_asks():
    """Fast targets may be at their limit and slow ones at their share."""
    rng = random.Random(1)
    owned = {1000 + n: 0.01 for n in range(20)}
    free = {1: 0.001, 2: 0.001}
    assert key_placement.blocks_to_take(free, owned, 0.1, rng) == []
    assert key_placement.blocks_to_take(
        free, owned, 0.1, rng, overdue=[1, 2]
    ) == [1, 2]
    assert not key_placement.blocks_to_take(
        free, owned, 0.0, rng, overdue=[1, 2]
    )


def test_a_hot_block_is_detected_within_a_second():
    measured = demand.KeyDemand()
    sizes = dict.fromkeys(range(100), 10)
    for step in range(100):
        for block in range(100):
            if step % 10 == block % 10:
                measured.count(block, 1, step / 10)
    baseline = measured.weights(sizes, 10.0)
    assert baseline[7] == pytest.approx(0.01, rel=0.5)
    for step in range(6):
        measured.count(7, 10, 10 + step / 10)
    assert measured.weights(sizes, 10.6)[7] > 0.2


def test_a_few_requests_do_not_make_a_block_hot():
    """Polls of the same keys on an idle service must not move keys."""
    measured = demand.KeyDemand()
    sizes = dict.fromkeys(range(0, 14_400, 100), 100)
    for block in (0, 3000, 6000):
        measured.count(block, 3, 1.0)
    weights = measured.weights(sizes, 1.0)
    assert sum(weights.values()) == pytest.approx(1)
    for block in (0, 3000, 6000):
        assert key_placement.piece_count(weights[block], 100, 1 / 3) == 1


def test_a_few_answers_have_little_effect_on_the_work_time():
    work_time = demand.TargetWorkTime()
    work_time.record(1000.0, 2, 1.0)
    assert demand.estimated_work_ms(work_time, 100.0, 1.0) < 150
    work_time.record(50_000.0, 100, 2.0)
    assert demand.estimated_work_ms(work_time, 100.0, 2.0) > 400


def stats(**changes):
    made = target_choice.TargetStats(slots=4)
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def test_a_reported_slowdown_diverts_requests_at_once():
    fast, slow = stats(work_ms=60.0), stats(work_ms=60.0)
    slow.record_load(
        target_choice.LoadReport(running=1, waiting=0, slots=4, slowdown=3.0),
        1.0,
    )
    chosen = target_choice.choose_from_pool(
        [
            target_choice.PoolMember(target="slow", zone="a", stats=slow),
            target_choice.PoolMember(target="fast", zone="b", stats=fast),
        ],
        "a",
        1.1,
        random.Random(1),
    )
    assert chosen.target == "fast"


def test_requests_back_off_from_a_failing_target_and_probe_it():
    failing = stats()
    failing.record_failure(1.0)
    assert not failing.is_backing_off(1.0)
    failing.record_failure(1.0)
    assert failing.is_backing_off(1.1)
    assert not failing.is_backing_off(1.0 + target_choice.BACK_OFF_S)
    failing.record_start()
    assert failing.is_backing_off(1.0 + target_choice.BACK_OFF_S)
    failing.record_answer(50.0)
    assert not failing.is_backing_off(1.1)


def test_late_requests_are_shed_the_less_urgent_first():
    busy = stats(work_ms=100.0)
    busy.record_load(
        target_choice.LoadReport(running=4, waiting=16, slots=4), 1.0
    )

    def late(left_ms, urgent):
        return target_choice.would_miss_deadline(
            busy, left_ms, 1.0, urgent=urgent
        )

    assert late(400.0, True)
    assert not late(500.0, True)
    assert late(600.0, False)
    assert not late(900.0, False)


def test_connections_are_made_over_a_full_link():
    """Each takes 400 ms; with the minimum timeout none would succeed."""
    timeout = connect_timeout.ConnectTimeout()
    made = 0
    for _ in range(40):
        if timeout.timeout_ms >= 400:
            timeout.record_connection(400.0)
            made += 1
        else:
            timeout.record_timeout()
    assert made > 20
    for _ in range(60):
        timeout.record_connection(3.0)
    assert timeout.timeout_ms == connect_timeout.TIMEOUT_MS_MIN


def test_a_few_dead_targets_do_not_make_a_host_patient():
    timeout = connect_timeout.ConnectTimeout()
    for number in range(200):
        if number % 10:
            timeout.record_connection(4.0)
        else:
            timeout.record_timeout()
    assert timeout.timeout_ms < 2 * connect_timeout.TIMEOUT_MS_MIN


def test_too_little_time_is_no_failure_of_the_target():
    busy = stats(work_ms=240.0)
    assert not busy.is_overdue(400.0, 1.0)
    assert busy.is_overdue(1500.0, 1.0)


def test_chance_cuts_no_block():
    """Early on, three requests are a large share for one of 9,000 blocks."""
    measured = demand.KeyDemand()
    sizes = dict.fromkeys(range(9000), 7)
    for block in range(0, 9000, 13):
        measured.count(block, 3, 1.0)
    counted = measured.requests(1.0)
    assert max(counted.values()) < demand.SPLIT_REQUESTS_MIN
    weights = measured.weights(sizes, 1.0, prior_requests=198 * 40)
    assert max(weights.values()) < 0.3 / 198


def test_one_services_requests_buy_no_repetitions_of_another():
    budgets = fleet_retries.ServiceRetryBudgets(
        ratio=0.2, slack=4.0, window_s=10.0
    )
    for _ in range(1000):
        budgets.of("busy").record_request()
    taken = sum(budgets.of("failing").take(1.0, 1) for _ in range(1000))
    assert taken <= 4


@pytest.mark.parametrize("elapsed_s", [2.5, 4.0, 10.0, 60.0])
@pytest.mark.parametrize("rate_per_s", [50, 1200])
def test_rate_of_requests_is_right_soon_after_traffic_starts(
    elapsed_s, rate_per_s
):
    measured = demand.KeyDemand()
    step_s = 0.1
    for step in range(int(elapsed_s / step_s)):
        now_s = 100.0 + step * step_s
        measured.count(step % 7, int(rate_per_s * step_s), now_s)
    found = measured.requests_per_s(100.0 + elapsed_s)
    assert rate_per_s * 0.9 <= found <= rate_per_s * 1.15


def test_no_rate_of_requests_is_known_at_first():
    measured = demand.KeyDemand()
    assert measured.requests_per_s(100.0) == 0
    measured.count(1, 500, 100.0)
    assert measured.requests_per_s(100.5) == 0

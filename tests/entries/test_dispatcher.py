"""Answers and refusals of the dispatcher when attempts fail.

The fleet and the sender are fakes, so no network is involved.
"""

from __future__ import annotations

import asyncio
import random
import types

import attrs
import pytest

from goldcrestproxy.control import observations
from goldcrestproxy import entries
from goldcrestproxy.entries import body_identity
from goldcrestproxy.entries import fleet_map
from goldcrestproxy.entries import sending
from goldcrestproxy import errors
from goldcrestproxy import registry
from goldcrestproxy import results
from goldcrestproxy.routing import cold_rate
from goldcrestproxy.routing import customers
from goldcrestproxy.routing import fleet_retries
from goldcrestproxy.routing import request_limits
from goldcrestproxy.routing import route_table
from goldcrestproxy.routing import target_choice
from goldcrestproxy.routing import target_contact
from goldcrestproxy import settings
from goldcrestproxy import targets
from goldcrestproxy import telemetry
from goldcrestproxy import wire

ANSWER = entries.FleetAnswer(status=200, headers=(), body=b"done")
# Outcomes of attempts that never end.
NO_CONNECTION, SILENCE = object(), object()
NO_BODY = body_identity.NoBody()
FAILURE = entries.FleetAnswer(status=500, headers=(), body=b"failed")
REQUEST = entries.FleetRequest(
    request_id="r1",
    method="GET",
    host="a.example",
    request_target="/x/1",
    headers=(),
    key=5,
    body=None,
    body_bytes=0,
    deadline_ms=500,
)
TARGET = registry.RegisteredTarget(
    target="t1",
    incarnation=1,
    service="s",
    zone="zone-a",
    address="10.0.0.1:80",
    slots=4,
)


def route(kind):
    return registry.Item(
        key=registry.ItemKey(kind=registry.ItemKind.ROUTE, name="r"),
        version=1,
        value=registry.Route(
            host="a.example",
            path_prefix="/x/",
            kind=kind,
            timeout_ms=500,
            target_latency_ms=200,
            rank=0,
            attempts_max=2,
            shares=(registry.ServiceShare(service="s", weight=1.0),),
        ),
    )


class FakeFleet:
    """A fleet map with one keyed service and one target."""

    current = True
    connected = True
    may_refuse_unknown = True
    may_serve = True
    revision = 1
    entry_hosts = 1

    def __init__(self, kind):
        self.routes = route_table.RouteTable([route(kind)])
        self.customers = customers.CustomerTable([])
        self.services = {
            "s": registry.Service(
                health_path="/",
                connections_max=9,
                cold_ms=0,
                cold_requests_per_s=9.0,
                keyed=True,
            )
        }
        self.target = fleet_map.TrackedTarget(
            record=TARGET,
            stats=target_choice.TargetStats(slots=4),
            rate=cold_rate.ColdRateLimiter(phase=0.0),
        )
        self.targets = {"t1": self.target}
        self.cold = False
        self.misdirected = False
        self.on_wait = lambda: None
        self.observations = observations.Observations()
        self.quarantined = set()
        self.suspected = set()
        self.cleared = set()
        # Answers to the questions for permits, in order.
        self.permits = []
        # The same for cold targets.
        self.cold_permits = [False]
        self.on_ask = lambda: None

    async def ask_permit(self, target):
        await asyncio.sleep(0)
        self.on_ask()
        if not self.permits:
            await asyncio.Event().wait()
        permitted = self.permits.pop(0)
        if not permitted:
            target.request_limit.record_denial(300, 1.0)
        return permitted

    async def ask_cold_permit(self, target):
        await asyncio.sleep(0)
        permitted = self.cold_permits.pop(0)
        if not permitted:
            target.rate.record_denial(300, 1.0)
        return permitted

    def name_small_limit(self):
        """Let the leader and seven other hosts know of a limit."""
        self.entry_hosts = 8
        self.target.request_limit.record_fleet(
            request_limits.FleetLimit(limit_per_s=0.5), 1.0
        )

    def describe_copy(self):
        return {}

    async def ask_if_newest(self, _timeout_s):
        await asyncio.sleep(0)
        self.on_wait()

    @property
    def has_suspects(self):
        return bool(self.suspected)

    def clear_suspicion(self, fingerprint):
        self.cleared |= self.suspected & {fingerprint}
        return fingerprint in self.suspected

    def is_keyed(self, name):
        return self.services[name].keyed

    def available_targets(self, _service):
        return list(self.targets.values())

    def is_available(self, target):
        return self.targets.get(target.name) is target

    def owner(self, _service, _key):
        return None if self.misdirected else self.target

    def mark_misdirected(self, _service, _key):
        self.misdirected = True

    def is_cold(self, _target):
        return self.cold

    def cold_left_ms(self, _target):
        return 1000 if self.cold else 0

    def count_request(self, _service, _key):
        pass

    async def wait_change(self, _timeout_s):
        await asyncio.sleep(0)
        self.on_wait()
        self.misdirected = False


@attrs.define
class FakeSender:
    """Returns or raises the given outcomes, one for each attempt."""

    fleet: FakeFleet
    outcomes: list
    pause_after: bool = False
    sent: int = 0
    deadlines_s: list = attrs.field(factory=list)
    targets: list = attrs.field(factory=list)
    new_connections: list = attrs.field(factory=list)
    on_send: object = lambda: None
    on_connect: object = lambda: None

    async def send(self, _request, _body, target, *, on_sent, **options):
        self.deadlines_s.append(options["deadline_s"])
        self.targets.append(target.name)
        self.new_connections.append(options["new_connection"])
        outcome = self.outcomes.pop(0)
        if outcome is NO_CONNECTION:
            await asyncio.Event().wait()
        self.on_connect()
        if not options["is_allowed"]():
            raise sending.TurnedAwayError
        on_sent(0.0)
        self.sent += 1
        self.on_send()
        if outcome is SILENCE:
            await asyncio.Event().wait()
        if self.pause_after:
            self.fleet.target.stats.back_off_until_s = 10.0
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


class FakeQuotas:
    """Lets a number of attempts through, and counts those given back."""

    def __init__(self, tokens=0):
        self.tokens = tokens

    async def take(self, customer, _deadline_s):
        if not self.take_further(customer):
            raise results.refusal(results.OVER_QUOTA, customer, 300)

    def take_further(self, _customer):
        self.tokens -= 1
        return self.tokens >= 0

    def give_back(self, _customer):
        self.tokens += 1


def make_dispatcher(
    fleet, sender, request_passing=None, contact=None, quotas=None
):
    def clock():
        return 1.0

    rng = random.Random(1)
    metrics = telemetry.make_metrics(settings.Telemetry(), "test")
    refusals = entries.DispatchRefusals(rng)
    suspects = entries.Suspects(fleet, refusals, clock)
    return entries.Dispatcher(
        fleet,
        sender,
        request_passing or entries.RequestPassing(None, "zone-a", clock, rng),
        entries.TargetSelection(
            fleet,
            contact or target_contact.TargetContact(),
            entries.TargetLimits(fleet, suspects, refusals, metrics, clock),
            suspects,
            refusals,
            "zone-a",
            clock,
            rng,
        ),
        suspects,
        refusals,
        fleet_retries.ServiceRetryBudgets(
            ratio=0.1, slack=10.0, window_s=10.0
        ),
        quotas or FakeQuotas(),
        metrics,
        clock,
    )


def dispatch(fleet, sender):
    dispatcher = make_dispatcher(fleet, sender)
    named_route = dispatcher.find_route(REQUEST)
    return asyncio.run(dispatcher.dispatch(REQUEST, named_route))


def dispatch_until_stop(fleet, sender):
    """Dispatch a request, and end all requests once it waits."""

    async def scenario():
        dispatcher = make_dispatcher(fleet, sender)
        named_route = dispatcher.find_route(REQUEST)
        task = asyncio.create_task(dispatcher.dispatch(REQUEST, named_route))
        await asyncio.sleep(0.05)
        assert not task.done()
        dispatcher.end_all()
        return await task

    return asyncio.run(scenario())


def failed(failure, answer=None):
    return sending.SendError(failure, answer)


SAFE = registry.RouteKind.SAFE
UNSAFE = registry.RouteKind.UNSAFE


def test_idempotent_request_is_retried_after_failure():
    fleet = FakeFleet(SAFE)
    sender = FakeSender(
        fleet, [failed(fleet_retries.MaybeRun(text="cut")), ANSWER]
    )
    assert dispatch(fleet, sender) is ANSWER
    assert sender.sent == 2


def test_malformed_answers_are_retried_and_counted():
    fleet = FakeFleet(SAFE)
    malformed = sending.SendError(
        fleet_retries.MaybeRun(text="content-length"),
        broken_rule=targets.AnswerRule.CONTENT_LENGTH,
    )
    dispatcher = make_dispatcher(fleet, FakeSender(fleet, [malformed, ANSWER]))
    named_route = dispatcher.find_route(REQUEST)
    answer = asyncio.run(dispatcher.dispatch(REQUEST, named_route))
    assert answer is ANSWER
    totals = dispatcher._metrics.read_totals()
    assert totals["goldcrestproxy.malformed_answers"] == 1


@pytest.mark.parametrize("kind", [SAFE, UNSAFE])
def test_retry_at_the_same_target_uses_a_new_connection(kind):
    """An earlier refusal that is written again has the same id."""
    fleet = FakeFleet(kind)
    refused = fleet_retries.NotRun(
        text="refused", misdirected=True, refused=True
    )
    sender = FakeSender(fleet, [failed(refused), ANSWER])
    assert dispatch(fleet, sender) is ANSWER
    assert sender.targets == ["t1", "t1"]
    assert sender.new_connections == [False, True]


def test_non_idempotent_request_is_not_retried():
    fleet = FakeFleet(UNSAFE)
    sender = FakeSender(
        fleet, [failed(fleet_retries.MaybeRun(text="cut")), ANSWER]
    )
    with pytest.raises(errors.RefusedError) as caught:
        dispatch(fleet, sender)
    assert caught.value.code == results.OUTCOME_UNKNOWN
    assert sender.sent == 1


def test_target_failure_is_returned_when_no_retry_is_possible():
    """The owner is paused after its failure; its answer must not be lost."""
    fleet = FakeFleet(SAFE)
    sender = FakeSender(
        fleet,
        [failed(fleet_retries.Failed(status=500), FAILURE)],
        pause_after=True,
    )
    assert dispatch(fleet, sender) is FAILURE


def test_request_that_may_have_run_is_not_refused_as_not_run():
    fleet = FakeFleet(SAFE)
    sender = FakeSender(
        fleet, [failed(fleet_retries.MaybeRun(text="cut"))], pause_after=True
    )
    with pytest.raises(errors.RefusedError) as caught:
        dispatch(fleet, sender)
    outcome = results.BY_CODE[caught.value.code].outcome
    assert outcome is results.Outcome.UNKNOWN


def test_refusal_before_any_attempt_is_not_run_with_retry_after():
    fleet = FakeFleet(UNSAFE)
    fleet.cold = True
    sender = FakeSender(fleet, [])
    with pytest.raises(errors.RefusedError) as caught:
        dispatch(fleet, sender)
    assert results.BY_CODE[caught.value.code].outcome is (
        results.Outcome.NOT_RUN
    )
    assert caught.value.retry_after_ms > 0
    assert sender.sent == 0


def test_request_without_routes_is_refused_as_unavailable():
    fleet = FakeFleet(SAFE)
    fleet.current = False
    with pytest.raises(errors.RefusedError) as caught:
        dispatch(fleet, FakeSender(fleet, []))
    assert results.BY_CODE[caught.value.code].status == 503


def test_request_for_lost_owner_is_refused_at_once():
    fleet = FakeFleet(SAFE)
    fleet.target.record = attrs.evolve(TARGET, lost=True)
    sender = types.SimpleNamespace(sent=0)
    with pytest.raises(errors.RefusedError) as caught:
        dispatch(fleet, sender)
    assert caught.value.code == results.NO_TARGET


def test_request_for_a_full_target_is_refused_at_once():
    """The target would reset its connection."""
    fleet = FakeFleet(UNSAFE)
    load = target_choice.LoadReport(running=4, waiting=1, slots=4)
    fleet.target.stats.record_load(load, 1.0)
    fleet.target.room.record_reset(5, 1.0)
    sender = FakeSender(fleet, [])
    with pytest.raises(errors.RefusedError) as caught:
        dispatch(fleet, sender)
    assert caught.value.code == results.OVERLOADED
    assert caught.value.retry_after_ms > 0
    assert sender.sent == 0


def test_quarantined_request_is_refused_without_an_attempt():
    fleet = FakeFleet(registry.RouteKind.SAFE)
    sender = FakeSender(fleet, [ANSWER])
    fleet.quarantined.add(REQUEST.fingerprint(NO_BODY))
    with pytest.raises(errors.RefusedError) as refused:
        dispatch(fleet, sender)
    assert refused.value.code == results.QUARANTINED
    assert sender.sent == 0


def test_request_beyond_its_owners_limit_is_refused_at_once_as_not_run():
    fleet = FakeFleet(UNSAFE)
    fleet.target.request_limit.record_answer(0.5, 1.0)
    sender = FakeSender(fleet, [])
    with pytest.raises(errors.RefusedError) as refused:
        dispatch(fleet, sender)
    assert refused.value.code == results.OVERLOADED
    assert results.BY_CODE[refused.value.code].outcome is (
        results.Outcome.NOT_RUN
    )
    assert refused.value.retry_after_ms > 0
    assert sender.sent == 0
    report = wire.ttypes.WatchRequest()
    fleet.observations.flush_into(report)
    (limit,) = report.limits
    assert (limit.target, limit.offered_requests) == ("t1", 1)


def test_callers_are_told_when_the_first_target_of_the_pool_has_room():
    fleet = FakeFleet(SAFE)
    fleet.services["s"] = attrs.evolve(fleet.services["s"], keyed=False)
    fleet.target.request_limit.record_answer(0.1, 1.0)
    other = fleet_map.TrackedTarget(
        record=attrs.evolve(TARGET, target="t2"),
        stats=target_choice.TargetStats(slots=4),
        rate=cold_rate.ColdRateLimiter(phase=0.0),
    )
    other.request_limit.record_answer(2.0, 1.0)
    fleet.targets["t2"] = other
    for _ in range(10):
        with pytest.raises(errors.RefusedError) as refused:
            dispatch(fleet, FakeSender(fleet, []))
        assert 500 <= refused.value.retry_after_ms <= 1000


def test_request_is_sent_if_the_leader_permits_it():
    fleet = FakeFleet(UNSAFE)
    fleet.name_small_limit()
    fleet.permits = [True]
    assert dispatch(fleet, FakeSender(fleet, [ANSWER])) is ANSWER


def test_request_without_a_permit_is_refused_at_once_as_not_run():
    fleet = FakeFleet(UNSAFE)
    fleet.name_small_limit()
    fleet.permits = [False]
    for _ in range(2):
        # The leader is not asked again before the time that it said.
        with pytest.raises(errors.RefusedError) as refused:
            dispatch(fleet, FakeSender(fleet, []))
        assert refused.value.code == results.OVERLOADED
        assert refused.value.retry_after_ms >= 300


def test_request_without_a_permit_goes_to_another_target_of_the_pool():
    fleet = FakeFleet(SAFE)
    fleet.services["s"] = attrs.evolve(fleet.services["s"], keyed=False)
    fleet.name_small_limit()
    fleet.permits = [False]
    fleet.targets["t2"] = fleet_map.TrackedTarget(
        record=attrs.evolve(TARGET, target="t2", zone="zone-b"),
        stats=target_choice.TargetStats(slots=1, work_ms=400.0),
        rate=cold_rate.ColdRateLimiter(phase=0.0),
    )
    sender = FakeSender(fleet, [ANSWER])
    assert dispatch(fleet, sender) is ANSWER
    assert sender.targets == ["t2"]


def test_request_for_a_cold_target_is_sent_if_the_leader_permits_it():
    fleet = FakeFleet(UNSAFE)
    fleet.cold = True
    fleet.cold_permits = [True]
    assert dispatch(fleet, FakeSender(fleet, [ANSWER])) is ANSWER


def test_cold_target_without_a_permit_leaves_the_request_to_another():
    fleet = FakeFleet(SAFE)
    fleet.services["s"] = attrs.evolve(fleet.services["s"], keyed=False)
    fleet.targets["t2"] = fleet_map.TrackedTarget(
        record=attrs.evolve(TARGET, target="t2", zone="zone-b"),
        stats=target_choice.TargetStats(slots=1, work_ms=400.0),
        rate=cold_rate.ColdRateLimiter(phase=0.0),
    )
    fleet.is_cold = lambda target: target.name == "t1"
    sender = FakeSender(fleet, [ANSWER])
    assert dispatch(fleet, sender) is ANSWER
    assert sender.targets == ["t2"]


@pytest.mark.parametrize("permitted", [True, False])
def test_target_that_turns_cold_before_the_sending_needs_a_permit(permitted):
    fleet = FakeFleet(UNSAFE)
    fleet.cold_permits = [permitted]

    def turn_cold():
        fleet.cold = True

    sender = FakeSender(fleet, [ANSWER, ANSWER], on_connect=turn_cold)
    if permitted:
        assert dispatch(fleet, sender) is ANSWER
        assert sender.sent == 1
        return
    with pytest.raises(errors.RefusedError) as caught:
        dispatch(fleet, sender)
    assert results.BY_CODE[caught.value.code].outcome is (
        results.Outcome.NOT_RUN
    )
    assert sender.sent == 0


@pytest.mark.parametrize("awaited_permits", [0, 1])
def test_no_request_waits_for_a_permit_beyond_its_deadline(awaited_permits):
    fleet = FakeFleet(SAFE)
    fleet.name_small_limit()
    fleet.permits = [True] * awaited_permits
    sender = FakeSender(
        fleet, [failed(fleet_retries.MaybeRun(text="cut"))] * awaited_permits
    )
    request = attrs.evolve(REQUEST, deadline_ms=100)

    async def scenario():
        dispatcher = make_dispatcher(fleet, sender)
        async with asyncio.timeout(0.2):
            await dispatcher.dispatch(request, dispatcher.find_route(request))

    with pytest.raises(errors.RefusedError) as refused:
        asyncio.run(scenario())
    assert refused.value.code == (
        results.OUTCOME_UNKNOWN if awaited_permits else results.OVERLOADED
    )


def test_key_that_moves_while_a_permit_is_awaited_is_served_by_its_new_owner():
    fleet = FakeFleet(UNSAFE)
    fleet.name_small_limit()
    fleet.permits = [True]
    former = fleet.target
    fleet.targets["t2"] = fleet_map.TrackedTarget(
        record=attrs.evolve(TARGET, target="t2"),
        stats=target_choice.TargetStats(slots=4),
        rate=cold_rate.ColdRateLimiter(phase=0.0),
    )

    def move():
        fleet.target = fleet.targets["t2"]

    fleet.on_ask = move
    sender = FakeSender(fleet, [ANSWER])
    assert dispatch(fleet, sender) is ANSWER
    assert sender.targets == ["t2"]
    assert fleet.target is not former


def test_quarantine_that_arrives_while_a_permit_is_awaited_binds():
    fleet = FakeFleet(SAFE)
    fleet.name_small_limit()
    fleet.permits = [True]
    fleet.on_ask = lambda: fleet.quarantined.add(REQUEST.fingerprint(NO_BODY))
    sender = FakeSender(fleet, [ANSWER])
    with pytest.raises(errors.RefusedError) as refused:
        dispatch(fleet, sender)
    assert refused.value.code == results.QUARANTINED
    assert sender.sent == 0


def test_retry_beyond_a_limit_does_not_hide_that_the_first_may_have_run():
    fleet = FakeFleet(SAFE)
    fleet.target.request_limit.tokens = 1.0
    fleet.target.request_limit.record_answer(0.5, 1.0)
    sender = FakeSender(
        fleet, [failed(fleet_retries.MaybeRun(text="cut")), ANSWER]
    )
    with pytest.raises(errors.RefusedError) as refused:
        dispatch(fleet, sender)
    assert refused.value.code == results.OUTCOME_UNKNOWN
    assert sender.sent == 1


def test_requests_beyond_a_limit_go_to_another_target_of_the_pool():
    fleet = FakeFleet(SAFE)
    fleet.services["s"] = attrs.evolve(fleet.services["s"], keyed=False)
    fleet.target.request_limit.record_answer(0.5, 1.0)
    other = fleet_map.TrackedTarget(
        record=attrs.evolve(TARGET, target="t2", zone="zone-b"),
        stats=target_choice.TargetStats(slots=1, work_ms=400.0),
        rate=cold_rate.ColdRateLimiter(phase=0.0),
    )
    fleet.targets["t2"] = other
    sender = FakeSender(fleet, [ANSWER])
    assert dispatch(fleet, sender) is ANSWER
    assert sender.targets == ["t2"]


def test_quarantine_that_arrives_while_a_request_waits_binds_it():
    fleet = FakeFleet(SAFE)
    fleet.misdirected = True
    sender = FakeSender(fleet, [ANSWER])

    def quarantine():
        fleet.quarantined.add(REQUEST.fingerprint(NO_BODY))

    fleet.on_wait = quarantine
    with pytest.raises(errors.RefusedError) as refused:
        dispatch(fleet, sender)
    assert refused.value.code == results.QUARANTINED
    assert sender.sent == 0


def test_quarantine_that_arrives_while_a_request_is_connected_binds_it():
    fleet = FakeFleet(SAFE)
    sender = FakeSender(fleet, [ANSWER])
    sender.on_connect = lambda: fleet.quarantined.add(
        REQUEST.fingerprint(NO_BODY)
    )
    with pytest.raises(errors.RefusedError) as refused:
        dispatch(fleet, sender)
    assert refused.value.code == results.QUARANTINED
    assert sender.sent == 0


def test_quarantine_before_a_retry_does_not_hide_that_the_first_may_have_run():
    fleet = FakeFleet(SAFE)
    sender = FakeSender(
        fleet, [failed(fleet_retries.MaybeRun(text="cut")), ANSWER]
    )
    sender.on_send = lambda: fleet.quarantined.add(
        REQUEST.fingerprint(NO_BODY)
    )
    with pytest.raises(errors.RefusedError) as refused:
        dispatch(fleet, sender)
    assert refused.value.code == results.OUTCOME_UNKNOWN
    assert sender.sent == 1


def test_quarantined_request_does_not_wait_for_an_owner():
    fleet = FakeFleet(SAFE)
    fleet.misdirected = True
    fleet.quarantined.add(REQUEST.fingerprint(NO_BODY))
    fleet.on_wait = lambda: pytest.fail("waited")
    with pytest.raises(errors.RefusedError) as refused:
        dispatch(fleet, FakeSender(fleet, []))
    assert refused.value.code == results.QUARANTINED


def fingerprint_of(body):
    body_hash = body_identity.BodyHash()
    body_hash.update(body)
    return REQUEST.fingerprint(body_hash.identity(ended=True))


def body_of(chunks):
    pipe = wire.Pipe()
    for chunk in chunks:
        pipe.feed(chunk)
    pipe.finish()
    return pipe


@pytest.mark.parametrize("chunks", [[b"poison"], [b"poi", b"son"]])
def test_quarantined_body_is_refused_however_it_is_framed(chunks):
    fleet = FakeFleet(SAFE)
    sender = FakeSender(fleet, [ANSWER])
    fleet.quarantined.add(fingerprint_of(b"poison"))
    length = 6 if len(chunks) == 1 else -1

    def dispatch_body(chunks, length):
        # A pipe belongs to the event loop in which it is made.
        async def scenario():
            request = attrs.evolve(
                REQUEST, body=body_of(chunks), body_bytes=length
            )
            dispatcher = make_dispatcher(fleet, sender)
            route = dispatcher.find_route(request)
            return await dispatcher.dispatch(request, route)

        return asyncio.run(scenario())

    with pytest.raises(errors.RefusedError) as refused:
        dispatch_body(chunks, length)
    assert refused.value.code == results.QUARANTINED
    assert dispatch_body([b"harmless"], length) is ANSWER
    assert sender.sent == 1


def test_body_that_does_not_arrive_is_not_waited_for_beyond_the_deadline():
    fleet = FakeFleet(SAFE)
    fleet.quarantined.add("another")

    async def scenario():
        request = attrs.evolve(
            REQUEST, body=wire.Pipe(), body_bytes=9, deadline_ms=50
        )
        dispatcher = make_dispatcher(fleet, FakeSender(fleet, []))
        route = dispatcher.find_route(request)
        async with asyncio.timeout(5):
            await dispatcher.dispatch(request, route)

    with pytest.raises(errors.RefusedError) as refused:
        asyncio.run(scenario())
    assert refused.value.code == results.DEADLINE_NOT_RUN


def test_answered_request_is_no_longer_suspected():
    fleet = FakeFleet(SAFE)
    fleet.suspected.add(REQUEST.fingerprint(NO_BODY))
    dispatch(fleet, FakeSender(fleet, [ANSWER]))
    assert fleet.cleared == fleet.suspected


def test_failure_before_a_crash_does_not_clear_a_suspect():
    fleet = FakeFleet(SAFE)
    fleet.suspected.add(REQUEST.fingerprint(NO_BODY))
    outcomes = [
        failed(fleet_retries.Failed(status=500), FAILURE),
        failed(fleet_retries.MaybeRun(text="cut")),
    ]
    assert dispatch(fleet, FakeSender(fleet, outcomes)) is FAILURE
    assert not fleet.cleared


def test_fingerprint_is_the_same_from_any_address_and_in_any_framing():
    again = attrs.evolve(
        REQUEST,
        request_id="r2",
        deadline_ms=300,
        caller="10.9.9.9",
        body_bytes=-1,
    )
    for body in (body_identity.ShortBody("d"), body_identity.LongBody("d")):
        assert again.fingerprint(body) == REQUEST.fingerprint(body)


@pytest.mark.parametrize(
    "change",
    [
        {"host": "b.example"},
        {"method": "DELETE"},
        {"request_target": "/x/1?all"},
        {"key": 6},
    ],
)
def test_fingerprints_of_different_requests_differ(change):
    other = attrs.evolve(REQUEST, **change)
    bodies = [
        NO_BODY,
        body_identity.ShortBody("d"),
        body_identity.ShortBody("e"),
        body_identity.LongBody("d"),
        body_identity.LongBody("e"),
    ]
    fingerprints = {
        request.fingerprint(body)
        for request in (other, REQUEST)
        for body in bodies
    }
    assert len(fingerprints) == 2 * len(bodies)


def test_stop_ends_a_sent_request_with_an_unknown_outcome():
    fleet = FakeFleet(UNSAFE)
    with pytest.raises(errors.RefusedError) as refused:
        dispatch_until_stop(fleet, FakeSender(fleet, [SILENCE]))
    assert refused.value.code == results.OUTCOME_UNKNOWN


def test_stop_ends_a_request_that_was_not_sent_as_not_run():
    fleet = FakeFleet(UNSAFE)
    with pytest.raises(errors.RefusedError) as refused:
        dispatch_until_stop(fleet, FakeSender(fleet, [NO_CONNECTION]))
    assert refused.value.code == results.STOPPING
    assert refused.value.retry_after_ms > 0


@pytest.mark.parametrize("second", [NO_CONNECTION, SILENCE])
def test_stop_during_a_retry_does_not_hide_that_the_first_may_have_run(
    second,
):
    fleet = FakeFleet(SAFE)
    first = failed(fleet_retries.MaybeRun(text="cut"))
    with pytest.raises(errors.RefusedError) as refused:
        dispatch_until_stop(fleet, FakeSender(fleet, [first, second]))
    assert refused.value.code == results.OUTCOME_UNKNOWN


def test_stop_after_a_target_failed_returns_its_answer():
    fleet = FakeFleet(SAFE)
    first = failed(fleet_retries.Failed(status=500), FAILURE)
    sender = FakeSender(fleet, [first, SILENCE])
    assert dispatch_until_stop(fleet, sender) is FAILURE


def test_caller_that_disconnects_cancels_its_request():
    fleet = FakeFleet(SAFE)

    async def scenario():
        dispatcher = make_dispatcher(fleet, FakeSender(fleet, [SILENCE]))
        named_route = dispatcher.find_route(REQUEST)
        task = asyncio.create_task(dispatcher.dispatch(REQUEST, named_route))
        await asyncio.sleep(0.05)
        task.cancel()
        await task

    with pytest.raises(asyncio.CancelledError):
        asyncio.run(scenario())


def test_deadlines_are_limited_during_a_stop():
    fleet = FakeFleet(SAFE)
    sender = FakeSender(fleet, [ANSWER, ANSWER])

    async def scenario():
        dispatcher = make_dispatcher(fleet, sender)
        named_route = dispatcher.find_route(REQUEST)
        await dispatcher.dispatch(REQUEST, named_route)
        dispatcher.limit_deadlines(0.2)
        await dispatcher.dispatch(REQUEST, named_route)

    asyncio.run(scenario())
    assert sender.deadlines_s == [1.5, 1.2]


UNKNOWN = attrs.evolve(REQUEST, request_target="/new/1")


def await_route(fleet, request=UNKNOWN):
    dispatcher = make_dispatcher(fleet, FakeSender(fleet, []))
    return asyncio.run(dispatcher.await_route(request))


def test_a_missing_route_is_refused_for_good_by_a_host_that_is_up_to_date():
    with pytest.raises(errors.RefusedError) as refused:
        await_route(FakeFleet(SAFE))
    assert refused.value.code == results.UNKNOWN_ROUTE


def test_a_missing_route_is_awaited_while_the_host_may_be_behind():
    fleet = FakeFleet(SAFE)
    fleet.may_refuse_unknown = False

    def receive():
        added = route(SAFE)
        value = attrs.evolve(added.value, path_prefix="/new/")
        fleet.routes = route_table.RouteTable(
            [attrs.evolve(added, value=value)]
        )

    fleet.on_wait = receive
    assert await_route(fleet).route.path_prefix == "/new/"


def test_a_missing_route_is_refused_for_good_once_a_control_host_says_so():
    fleet = FakeFleet(SAFE)
    fleet.may_refuse_unknown = False

    def confirm():
        fleet.may_refuse_unknown = True

    fleet.on_wait = confirm
    with pytest.raises(errors.RefusedError) as refused:
        await_route(fleet)
    assert refused.value.code == results.UNKNOWN_ROUTE


def test_without_a_control_host_a_missing_route_is_refused_as_not_run():
    fleet = FakeFleet(SAFE)
    fleet.connected = fleet.may_refuse_unknown = False
    with pytest.raises(errors.RefusedError) as refused:
        await_route(fleet)
    assert refused.value.code == results.STATE_BEHIND
    assert refused.value.retry_after_ms > 0


def test_a_host_that_is_behind_for_too_long_refuses_all_requests():
    fleet = FakeFleet(SAFE)
    fleet.may_serve = False
    with pytest.raises(errors.RefusedError) as refused:
        await_route(fleet, REQUEST)
    assert refused.value.code == results.STATE_BEHIND


CUSTOMER = registry.Item(
    key=registry.ItemKey(kind=registry.ItemKind.CUSTOMER, name="town"),
    version=1,
    value=registry.Customer(key_digests=(registry.key_digest("key-1"),)),
)


def identify(credential, *, may_refuse_unknown):
    fleet = FakeFleet(SAFE)
    fleet.customers = customers.CustomerTable([CUSTOMER])
    fleet.may_refuse_unknown = may_refuse_unknown
    dispatcher = make_dispatcher(fleet, FakeSender(fleet, []))
    request = attrs.evolve(REQUEST, credential=credential)
    return dispatcher.identify(request, dispatcher.find_route(request))


def test_a_known_key_names_its_customer():
    assert identify("key-1", may_refuse_unknown=False) == "town"


@pytest.mark.parametrize("credential", [None, "key-2"])
def test_an_unknown_key_is_refused_for_good_by_the_newest_state_only(
    credential,
):
    for newest, code in (
        (True, results.UNKNOWN_CUSTOMER_KEY),
        (False, results.STATE_BEHIND),
    ):
        with pytest.raises(errors.RefusedError) as caught:
            identify(credential, may_refuse_unknown=newest)
        assert caught.value.code == code
        assert "key-2" not in caught.value.text


def dispatch_counted(outcomes, tokens, kind=SAFE, **changes):
    """Dispatch a customer's request; return its result and what is left."""
    fleet = FakeFleet(kind)
    sender = FakeSender(fleet, outcomes)
    quotas = FakeQuotas(tokens)
    dispatcher = make_dispatcher(fleet, sender, quotas=quotas)
    request = attrs.evolve(REQUEST, customer="town", **changes)
    try:
        result = asyncio.run(
            dispatcher.dispatch(request, dispatcher.find_route(request))
        )
    except errors.RefusedError as error:
        result = error.code
    return result, sender.sent, quotas.tokens


def test_a_request_beyond_the_quota_is_not_sent():
    result, sent, _ = dispatch_counted([], tokens=0)
    assert (result, sent) == (results.OVER_QUOTA, 0)


def test_each_run_counts_once_and_what_has_not_run_does_not():
    refused = fleet_retries.NotRun(text="no", misdirected=True, refused=True)
    cut = fleet_retries.MaybeRun(text="cut")
    for outcomes, kind, left in (
        ([ANSWER], SAFE, 4),
        ([failed(refused), ANSWER], SAFE, 4),
        ([failed(refused), failed(refused)], SAFE, 5),
        ([failed(cut), ANSWER], SAFE, 3),
        ([failed(cut)], UNSAFE, 4),
    ):
        _, _, tokens = dispatch_counted(outcomes, tokens=5, kind=kind)
        assert tokens == left, outcomes


def test_a_repetition_that_the_quota_does_not_cover_is_not_sent():
    cut = failed(fleet_retries.MaybeRun(text="cut"))
    result, sent, _ = dispatch_counted([cut, ANSWER], tokens=1)
    assert (result, sent) == (results.OUTCOME_UNKNOWN, 1)


def test_a_request_that_was_passed_on_counts_at_the_first_host_only():
    _, sent, tokens = dispatch_counted([ANSWER], tokens=5, passed_on=True)
    assert (sent, tokens) == (1, 5)

"""Requests for targets that this host does not reach; no network."""

from __future__ import annotations

import asyncio
import random

import attrs
import pytest
import test_dispatcher as dispatching

from goldcrestproxy import callers
from goldcrestproxy import entries
from goldcrestproxy.entries import passed_requests
from goldcrestproxy.entries import replay
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import fleet_retries
from goldcrestproxy.routing import target_contact
from goldcrestproxy import wire

HEAD = wire.ttypes.RelayResponse(
    code=results.ANSWERED,
    status=200,
    headers=[],
    body_bytes=4,
    text="",
    retry_after_ms=0,
)


def head_with(head, **changes):
    fields = {name: getattr(head, name) for name in HEAD.__slots__}
    return wire.ttypes.RelayResponse(**{**fields, **changes})


def refused(code):
    return head_with(HEAD, code=code, status=0, retry_after_ms=70)


class FakePeers:
    """Neighbours that take requests; ``responses`` are used in order.

    None stands for a neighbour that cannot be reached.
    """

    def __init__(self, *responses):
        self.responses = list(responses)
        self.opened = []

    async def open(self, address, exchange):
        response = self.responses.pop(0)
        if response is None:
            raise errors.ChannelClosedError(f"{address} cannot be reached")
        self.opened.append(exchange)
        if isinstance(response, Exception):
            exchange.fail(response)
            return
        exchange.set_response(response)
        exchange.response_body.feed(b"done")
        exchange.response_body.finish()


def make_passing(peers, neighbours=3, clock=lambda: 1.0):
    passing = entries.RequestPassing(peers, "zone-a", clock, random.Random(1))
    passing.set_neighbours(
        [
            wire.ttypes.EntryHost(
                host=f"entry-{n}",
                zone="zone-a",
                address=f"10.0.0.{n}",
                peer_port=70,
            )
            for n in range(neighbours)
        ]
    )
    return passing


def dispatch(
    peers,
    *,
    kind=dispatching.UNSAFE,
    outcomes=(),
    passing=None,
    back_off=False,
    **changes,
):
    """Dispatch a request at a host that reaches no target.

    ``back_off`` makes the host refuse what no neighbour takes.
    """
    fleet = dispatching.FakeFleet(kind)
    if back_off:
        fleet.target.stats.back_off_until_s = 10.0
    sender = dispatching.FakeSender(fleet, list(outcomes))
    request = attrs.evolve(dispatching.REQUEST, **changes)
    contact = target_contact.TargetContact()
    if not outcomes:
        contact.record_failure("t1")

    async def scenario():
        dispatcher = dispatching.make_dispatcher(
            fleet, sender, passing or make_passing(peers), contact
        )
        route = dispatcher.find_route(request)
        return await dispatcher.dispatch(request, route)

    return asyncio.run(scenario()), sender


def test_a_request_is_passed_on_with_its_key_and_deadline():
    peers = FakePeers(HEAD)
    answer, sender = dispatch(peers)
    assert (answer.status, answer.body) == (200, b"done")
    assert sender.sent == 0
    sent = peers.opened[0].request
    assert (sent.request_id, sent.key_hash, sent.desk) == ("r1", 5, "s")
    assert 0 < sent.deadline_ms < dispatching.REQUEST.deadline_ms


@pytest.mark.parametrize(
    "first", [None, refused(results.STOPPING), refused(3008)]
)
def test_another_host_is_asked_after_one_that_took_nothing(first):
    answer, _ = dispatch(FakePeers(first, HEAD))
    assert answer.status == 200


def test_refusals_of_a_neighbour_reach_the_caller_unchanged():
    with pytest.raises(errors.RefusedError) as caught:
        dispatch(FakePeers(refused(results.OVERLOADED)))
    assert caught.value.code == results.OVERLOADED
    assert caught.value.retry_after_ms == 70


@pytest.mark.parametrize("kind", [dispatching.UNSAFE, dispatching.SAFE])
def test_a_neighbour_that_breaks_off_leaves_the_outcome_unknown(kind):
    peers = FakePeers(errors.ChannelClosedError("gone"), HEAD)
    with pytest.raises(errors.RefusedError) as caught:
        dispatch(peers, kind=kind)
    assert caught.value.code == results.OUTCOME_UNKNOWN
    assert len(peers.opened) == 1


def test_no_request_is_passed_on_twice():
    peers = FakePeers(HEAD)
    with pytest.raises(errors.RefusedError) as caught:
        dispatch(peers, passed_on=True)
    outcome = results.BY_CODE[caught.value.code].outcome
    assert outcome is results.Outcome.NOT_RUN
    assert peers.opened == []


def test_no_request_is_passed_on_that_a_target_may_have_received():
    peers = FakePeers(HEAD)
    failure = dispatching.failed(fleet_retries.MaybeRun(text="cut"))
    with pytest.raises(errors.RefusedError) as caught:
        dispatch(peers, outcomes=[failure])
    assert caught.value.code == results.OUTCOME_UNKNOWN
    assert peers.opened == []


@pytest.mark.parametrize("cancelled_after_s", [0.0, 0.05])
def test_a_cancelled_request_leaves_nothing_in_flight(cancelled_after_s):
    gate = callers.Gate()
    cancels = []

    class EndlessDispatcher:
        async def dispatch_passed(self, request, service):
            body = wire.Pipe()
            for _ in range(64):
                body.feed(bytes(65536))
            return entries.FleetAnswer(
                status=200,
                headers=(),
                body=b"",
                remaining_body=body,
                cancel=lambda: cancels.append(request.request_id),
            )

    async def scenario():
        request = passed_requests.encode(dispatching.REQUEST, "s", left_ms=400)
        exchange = wire.Exchange(request)
        serving = asyncio.create_task(
            entries.PassedRequests(EndlessDispatcher(), gate).serve(exchange)
        )
        await asyncio.sleep(cancelled_after_s)
        exchange.cancel()
        await asyncio.wait_for(serving, 1.0)

    asyncio.run(scenario())
    assert gate.in_flight == 0
    assert cancels in ([], ["r1"])


def test_a_failure_of_the_dispatcher_ends_the_exchange():
    class FailingDispatcher:
        async def dispatch_passed(self, request, service):
            raise ValueError("unexpected")

    async def scenario():
        exchange = wire.Exchange(
            passed_requests.encode(dispatching.REQUEST, "s", left_ms=400)
        )
        gate = callers.Gate()
        await entries.PassedRequests(FailingDispatcher(), gate).serve(exchange)
        assert gate.in_flight == 0
        with pytest.raises(errors.GoldcrestProxyError):
            await exchange.response

    asyncio.run(scenario())


def test_a_host_that_is_behind_declines_with_a_code_of_earlier_builds():
    """They take an unknown code for a request that may have run."""

    class BehindDispatcher:
        async def dispatch_passed(self, request, service):
            raise results.refusal(results.STATE_BEHIND, "behind", 200)

    async def scenario():
        exchange = wire.Exchange(
            passed_requests.encode(dispatching.REQUEST, "s", left_ms=400)
        )
        await entries.PassedRequests(BehindDispatcher(), callers.Gate()).serve(
            exchange
        )
        return await exchange.response

    head = asyncio.run(scenario())
    assert (head.code, head.retry_after_ms) == (results.NO_CONFIGURATION, 200)


def test_a_body_that_cannot_be_sent_again_goes_to_no_second_host():
    body = wire.Pipe()
    peers = FakePeers()

    async def read_and_decline(exchange):
        read = 0
        while read < replay.REPLAY_BYTES_MAX + 65536:
            read += len(await exchange.request_body.read())
        exchange.set_response(refused(results.STOPPING))

    async def take_and_decline(address, exchange):
        peers.opened.append(exchange)
        tasks.append(asyncio.create_task(read_and_decline(exchange)))

    tasks = []
    peers.open = take_and_decline
    for _ in range(20):
        body.feed(bytes(65536))
    with pytest.raises(errors.RefusedError) as caught:
        dispatch(peers, body=body, body_bytes=-1)
    assert caught.value.code == results.TARGET_OUT_OF_REACH
    assert len(peers.opened) == 1


def test_isolated_neighbours_do_not_make_a_target_count_as_unreachable():
    """Four of six neighbours are isolated, as more hosts may be."""
    isolated = refused(results.HOST_ISOLATED)
    peers = FakePeers(*[isolated] * 4, HEAD, *[isolated] * 6, HEAD)
    passing = make_passing(peers, neighbours=6)
    assert dispatch(peers, passing=passing)[0].status == 200
    # Nobody takes this one.
    with pytest.raises(errors.RefusedError):
        dispatch(peers, passing=passing, back_off=True)
    assert dispatch(peers, passing=passing)[0].status == 200


def test_a_target_that_no_neighbour_reaches_is_not_asked_for_again():
    peers = FakePeers(*[refused(results.TARGET_OUT_OF_REACH)] * 3)
    passing = make_passing(peers, neighbours=6)
    for _ in range(2):
        with pytest.raises(errors.RefusedError) as caught:
            dispatch(peers, passing=passing, back_off=True)
        assert caught.value.code == results.NO_TARGET
    assert peers.responses == []


def test_neighbours_stay_known_for_a_moment_without_a_list():
    now_s = [1.0]
    passing = make_passing(FakePeers(), clock=lambda: now_s[0])
    passing.set_neighbours([])
    assert passing.has_neighbours
    now_s[0] += 1.1
    passing.set_neighbours([])
    assert not passing.has_neighbours


def test_an_isolated_host_says_so():
    fleet = dispatching.FakeFleet(dispatching.UNSAFE)
    contact = target_contact.TargetContact()
    contact.record_failure("t1")
    request = attrs.evolve(dispatching.REQUEST, passed_on=True)

    async def scenario():
        dispatcher = dispatching.make_dispatcher(
            fleet, dispatching.FakeSender(fleet, []), None, contact
        )
        return await dispatcher.dispatch(
            request, dispatcher.find_route(request)
        )

    with pytest.raises(errors.RefusedError) as caught:
        asyncio.run(scenario())
    assert caught.value.code == results.HOST_ISOLATED
    outcome = results.BY_CODE[results.HOST_ISOLATED].outcome
    assert outcome is results.Outcome.NOT_RUN

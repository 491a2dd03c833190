"""Customers in the replicated state, and their quotas at the leader."""

from __future__ import annotations

import asyncio
import types

import pytest
import replicas

from goldcrestproxy.control import build_levels
from goldcrestproxy.control import quota_service
from goldcrestproxy import errors
from goldcrestproxy import registry
from goldcrestproxy import results
from goldcrestproxy.routing import quota_terms
from goldcrestproxy import wire


def customer(version=1, **terms):
    return registry.Item(
        key=registry.ItemKey(kind=registry.ItemKind.CUSTOMER, name="town"),
        version=version,
        value=registry.Customer(key_digests=("d1",), **terms),
    )


def test_customers_wait_until_all_hosts_understand_them():
    """Once they are in force, a host of an earlier build changes nothing."""

    async def scenario():
        async with replicas.running_group() as group:
            node = await group.leader()
            replicas.lead(node)
            registrar = node.service._leadership.registrar
            levels = iter([0, build_levels.CUSTOMERS])
            registrar._build_level = lambda: next(levels)
            for version, accepted in ((1, False), (2, True), (3, True)):
                call = registry.ChangeItemsCall(changed=(customer(version),))
                try:
                    await node.service.serve(call)
                    assert accepted
                except errors.RefusedError as error:
                    assert not accepted
                    assert error.code == results.STATE_BEHIND

    asyncio.run(scenario())


def test_a_host_that_does_not_say_what_it_understands_is_an_earlier_build():
    assert build_levels.lowest([build_levels.OWN, None]) == 0
    assert build_levels.lowest([]) == build_levels.OWN


@pytest.fixture
def replica():
    """Replica of a leader whose clock the test sets."""
    state = registry.RegistryState()
    state.apply(
        1,
        registry.ChangeItems(
            changed=(customer(requests_per_s=20.0, burst_requests=10.0),)
        ),
    )
    return types.SimpleNamespace(
        host="control-a",
        term=3,
        now_s=100.0,
        state=types.SimpleNamespace(registry=state),
    )


def make_service(replica):
    replica.clock = lambda: replica.now_s
    return quota_service.QuotaService(replica, quota_terms.QuotaTolerance())


def ask(host, reply=None, **fields):
    return wire.ttypes.QuotaRequest(
        host=host,
        session="s1",
        asks=[
            wire.ttypes.QuotaAsk(
                customer="town",
                **{
                    "needed": 0,
                    "ahead": 0,
                    "held": 0,
                    "returned": 0,
                    "share": 0.0,
                    "demand_per_s": 5.0,
                    **fields,
                },
            )
        ],
        granter=reply.granter if reply else "",
        stamp_ms=reply.stamp_ms if reply else 0,
        spending=False,
        forwarded=False,
    )


def test_hosts_hold_shares_only_once_later_leaders_would_know(replica):
    service = make_service(replica)
    reply = service.serve(ask("entry-0"))
    assert not reply.confirmed
    assert reply.grants[0].share == 0
    (command,) = service.due_commands()
    assert command == registry.SetQuotaHosts(hosts=("entry-0",))
    replica.state.registry.apply(2, command)
    assert service.due_commands() == []
    replica.now_s += 0.25
    reply = service.serve(ask("entry-0", reply))
    assert reply.confirmed
    assert reply.grants[0].share > 0


def test_a_stamp_of_another_leader_confirms_nothing(replica):
    reply = make_service(replica).serve(ask("entry-0"))
    replica.term += 1
    assert not make_service(replica).serve(ask("entry-0", reply)).confirmed


def test_hosts_that_hold_nothing_any_more_leave_the_state(replica):
    replica.state.registry.apply(
        2, registry.SetQuotaHosts(hosts=("entry-0", "entry-1"))
    )
    service = make_service(replica)
    service.serve(ask("entry-0"))
    replica.now_s += 2 * quota_terms.VALID_S
    service.serve(ask("entry-1"))
    (command,) = service.due_commands()
    assert command.hosts == ("entry-1",)


def test_a_customer_without_a_quota_or_name_gets_no_tokens(replica):
    service = make_service(replica)
    replica.state.registry.apply(
        2, registry.ChangeItems(changed=(customer(2),))
    )
    assert service.serve(ask("entry-0", needed=3)).grants == []

"""Probes of targets that a host does not reach."""

from __future__ import annotations

import asyncio
import random
import types

import pytest

from goldcrestproxy import entries
from goldcrestproxy.entries import target_prober
from goldcrestproxy.routing import target_contact


@pytest.fixture
def contact():
    made = target_contact.TargetContact()
    made.record_failure("t1")
    return made


def make_prober(targets, contact):
    fleet = types.SimpleNamespace(targets=targets)
    passing = types.SimpleNamespace(retain_targets=lambda names: None)
    return entries.TargetProber(fleet, contact, passing, random.Random(1))


def target(address):
    record = types.SimpleNamespace(address=address, accepts_work=True)
    return types.SimpleNamespace(record=record)


def run_probes(prober, monkeypatch, on_probe=lambda: None):
    """Probe for a few intervals; raise what ends the task."""
    monkeypatch.setattr(target_prober, "INTERVAL_S", 0.01)
    probe = prober._probe

    async def probe_later(name):
        on_probe()
        await probe(name)

    prober._probe = probe_later

    async def scenario():
        task = asyncio.create_task(prober.run())
        await asyncio.sleep(0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        if not task.cancelled():
            raise task.exception()

    asyncio.run(scenario())


def test_a_target_that_is_removed_meanwhile_does_not_end_the_probes(
    contact, monkeypatch
):
    targets = {"t1": target("127.0.0.1:1")}
    run_probes(make_prober(targets, contact), monkeypatch, targets.clear)


def test_an_address_that_no_resolver_takes_does_not_end_the_probes(
    contact, monkeypatch
):
    targets = {"t1": target("a" * 100 + ".example:80")}
    run_probes(make_prober(targets, contact), monkeypatch)

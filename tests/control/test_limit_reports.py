"""Permits of the leader for requests to targets with small limits."""

from __future__ import annotations

import types

import pytest

from goldcrestproxy import control
from goldcrestproxy.control import limit_reports
from goldcrestproxy import wire

LIMIT_PER_S = 5.0
HOSTS = 8


@pytest.fixture
def replica():
    made = types.SimpleNamespace(state=control.ControlState(), now_s=100.0)
    made.clock = lambda: made.now_s
    return made


def report(limit):
    return wire.ttypes.WatchRequest(limits=[limit])


def ask(reports, limit_per_s=LIMIT_PER_S, hosts=HOSTS):
    request = wire.ttypes.PermitRequest(
        target="t", incarnation=1, limit_per_s=limit_per_s, forwarded=False
    )
    return reports.permit(request, hosts).retry_after_ms


def count_permits(replica, reports, duration_s):
    """Ask 100 times a second; return the number of permits."""
    permits = 0
    for _ in range(int(duration_s * 100)):
        replica.now_s += 0.01
        permits += ask(reports) == 0
    return permits


@pytest.mark.parametrize("reported", [True, False])
def test_permits_amount_to_the_limit(replica, reported):
    """A new leader keeps to what the asking host knows."""
    reports = limit_reports.LimitReports(replica)
    if reported:
        reports.observe(
            report(
                wire.ttypes.TargetLimit(
                    target="t", incarnation=1, limit_per_s=LIMIT_PER_S
                )
            )
        )
    assert 0 < ask(reports) <= 1000
    assert 48 <= count_permits(replica, reports, 10.0) <= 50
    replica.now_s += 60.0
    assert count_permits(replica, reports, 2.0) <= 3 * LIMIT_PER_S


def test_hosts_are_not_asked_to_return_all_the_time(replica):
    reports = limit_reports.LimitReports(replica)
    assert ask(reports, limit_per_s=1000.0) == 10 * HOSTS
    assert ask(reports, limit_per_s=0.0) == 1000
    assert ask(reports, hosts=300) == 3000


def test_a_withdrawn_limit_holds_nothing_back(replica):
    reports = limit_reports.LimitReports(replica)
    reports.observe(
        report(
            wire.ttypes.TargetLimit(target="t", incarnation=1, withdrawn=True)
        )
    )
    assert count_permits(replica, reports, 1.0) == 100


def ask_cold(reports, rate_per_s=5.5, hosts=63):
    request = wire.ttypes.PermitRequest(
        target="t",
        incarnation=1,
        limit_per_s=rate_per_s,
        forwarded=False,
        cold=True,
    )
    return reports.permit(request, hosts)


def test_permits_for_a_cold_target_are_apart_from_its_named_limit(replica):
    reports = limit_reports.LimitReports(replica)
    reports.observe(
        report(
            wire.ttypes.TargetLimit(target="t", incarnation=1, withdrawn=True)
        )
    )
    replica.now_s += 60.0
    replies = [ask_cold(reports) for _ in range(10)]
    assert all(reply.cold for reply in replies)
    assert sum(reply.retry_after_ms == 0 for reply in replies) == 2
    assert replies[-1].retry_after_ms == 630
    assert count_permits(replica, reports, 1.0) == 100


def test_hosts_are_told_that_a_permit_is_for_a_warm_target(replica):
    """A host takes what is not said of a cold target for no answer."""
    reports = limit_reports.LimitReports(replica)
    request = wire.ttypes.PermitRequest(
        target="t", incarnation=1, limit_per_s=5.0, forwarded=False
    )
    assert not reports.permit(request, HOSTS).cold

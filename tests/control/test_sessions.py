"""Daemon sessions and leases, as tracked by the leader."""

from __future__ import annotations

from goldcrestproxy.control import records
from goldcrestproxy.control import sessions
from goldcrestproxy import wire


def report(applied_index=0, session="s"):
    return wire.ttypes.RenewRequest(
        host="h", session=session, zone="z", applied_index=applied_index
    )


def test_daemon_whose_map_stands_still_is_stale():
    """Such a daemon would act on an outdated map."""
    tracked = sessions.Sessions()
    for step in range(30):
        session = tracked.record_report(report(7), None, 0.0)
        now_s = step * 0.1
        stale = session.is_stale(100 + step, now_s)
        assert stale == (now_s > sessions.MAP_AGE_S_MAX)


def test_daemon_that_keeps_up_is_never_stale():
    tracked = sessions.Sessions()
    for step in range(100):
        session = tracked.record_report(report(step - 1), None, 0.0)
        assert not session.is_stale(step, step * 0.5)


def test_daemon_that_has_caught_up_is_no_longer_stale():
    tracked = sessions.Sessions()
    session = tracked.record_report(report(7), None, 0.0)
    assert not session.is_stale(9, 0.0)
    assert session.is_stale(9, 2.0)
    session = tracked.record_report(report(9), None, 0.0)
    assert not session.is_stale(9, 2.1)


def test_full_lease_is_assumed_for_each_session_in_the_state():
    tracked = sessions.Sessions()
    claim = records.ClaimRecord(
        fingerprint="f",
        request_id="r",
        claim_id="c",
        host="h",
        session="gone",
        time_s=0.0,
    )
    tracked.assume_leases([claim], 5.0)
    assert tracked.expired(4.9) == []
    assert [s.session for s in tracked.expired(5.0)] == ["gone"]
    assert tracked.daemons() == []

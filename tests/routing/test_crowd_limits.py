"""What crowds of callers may hold, and who makes room for others."""

from __future__ import annotations

import pytest

from goldcrestproxy.routing import crowd_limits

MB = 1_000_000


def limits(memory_mb, descriptors=4100):
    return crowd_limits.CrowdLimits.of(
        crowd_limits.HostCapacity(
            memory_bytes=memory_mb * MB, descriptors=descriptors
        )
    )


@pytest.mark.parametrize("memory_mb", [160, 200, 300, 440, 4000])
def test_what_all_callers_may_hold_fits_into_a_host(memory_mb):
    bounds = limits(memory_mb)
    held = (
        crowd_limits.PROCESS_BYTES
        + bounds.connections_max * crowd_limits.CONNECTION_BYTES
        + bounds.body_bytes_max
    )
    assert held < memory_mb * MB
    assert bounds.buffered_bytes_max <= bounds.body_bytes_max


def test_descriptors_are_left_for_targets_and_files():
    for descriptors in (1638, 4100):
        bounds = limits(4000, descriptors)
        assert bounds.connections_max <= descriptors - 600


@pytest.mark.parametrize(
    "memory_mb, descriptors, callers, requests, uploads",
    [
        (160, 1638, 100, 30, 20),
        (200, 4100, 150, 60, 30),
        (300, 4100, 500, 300, 60),
    ],
)
def test_callers_of_a_busy_host_meet_no_limit(
    memory_mb, descriptors, callers, requests, uploads
):
    """Several times what a host of each size has on its heaviest days."""
    bounds = limits(memory_mb, descriptors)
    assert bounds.connections_max >= callers
    held = requests * crowd_limits.held_bytes(
        4000
    ) + uploads * crowd_limits.held_bytes(60_000)
    assert bounds.has_room(
        held_bytes=held, unfinished_bodies=uploads, crawlers=False
    )


def activity(phase, idle_s, requests=1):
    return crowd_limits.CallerActivity(
        progress_s=100.0 - idle_s,
        phase=phase,
        requests=requests,
        body_started_s=98.0,
        body_bytes=64 * 1024,
    )


def test_unfinished_bodies_make_room_before_anybody_else():
    phase = crowd_limits.Phase
    ranked = [
        activity(phase.BODY, 1.0),
        activity(phase.WAITING, 1.0, requests=0),
        activity(phase.WAITING, 1.0),
        activity(phase.ANSWER, 9.0),
    ]
    ranks = [caller.rank for caller in ranked]
    assert ranks == sorted(set(ranks))


def test_only_callers_without_progress_make_room():
    phase = crowd_limits.Phase
    for idle_s, closes in ((0.1, False), (0.6, True)):
        for kind in (phase.BODY, phase.WAITING, phase.DISCARDING):
            caller = activity(kind, idle_s)
            assert caller.may_be_closed(100.0, unread=False) is closes


def test_a_request_at_its_target_is_not_cut_for_others():
    """Only a caller that does not read its answer is."""
    caller = activity(crowd_limits.Phase.ANSWER, 30.0)
    assert not caller.may_be_closed(100.0, unread=False)
    assert caller.may_be_closed(100.0, unread=True)
    slow = activity(crowd_limits.Phase.ANSWER, 1.0)
    assert not slow.may_be_closed(100.0, unread=True)


def test_a_body_that_crawls_makes_room_though_it_makes_progress():
    """One byte at a time costs more time than memory."""
    caller = activity(crowd_limits.Phase.BODY, 0.0)
    assert not caller.may_be_closed(100.0, unread=False)
    caller.body_bytes = 4 * 1024
    assert caller.may_be_closed(100.0, unread=False)
    caller.body_started_s = 99.9
    assert not caller.may_be_closed(100.0, unread=False)


def test_few_bodies_arrive_at_once_after_others_crawled():
    bounds = limits(300)
    for crawlers, unfinished, room in (
        (False, 50, True),
        (True, 50, False),
        (True, 5, True),
    ):
        assert (
            bounds.has_room(
                held_bytes=0, unfinished_bodies=unfinished, crawlers=crawlers
            )
            is room
        )

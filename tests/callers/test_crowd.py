"""Callers that hold too much together make room, the least active first."""

from __future__ import annotations

import attrs
import pytest

from goldcrestproxy import callers
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import crowd_limits
from goldcrestproxy import settings
from goldcrestproxy import telemetry

LIMITS = crowd_limits.CrowdLimits(
    connections_max=4,
    body_bytes_max=3 * crowd_limits.BODY_BYTES,
    unfinished_bodies_max=2,
    buffered_bytes_max=1,
)


class FakeStream:
    """Connection of a caller; ``unread`` while its answer is not read."""

    def __init__(self):
        self.closed = False
        self.unread = False
        self.socket = None

    def writing(self):
        return self.unread

    def close(self):
        self.closed = True


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def crowd(clock):
    metrics = telemetry.make_metrics(settings.Telemetry(), "test")
    return callers.Crowd(LIMITS, metrics, clock)


def connect(crowd):
    stream = FakeStream()
    crowd.open(stream)
    return stream


def start_body(crowd):
    stream = connect(crowd)
    crowd.start_request(stream, -1)
    return stream


def test_the_least_active_connection_makes_room_for_a_new_one(crowd, clock):
    streams = [connect(crowd) for _ in range(4)]
    clock.now_s += 1.0
    crowd.record_progress(streams[0])
    new = connect(crowd)
    assert [stream.closed for stream in streams] == [False, True, False, False]
    assert not new.closed


def test_a_new_connection_is_closed_if_all_others_are_active(crowd):
    streams = [connect(crowd) for _ in range(4)]
    assert connect(crowd).closed
    assert not any(stream.closed for stream in streams)


def test_an_unfinished_body_makes_room_for_another(crowd, clock):
    idle, active = start_body(crowd), start_body(crowd)
    clock.now_s += 1.0
    crowd.record_progress(active)
    start_body(crowd)
    assert idle.closed
    assert not active.closed


def test_a_body_is_refused_as_not_run_while_all_others_make_progress(crowd):
    bodies = [start_body(crowd) for _ in range(2)]
    with pytest.raises(errors.RefusedError) as caught:
        start_body(crowd)
    result = results.BY_CODE[caught.value.code]
    assert (result.status, result.outcome) == (503, results.Outcome.NOT_RUN)
    assert caught.value.retry_after_ms > 0
    assert not any(body.closed for body in bodies)


def test_requests_without_a_body_are_served_beside_many_bodies(crowd):
    for _ in range(2):
        start_body(crowd)
    crowd.start_request(connect(crowd), 0)


def test_a_short_body_is_served_beside_others_that_make_progress(crowd):
    bodies = [start_body(crowd) for _ in range(2)]
    short = connect(crowd)
    crowd.start_request(short, 1000)
    assert not any(body.closed for body in [*bodies, short])


def test_unfinished_short_bodies_make_room_for_short_ones_only(crowd, clock):
    limit = crowd_limits.UNFINISHED_SHORT_BODIES_MAX
    many = callers.Crowd(
        attrs.evolve(
            LIMITS,
            connections_max=2 * limit,
            body_bytes_max=1 << 30,
            watches_lag=False,
        ),
        telemetry.make_metrics(settings.Telemetry(), "test"),
        clock,
    )
    longer = start_body(many)
    shorts = [connect(many) for _ in range(limit)]
    for short in shorts:
        many.start_request(short, 1000)
    clock.now_s += 1.0
    many.start_request(connect(many), 1000)
    assert [longer.closed, shorts[0].closed, shorts[1].closed] == [
        False,
        True,
        False,
    ]


def test_whole_bodies_count_until_their_requests_end(crowd, clock):
    bodies = []
    for _ in range(3):
        bodies.append(start_body(crowd))
        crowd.end_body(bodies[-1])
    clock.now_s += 30.0
    with pytest.raises(errors.RefusedError):
        start_body(crowd)
    # The next request of a connection ends the last one.
    crowd.open(bodies[0])
    start_body(crowd)


def test_a_caller_that_does_not_read_its_answer_makes_room(crowd, clock):
    bodies = []
    for _ in range(3):
        bodies.append(start_body(crowd))
        crowd.end_body(bodies[-1])
    bodies[1].unread = True
    clock.now_s += 6.0
    start_body(crowd)
    assert [body.closed for body in bodies] == [False, True, False]


def test_closed_connections_leave_nothing_behind(crowd):
    for _ in range(20):
        stream = start_body(crowd)
        crowd.close(stream)
    assert not start_body(crowd).closed


@pytest.fixture
def kept(clock):
    """A crowd of bodies that are kept whole, which has room for 1 MiB."""
    metrics = telemetry.make_metrics(settings.Telemetry(), "test")
    limits = attrs.evolve(
        LIMITS,
        body_bytes_max=1 << 20,
        unfinished_bodies_max=9,
        watches_lag=False,
    )
    return callers.Crowd(limits, metrics, clock)


def keep_body(kept, size_bytes):
    stream = connect(kept)
    kept.start_request(stream, -1, kept=True)
    kept.record_progress(stream, size_bytes)
    kept.hold(stream, size_bytes)
    return stream


def test_idle_bodies_that_are_kept_make_room_for_one_that_arrives(kept, clock):
    idle = [keep_body(kept, 400_000) for _ in range(2)]
    clock.now_s += 1.0
    active = keep_body(kept, 1_000_000)
    assert [stream.closed for stream in idle] == [True, True]
    assert not active.closed


def test_a_kept_body_without_room_is_closed_if_all_others_arrive(kept):
    first = keep_body(kept, 600_000)
    assert keep_body(kept, 600_000).closed
    assert not first.closed
    assert not keep_body(kept, 400_000).closed


def test_a_kept_body_counts_until_its_request_ends(kept, clock):
    body = keep_body(kept, 1_000_000)
    kept.end_body(body)
    clock.now_s += 30.0
    assert keep_body(kept, 100_000).closed
    # The next request of a connection ends the last one.
    kept.open(body)
    assert not keep_body(kept, 1_000_000).closed


def test_a_kept_body_beyond_all_room_is_closed(kept):
    assert keep_body(kept, (1 << 20) + 1).closed
    assert not keep_body(kept, 1 << 20).closed

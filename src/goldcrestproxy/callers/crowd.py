"""Bounds on what all callers of a host together hold."""

from __future__ import annotations

import asyncio
import collections
import logging
import math
import typing as ty

from tornado import iostream

from goldcrestproxy import results
from goldcrestproxy.routing import crowd_limits
from goldcrestproxy import telemetry

LOG = logging.getLogger(__name__)

# Part of a body that is read at once. Each body holds several of them.
CHUNK_BYTES: ty.Final = 16 * 1024
RETRY_AFTER_MS: ty.Final = 1_000
LOG_INTERVAL_S: ty.Final = 5.0
LAG_INTERVAL_S: ty.Final = 0.1
LOGGED_ADDRESSES: ty.Final = 3


class Crowd:
    """Connections of callers, the least active of which make room."""

    def __init__(
        self,
        limits: crowd_limits.CrowdLimits,
        metrics: telemetry.Metrics,
        clock: ty.Callable[[], float],
    ) -> None:
        """Start without connections.

        :param clock: monotonic time in seconds
        """
        self._limits = limits
        self._metrics = metrics
        self._clock = clock
        # The connection with the longest time without progress is first.
        self._callers: collections.OrderedDict[
            iostream.IOStream, crowd_limits.CallerActivity
        ] = collections.OrderedDict()
        # Those of them that hold a body, the longest first.
        self._bodies: dict[iostream.IOStream, crowd_limits.CallerActivity] = {}
        # Bodies that still arrive, by whether they are short.
        self._unfinished = {False: 0, True: 0}
        self._held_bytes = 0
        self._crawlers_until_s = -math.inf
        self._lag_timer: asyncio.TimerHandle | None = None
        self._closed: collections.Counter[str] = collections.Counter()
        self._logged_s = -LOG_INTERVAL_S

    def open(self, stream: iostream.IOStream) -> None:
        """Count a connection, or that it waits for its next request.

        Beyond the limit, the least active connection is closed; if all are
        active, the new one.
        """
        activity = self._callers.get(stream)
        if activity is not None:
            self._leave_request(stream, activity)
            self._progress(stream, activity)
            return
        if len(self._callers) >= self._limits.connections_max and not (
            self._make_room(self._callers)
        ):
            self._close(stream, "new connection")
            return
        self._callers[stream] = crowd_limits.CallerActivity(
            progress_s=self._clock()
        )

    def close(self, stream: iostream.IOStream) -> None:
        """Forget a connection that was closed."""
        activity = self._callers.pop(stream, None)
        if activity is not None:
            self._leave_request(stream, activity)

    def start_request(
        self,
        stream: iostream.IOStream,
        body_bytes: int,
        *,
        kept: bool = False,
    ) -> None:
        """Count a request whose head was read.

        :param body_bytes: the length of its body, -1 if it is not known
        :param kept: whether ``hold`` counts the body as it arrives
        :raises RefusedError: if there are too many bodies, and none of their
            callers has been idle
        """
        activity = self._callers.get(stream)
        if activity is None:
            return
        activity.requests += 1
        activity.phase = crowd_limits.Phase.ANSWER
        self._progress(stream, activity)
        if not body_bytes:
            return
        held_bytes = 0 if kept else crowd_limits.held_bytes(body_bytes)
        short = crowd_limits.is_short(body_bytes)
        if not self._has_room(held_bytes, short=short) and not (
            self._make_room_for(held_bytes, short=short)
        ):
            activity.phase = crowd_limits.Phase.DISCARDING
            self._metrics.crowds.add(1, {"outcome": "refused"})
            raise results.refusal(
                results.OVERLOADED,
                f"{len(self._bodies)} bodies are in flight, "
                f"{sum(self._unfinished.values())} of them unfinished",
                RETRY_AFTER_MS,
            )
        activity.phase = crowd_limits.Phase.BODY
        activity.body_started_s = self._clock()
        activity.body_bytes = 0
        activity.held_bytes = held_bytes
        self._held_bytes += held_bytes
        activity.short = short
        self._bodies[stream] = activity
        self._unfinished[short] += 1
        self._watch_lag()

    def record_progress(
        self, stream: iostream.IOStream, body_bytes: int = 0
    ) -> None:
        """Record that a part of a body arrived or of an answer was read."""
        activity = self._callers.get(stream)
        if activity is not None:
            activity.body_bytes += body_bytes
            self._progress(stream, activity)

    def hold(self, stream: iostream.IOStream, size_bytes: int) -> None:
        """Count a part of a body that is kept until its request ends.

        Without room, the least active bodies are closed; if all others are
        active, this one.
        """
        activity = self._callers.get(stream)
        if activity is None:
            return
        while self._held_bytes + size_bytes > self._limits.body_bytes_max:
            if not self._make_room(self._bodies):
                self._close(stream, activity.phase.value)
            if stream not in self._callers:
                return
        activity.held_bytes += size_bytes
        self._held_bytes += size_bytes

    def end_body(self, stream: iostream.IOStream) -> None:
        """Record that the whole request has arrived."""
        activity = self._callers.get(stream)
        if activity is not None:
            self._end_body(activity)
            self._progress(stream, activity)

    def _has_room(self, held_bytes: int, *, short: bool) -> bool:
        return self._limits.has_room(
            held_bytes=self._held_bytes + held_bytes,
            unfinished_bodies=self._unfinished[short],
            crawlers=self._clock() < self._crawlers_until_s,
            short=short,
        )

    def _make_room_for(self, held_bytes: int, *, short: bool) -> bool:
        """Close a body whose end lets another one start, if there is one."""
        bodies = self._bodies
        if self._held_bytes + held_bytes <= self._limits.body_bytes_max:
            bodies = {
                stream: activity
                for stream, activity in bodies.items()
                if activity.short is short
            }
        return self._make_room(bodies)

    def _watch_lag(self) -> None:
        """Look for bodies that crawl while many arrive."""
        if self._lag_timer is not None or not self._limits.watches_lag:
            return
        unfinished = sum(self._unfinished.values())
        if unfinished < crowd_limits.UNFINISHED_BODIES_BEHIND_MAX:
            return
        due_s = self._clock() + LAG_INTERVAL_S
        self._lag_timer = asyncio.get_running_loop().call_later(
            LAG_INTERVAL_S, self._measure_lag, due_s
        )

    def _measure_lag(self, due_s: float) -> None:
        self._lag_timer = None
        now_s = self._clock()
        if now_s >= due_s + crowd_limits.LAG_S:
            crawling = [
                stream
                for stream, activity in self._bodies.items()
                if activity.crawls(now_s)
            ]
            for stream in crawling:
                self._close(stream, "crawling body")
            if crawling:
                self._crawlers_until_s = now_s + crowd_limits.CRAWLERS_S
        self._watch_lag()

    def _progress(
        self, stream: iostream.IOStream, activity: crowd_limits.CallerActivity
    ) -> None:
        activity.progress_s = self._clock()
        self._callers.move_to_end(stream)

    def _end_body(self, activity: crowd_limits.CallerActivity) -> None:
        if activity.phase is crowd_limits.Phase.BODY:
            self._unfinished[activity.short] -= 1
            activity.phase = crowd_limits.Phase.ANSWER

    def _leave_request(
        self, stream: iostream.IOStream, activity: crowd_limits.CallerActivity
    ) -> None:
        self._end_body(activity)
        self._bodies.pop(stream, None)
        self._held_bytes -= activity.held_bytes
        activity.held_bytes = 0
        activity.phase = crowd_limits.Phase.WAITING

    def _make_room(
        self,
        callers: ty.Mapping[iostream.IOStream, crowd_limits.CallerActivity],
    ) -> bool:
        """Close one of these connections; return whether one may be closed."""
        now_s = self._clock()
        chosen: iostream.IOStream | None = None
        rank = len(crowd_limits.Phase)
        for stream, activity in callers.items():
            if activity.rank < rank and activity.may_be_closed(
                now_s, unread=stream.writing()
            ):
                chosen, rank = stream, activity.rank
            if rank == 0:
                break
        if chosen is None:
            return False
        if self._limits.watches_lag and self._callers[chosen].crawls(now_s):
            self._crawlers_until_s = now_s + crowd_limits.CRAWLERS_S
        self._close(chosen, self._callers[chosen].phase.value)
        return True

    def _close(self, stream: iostream.IOStream, phase: str) -> None:
        self._metrics.crowds.add(1, {"outcome": f"closed, {phase}"})
        address = _address_of(stream)
        self.close(stream)
        stream.close()
        self._log(address, phase)

    def _log(self, address: str, phase: str) -> None:
        self._closed[address] += 1
        now_s = self._clock()
        if now_s < self._logged_s + LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        LOG.warning(
            "callers: closed %d connections to make room, last: %s; %d are "
            "open, %d bodies, %d of them unfinished; most from %s",
            self._closed.total(),
            phase,
            len(self._callers),
            len(self._bodies),
            sum(self._unfinished.values()),
            ", ".join(
                f"{address} ({count})"
                for address, count in self._closed.most_common(
                    LOGGED_ADDRESSES
                )
            ),
        )
        self._closed.clear()


def _address_of(stream: iostream.IOStream) -> str:
    try:
        return str(stream.socket.getpeername()[0])
    except (AttributeError, OSError):
        return "an unknown address"

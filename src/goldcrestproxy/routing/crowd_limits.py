"""How many callers a host can bear, and which of them make room.

Answers crowds of callers that open requests and never end them: what all of
them together may hold follows from the memory and the descriptors of the
host, so that it stays within them and ordinary callers are still served.
"""

from __future__ import annotations

import enum
import typing as ty

import attrs

# Memory of the process with its state, without any callers.
PROCESS_BYTES: ty.Final = 72 * 1024 * 1024
# Part of the rest that callers may use. The rest covers fragmentation.
USABLE_PART: ty.Final = 0.8
CONNECTIONS_PART: ty.Final = 0.4
BODIES_PART: ty.Final = 0.5
# The same where bodies are kept whole and decoded, which takes several times
# their length.
KEPT_BODIES_PART: ty.Final = 0.2
# Connections to listeners that answer health checks and read metrics.
CHECKS_CONNECTIONS_MAX: ty.Final = 128
# A connection with its parser and as much of a head as is read.
CONNECTION_BYTES: ty.Final = 88 * 1024
# A body with all buffers between caller and target filled. A short one fills
# them by copies of itself.
BODY_BYTES: ty.Final = 640 * 1024
BODY_BYTES_MIN: ty.Final = 64 * 1024
BODY_COPIES: ty.Final = 4
# Left for files, peers and connections to targets.
DESCRIPTORS_RESERVED: ty.Final = 600
# Bodies that still arrive keep handles of the client to targets busy; the
# other handles are left for requests that have arrived whole.
UNFINISHED_BODIES_MAX: ty.Final = 96
# Bodies of known, short lengths that still arrive. They are counted apart, as
# they end with their head or soon after it, however many others crawl.
SHORT_BODY_BYTES_MAX: ty.Final = 64 * 1024
UNFINISHED_SHORT_BODIES_MAX: ty.Final = 48
BUFFERED_BYTES_MAX: ty.Final = 32 * 1024 * 1024
CONNECTIONS_MIN: ty.Final = 64
BODIES_MIN: ty.Final = 16
# A body that arrives more slowly than this makes room for others. A caller
# with seconds to its deadline cannot complete one at this rate.
CRAWL_BYTES_PER_S: ty.Final = 8 * 1024
# While the event loop is behind by LAG_S, such bodies are closed: chunks of a
# few bytes cost far more time than memory. For CRAWLERS_S after that, no more
# bodies than this may arrive at once.
LAG_S: ty.Final = 0.1
CRAWLERS_S: ty.Final = 5.0
UNFINISHED_BODIES_BEHIND_MAX: ty.Final = 8
# A caller is asked to make room only after this time without progress.
IDLE_S_MIN: ty.Final = 0.5
# The same for one that does not read its answer.
UNREAD_S_MIN: ty.Final = 5.0


@attrs.frozen(kw_only=True)
class HostCapacity:
    """Memory and descriptors that a process may use."""

    memory_bytes: int
    descriptors: int


@attrs.frozen(kw_only=True)
class CrowdLimits:
    """Limits on all callers of a host together.

    ``body_bytes_max`` bounds what requests with a body in flight may hold,
    ``unfinished_bodies_max`` the number of those whose body still arrives,
    without bodies of known, short lengths.
    """

    connections_max: int
    body_bytes_max: int
    unfinished_bodies_max: int
    buffered_bytes_max: int
    # Whether bodies that crawl are closed while the event loop is behind.
    watches_lag: bool = True
    unfinished_short_bodies_max: int = UNFINISHED_SHORT_BODIES_MAX

    def has_room(
        self,
        *,
        held_bytes: int,
        unfinished_bodies: int,
        crawlers: bool,
        short: bool = False,
    ) -> bool:
        """Whether another body may start to arrive.

        :param held_bytes: what all bodies in flight may hold, with this one
        :param unfinished_bodies: short or other bodies that still arrive
        :param crawlers: whether bodies that crawl were closed a moment ago
        :param short: whether this and those are short, of known lengths
        """
        unfinished_max = self.unfinished_bodies_max
        if short:
            unfinished_max = self.unfinished_short_bodies_max
        elif crawlers:
            unfinished_max = min(unfinished_max, UNFINISHED_BODIES_BEHIND_MAX)
        return (
            held_bytes <= self.body_bytes_max
            and unfinished_bodies < unfinished_max
        )

    @classmethod
    def of(cls, capacity: HostCapacity) -> CrowdLimits:
        """Return the limits that keep a process within its capacity."""
        usable = max(0, capacity.memory_bytes - PROCESS_BYTES) * USABLE_PART
        connections = min(
            int(usable * CONNECTIONS_PART / CONNECTION_BYTES),
            capacity.descriptors - DESCRIPTORS_RESERVED,
        )
        body_bytes = max(BODIES_MIN * BODY_BYTES, int(usable * BODIES_PART))
        return cls(
            connections_max=max(CONNECTIONS_MIN, connections),
            body_bytes_max=body_bytes,
            unfinished_bodies_max=UNFINISHED_BODIES_MAX,
            buffered_bytes_max=min(
                BUFFERED_BYTES_MAX, int(usable * BODIES_PART / 2)
            ),
        )

    @classmethod
    def of_kept_bodies(
        cls, capacity: HostCapacity, body_bytes_max: int
    ) -> CrowdLimits:
        """Return the limits of a listener that keeps whole bodies.

        :param body_bytes_max: length of the longest body, which always fits
        """
        usable = max(0, capacity.memory_bytes - PROCESS_BYTES) * USABLE_PART
        connections = min(
            int(usable * CONNECTIONS_PART / CONNECTION_BYTES),
            capacity.descriptors - DESCRIPTORS_RESERVED,
        )
        connections_max = max(CONNECTIONS_MIN, connections)
        return cls(
            connections_max=connections_max,
            body_bytes_max=max(
                body_bytes_max + BODY_BYTES_MIN, int(usable * KEPT_BODIES_PART)
            ),
            unfinished_bodies_max=connections_max,
            unfinished_short_bodies_max=connections_max,
            buffered_bytes_max=0,
            watches_lag=False,
        )

    @classmethod
    def of_checks(cls, body_bytes_max: int) -> CrowdLimits:
        """Return the limits of a listener whose requests have no bodies."""
        return cls(
            connections_max=CHECKS_CONNECTIONS_MAX,
            body_bytes_max=CHECKS_CONNECTIONS_MAX * body_bytes_max,
            unfinished_bodies_max=CHECKS_CONNECTIONS_MAX,
            unfinished_short_bodies_max=CHECKS_CONNECTIONS_MAX,
            buffered_bytes_max=0,
            watches_lag=False,
        )


def held_bytes(body_bytes: int) -> int:
    """Return what a body may hold on its way from a caller to a target.

    :param body_bytes: the length of the body, -1 if it is not known
    """
    if body_bytes < 0:
        return BODY_BYTES
    return min(BODY_BYTES, BODY_BYTES_MIN + BODY_COPIES * body_bytes)


def is_short(body_bytes: int) -> bool:
    """Whether a body has a known, short length.

    :param body_bytes: the length of the body, -1 if it is not known
    """
    return 0 <= body_bytes <= SHORT_BODY_BYTES_MAX


class Phase(enum.Enum):
    """What a caller's connection is doing."""

    # No head of a request has been read since the last answer.
    WAITING = "waiting"
    BODY = "body"
    ANSWER = "answer"
    # The rest of a body is read after a refusal.
    DISCARDING = "discarding"


@attrs.define(kw_only=True, eq=False)
class CallerActivity:
    """A caller's connection and when it last made progress.

    ``unread`` says that an answer is waiting for the caller to read it.
    """

    progress_s: float
    phase: Phase = Phase.WAITING
    requests: int = 0
    # Of the body that arrives.
    body_started_s: float = 0.0
    body_bytes: int = 0
    # What the body may hold, until its request ends.
    held_bytes: int = 0
    # Whether the body has a known, short length.
    short: bool = False

    def may_be_closed(self, now_s: float, *, unread: bool) -> bool:
        """Whether the caller makes room for others.

        :param unread: whether an answer waits for the caller to read it
        """
        idle_s = now_s - self.progress_s
        if self.crawls(now_s):
            return True
        if self.phase is Phase.ANSWER:
            return unread and idle_s >= UNREAD_S_MIN
        return idle_s >= IDLE_S_MIN

    def crawls(self, now_s: float) -> bool:
        """Whether the body arrives too slowly to be of use."""
        elapsed_s = now_s - self.body_started_s
        return (
            self.phase is Phase.BODY
            and elapsed_s >= IDLE_S_MIN
            and self.body_bytes < elapsed_s * CRAWL_BYTES_PER_S
        )

    @property
    def rank(self) -> int:
        """Who is closed first; lower ranks go first."""
        if self.phase in (Phase.BODY, Phase.DISCARDING):
            return 0
        if self.phase is Phase.WAITING:
            return 1 if self.requests == 0 else 2
        return 3

"""Logging as lines of text or JSON.

Messages start with the name of their component and ``: ``. A separate thread
writes them from a bounded queue, so that a slow reader of the output blocks
no other work. Records that do not fit into the queue are dropped and counted;
the count is logged once there is room again.
"""

from __future__ import annotations

import json
import logging
from logging import handlers
import queue
import sys
import time
import typing as ty

from goldcrestproxy import settings

_LEVELS: ty.Final[dict[str, int]] = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
# About 2 MB at 500 bytes a line.
QUEUE_LINES_MAX: ty.Final = 4_000
# Lines about single requests; twice the usual load of an entry host.
EVENT_LINES_PER_S: ty.Final = 250
_FIELDS_ATTRIBUTE: ty.Final = "event_fields"


class JsonFormatter(logging.Formatter):
    """Formats a record as a JSON object, with the component in ``part``."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        message = record.getMessage()
        part, _, message_text = message.partition(": ")
        line: dict[str, ty.Any] = {
            "time_s": round(record.created, 3),
            "level": record.levelname.lower(),
            "part": part if message_text else "",
            "message": message_text or message,
            **getattr(record, _FIELDS_ATTRIBUTE, {}),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class TextFormatter(logging.Formatter):
    """Formats a record as a line of text, followed by its event fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        line = super().format(record)
        fields = getattr(record, _FIELDS_ATTRIBUTE, {})
        if not fields:
            return line
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        return f"{line} {text}"


class BoundedQueueHandler(handlers.QueueHandler):
    """Queues records without blocking and counts those it drops."""

    def __init__(self, lines: queue.Queue[ty.Any]) -> None:
        """Set the queue, which must be bounded."""
        super().__init__(lines)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Return the record unchanged; the writing thread formats it."""
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Add a record, or count it as dropped."""
        if self.dropped:
            self._report_dropped()
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1

    def _report_dropped(self) -> None:
        notice = logging.LogRecord(
            __name__,
            logging.WARNING,
            __file__,
            0,
            "telemetry: dropped %d log lines, the output is too slow",
            (self.dropped,),
            None,
        )
        try:
            self.queue.put_nowait(notice)
        except queue.Full:
            return
        self.dropped = 0


class EventRateLimiter:
    """Rate limit for log lines about single requests."""

    def __init__(self, lines_per_s: int) -> None:
        """Allow ``lines_per_s`` lines in each second of the clock."""
        self.suppressed = 0
        self._lines_per_s = lines_per_s
        self._current_second = 0
        self._line_count = 0

    def acquire(self, now_s: float) -> bool:
        """Count a line and return whether the limit permits it."""
        second = int(now_s)
        if second != self._current_second:
            self._current_second = second
            self._line_count = 0
        self._line_count += 1
        if self._line_count > self._lines_per_s:
            self.suppressed += 1
            return False
        return True

    def pop_suppressed(self) -> int:
        """Return the number of suppressed lines and reset it to zero."""
        count, self.suppressed = self.suppressed, 0
        return count


_EVENT_LIMITER: ty.Final = EventRateLimiter(EVENT_LINES_PER_S)


def log_event(
    logger: logging.Logger,
    message: str,
    *,
    level: int = logging.INFO,
    **fields: ty.Any,
) -> None:
    """Log a decision on one request, with its reasons as ``fields``.

    Lines above ``EVENT_LINES_PER_S`` are suppressed; the next line that is
    logged has their number in the field ``lines_left_out``.
    """
    if not logger.isEnabledFor(level) or not _EVENT_LIMITER.acquire(
        time.monotonic()
    ):
        return
    suppressed = _EVENT_LIMITER.pop_suppressed()
    if suppressed:
        fields["lines_left_out"] = suppressed
    logger.log(level, message, extra={_FIELDS_ATTRIBUTE: fields})


def set_up_logging(
    telemetry: settings.Telemetry, host: str
) -> ty.Callable[[], None]:
    """Configure the root logger as the settings say.

    :param host: name of this host, part of each line of text
    :returns: function that writes the queued lines and stops the thread
    """
    output = sys.stdout if telemetry.log_output == "stdout" else sys.stderr
    writer = logging.StreamHandler(output)
    if telemetry.log_format == "json":
        writer.setFormatter(JsonFormatter())
    else:
        writer.setFormatter(
            TextFormatter(f"%(asctime)s {host} %(levelname)-7s %(message)s")
        )
    lines: queue.Queue[ty.Any] = queue.Queue(QUEUE_LINES_MAX)
    listener = handlers.QueueListener(lines, writer)
    listener.start()
    root = logging.getLogger()
    root.handlers[:] = [BoundedQueueHandler(lines)]
    root.setLevel(_LEVELS[telemetry.log_level])
    # Request handlers log their refusals themselves, with the reason.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    return listener.stop

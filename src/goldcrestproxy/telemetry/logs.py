"""Logs: short sentences, a fixed prefix per part, text or JSON lines.

Lines go through a bounded queue to a thread of their own, so that nobody
waits for a slow reader of the output. What does not fit is counted and the
count is logged once there is room again.
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
# Lines that wait for the output; about 2 MB at 500 bytes a line.
QUEUE_LINES_MAX: ty.Final = 4_000
# Lines a second about single requests; twice an entry host's usual load.
EVENT_LINES_PER_S: ty.Final = 250
_FIELDS: ty.Final = "event_fields"


class JsonFormatter(logging.Formatter):
    """One JSON object a line, with the part split from the sentence."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        message = record.getMessage()
        part, _, sentence = message.partition(": ")
        line: dict[str, ty.Any] = {
            "time_s": round(record.created, 3),
            "level": record.levelname.lower(),
            "part": part if sentence else "",
            "message": sentence or message,
            **getattr(record, _FIELDS, {}),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


class TextFormatter(logging.Formatter):
    """A sentence a line, with the fields of an event behind it."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
        line = super().format(record)
        fields = getattr(record, _FIELDS, {})
        if not fields:
            return line
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        return f"{line} {text}"


class BoundedQueueHandler(handlers.QueueHandler):
    """Queues records without ever waiting, and counts those dropped."""

    def __init__(self, lines: queue.Queue[ty.Any]) -> None:
        """Queue into ``lines``, which is bounded."""
        super().__init__(lines)
        self.dropped = 0

    def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
        """Leave the formatting to the thread that writes."""
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


class EventRate:
    """Bounds the lines about single requests."""

    def __init__(self, lines_per_s: int) -> None:
        """Allow so many lines in each second."""
        self.suppressed = 0
        self._lines_per_s = lines_per_s
        self._second = 0
        self._lines = 0

    def acquire(self, now_s: float) -> bool:
        """Count a line; return whether it is written."""
        second = int(now_s)
        if second != self._second:
            self._second = second
            self._lines = 0
        self._lines += 1
        if self._lines > self._lines_per_s:
            self.suppressed += 1
            return False
        return True

    def pop_suppressed(self) -> int:
        """Return the lines left out since this was last asked."""
        count, self.suppressed = self.suppressed, 0
        return count


_EVENTS: ty.Final = EventRate(EVENT_LINES_PER_S)


def log_event(
    logger: logging.Logger,
    message: str,
    *,
    level: int = logging.INFO,
    **fields: ty.Any,
) -> None:
    """Log a decision on one request, with what it was decided on.

    Above a rate the lines are left out and counted; the next line that is
    written tells the count.
    """
    if not logger.isEnabledFor(level) or not _EVENTS.acquire(time.monotonic()):
        return
    suppressed = _EVENTS.pop_suppressed()
    if suppressed:
        fields["lines_left_out"] = suppressed
    logger.log(level, message, extra={_FIELDS: fields})


def set_up_logging(
    telemetry: settings.Telemetry, host: str
) -> ty.Callable[[], None]:
    """Send logs to the output of the settings.

    Returns what writes the lines that still wait, for the end of a process.
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
    # Handlers log their refusals themselves, with the reason.
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    return listener.stop

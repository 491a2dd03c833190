"""Stop signals and the main loop of a daemon."""

from __future__ import annotations

import asyncio
import logging
import signal
import typing as ty

LOG = logging.getLogger(__name__)


def stop_signal() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


async def run_until(
    stop: asyncio.Event,
    tasks: ty.Sequence[asyncio.Task[None]],
    shut_down: ty.Callable[[], ty.Awaitable[None]],
) -> None:
    """Run tasks until ``stop`` is set, then shut down and cancel them.

    The end of a task has the same effect as ``stop``. If a task failed, its
    exception is raised after the shutdown.
    """
    for task in tasks:
        task.add_done_callback(_log_end)
    stop_task = asyncio.create_task(stop.wait())
    done, _ = await asyncio.wait(
        {stop_task, *tasks}, return_when=asyncio.FIRST_COMPLETED
    )
    stop_task.cancel()
    try:
        await shut_down()
    finally:
        for task in tasks:
            task.remove_done_callback(_log_end)
            task.cancel()
        await asyncio.wait(tasks)
    for ended in done - {stop_task}:
        ended.result()


def _log_end(task: asyncio.Task[None]) -> None:
    name = ty.cast(ty.Any, task.get_coro()).__qualname__
    error = None if task.cancelled() else task.exception()
    LOG.error("daemon: task %s ended unexpectedly", name, exc_info=error)

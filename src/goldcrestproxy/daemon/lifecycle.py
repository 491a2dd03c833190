"""Stop signals and the main loop of a daemon."""

from __future__ import annotations

import asyncio
import signal
import typing as ty


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

    If a task fails, its exception is raised without a shutdown.
    """
    stop_task = asyncio.create_task(stop.wait())
    done, _ = await asyncio.wait(
        {stop_task, *tasks}, return_when=asyncio.FIRST_COMPLETED
    )
    for task in done - {stop_task}:
        task.result()
    await shut_down()
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)

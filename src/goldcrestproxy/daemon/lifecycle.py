"""From the start of a daemon's work to its orderly end."""

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
    """Let tasks work until ``stop`` is set, then leave and end them.

    A task that fails ends the wait with its own error.
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

"""Tests of the main loop of a daemon."""

from __future__ import annotations

import asyncio

import pytest

from goldcrestproxy.daemon import lifecycle
from goldcrestproxy import errors


async def run_forever():
    await asyncio.Event().wait()


async def fail():
    raise errors.StorageError("the disk is lost")


async def end():
    pass


def run_until(*works, stopped=False, shut_down=None):
    """Run tasks until the end; return the steps of the shutdown."""
    steps = []

    async def shut_down_in_steps():
        steps.append("begun")
        await asyncio.sleep(0.01)
        steps.append("ended")

    async def scenario():
        stop = asyncio.Event()
        if stopped:
            stop.set()
        tasks = [asyncio.create_task(work()) for work in works]
        try:
            await lifecycle.run_until(
                stop, tasks, shut_down or shut_down_in_steps
            )
        except errors.StorageError:
            steps.append("raised")
        assert all(task.done() for task in tasks)

    asyncio.run(scenario())
    return steps


def test_failure_of_a_task_does_not_cut_requests():
    """The shutdown waits for requests; the error is raised after it."""
    assert run_until(run_forever, fail) == ["begun", "ended", "raised"]


@pytest.mark.parametrize(
    ("work", "text"), [(fail, "the disk is lost"), (end, "task end ")]
)
def test_end_of_a_task_is_logged(work, text, caplog):
    assert run_until(run_forever, work)[:2] == ["begun", "ended"]
    assert f"task {work.__name__} ended unexpectedly" in caplog.text
    assert text in caplog.text


def test_planned_stop_reports_no_ended_task(caplog):
    assert run_until(run_forever, stopped=True) == ["begun", "ended"]
    assert caplog.text == ""


def test_failed_shutdown_does_not_leave_tasks_running():
    assert run_until(run_forever, stopped=True, shut_down=fail) == ["raised"]

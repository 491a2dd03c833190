"""A short seeded run of the soak, and every seed that ever failed."""

from __future__ import annotations

import asyncio

import pytest
from soak import running

LENGTH_S = 22.0
PROCESSES = 10
# Seed, seconds, processes, and the cause of the failure.
REGRESSIONS = []


def test_a_short_run_keeps_every_promise(tmp_path):
    result = asyncio.run(running.play(tmp_path, 1, LENGTH_S, PROCESSES))
    assert result.broken == []
    assert result.faults >= 3


@pytest.mark.parametrize(
    ("seed", "length_s", "processes", "cause"), REGRESSIONS
)
def test_what_once_failed_holds(tmp_path, seed, length_s, processes, cause):
    result = asyncio.run(running.play(tmp_path, seed, length_s, processes))
    assert result.broken == [], cause

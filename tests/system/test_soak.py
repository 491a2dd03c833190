"""One short seeded soak run, and a run for each seed that has failed."""

from __future__ import annotations

import asyncio

import pytest
from soak import running

# Seed, seconds, processes, and the cause of the failure or the purpose.
RUNS = [
    (1, 22.0, 10, "a short run for every change"),
    (14, 26.0, 10, "a stop closed the connections of unanswered requests"),
]


@pytest.mark.parametrize(("seed", "length_s", "processes", "cause"), RUNS)
def test_every_guarantee_holds(tmp_path, seed, length_s, processes, cause):
    result = asyncio.run(running.run_soak(tmp_path, seed, length_s, processes))
    assert result.violations == [], cause
    assert result.faults >= 3

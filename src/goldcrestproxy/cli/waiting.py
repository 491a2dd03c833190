"""Wait until a revision is in force on every daemon."""

from __future__ import annotations

import time
import typing as ty

import attrs

from goldcrestproxy.cli import client as clients

ROLLOUT_TIMEOUT_S: ty.Final = 30.0
POLL_INTERVAL_S: ty.Final = 0.1


@attrs.frozen(kw_only=True)
class RolloutStatus:
    """Number of daemons, and the hosts that lag behind a revision."""

    daemon_count: int
    lagging: tuple[str, ...]

    @property
    def text(self) -> str:
        """Return a one-line summary."""
        count = self.daemon_count - len(self.lagging)
        line = f"in force on {count} of {self.daemon_count} daemons"
        if self.lagging:
            line += f"; lagging: {', '.join(self.lagging)}"
        return line


def rollout_status(status: dict[str, ty.Any], revision: int) -> RolloutStatus:
    """Return where a revision is in force, from a ``/v1/status`` answer."""
    daemons = status["daemons"]
    return RolloutStatus(
        daemon_count=len(daemons),
        lagging=tuple(
            daemon["host"]
            for daemon in daemons
            if daemon["revision"] < revision
        ),
    )


def wait_for_rollout(client: clients.Client, revision: int) -> RolloutStatus:
    """Wait until every daemon reports the revision or the time is up."""
    deadline_s = time.monotonic() + ROLLOUT_TIMEOUT_S
    while True:
        rollout = rollout_status(client.get("/v1/status"), revision)
        done = rollout.daemon_count and not rollout.lagging
        if done or time.monotonic() > deadline_s:
            return rollout
        time.sleep(POLL_INTERVAL_S)

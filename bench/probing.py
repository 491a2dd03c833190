"""Open-loop probes of one key, and recovery times after a loss."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
import typing as ty

import attrs
from tornado import httpclient

PROBE_INTERVAL_S = 0.01
PROBE_TIMEOUT_S = 5.0


@attrs.frozen
class Probe:
    """Completion of one request; ``status`` is 0 without an answer."""

    due_s: float
    done_s: float
    status: int
    code: str

    @property
    def good(self) -> bool:
        return self.status == 200


class Prober:
    """Send a request every ``PROBE_INTERVAL_S``, whatever the answers."""

    def __init__(self, urls: ty.Sequence[str]) -> None:
        self.probes: list[Probe] = []
        self._urls = urls
        self._client = httpclient.AsyncHTTPClient(
            force_instance=True, max_clients=1000
        )
        self._pending: set[asyncio.Task[None]] = set()
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Prober:
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._task is not None
        self._task.cancel()
        if self._pending:
            await asyncio.wait(self._pending)
        self._client.close()

    async def _run(self) -> None:
        due_s = time.monotonic()
        number = 0
        while True:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            url = self._urls[number % len(self._urls)]
            task = asyncio.create_task(self._probe(url, due_s))
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)
            due_s += PROBE_INTERVAL_S
            number += 1

    async def _probe(self, url: str, due_s: float) -> None:
        status, code = 0, ""
        with contextlib.suppress(Exception):
            response = await self._client.fetch(
                url, raise_error=False, request_timeout=PROBE_TIMEOUT_S
            )
            status = response.code
            code = response.headers.get("Goldcrest-Result", "")
            if status != 200:
                code += f": {json.loads(response.body)['text'][:90]}"
        self.probes.append(Probe(due_s, time.monotonic(), status, code))

    def served_again_ms(self, lost_s: float) -> float | None:
        """Return the time from a loss to the first good answer afterwards.

        Only requests that were due after the loss count; None without one.
        """
        ends = [
            probe.done_s
            for probe in self.probes
            if probe.good and probe.due_s >= lost_s
        ]
        return (min(ends) - lost_s) * 1000 if ends else None

    def last_bad_ms(self, lost_s: float) -> float:
        """Return the time from a loss to the last failed or slow request.

        Requests over 100 ms are slow; 0 without any such request.
        """
        late = [
            probe.due_s
            for probe in self.probes
            if probe.due_s >= lost_s
            and (not probe.good or probe.done_s - probe.due_s > 0.1)
        ]
        return (max(late) - lost_s) * 1000 if late else 0.0

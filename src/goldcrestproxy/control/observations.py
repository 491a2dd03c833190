"""What entry hosts measure for the leader between two reports."""

from __future__ import annotations

import collections
import typing as ty

from goldcrestproxy.routing import target_choice
from goldcrestproxy import wire

# Broken runs in one report; more at once are a fault of the network.
BROKEN_MAX: ty.Final = 50


class Observations:
    """Counts requests by block of keys, and the work of targets."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self._blocks: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self._work: dict[tuple[str, int], tuple[float, int]] = {}
        self._broken: list[wire.ttypes.BrokenRun] = []

    def requested(self, service: str, block: int) -> None:
        """Count a request for a key of a block."""
        self._blocks[service, block] += 1

    def answered(
        self,
        target: str,
        incarnation: int,
        duration_ms: float,
        load: target_choice.LoadReport | None,
    ) -> None:
        """Count an answer; its time in the target's queue is taken off.

        With ``w`` requests waiting for ``c`` slots, a request takes about
        ``1 + w / c`` times as long as the work itself.
        """
        if load is None:
            return
        work_ms = duration_ms / (1 + load.waiting / load.slots)
        self._add_work((target, incarnation), work_ms, 1)

    def broke_off(
        self, target: str, incarnation: int, fingerprint: str
    ) -> None:
        """Note that a target broke off while it may have run a request."""
        if len(self._broken) < BROKEN_MAX:
            self._broken.append(
                wire.ttypes.BrokenRun(
                    fingerprint=fingerprint,
                    target=target,
                    incarnation=incarnation,
                )
            )

    def add(self, request: wire.ttypes.WatchRequest) -> None:
        """Add what another host reported."""
        for seen in request.observations or ():
            self._add_work(
                (seen.target, seen.incarnation), seen.work_ms, seen.answers
            )
        for block in request.blocks or ():
            self._blocks[block.service_name, block.first_key] += block.requests
        self._broken.extend(request.broken or ())

    def _add_work(
        self, process: tuple[str, int], work_ms: float, answers: int
    ) -> None:
        total_ms, known = self._work.get(process, (0.0, 0))
        self._work[process] = (total_ms + work_ms, known + answers)

    def take(self, request: wire.ttypes.WatchRequest) -> None:
        """Move what was counted into a report."""
        request.observations = [
            wire.ttypes.TargetObservation(
                target=target,
                incarnation=incarnation,
                answers=answers,
                work_ms=work_ms,
            )
            for (target, incarnation), (work_ms, answers) in (
                self._work.items()
            )
        ]
        request.blocks = [
            wire.ttypes.BlockCount(
                service_name=service, first_key=block, requests=requests
            )
            for (service, block), requests in self._blocks.items()
        ]
        request.broken = self._broken
        self._broken = []
        self._blocks.clear()
        self._work.clear()

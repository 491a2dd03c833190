"""Checks of targets that this host could not reach."""

from __future__ import annotations

import asyncio
import logging
import random
import typing as ty

from tornado import iostream
from tornado import tcpclient

from goldcrestproxy.entries import fleet_map
from goldcrestproxy.entries import passing
from goldcrestproxy.routing import target_contact
from goldcrestproxy import telemetry

LOG = logging.getLogger(__name__)

INTERVAL_S: ty.Final = 0.3
CONNECT_TIMEOUT_S: ty.Final = 0.3
# Connections that are tried at the same time.
PROBES_MAX: ty.Final = 4


class TargetProber:
    """Opens a connection to each unreached target until one succeeds.

    So no caller's request has to find out whether the way is open again.
    """

    def __init__(
        self,
        fleet: fleet_map.FleetMap,
        contact: target_contact.TargetContact,
        request_passing: passing.RequestPassing,
        rng: random.Random,
    ) -> None:
        """Create a prober; ``run`` probes."""
        self._fleet = fleet
        self._contact = contact
        self._passing = request_passing
        self._rng = rng
        self._client = tcpclient.TCPClient()
        self._was_isolated = False

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_S)
            names = {
                name
                for name, target in self._fleet.targets.items()
                if target.record.accepts_work
            }
            self._contact.retain(names)
            self._passing.retain_targets(names)
            unreached = sorted(self._contact.unreached)
            self._log_change(len(unreached))
            probed = self._rng.sample(
                unreached, min(PROBES_MAX, len(unreached))
            )
            await asyncio.gather(*(self._probe(name) for name in probed))

    async def _probe(self, name: str) -> None:
        target = self._fleet.targets.get(name)
        if target is None:
            # It was removed after this probe was chosen.
            return
        host, _, port = target.record.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stream = await self._client.connect(host, int(port))
        except (OSError, ValueError, iostream.StreamClosedError):
            return
        stream.close()
        self._contact.record_connection(name)

    def _log_change(self, unreached: int) -> None:
        isolated = self._contact.is_isolated(len(self._fleet.targets))
        if isolated == self._was_isolated:
            return
        self._was_isolated = isolated
        telemetry.log_event(
            LOG,
            "entries: no target is reached"
            if isolated
            else "entries: targets are reached again",
            targets=len(self._fleet.targets),
            unreached=unreached,
        )

"""Service of a follower to entry hosts on the leader's behalf."""

from __future__ import annotations

import asyncio
import logging
import math
import typing as ty

from goldcrestproxy.control import build_levels
from goldcrestproxy.control import entry_directory
from goldcrestproxy.control import feed
from goldcrestproxy.control import formation
from goldcrestproxy.control import observations
from goldcrestproxy.control import replica as replicas
from goldcrestproxy import errors
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

# Interval of reports to the leader. It is added to the entry hosts' own
# interval in the maximum age of the leader's measurements.
REPORT_INTERVAL_S: ty.Final = 0.3
REPORT_TIMEOUT_MS: ty.Final = 600


class WatchRelay:
    """Feeds entry hosts from a follower and forwards their reports."""

    def __init__(
        self,
        replica: replicas.Replica,
        feeder: feed.Feeder,
        directory: entry_directory.EntryDirectory | None = None,
    ) -> None:
        """Start without reports."""
        self._directory = directory or entry_directory.EntryDirectory()
        self._replica = replica
        self._feeder = feeder
        self._observations = observations.Observations()
        self._reported_to: wire.PeerAddress | None = None
        # From the leader's last reply; 0 while unknown.
        self._entry_hosts = 0
        self._map_index = 0
        self._binding_index = 0
        # When the leader that last replied was asked, None before that.
        self._asked_s: float | None = None
        # None while unknown.
        self._limits: list[wire.ttypes.TargetLimit] | None = None

    def watch(
        self, channel: wire.Channel, request: wire.ttypes.WatchRequest
    ) -> wire.ttypes.WatchReply:
        """Start to feed a daemon and add its report."""
        self._feeder.feed(
            channel,
            request.applied_index,
            entry=bool(request.entry),
            takes_parts=bool(request.takes_parts),
            build_level=request.build_level,
        )
        self._observations.merge(request)
        self._directory.record(request)
        state = self._replica.state
        return wire.ttypes.WatchReply(
            serving=True,
            leader_address="",
            leader_peer_port=0,
            entry_hosts=self._entry_hosts,
            map_index=max(self._map_index, state.map_index),
            limits=self._limits,
            entry_host_list=self._directory.neighbours(request),
            binding_index=max(self._binding_index, state.binding_index),
            binding_age_ms=self._binding_age_ms(),
        )

    def _binding_age_ms(self) -> int | None:
        """Return the age of what the leader replied, None without a reply.

        Contact with the leader is not enough: its entries may wait for this
        host's disk or link, or this host has only just started.
        """
        if self._asked_s is None:
            return None
        return math.ceil((self._replica.clock() - self._asked_s) * 1000)

    async def run(self) -> None:
        """Report to the leader until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            leader = formation.leader_address(self._replica)
            if leader is None or self._replica.is_leader:
                self._entry_hosts = 0
                self._limits = None
                continue
            await self._report(leader)

    async def _report(self, leader: wire.PeerAddress) -> None:
        if leader != self._reported_to:
            self._observations.repeat_runs()
            self._reported_to = leader
        request = wire.ttypes.WatchRequest(
            host=self._replica.host,
            session="",
            zone="",
            applied_index=self._replica.state.applied_index,
            entry=False,
            relayed_watchers=self._feeder.entry_hosts,
            entry_host_list=self._directory.fed(),
            build_level=min(
                build_levels.OWN, self._feeder.lowest_build_level()
            ),
        )
        self._observations.flush_into(request)
        asked_s = self._replica.clock()
        try:
            reply = await self._replica.peers.call(
                leader, wire.Method.WATCH, request, REPORT_TIMEOUT_MS
            )
        except (errors.WireError, errors.RefusedError) as error:
            LOG.info("control: report to the leader failed: %s", error)
            self._observations.restore_runs(request)
            self._entry_hosts = 0
            self._limits = None
            return
        if reply.serving:
            self._limits = reply.limits
            self._entry_hosts = reply.entry_hosts
            self._map_index = reply.map_index
            # A leader of an earlier build does not say.
            self._binding_index = reply.binding_index or reply.map_index
            self._asked_s = asked_s
            self._directory.merge(reply.entry_host_list)
        else:
            self._observations.restore_runs(request)

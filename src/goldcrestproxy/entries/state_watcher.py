"""How an entry host follows the replicated state without a lease."""

from __future__ import annotations

import asyncio
import itertools
import logging
import typing as ty

import attrs
import xxhash

from goldcrestproxy.control import clock as clocks
from goldcrestproxy.control import observations
from goldcrestproxy.entries import state_copy
from goldcrestproxy import errors
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

RETRY_S: ty.Final = 0.05
# Presumed until a leader has counted the entry hosts: shares of common
# limits are rather too small than too large.
ENTRY_HOSTS_DEFAULT: ty.Final = 100
# Between two reports, for each entry host: the control hosts together get 100
# reports a second, however many entry hosts there are.
WATCH_INTERVAL_MS_PER_HOST: ty.Final = 10
# A control host that was away is asked again after this.
PREFERRED_RETRY_S: ty.Final = 5.0


@attrs.frozen(kw_only=True)
class WatcherSettings:
    """Who this daemon is, and where control hosts may be found."""

    host: str
    zone: str
    session: str
    seeds: tuple[wire.PeerAddress, ...]
    watch_interval_ms: int
    watch_timeout_ms: int


class StateWatcher(state_copy.StateCopy):
    """Keeps one channel to a control host, which feeds the state on it.

    The addresses to try are the seeds of the settings and the members that
    the state names, so that control hosts may be replaced.
    """

    def __init__(
        self,
        watcher_settings: WatcherSettings,
        peers: wire.Peers,
        clock: clocks.Clock = clocks.monotonic,
    ) -> None:
        """Start with an empty state."""
        super().__init__()
        # As a leader counted them, 0 before that.
        self._entry_hosts = 0
        # Whether the state here was once as new as the leader's.
        self.current = False
        self._required_index: int | None = None
        # When a control host last answered, None before the first time.
        self.last_answer_s: float | None = None
        self.observations = observations.Observations()
        self._settings = watcher_settings
        self._peers = peers
        self._clock = clock
        self._retry_ranks = itertools.count(1)
        self._address = self._ranked_addresses()[0]
        self._preferred_tried_s = clock()
        self._connected = False

    @property
    def entry_hosts(self) -> int:
        """Entry hosts that share common limits."""
        return self._entry_hosts or ENTRY_HOSTS_DEFAULT

    @property
    def age_ms(self) -> int:
        """Milliseconds since a control host answered, -1 before that."""
        if self.last_answer_s is None:
            return -1
        return int((self._clock() - self.last_answer_s) * 1000)

    async def run(self) -> None:
        """Follow the replicated state until cancelled."""
        while True:
            if await self._watch():
                self._return_to_preferred()
                await asyncio.sleep(self._interval_s)
            else:
                await asyncio.sleep(RETRY_S)

    @property
    def _interval_s(self) -> float:
        scaled_ms = self._entry_hosts * WATCH_INTERVAL_MS_PER_HOST
        return max(self._settings.watch_interval_ms, scaled_ms) / 1000

    async def _watch(self) -> bool:
        request = wire.ttypes.WatchRequest(
            host=self._settings.host,
            session=self._settings.session,
            zone=self._settings.zone,
            applied_index=self.state.applied_index,
            entry=True,
        )
        self.observations.flush_into(request)
        try:
            reply = await self._peers.call(
                self._address,
                wire.Method.WATCH,
                request,
                self._settings.watch_timeout_ms,
            )
        except (errors.WireError, errors.RefusedError) as error:
            self._record_disconnected(str(error))
            self._address = self._next_address()
            return False
        if not reply.serving:
            self._record_disconnected(f"{self._address} does not serve")
            self._address = self._hinted_address(reply)
            return False
        self._record_connected()
        self.last_answer_s = self._clock()
        self._update_current(reply.map_index)
        self._entry_hosts = reply.entry_hosts or self._entry_hosts
        return True

    def _update_current(self, map_index: int) -> None:
        """Count as current once the first answer's state is reached.

        Before that, routes may be missing here that have long been in force.
        """
        if self._required_index is None:
            self._required_index = map_index
        if not self.current and (
            self.state.applied_index >= self._required_index
        ):
            self.current = True
            LOG.info("entries: state is current at %d", map_index)

    def _record_connected(self) -> None:
        if not self._connected:
            LOG.info(
                "entries: fed by %s, state %d",
                self._address.address,
                self.state.applied_index,
            )
        self._connected = True

    def _record_disconnected(self, reason: str) -> None:
        if self._connected:
            LOG.warning(
                "entries: lost its control host: %s, state %d",
                reason,
                self.state.applied_index,
            )
        self._connected = False

    def _hinted_address(
        self, reply: wire.ttypes.WatchReply
    ) -> wire.PeerAddress:
        hinted = wire.PeerAddress(reply.leader_address, reply.leader_peer_port)
        if hinted.address and hinted != self._address:
            return hinted
        return self._next_address()

    def _next_address(self) -> wire.PeerAddress:
        addresses = self._ranked_addresses()
        return addresses[next(self._retry_ranks) % len(addresses)]

    def _ranked_addresses(self) -> list[wire.PeerAddress]:
        """Return the control hosts in the order in which this host asks.

        Rendezvous hashing (Thaler and Ravishankar, 1998) spreads the entry
        hosts over the control hosts, whichever of them there are.
        """
        members = [member.peer for member in self.state.members.members]
        addresses = dict.fromkeys([*members, *self._settings.seeds])
        return sorted(addresses, key=self._rank)

    def _rank(self, address: wire.PeerAddress) -> int:
        text = f"{self._settings.host} {address.address} {address.peer_port}"
        return xxhash.xxh3_64_intdigest(text.encode())

    def _return_to_preferred(self) -> None:
        """Ask the preferred control host again after it was away."""
        if self._clock() < self._preferred_tried_s + PREFERRED_RETRY_S:
            return
        self._preferred_tried_s = self._clock()
        self._retry_ranks = itertools.count(1)
        self._address = self._ranked_addresses()[0]

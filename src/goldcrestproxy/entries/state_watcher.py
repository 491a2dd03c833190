"""Replication of the state to an entry host, which needs no lease."""

from __future__ import annotations

import asyncio
import itertools
import logging
import math
import typing as ty

import attrs
import xxhash

from goldcrestproxy.control import build_levels
from goldcrestproxy.control import clock as clocks
from goldcrestproxy.control import observations
from goldcrestproxy.entries import state_copy
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import copy_age
from goldcrestproxy import signals
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

RETRY_S: ty.Final = 0.05
# Used until a leader has counted the entry hosts. A high number keeps each
# host's share of common limits too small rather than too large.
ENTRY_HOSTS_DEFAULT: ty.Final = 100
# Interval between two reports per entry host: the control hosts together get
# at most 100 reports per second, whatever the number of entry hosts.
WATCH_INTERVAL_MS_PER_HOST: ty.Final = 10
# Interval at which the preferred control host is tried again.
PREFERRED_RETRY_S: ty.Final = 5.0
# A report that fails after a longer time than this is logged.
SLOW_FAILURE_S: ty.Final = 0.2
# Shortest interval between two reports to a control host that answers,
# however many requests wait for its answer.
ASKED_INTERVAL_S: ty.Final = 0.1
# A control host may have to ask the leader.
PERMIT_TIMEOUT_MS: ty.Final = 300

NeighbourListener = ty.Callable[[list[wire.ttypes.EntryHost]], None]
LimitListener = ty.Callable[[list[wire.ttypes.TargetLimit]], None]


@attrs.frozen(kw_only=True)
class WatcherSettings:
    """Identity of this daemon, addresses of control hosts, and timing.

    ``seeds`` are the control hosts to try before the state names members.
    ``in_force_ms`` is the time from the confirmation of a change until it
    binds every host.
    """

    host: str
    zone: str
    session: str
    address: str
    peer_port: int
    seeds: tuple[wire.PeerAddress, ...]
    watch_interval_ms: int
    watch_timeout_ms: int
    in_force_ms: float = copy_age.IN_FORCE_MS_DEFAULT


class StateWatcher(state_copy.StateCopy):
    """Reports to one control host, which sends state changes in return.

    Tries the seeds of the settings and the members that the state names, so
    that control hosts can be replaced.
    """

    def __init__(
        self,
        watcher_settings: WatcherSettings,
        peers: wire.Peers,
        clock: clocks.Clock = clocks.monotonic,
    ) -> None:
        """Create a watcher with an empty state; ``run`` connects it.

        :param clock: monotonic time in seconds
        """
        super().__init__()
        # Number counted by the leader, 0 before the first answer.
        self._entry_hosts = 0
        # Whether the state has caught up with the control hosts once.
        self.current = False
        self._required_index: int | None = None
        self._copy_age = copy_age.CopyAge(watcher_settings.in_force_ms)
        # Whether the next report is due before the interval has passed.
        self._report_wanted = asyncio.Event()
        self._age_changed = signals.Signal()
        # Time of the last answer of a control host, None before the first.
        self.last_answer_s: float | None = None
        self.observations = observations.Observations()
        self._limit_listeners: list[LimitListener] = []
        self._neighbour_listeners: list[NeighbourListener] = []
        # Whether this host sends requests on behalf of others.
        self.takes_requests: ty.Callable[[], bool] = lambda: False
        self._settings = watcher_settings
        self._peers = peers
        self._clock = clock
        self._retry_ranks = itertools.count(1)
        self._address = self._ranked_addresses()[0]
        self._preferred_tried_s = clock()
        self._connected = False
        # Control hosts that served this host before, whose feeds may go on.
        self._former: set[wire.PeerAddress] = set()

    def add_limit_listener(self, callback: LimitListener) -> None:
        """Call ``callback`` with the leader's limits after each report."""
        self._limit_listeners.append(callback)

    def add_neighbour_listener(self, callback: NeighbourListener) -> None:
        """Call ``callback`` with other entry hosts after each report."""
        self._neighbour_listeners.append(callback)

    async def ask_permit(
        self,
        target: str,
        incarnation: int,
        limit_per_s: float,
        *,
        cold: bool = False,
    ) -> int:
        """Ask the leader whether a request may be sent to a target.

        :param limit_per_s: the limit of the target as known here
        :param cold: whether that is what the target bears while it is cold
        :return: 0 if it may, else milliseconds until the next question
        :raises WireError: without an answer in time
        :raises RefusedError: without a leader that gives such permits
        """
        request = wire.ttypes.PermitRequest(
            target=target,
            incarnation=incarnation,
            limit_per_s=limit_per_s,
            forwarded=False,
            cold=cold or None,
        )
        try:
            async with asyncio.timeout(PERMIT_TIMEOUT_MS / 1000):
                reply = await self._peers.call(
                    self._address,
                    wire.Method.PERMIT,
                    request,
                    PERMIT_TIMEOUT_MS,
                )
        except TimeoutError as error:
            raise errors.PeerTimeoutError(
                f"{self._address} was not reached in {PERMIT_TIMEOUT_MS} ms"
            ) from error
        if cold and not reply.cold:
            raise results.refusal(
                results.NO_LEADER,
                "the leader's build gives no permits for cold targets",
            )
        return reply.retry_after_ms

    async def ask_quota(
        self, request: wire.ttypes.QuotaRequest, timeout_s: float
    ) -> wire.ttypes.QuotaReply:
        """Ask the leader for tokens of customers' quotas.

        ``host`` and ``session`` are filled in here.

        :raises WireError: without an answer in time
        :raises RefusedError: without a leader
        """
        request.host = self._settings.host
        request.session = self._settings.session
        request.forwarded = False
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self._peers.call(
                    self._address,
                    wire.Method.QUOTA,
                    request,
                    int(timeout_s * 1000),
                )
        except TimeoutError as error:
            raise errors.PeerTimeoutError(
                f"{self._address} was not reached in {timeout_s:g} s"
            ) from error
        return ty.cast(wire.ttypes.QuotaReply, reply)

    @property
    def entry_hosts(self) -> int:
        """Number of entry hosts that share common limits."""
        return self._entry_hosts or ENTRY_HOSTS_DEFAULT

    @property
    def age_ms(self) -> int:
        """Milliseconds since a control host answered, -1 before that."""
        if self.last_answer_s is None:
            return -1
        return int((self._clock() - self.last_answer_s) * 1000)

    @property
    def copy_age_ms(self) -> int:
        """Milliseconds since the copy was the newest one, -1 if unknown."""
        age_s = self._copy_age.age_s(self._clock())
        return int(age_s * 1000) if math.isfinite(age_s) else -1

    @property
    def may_refuse_unknown(self) -> bool:
        """Whether a route that is missing here is in force nowhere."""
        return self._copy_age.may_refuse_unknown(self._clock())

    @property
    def may_serve(self) -> bool:
        """Whether the routes here may still be used."""
        return self._copy_age.may_serve(self._clock())

    async def ask_if_newest(self, timeout_s: float) -> None:
        """Ask a control host at once whether the copy is the newest one.

        Returns when there is an answer or a change, at the latest after
        ``timeout_s``; at once while no control host answers.
        """
        if self._connected:
            self._report_wanted.set()
            await self._age_changed.wait(max(0.0, timeout_s))

    @property
    def connected(self) -> bool:
        """Whether a control host answered the last report."""
        return self._connected

    async def run(self) -> None:
        """Report to control hosts until cancelled."""
        while True:
            self._report_wanted.clear()
            if await self._watch():
                served_by = self._address
                self._end_former_feeds()
                self._return_to_preferred()
                await self._wait_interval(served_by)
            else:
                await asyncio.sleep(RETRY_S)

    async def _wait_interval(self, served_by: wire.PeerAddress) -> None:
        """Wait until the next report is due or wanted.

        Turns to another control host at once when the channel to the one
        that serves this host closes: nothing feeds it any more.
        """
        await asyncio.sleep(ASKED_INTERVAL_S)
        wanted = asyncio.create_task(self._report_wanted.wait())
        closed = asyncio.create_task(self._peers.wait_closed(served_by))
        try:
            await asyncio.wait(
                (wanted, closed),
                timeout=self._interval_s - ASKED_INTERVAL_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            wanted.cancel()
            closed.cancel()
        if closed.done() and self._address == served_by:
            self._record_disconnected(
                f"{served_by.address} closed the channel"
            )
            self._address = self._next_address()

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
            address=self._settings.address,
            peer_port=self._settings.peer_port,
            takes_requests=self.takes_requests(),
            takes_parts=True,
            build_level=build_levels.OWN,
        )
        self.observations.flush_into(request)
        self.fed_over.clear()
        asked_s = self._clock()
        try:
            reply = await self._peers.call(
                self._address,
                wire.Method.WATCH,
                request,
                self._settings.watch_timeout_ms,
            )
        except (errors.WireError, errors.RefusedError) as error:
            self.observations.restore_runs(request)
            serving = self._peers.open_channel(self._address)
            if (
                isinstance(error, errors.PeerTimeoutError)
                and serving in self.fed_over
            ):
                # The answer waits behind the feed on a slow link. Another
                # control host would feed from the start.
                return False
            self._record_disconnected(str(error))
            self._log_if_slow(str(error), asked_s)
            self._address = self._next_address()
            return False
        if not reply.serving:
            self.observations.restore_runs(request)
            self._record_disconnected(
                f"{self._address} does not serve the state"
            )
            self._log_if_slow("it does not serve the state", asked_s)
            self._address = self._hinted_address(reply)
            return False
        self._record_connected()
        self.last_answer_s = self._clock()
        self._record_copy_age(reply, asked_s)
        self._entry_hosts = reply.entry_hosts or self._entry_hosts
        if reply.limits is not None:
            for callback in self._limit_listeners:
                callback(reply.limits)
        if reply.entry_host_list is not None:
            for listener in self._neighbour_listeners:
                listener(reply.entry_host_list)
        return True

    def _record_copy_age(
        self, reply: wire.ttypes.WatchReply, asked_s: float
    ) -> None:
        """Record which change a control host knows to be the last one."""
        if reply.binding_index is None:
            # A control host of an earlier build feeds what it knows.
            binding_index, as_of_s = self.state.applied_index, asked_s
        elif reply.binding_age_ms is None:
            return
        else:
            binding_index = reply.binding_index
            as_of_s = asked_s - reply.binding_age_ms / 1000
        self._copy_age.record_answer(
            binding_index,
            as_of_s,
            applied_index=self.state.applied_index,
            now_s=self._clock(),
        )
        self._update_current(reply.map_index)
        self._age_changed.notify()

    def _add_part(
        self, channel: wire.Channel, request: wire.ttypes.FeedRequest
    ) -> bytearray:
        """Record also which change the rest of the message may bring."""
        binding_index = request.binding_index or 0
        if binding_index > self.state.applied_index:
            self._copy_age.record_announced(binding_index, self._clock())
        return super()._add_part(channel, request)

    def _notify(self) -> None:
        """Record the new index once the listeners have processed it."""
        super()._notify()
        self._copy_age.record_applied(self.state.applied_index)
        self._age_changed.notify()

    def _update_current(self, map_index: int) -> None:
        """Set ``current`` once the index of the first answer is applied.

        Before that, routes that have long been in force may be missing.
        """
        if self._required_index is None:
            self._required_index = map_index
        if not self.current and (
            self.state.applied_index >= self._required_index
        ):
            self.current = True
            LOG.info(
                "entries: replicated state is up to date at index %d",
                map_index,
            )

    def _record_connected(self) -> None:
        if not self._connected:
            LOG.info(
                "entries: receiving state from %s, applied index %d",
                self._address.address,
                self.state.applied_index,
            )
            self.observations.repeat_runs()
        self._connected = True

    def _record_disconnected(self, reason: str) -> None:
        if self._connected:
            LOG.warning(
                "entries: lost the control host: %s, applied index %d",
                reason,
                self.state.applied_index,
            )
        self._connected = False

    def _log_if_slow(self, reason: str, asked_s: float) -> None:
        """Log a failed report that cost time in which others could answer."""
        duration_s = self._clock() - asked_s
        if duration_s > SLOW_FAILURE_S:
            LOG.info(
                "entries: report to %s failed after %d ms: %s",
                self._address.address,
                duration_s * 1000,
                reason,
            )

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
        """Return the control hosts in this host's order of preference.

        Rendezvous hashing (Thaler and Ravishankar, 1998) spreads the entry
        hosts evenly over any set of control hosts.
        """
        members = [member.peer for member in self.state.members.members]
        addresses = dict.fromkeys([*members, *self._settings.seeds])
        return sorted(addresses, key=self._rank)

    def _rank(self, address: wire.PeerAddress) -> int:
        text = f"{self._settings.host} {address.address} {address.peer_port}"
        return xxhash.xxh3_64_intdigest(text.encode())

    def _end_former_feeds(self) -> None:
        """Close channels to control hosts that no longer serve this host.

        Their feeds would bring each change a second time.
        """
        self._former.discard(self._address)
        if not self.receives_message:
            self._former = {
                address
                for address in self._former
                if not self._peers.close_unused(address)
            }
        self._former.add(self._address)

    def _return_to_preferred(self) -> None:
        """Switch to the preferred control host every ``PREFERRED_RETRY_S``.

        Not while parts of a message arrive, which would begin anew there.
        """
        if (
            self._clock() < self._preferred_tried_s + PREFERRED_RETRY_S
            or self.receives_message
        ):
            return
        self._preferred_tried_s = self._clock()
        self._retry_ranks = itertools.count(1)
        self._address = self._ranked_addresses()[0]

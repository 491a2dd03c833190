"""The connection to the control leader: lease, state and commands."""

from __future__ import annotations

import asyncio
import itertools
import json
import logging
import typing as ty

from goldcrestproxy import control
from goldcrestproxy.control import clock as clocks
from goldcrestproxy.entries import state_copy
from goldcrestproxy import errors
from goldcrestproxy import results
from goldcrestproxy.routing import leases
from goldcrestproxy import settings
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

RETRY_MS: ty.Final = 20
PROPOSE_TIMEOUT_MS: ty.Final = 1_500
LEADER_WAIT_S: ty.Final = 3.0
QUERY_TIMEOUT_MS: ty.Final = 5_000
MEMBERS_TIMEOUT_MS: ty.Final = 90_000


class ControlLink(state_copy.StateCopy):
    """Renews this daemon's lease and receives the replicated state.

    One task renews; the leader sends committed entries on the same channel.
    """

    def __init__(
        self,
        host_settings: settings.HostSettings,
        session: str,
        peers: wire.Peers,
        clock: clocks.Clock = clocks.monotonic,
    ) -> None:
        """Create a link without a lease and with an empty state.

        :param session: identifies this run of the daemon
        :param clock: monotonic time in seconds
        """
        super().__init__()
        self.lease_until_s = 0.0
        self.stopping = False
        self.read_loads: ty.Callable[[], list[wire.ttypes.TargetLoad]] = list
        self.session = session
        self._settings = host_settings
        self._peers = peers
        self._clock = clock
        self._addresses = {
            host.host: wire.PeerAddress(host.address, host.peer_port)
            for host in host_settings.control_hosts
        }
        self._host_cycle = itertools.cycle(self._addresses)
        self._leader = next(self._host_cycle)
        self._lease_terms = leases.LeaseTerms(
            lease_s=host_settings.timeouts.lease_ms / 1000,
            drift_parts_per_million=(
                host_settings.timeouts.drift_parts_per_million
            ),
        )

    @property
    def has_lease(self) -> bool:
        """Whether the lease is in force, so that requests may be sent."""
        return self._clock() < self.lease_until_s

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        while True:
            if await self._renew():
                wait_ms = self._settings.timeouts.renewal_ms
            else:
                wait_ms = RETRY_MS
            await asyncio.sleep(wait_ms / 1000)

    async def renew_now(self) -> None:
        """Renew the lease at once, to report a change without delay."""
        await self._renew()

    async def propose(self, command: control.Command) -> control.Outcome:
        """Commit a command, with retries: every command is idempotent.

        :raises RefusedError: when no leader committed it in time
        """
        request = wire.ttypes.ProposeRequest(command=control.encode(command))
        wait_until_s = self._clock() + LEADER_WAIT_S
        while True:
            try:
                reply = await self._peers.call(
                    self._addresses[self._leader],
                    wire.Method.PROPOSE,
                    request,
                    PROPOSE_TIMEOUT_MS,
                )
                return control.decode_outcome(reply.outcome)
            except (errors.WireError, errors.RefusedError) as error:
                if self._clock() > wait_until_s:
                    raise results.refusal(
                        results.NO_LEADER,
                        f"the control leader did not answer: {error}",
                        500,
                    ) from error
                await asyncio.sleep(RETRY_MS / 1000)

    async def query(self, name: str, argument: str = "") -> ty.Any:
        """Query the leader and return the decoded JSON answer.

        :param name: a name of a query, see control/service.py
        :raises RefusedError: when the leader refused, or none answered in time
        """
        request = wire.ttypes.QueryRequest(name=name, argument=argument)
        timeout_ms = QUERY_TIMEOUT_MS
        if name.startswith("members"):
            timeout_ms = MEMBERS_TIMEOUT_MS
        wait_until_s = self._clock() + LEADER_WAIT_S
        while True:
            try:
                reply = await self._peers.call(
                    self._addresses[self._leader],
                    wire.Method.QUERY,
                    request,
                    timeout_ms,
                )
                return json.loads(reply.answer)
            except errors.RefusedError as error:
                if error.code != results.NO_LEADER:
                    raise
                if self._clock() > wait_until_s:
                    raise
            except errors.WireError as error:
                if self._clock() > wait_until_s:
                    raise results.refusal(
                        results.NO_LEADER, str(error), 500
                    ) from error
            await asyncio.sleep(RETRY_MS / 1000)

    async def catch_up(self) -> bool:
        """Wait until the state here includes all that the leader has now.

        Returns False when that did not happen in time.
        """
        wait_until_s = self._clock() + LEADER_WAIT_S
        try:
            index = await self.query("index")
        except errors.RefusedError:
            return False
        while self.state.applied_index < index:
            left_s = wait_until_s - self._clock()
            if left_s <= 0:
                return False
            await self.wait_change(left_s)
        return True

    async def _renew(self) -> bool:
        request = wire.ttypes.RenewRequest(
            host=self._settings.host,
            session=self.session,
            zone=self._settings.zone,
            applied_index=self.state.applied_index,
            revision=self.state.configuration.revision,
            loads=self.read_loads(),
            stopping=self.stopping,
            address=self._settings.address,
            peer_port=self._settings.peer_port,
            entry="entry" in self._settings.roles,
            takes_parts=True,
        )
        requested_s = self._clock()
        try:
            reply = await self._peers.call(
                self._addresses[self._leader],
                wire.Method.RENEW,
                request,
                self._settings.timeouts.renewal_ms,
            )
        except (errors.WireError, errors.RefusedError):
            self._leader = next(self._host_cycle)
            return False
        if not reply.granted:
            self._switch_leader(reply.leader_host)
            return False
        until_s = self._lease_terms.holder_expiry_s(requested_s)
        self.lease_until_s = max(self.lease_until_s, until_s)
        return True

    def _switch_leader(self, hint: str) -> None:
        if hint in self._addresses and hint != self._leader:
            self._leader = hint
        else:
            self._leader = next(self._host_cycle)

"""Daemon sessions and their leases, as tracked by the control leader."""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy.control import records
from goldcrestproxy.routing import coordination
from goldcrestproxy import wire

# A daemon whose map has lagged behind for longer gets no lease.
MAP_AGE_S_MAX: ty.Final = 1.0


@attrs.define(kw_only=True)
class Session:
    """A daemon's session, updated by each lease renewal.

    Times are on the leader's monotonic clock.
    """

    host: str
    session: str
    zone: str
    lease_end_s: float
    # Whether the daemon has, or may have, a lease. A session without one is
    # removed without an EndSession command.
    leased: bool = False
    address: str = ""
    peer_port: int = 0
    entry: bool = False
    stopping: bool = False
    applied_index: int = 0
    revision: int = 0
    channel: wire.Channel | None = None
    # The index that the daemon must reach, and when it was first seen below.
    required_index: int = 0
    behind_since_s: float | None = None

    def is_stale(self, applied_index: int, now_s: float) -> bool:
        """Whether the daemon's map has lagged for over MAP_AGE_S_MAX.

        :param applied_index: the leader's current map index
        """
        if self.applied_index >= self.required_index:
            self.behind_since_s = None
            self.required_index = applied_index
        if self.applied_index >= self.required_index:
            return False
        if self.behind_since_s is None:
            self.behind_since_s = now_s
        return now_s - self.behind_since_s > MAP_AGE_S_MAX

    def daemon(self) -> coordination.Daemon:
        """Return the session as input for the planning of coordinators."""
        return coordination.Daemon(
            host=self.host,
            session=self.session,
            zone=self.zone,
            address=self.address,
            peer_port=self.peer_port,
            stopping=self.stopping,
        )


@attrs.define(kw_only=True)
class TargetMeasurement:
    """The last measurements of a target by its coordinator.

    Rates are in requests per second, by partition number or key hash.
    """

    incarnation: str = ""
    cold: bool = True
    rates_per_s: dict[int, float] = attrs.field(factory=dict)
    hot_rates_per_s: dict[int, float] = attrs.field(factory=dict)


class Sessions:
    """Sessions of the current term and their last measurements."""

    def __init__(self) -> None:
        """Create an empty store."""
        self.by_session: dict[str, Session] = {}
        self.measurements: dict[str, TargetMeasurement] = {}

    def assume_leases(
        self,
        holders: ty.Iterable[records.TargetRecord | records.ClaimRecord],
        lease_end_s: float,
    ) -> None:
        """Assume a full lease for each session in the replicated state.

        The previous leader may have renewed it just before its term ended.

        :param holders: records that name the sessions
        """
        for holder in holders:
            if holder.session and holder.session not in self.by_session:
                self.by_session[holder.session] = Session(
                    host=holder.host,
                    session=holder.session,
                    zone="",
                    lease_end_s=lease_end_s,
                    leased=True,
                )

    def record_report(
        self,
        request: wire.ttypes.RenewRequest,
        channel: wire.Channel | None,
        now_s: float,
    ) -> Session:
        """Record a daemon's report without renewing its lease."""
        session = self.by_session.get(request.session)
        if session is None:
            session = Session(
                host=request.host,
                session=request.session,
                zone=request.zone,
                lease_end_s=now_s,
            )
            self.by_session[request.session] = session
        session.zone = request.zone
        session.address = request.address
        session.peer_port = request.peer_port
        session.entry = bool(request.entry)
        session.stopping = request.stopping
        session.applied_index = request.applied_index
        session.revision = request.revision
        session.channel = channel
        for load in request.loads or ():
            self._record_load(load)
        return session

    def expired(self, now_s: float) -> list[Session]:
        """Return the sessions whose lease has expired."""
        return [
            session
            for session in self.by_session.values()
            if session.leased and session.lease_end_s <= now_s
        ]

    def evict_disconnected(self) -> None:
        """Evict sessions that never had a lease and whose channel closed."""
        for name, session in list(self.by_session.items()):
            channel = session.channel
            if not session.leased and channel is not None and channel.closed:
                del self.by_session[name]

    def remove(self, session: str) -> None:
        """Remove a session if it exists."""
        self.by_session.pop(session, None)

    def daemons(self) -> list[coordination.Daemon]:
        """Return the entry hosts that received a lease in this term."""
        return [
            session.daemon()
            for session in self.by_session.values()
            if session.leased and session.channel is not None and session.entry
        ]

    def _record_load(self, load: wire.ttypes.TargetLoad) -> None:
        measurement = self.measurements.setdefault(
            load.target, TargetMeasurement()
        )
        measurement.incarnation = load.incarnation
        measurement.cold = load.cold
        measurement.rates_per_s = {
            item.key: item.rate_per_s for item in load.partitions or ()
        }
        measurement.hot_rates_per_s = {
            item.key: item.rate_per_s for item in load.hot_keys or ()
        }

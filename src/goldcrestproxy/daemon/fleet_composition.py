"""Construction of a daemon whose targets register themselves."""

from __future__ import annotations

import pathlib
import random
import typing as ty

import attrs
from tornado import web

from goldcrestproxy import callers
from goldcrestproxy import control
from goldcrestproxy.control import clock as clocks
from goldcrestproxy.daemon import capacity
from goldcrestproxy.daemon import peering as peerings
from goldcrestproxy import entries
from goldcrestproxy import platform
from goldcrestproxy.routing import fleet_retries
from goldcrestproxy.routing import quota_terms
from goldcrestproxy.routing import target_contact
from goldcrestproxy import settings
from goldcrestproxy import storage
from goldcrestproxy import targets
from goldcrestproxy import telemetry
from goldcrestproxy import wire

# Idle caller connections are bounded by the operators' limits; the server
# itself closes them only after this time.
CALLER_IDLE_TIMEOUT_S: ty.Final = 3600
HEADER_BYTES_MAX: ty.Final = 64 * 1024
REGISTRANT_BODY_BYTES_MAX: ty.Final = 16 * 1024 * 1024
WATCH_INTERVAL_MS: ty.Final = 300
# On a 2 Mbit/s link, uploads can delay an answer by half a second.
WATCH_TIMEOUT_MS: ty.Final = 1200
# Fraction of the configured ratio that is used, because the windows of this
# budget are not aligned with those in which retries are counted.
RETRY_RATIO_FACTOR: ty.Final = 0.8
# Fraction of the configured slack that is used, because a full bucket and its
# refill can both be spent in one window.
RETRY_SLACK_FACTOR: ty.Final = 0.5


@attrs.frozen(kw_only=True)
class Listener:
    """Server, its endpoint and the setting that gives the endpoint."""

    setting: str
    endpoint: settings.Endpoint
    server: ty.Any


@attrs.frozen(kw_only=True)
class EntryComponents:
    """Components of the entry role."""

    link: entries.StateWatcher
    gate: callers.Gate
    dispatcher: entries.Dispatcher
    quotas: entries.CustomerQuotas
    prober: entries.TargetProber


@attrs.frozen(kw_only=True)
class FleetDaemon:
    """Components of a daemon; ``entry`` and ``control_service`` by role.

    ``control_gate`` counts the calls of targets and operators.
    """

    host_settings: settings.HostSettings
    fleet_settings: settings.FleetSettings
    metrics: telemetry.Metrics
    peers: wire.Peers
    peer_server: wire.PeerServer
    listeners: tuple[Listener, ...]
    entry: EntryComponents | None
    control_service: control.ControlService | None
    control_gate: callers.Gate


def compose(
    host_settings: settings.HostSettings,
    fleet_settings: settings.FleetSettings,
) -> FleetDaemon:
    """Return a daemon that neither listens nor runs yet.

    :raises StorageError: if the data folder cannot be used
    """
    metrics = telemetry.make_metrics(
        host_settings.telemetry, host_settings.host
    )
    peering = peerings.make_peering(host_settings)
    peers, handlers = peering.peers, peering.handlers
    listeners = [
        Listener(
            setting="peer_port",
            endpoint=settings.Endpoint(
                host_settings.peer_listen_address or host_settings.address,
                host_settings.peer_port,
            ),
            server=peering.server,
        )
    ]
    if host_settings.telemetry.metrics_port:
        listeners.append(_metrics_listener(host_settings, metrics))
    control_service = None
    control_gate = callers.Gate()
    if "control" in host_settings.roles:
        control_service = _control_service(
            host_settings, fleet_settings, peers
        )
        control_service.add_handlers(handlers)
        metrics.observe_entries_behind(control_service.entries_behind)
        metrics.observe_members(control_service.member_counts)
        forward = handlers.calls[wire.Method.FORWARD]
        handlers.calls[wire.Method.FORWARD] = _gated(forward, control_gate)
        listeners.append(
            _registrant_listener(
                host_settings,
                fleet_settings,
                control_service,
                metrics,
                control_gate,
            )
        )
    entry = None
    if "entry" in host_settings.roles:
        entry, entry_listeners = _entry_components(
            host_settings, fleet_settings, peering, metrics
        )
        entry.link.add_handlers(handlers)
        handlers.exchange = entries.PassedRequests(
            entry.dispatcher, entry.gate
        ).serve
        listeners.extend(entry_listeners)
    return FleetDaemon(
        host_settings=host_settings,
        fleet_settings=fleet_settings,
        metrics=metrics,
        peers=peers,
        peer_server=peering.server,
        listeners=tuple(listeners),
        entry=entry,
        control_service=control_service,
        control_gate=control_gate,
    )


def _gated(handler: wire.CallHandler, gate: callers.Gate) -> wire.CallHandler:
    """Return a handler whose calls are counted and refused by a gate."""

    async def serve(channel: wire.Channel, request: ty.Any) -> ty.Any:
        gate.enter()
        try:
            return await handler(channel, request)
        finally:
            gate.leave()

    return serve


def _seeds(
    host_settings: settings.HostSettings,
    fleet_settings: settings.FleetSettings,
) -> tuple[wire.PeerAddress, ...]:
    return tuple(
        wire.PeerAddress(seed.address, host_settings.peer_port)
        for seed in fleet_settings.seed_endpoints
    )


def _control_service(
    host_settings: settings.HostSettings,
    fleet_settings: settings.FleetSettings,
    peers: wire.Peers,
) -> control.ControlService:
    folder = storage.DiskFolder(
        pathlib.Path(ty.cast(str, host_settings.data_folder))
    )
    replica = control.Replica(
        host_settings.host,
        storage.ReplicaStore(folder),
        peers,
        host_settings.timeouts,
        log_entries_max=host_settings.limits.log_entries_max,
    )
    return control.ControlService(
        replica,
        host_settings.timeouts,
        (),
        formation_settings=control.FormationSettings(
            host=host_settings.host,
            address=wire.PeerAddress(
                host_settings.address, host_settings.peer_port
            ),
            seeds=_seeds(host_settings, fleet_settings),
            first_start=fleet_settings.first_start,
        ),
        registrar_settings=control.RegistrarSettings(
            heartbeat_ms=fleet_settings.heartbeat_ms,
            hold_ms=fleet_settings.effective_hold_ms,
            quota_tolerance=quota_terms.QuotaTolerance(
                window_s=fleet_settings.quota_window_s,
                overshoot_ratio=fleet_settings.quota_overshoot_ratio,
                slack_requests=fleet_settings.quota_slack_requests,
            ),
        ),
        losses_tolerated=fleet_settings.losses_tolerated,
    )


def _metrics_listener(
    host_settings: settings.HostSettings, metrics: telemetry.Metrics
) -> Listener:
    application = web.Application(
        [(r"/metrics", telemetry.MetricsHandler, {"metrics": metrics})]
    )
    return Listener(
        setting="telemetry.metrics_port",
        endpoint=settings.Endpoint(
            host_settings.address, host_settings.telemetry.metrics_port
        ),
        server=capacity.make_check_server(application, metrics),
    )


def _registrant_listener(
    host_settings: settings.HostSettings,
    fleet_settings: settings.FleetSettings,
    service: control.ControlService,
    metrics: telemetry.Metrics,
    gate: callers.Gate,
) -> Listener:
    application = web.Application(
        platform.registrant_routes(
            service, fleet_settings.zones, metrics, gate
        )
    )
    return Listener(
        setting="fleet.registrants",
        endpoint=settings.Endpoint.parse(
            ty.cast(str, fleet_settings.registrants)
        ),
        server=capacity.make_kept_body_server(
            application,
            host_settings.limits,
            metrics,
            REGISTRANT_BODY_BYTES_MAX,
        ),
    )


def _entry_components(
    host_settings: settings.HostSettings,
    fleet_settings: settings.FleetSettings,
    peering: peerings.Peering,
    metrics: telemetry.Metrics,
) -> tuple[EntryComponents, tuple[Listener, ...]]:
    rng = random.Random()
    clock = clocks.monotonic
    link = entries.StateWatcher(
        entries.WatcherSettings(
            host=host_settings.host,
            zone=host_settings.zone,
            session=peering.session,
            address=host_settings.address,
            peer_port=host_settings.peer_port,
            seeds=_seeds(host_settings, fleet_settings),
            watch_interval_ms=WATCH_INTERVAL_MS,
            watch_timeout_ms=WATCH_TIMEOUT_MS,
            in_force_ms=fleet_settings.in_force_ms,
        ),
        peering.peers,
    )
    metrics.observe_copy_age(lambda: link.copy_age_ms)
    gate = callers.Gate()
    fleet = entries.FleetMap(link, clock, rng, fleet_settings.drain_ms)
    contact = target_contact.TargetContact()
    request_passing = entries.RequestPassing(
        peering.peers, host_settings.zone, clock, rng
    )
    link.add_neighbour_listener(request_passing.set_neighbours)
    link.takes_requests = lambda: (
        gate.ready
        and link.current
        and not contact.is_isolated(len(fleet.targets))
    )
    refusals = entries.DispatchRefusals(rng)
    suspects = entries.Suspects(fleet, refusals, clock)
    quotas = entries.CustomerQuotas(fleet, refusals, metrics, clock)
    dispatcher = entries.Dispatcher(
        fleet,
        entries.Sender(
            targets.SharedClient(),
            platform.PlatformHeaders(),
            link.observations,
            contact,
            clock,
        ),
        request_passing,
        entries.TargetSelection(
            fleet,
            contact,
            entries.TargetLimits(fleet, suspects, refusals, metrics, clock),
            suspects,
            refusals,
            host_settings.zone,
            clock,
            rng,
        ),
        suspects,
        refusals,
        fleet_retries.ServiceRetryBudgets(
            ratio=fleet_settings.resend_ratio * RETRY_RATIO_FACTOR,
            slack=fleet_settings.resend_slack * RETRY_SLACK_FACTOR,
            window_s=fleet_settings.resend_window_s,
        ),
        quotas,
        metrics,
        clock,
    )
    crowd = capacity.make_crowd(host_settings.limits, metrics, clock)
    caller_application = web.Application(
        [
            (
                r"/.*",
                platform.IngressHandler,
                {
                    "dispatcher": dispatcher,
                    "gate": gate,
                    "metrics": metrics,
                    "crowd": crowd,
                },
            )
        ]
    )
    caller_server = callers.CrowdServer(
        caller_application,
        max_header_size=HEADER_BYTES_MAX,
        chunk_size=callers.CHUNK_BYTES,
        idle_connection_timeout=CALLER_IDLE_TIMEOUT_S,
    )
    caller_server.crowd = crowd
    balancer_application = web.Application(
        platform.balancer_routes(gate, lambda: link.current)
    )
    components = EntryComponents(
        link=link,
        gate=gate,
        dispatcher=dispatcher,
        quotas=quotas,
        prober=entries.TargetProber(fleet, contact, request_passing, rng),
    )
    return components, (
        Listener(
            setting="fleet.callers",
            endpoint=settings.Endpoint.parse(
                ty.cast(str, fleet_settings.callers)
            ),
            server=caller_server,
        ),
        Listener(
            setting="fleet.balancer",
            endpoint=settings.Endpoint.parse(
                ty.cast(str, fleet_settings.balancer)
            ),
            server=capacity.make_check_server(balancer_application, metrics),
        ),
    )

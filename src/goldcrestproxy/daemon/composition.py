"""Construction of a daemon whose targets are granted slots."""

from __future__ import annotations

import pathlib
import random
import typing as ty

import attrs
from tornado import httpserver
from tornado import web

from goldcrestproxy import callers
from goldcrestproxy import control
from goldcrestproxy.control import clock as clocks
from goldcrestproxy.daemon import capacity
from goldcrestproxy.daemon import peering as peerings
from goldcrestproxy import entries
from goldcrestproxy import operators
from goldcrestproxy import platform
from goldcrestproxy import settings
from goldcrestproxy import storage
from goldcrestproxy import targets
from goldcrestproxy import telemetry
from goldcrestproxy import wire

SERVICE_BODY_BYTES_MAX: ty.Final = 64 * 1024 * 1024
CALLER_IDLE_TIMEOUT_S: ty.Final = 3600


@attrs.frozen(kw_only=True)
class Daemon:
    """Components of a daemon."""

    host_settings: settings.HostSettings
    link: entries.ControlLink
    coordinator: entries.Coordinator
    claimer: entries.Claimer
    router: entries.Router
    gate: callers.Gate
    peers: wire.Peers
    peer_server: wire.PeerServer
    caller_server: httpserver.HTTPServer | None
    service_server: httpserver.HTTPServer
    control_service: control.ControlService | None
    metrics: telemetry.Metrics
    tracing: telemetry.Tracing


def compose(host_settings: settings.HostSettings) -> Daemon:
    """Return a daemon that neither listens nor runs yet.

    :raises StorageError: if the data folder cannot be used
    """
    metrics = telemetry.make_metrics(
        host_settings.telemetry, host_settings.host
    )
    tracing = telemetry.make_tracing(
        host_settings.telemetry, host_settings.host
    )
    peering = peerings.make_peering(host_settings)
    peers, handlers = peering.peers, peering.handlers
    control_service = _control_service(host_settings, peers, handlers)
    if control_service is not None:
        metrics.observe_entries_behind(control_service.entries_behind)
        metrics.observe_members(control_service.member_counts)
    link = entries.ControlLink(host_settings, peering.session, peers)
    link.add_handlers(handlers)
    configuration = entries.ActiveConfiguration(link)
    coordinator = entries.Coordinator(
        host_settings, link, configuration, tracing
    )
    handlers.exchange = coordinator.serve
    claimer = entries.Claimer(host_settings.host, link)
    gate = callers.Gate()
    router = entries.Router(
        link,
        configuration,
        entries.AttemptRunner(link, peers, coordinator, clocks.monotonic),
        claimer,
        tracing,
        metrics,
        clocks.monotonic,
        random.Random(),
    )
    return Daemon(
        host_settings=host_settings,
        link=link,
        coordinator=coordinator,
        claimer=claimer,
        router=router,
        gate=gate,
        peers=peers,
        peer_server=peering.server,
        caller_server=_caller_server(host_settings, router, gate, metrics),
        service_server=_service_server(
            host_settings,
            link,
            coordinator,
            gate,
            metrics,
            control_service,
            handlers.traffic,
        ),
        control_service=control_service,
        metrics=metrics,
        tracing=tracing,
    )


def _control_service(
    host_settings: settings.HostSettings,
    peers: wire.Peers,
    handlers: wire.Handlers,
) -> control.ControlService | None:
    if "control" not in host_settings.roles:
        return None
    folder = storage.DiskFolder(
        pathlib.Path(ty.cast(str, host_settings.data_folder))
    )
    replica = control.Replica(
        host_settings.host,
        storage.ReplicaStore(folder),
        peers,
        host_settings.timeouts,
        log_entries_max=host_settings.limits.log_entries_max,
        addresses={
            host.host: wire.PeerAddress(host.address, host.peer_port)
            for host in host_settings.control_hosts
        },
    )
    service = control.ControlService(
        replica, host_settings.timeouts, host_settings.control_hosts
    )
    service.add_handlers(handlers)
    return service


def _caller_server(
    host_settings: settings.HostSettings,
    router: entries.Router,
    gate: callers.Gate,
    metrics: telemetry.Metrics,
) -> httpserver.HTTPServer | None:
    if "entry" not in host_settings.roles:
        return None
    crowd = capacity.make_crowd(
        host_settings.limits, metrics, clocks.monotonic
    )
    application = web.Application(
        [
            (
                r"/.*",
                callers.CallerHandler,
                {
                    "router": router,
                    "gate": gate,
                    "metrics": metrics,
                    "request_id_bytes_max": (
                        host_settings.limits.request_id_bytes_max
                    ),
                    "crowd": crowd,
                },
            )
        ]
    )
    server = callers.CrowdServer(
        application,
        max_header_size=host_settings.limits.header_bytes_max,
        chunk_size=callers.CHUNK_BYTES,
        idle_connection_timeout=CALLER_IDLE_TIMEOUT_S,
    )
    server.crowd = crowd
    return server


def _service_server(
    host_settings: settings.HostSettings,
    link: entries.ControlLink,
    coordinator: entries.Coordinator,
    gate: callers.Gate,
    metrics: telemetry.Metrics,
    control_service: control.ControlService | None,
    traffic: wire.Traffic,
) -> httpserver.HTTPServer:
    def describe() -> dict[str, ty.Any]:
        replica = control_service.replica if control_service else None
        return {
            "host": host_settings.host,
            "zone": host_settings.zone,
            "roles": list(host_settings.roles),
            "coordinates": coordinator.coordinated_targets,
            "requests_in_flight": gate.in_flight,
            "ready": gate.ready,
            "applied_index": link.state.applied_index,
            "control_role": replica.role.value if replica else None,
            "term": replica.term if replica else None,
            "channel_sent_bytes": traffic.sent_bytes,
            "channel_received_bytes": traffic.received_bytes,
            "metrics": metrics.read_totals(),
        }

    link_arguments = {"link": link}
    application = web.Application(
        [
            (r"/health/live", platform.LiveHandler),
            (
                r"/health/ready",
                platform.ReadyHandler,
                {"gate": gate, "link": link},
            ),
            (
                r"/v1/targets/announce",
                targets.AnnounceHandler,
                {
                    "link": link,
                    "announcement_bytes_max": (
                        host_settings.limits.announcement_bytes_max
                    ),
                },
            ),
            (
                r"/v1/configuration",
                operators.ConfigurationHandler,
                link_arguments,
            ),
            (r"/v1/plan", operators.PlanHandler, link_arguments),
            (r"/v1/history", operators.HistoryHandler, link_arguments),
            (r"/v1/zones/([^/]+)", operators.ZoneHandler, link_arguments),
            (r"/v1/targets", operators.TargetsHandler, link_arguments),
            (
                r"/v1/targets/([^/]+)/drain",
                operators.DrainHandler,
                link_arguments,
            ),
            (r"/v1/owners", operators.OwnersHandler, link_arguments),
            (
                r"/v1/status",
                operators.StatusHandler,
                {"link": link, "describe": describe},
            ),
            (
                r"/v1/members/(found|add|remove)",
                operators.MembersHandler,
                link_arguments,
            ),
            (r"/v1/quarantine", operators.QuarantineHandler, link_arguments),
        ]
    )
    return capacity.make_kept_body_server(
        application, host_settings.limits, metrics, SERVICE_BODY_BYTES_MAX
    )

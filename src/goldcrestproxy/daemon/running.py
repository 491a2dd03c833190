"""Start, run and planned stop of a daemon whose targets are granted slots."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import typing as ty

from goldcrestproxy.daemon import composition
from goldcrestproxy.daemon import lifecycle
from goldcrestproxy.daemon import listening

LOG = logging.getLogger(__name__)

HANDOVER_TIMEOUT_S: ty.Final = 5.0
STOP_POLL_INTERVAL_S: ty.Final = 0.02
# Time after the drain for the answers to requests that are still in flight.
LAST_ANSWERS_S: ty.Final = 1.0


async def run(daemon: composition.Daemon) -> None:
    """Run a daemon until SIGTERM or SIGINT.

    SIGHUP changes nothing.

    :raises SettingsError: if a port cannot be listened on
    """
    stop = lifecycle.stop_signal()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGHUP,
        LOG.info,
        "daemon: SIGHUP ignored; restart to apply changed settings",
    )
    _listen(daemon)
    tasks = [asyncio.create_task(daemon.link.run())]
    if daemon.control_service is not None:
        tasks.append(asyncio.create_task(daemon.control_service.run()))
    LOG.info("daemon: started")
    await lifecycle.run_until(stop, tasks, lambda: _stop(daemon))
    _close(daemon)
    LOG.info("daemon: stopped")


def _listen(daemon: composition.Daemon) -> None:
    host_settings = daemon.host_settings
    servers: list[tuple[str, int, ty.Any]] = [
        ("peer_port", host_settings.peer_port, daemon.peer_server),
        ("service_port", host_settings.service_port, daemon.service_server),
        ("caller_port", host_settings.caller_port, daemon.caller_server),
    ]
    for setting, port, server in servers:
        if server is not None:
            listening.listen(server, setting, host_settings.address, port)


async def _stop(daemon: composition.Daemon) -> None:
    """Stop with an answer or a refusal for each request.

    Readiness checks fail first, while requests are still served. Then
    targets are handed over to other coordinators, and the daemon waits for
    the requests in flight. Those that remain are answered without their
    targets.
    """
    timeouts = daemon.host_settings.timeouts
    LOG.info("daemon: stopping; readiness checks fail from now on")
    daemon.gate.announce_stop()
    daemon.link.stopping = True
    await daemon.link.renew_now()
    await asyncio.sleep(timeouts.stop_grace_ms / 1000)
    if daemon.caller_server is not None:
        daemon.caller_server.stop()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(HANDOVER_TIMEOUT_S):
            while daemon.coordinator.coordinated_targets:
                await asyncio.sleep(STOP_POLL_INTERVAL_S)
    # Further requests on open connections are refused as not run, because
    # they might not complete before the process exits.
    daemon.gate.close()
    LOG.info(
        "daemon: waiting for %d requests in flight",
        daemon.gate.in_flight + daemon.coordinator.running_requests,
    )
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeouts.stop_drain_ms / 1000):
            await daemon.gate.wait_empty()
            while (
                daemon.coordinator.running_requests or daemon.peer_server.busy
            ):
                await asyncio.sleep(STOP_POLL_INTERVAL_S)
    if daemon.gate.in_flight:
        LOG.warning(
            "daemon: ending %d requests that their targets did not answer",
            daemon.gate.in_flight,
        )
        daemon.router.end_all()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(LAST_ANSWERS_S):
            await daemon.gate.wait_empty()
            if daemon.caller_server is not None:
                await daemon.caller_server.close_all_connections()
    # Limited by the timeouts of the proposals.
    await daemon.claimer.wait_settled()
    if daemon.gate.in_flight:
        LOG.warning("daemon: exit cuts %d requests", daemon.gate.in_flight)


def _close(daemon: composition.Daemon) -> None:
    daemon.service_server.stop()
    daemon.peer_server.stop()
    daemon.peer_server.close_channels()
    daemon.peers.close()
    if daemon.control_service is not None:
        daemon.control_service.replica.close()
    daemon.tracing.close()
    daemon.metrics.close()

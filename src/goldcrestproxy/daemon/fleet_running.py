"""Start, run and planned stop of a daemon whose targets register."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import pathlib
import signal
import typing as ty

from goldcrestproxy.daemon import fleet_composition
from goldcrestproxy.daemon import lifecycle
from goldcrestproxy.daemon import listening
from goldcrestproxy import errors
from goldcrestproxy import settings

LOG = logging.getLogger(__name__)

# The balancer checks readiness once a second and stops sending requests
# after the second failed check.
BALANCER_NOTICE_S: ty.Final = 2.5
# Part of stop_s that is reserved for the exit of the process.
EXIT_RESERVE_S: ty.Final = 0.4
# Time before that for the answers to requests that are still in flight.
LAST_ANSWERS_S: ty.Final = 0.5
SETTINGS_POLL_INTERVAL_S: ty.Final = 1.0


async def run(
    daemon: fleet_composition.FleetDaemon, settings_file: pathlib.Path
) -> None:
    """Run a daemon until SIGTERM or SIGINT.

    SIGHUP checks the settings file at once for changes.

    :raises SettingsError: if a port cannot be listened on
    """
    stop = lifecycle.stop_signal()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    _listen(daemon)
    tasks = [asyncio.create_task(_watch_settings(settings_file, reload))]
    if daemon.entry is not None:
        tasks.append(asyncio.create_task(daemon.entry.link.run()))
    if daemon.control_service is not None:
        tasks.append(asyncio.create_task(daemon.control_service.run()))
    LOG.info(
        "daemon: started %s in %s, roles %s",
        daemon.host_settings.host,
        daemon.host_settings.zone,
        ",".join(daemon.host_settings.roles),
    )
    await lifecycle.run_until(stop, tasks, lambda: _stop(daemon))
    _close(daemon)
    LOG.info("daemon: stopped")


def _listen(daemon: fleet_composition.FleetDaemon) -> None:
    for listener in daemon.listeners:
        endpoint = listener.endpoint
        listening.listen(
            listener.server, listener.setting, endpoint.address, endpoint.port
        )


async def _watch_settings(file: pathlib.Path, reload: asyncio.Event) -> None:
    """Validate the settings file when it changes or ``reload`` is set.

    Changes take effect only after a restart.
    """
    current_text = file.read_text(encoding="utf-8")
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                await reload.wait()
        reload_requested = reload.is_set()
        reload.clear()
        try:
            text = file.read_text(encoding="utf-8")
            if text == current_text:
                if reload_requested:
                    LOG.info("daemon: settings file reloaded, unchanged")
                continue
            settings.load_host_settings(file)
        except (OSError, errors.SettingsError) as error:
            LOG.warning("daemon: keeping the current settings: %s", error)
            continue
        current_text = text
        LOG.info("daemon: settings changed; restart to apply the changes")


async def _stop(daemon: fleet_composition.FleetDaemon) -> None:
    """Stop with an answer or a refusal for each request.

    Readiness checks fail first. Requests are served while the balancer
    reacts, and each answer closes its connection. Those still in flight
    shortly before the end are answered without their targets.
    """
    if daemon.entry is None:
        LOG.info("daemon: stopping")
        return
    LOG.info("daemon: stopping; readiness checks fail from now on")
    gate, dispatcher = daemon.entry.gate, daemon.entry.dispatcher
    gate.announce_stop()
    started_s = asyncio.get_running_loop().time()
    remaining_s = daemon.fleet_settings.stop_s - EXIT_RESERVE_S
    serving_s = remaining_s - min(LAST_ANSWERS_S, remaining_s / 4)
    dispatcher.limit_deadlines(serving_s)
    await asyncio.sleep(min(BALANCER_NOTICE_S, remaining_s / 2))
    for listener in _caller_listeners(daemon):
        listener.server.stop()
    # Further requests on open connections are refused as not run, because
    # they might not complete before the process exits.
    gate.close()
    LOG.info("daemon: waiting for %d requests in flight", gate.in_flight)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(started_s + serving_s):
            await gate.wait_empty()
    if gate.in_flight:
        LOG.warning(
            "daemon: ending %d requests that their targets did not answer",
            gate.in_flight,
        )
        dispatcher.end_all()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(started_s + remaining_s):
            await gate.wait_empty()
            await _close_callers(daemon)
    if gate.in_flight:
        LOG.warning("daemon: exit cuts %d requests", gate.in_flight)


def _caller_listeners(
    daemon: fleet_composition.FleetDaemon,
) -> list[fleet_composition.Listener]:
    return [
        listener
        for listener in daemon.listeners
        if listener.setting == "fleet.callers"
    ]


async def _close_callers(daemon: fleet_composition.FleetDaemon) -> None:
    """Close idle caller connections; call when no request is in flight."""
    for listener in _caller_listeners(daemon):
        await listener.server.close_all_connections()


def _close(daemon: fleet_composition.FleetDaemon) -> None:
    for listener in daemon.listeners:
        listener.server.stop()
    daemon.peer_server.close_channels()
    daemon.peers.close()
    if daemon.control_service is not None:
        daemon.control_service.replica.close()

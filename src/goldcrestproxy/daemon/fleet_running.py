"""The life of a daemon whose targets register themselves."""

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

# The balancer asks once a second and believes the second "no".
BALANCER_NOTICE_S: ty.Final = 2.5
# Left for the end of the process itself, out of the time to stop.
EXIT_RESERVE_S: ty.Final = 0.4
SETTINGS_POLL_INTERVAL_S: ty.Final = 1.0


async def run(
    daemon: fleet_composition.FleetDaemon, settings_file: pathlib.Path
) -> None:
    """Run a daemon until it is told to stop.

    :raises SettingsError: when a port cannot be listened on
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
    """Take up a changed settings file, with and without a signal."""
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
                    LOG.info("daemon: settings read again, unchanged")
                continue
            settings.load_host_settings(file)
        except (OSError, errors.SettingsError) as error:
            LOG.warning("daemon: keeps its settings: %s", error)
            continue
        current_text = text
        LOG.info("daemon: settings changed; what is new holds from a restart")


async def _stop(daemon: fleet_composition.FleetDaemon) -> None:
    """Leave without cutting a request.

    The balancer is told first; callers are served meanwhile, their
    connections closing with each answer.
    """
    if daemon.entry is None:
        LOG.info("daemon: stopping")
        return
    LOG.info("daemon: stopping; tells the balancer")
    gate = daemon.entry.gate
    gate.announce_stop()
    remaining_s = daemon.fleet_settings.stop_s - EXIT_RESERVE_S
    notice_s = min(BALANCER_NOTICE_S, remaining_s / 2)
    await asyncio.sleep(notice_s)
    for listener in _caller_listeners(daemon):
        listener.server.stop()
    # What still comes on open connections is refused as not run: taken now,
    # it might not end before the process does.
    gate.close()
    LOG.info("daemon: %d requests in flight; waits for them", gate.in_flight)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(remaining_s - notice_s):
            await gate.wait_empty()
            await _close_callers(daemon)


def _caller_listeners(
    daemon: fleet_composition.FleetDaemon,
) -> list[fleet_composition.Listener]:
    return [
        listener
        for listener in daemon.listeners
        if listener.setting == "fleet.callers"
    ]


async def _close_callers(daemon: fleet_composition.FleetDaemon) -> None:
    """Close the connections on which callers are idle."""
    for listener in _caller_listeners(daemon):
        await listener.server.close_all_connections()


def _close(daemon: fleet_composition.FleetDaemon) -> None:
    for listener in daemon.listeners:
        listener.server.stop()
    daemon.peer_server.close_channels()
    daemon.peers.close()
    if daemon.control_service is not None:
        daemon.control_service.replica.close()

"""Start, run and planned stop of a daemon whose targets register."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import pathlib
import signal
import typing as ty

import attrs

from goldcrestproxy import control
from goldcrestproxy.daemon import fleet_composition
from goldcrestproxy.daemon import lifecycle
from goldcrestproxy.daemon import listening
from goldcrestproxy import settings

LOG = logging.getLogger(__name__)

# The balancer checks readiness once a second and stops sending requests
# after the second failed check.
BALANCER_NOTICE_S: ty.Final = 2.5
# Part of stop_s that is reserved for the exit of the process.
EXIT_RESERVE_S: ty.Final = 0.4
EXIT_RESERVE_SHARE: ty.Final = 1 / 15
# Time before that for the answers to requests that are still in flight.
LAST_ANSWERS_S: ty.Final = 0.5
LAST_ANSWERS_SHARE: ty.Final = 1 / 12
LAST_ANSWERS_S_MIN: ty.Final = 0.15
PEER_POLL_INTERVAL_S: ty.Final = 0.01
# Longest time to close idle connections of callers.
CLOSE_CALLERS_S: ty.Final = 0.1
SETTINGS_POLL_INTERVAL_S: ty.Final = 1.0
# Longest time to wait for calls of targets and operators; it includes the
# timeout of a call that is forwarded to the leader.
CONTROL_CALLS_S: ty.Final = 1.0
# Time after that for the answers to calls that are still in flight.
CONTROL_LAST_ANSWERS_S: ty.Final = 0.1


@attrs.frozen(kw_only=True)
class StopTimes:
    """Times of a planned stop, in seconds since its signal.

    New requests are accepted until ``notice_s``, targets may answer until
    ``serving_s``, and callers get the last answers until ``exit_s``.
    """

    notice_s: float
    serving_s: float
    exit_s: float

    @classmethod
    def of(cls, stop_s: float) -> StopTimes:
        """Return the times for a process that is killed after ``stop_s``."""
        exit_s = stop_s - min(EXIT_RESERVE_S, stop_s * EXIT_RESERVE_SHARE)
        return cls(
            notice_s=min(BALANCER_NOTICE_S, exit_s / 2),
            serving_s=exit_s
            - min(LAST_ANSWERS_S, stop_s * LAST_ANSWERS_SHARE),
            exit_s=exit_s,
        )


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
        tasks.append(asyncio.create_task(daemon.entry.prober.run()))
        tasks.append(asyncio.create_task(daemon.entry.quotas.run()))
    if daemon.control_service is not None:
        tasks.append(asyncio.create_task(daemon.control_service.run()))
    LOG.info(
        "daemon: started %s in %s, roles %s",
        daemon.host_settings.host,
        daemon.host_settings.zone,
        ",".join(daemon.host_settings.roles),
    )
    try:
        await lifecycle.run_until(stop, tasks, lambda: _stop(daemon))
    finally:
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

    Changes take effect only after a restart. The file may be read while it
    is being written, so no content of it is an error.
    """
    current = seen = _content(file)
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(SETTINGS_POLL_INTERVAL_S):
                await reload.wait()
        reload_requested = reload.is_set()
        reload.clear()
        previous, seen = seen, _content(file)
        if seen == previous and not reload_requested:
            continue
        if seen == current:
            LOG.info("daemon: settings file reloaded, unchanged")
            continue
        try:
            settings.load_host_settings(file)
        except Exception as error:
            LOG.warning("daemon: keeping the current settings: %s", error)
            continue
        current = seen
        LOG.info("daemon: settings changed; restart to apply the changes")


def _content(file: pathlib.Path) -> bytes | None:
    """Return the content of a file, None if it cannot be read."""
    try:
        return file.read_bytes()
    except OSError:
        return None


async def _stop(daemon: fleet_composition.FleetDaemon) -> None:
    """Stop the roles of a daemon, the entry role first."""
    LOG.info("daemon: stopping")
    timeout_s = min(CONTROL_CALLS_S, daemon.fleet_settings.stop_s / 2)
    if daemon.entry is not None:
        await _stop_entry(daemon, daemon.entry)
        # Most of the time for the stop has passed.
        timeout_s = EXIT_RESERVE_S / 4
    if daemon.control_service is not None:
        await _stop_control(daemon, daemon.control_service, timeout_s)


async def _stop_entry(
    daemon: fleet_composition.FleetDaemon,
    entry: fleet_composition.EntryComponents,
) -> None:
    """Stop with an answer or a refusal for each request.

    Readiness checks fail first. Requests are served while the balancer
    reacts, and each answer closes its connection. Those still in flight
    shortly before the end are answered without their targets.
    """
    LOG.info("daemon: readiness checks fail from now on")
    gate, dispatcher = entry.gate, entry.dispatcher
    gate.announce_stop()
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    times = StopTimes.of(daemon.fleet_settings.stop_s)
    dispatcher.limit_deadlines(times.serving_s)
    await asyncio.sleep(times.notice_s)
    for listener in _caller_listeners(daemon):
        listener.server.stop()
    # Further requests on open connections are refused as not run, because
    # they might not complete before the process exits.
    gate.close()
    LOG.info("daemon: waiting for %d requests in flight", gate.in_flight)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(started_s + times.serving_s):
            await gate.wait_empty()
    if gate.in_flight:
        LOG.warning("daemon: ending %d requests in flight", gate.in_flight)
        dispatcher.end_all()
    # The event loop may be late; the answers need a few of its turns.
    exit_s = max(started_s + times.exit_s, loop.time() + LAST_ANSWERS_S_MIN)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(exit_s):
            await gate.wait_empty()
    # Answers to requests that other entry hosts have passed on.
    while daemon.peer_server.busy and loop.time() < exit_s:
        await asyncio.sleep(PEER_POLL_INTERVAL_S)
    if gate.in_flight:
        LOG.warning("daemon: exit cuts %d requests", gate.in_flight)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CLOSE_CALLERS_S):
            await _close_callers(daemon)


async def _stop_control(
    daemon: fleet_composition.FleetDaemon,
    service: control.ControlService,
    timeout_s: float,
) -> None:
    """Stop with an answer or a refusal for each call of the control role.

    Calls that other control hosts have forwarded are included. A leader
    keeps replicating, since changes in flight need it.
    """
    gate = daemon.control_gate
    listeners = [
        listener
        for listener in daemon.listeners
        if listener.setting == "fleet.registrants"
    ]
    for listener in listeners:
        listener.server.stop()
    gate.announce_stop()
    gate.close()
    LOG.info("daemon: waiting for %d control calls in flight", gate.in_flight)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await gate.wait_empty()
    if gate.in_flight:
        LOG.warning("daemon: ending %d control calls", gate.in_flight)
        service.replica.fail_pending_proposals()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CONTROL_LAST_ANSWERS_S):
            await gate.wait_empty()
            for listener in listeners:
                await listener.server.close_all_connections()


def _caller_listeners(
    daemon: fleet_composition.FleetDaemon,
) -> list[fleet_composition.Listener]:
    return [
        listener
        for listener in daemon.listeners
        if listener.setting == "fleet.callers"
    ]


async def _close_callers(daemon: fleet_composition.FleetDaemon) -> None:
    """Close all connections of callers."""
    for listener in _caller_listeners(daemon):
        await listener.server.close_all_connections()


def _close(daemon: fleet_composition.FleetDaemon) -> None:
    for listener in daemon.listeners:
        listener.server.stop()
    daemon.peer_server.close_channels()
    daemon.peers.close()
    if daemon.control_service is not None:
        daemon.control_service.replica.close()

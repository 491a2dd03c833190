"""Memory and descriptors of this host, as the system tells."""

from __future__ import annotations

import logging
import pathlib
import re
import resource
import typing as ty

from tornado import web

from goldcrestproxy import callers
from goldcrestproxy.control import clock as clocks
from goldcrestproxy.routing import crowd_limits
from goldcrestproxy import settings
from goldcrestproxy import telemetry
from goldcrestproxy import wire

LOG = logging.getLogger(__name__)

BYTES_PER_MB: ty.Final = 1_000_000
# Health checks and requests for metrics need no bodies.
CHECK_BODY_BYTES_MAX: ty.Final = 4 * 1024
_MEMORY_INFO: ty.Final = pathlib.Path("/proc/meminfo")
_CGROUP_LIMITS: ty.Final = (
    pathlib.Path("/sys/fs/cgroup/memory.max"),
    pathlib.Path("/sys/fs/cgroup/memory/memory.limit_in_bytes"),
)


def host_capacity(limits: settings.Limits) -> crowd_limits.HostCapacity:
    """Return what this process may use, by its settings or the system."""
    if limits.memory_mb is not None:
        memory_bytes = limits.memory_mb * BYTES_PER_MB
    else:
        memory_bytes = _system_memory_bytes()
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if limits.descriptors_max is not None:
        descriptors = limits.descriptors_max
    return crowd_limits.HostCapacity(
        memory_bytes=memory_bytes, descriptors=descriptors
    )


def make_crowd(
    limits: settings.Limits,
    metrics: telemetry.Metrics,
    clock: ty.Callable[[], float],
) -> callers.Crowd:
    """Return the bounds on callers, and bound all body buffers.

    :param clock: monotonic time in seconds
    """
    capacity = host_capacity(limits)
    bounds = crowd_limits.CrowdLimits.of(capacity)
    wire.BUDGET.limit_bytes = bounds.buffered_bytes_max
    LOG.info(
        "daemon: %d MB and %d descriptors bear %d connections of callers and "
        "%d MB of bodies, %d of them unfinished",
        capacity.memory_bytes // BYTES_PER_MB,
        capacity.descriptors,
        bounds.connections_max,
        bounds.body_bytes_max // BYTES_PER_MB,
        bounds.unfinished_bodies_max,
    )
    return callers.Crowd(bounds, metrics, clock)


def make_kept_body_server(
    application: web.Application,
    host_limits: settings.Limits,
    metrics: telemetry.Metrics,
    body_bytes_max: int,
) -> callers.KeptBodyServer:
    """Return a server for calls whose bodies are read whole.

    :param body_bytes_max: length of the longest body
    """
    bounds = crowd_limits.CrowdLimits.of_kept_bodies(
        host_capacity(host_limits), body_bytes_max
    )
    return _make_server(application, bounds, metrics, body_bytes_max)


def make_check_server(
    application: web.Application, metrics: telemetry.Metrics
) -> callers.KeptBodyServer:
    """Return a server for health checks and readers of metrics."""
    bounds = crowd_limits.CrowdLimits.of_checks(CHECK_BODY_BYTES_MAX)
    return _make_server(application, bounds, metrics, CHECK_BODY_BYTES_MAX)


def _make_server(
    application: web.Application,
    bounds: crowd_limits.CrowdLimits,
    metrics: telemetry.Metrics,
    body_bytes_max: int,
) -> callers.KeptBodyServer:
    server = callers.KeptBodyServer(
        application,
        max_body_size=body_bytes_max,
        chunk_size=callers.CHUNK_BYTES,
    )
    server.crowd = callers.Crowd(bounds, metrics, clocks.monotonic)
    return server


def _system_memory_bytes() -> int:
    """Return the lowest limit that the system names."""
    found = [_installed_bytes()]
    rss = resource.getrlimit(resource.RLIMIT_RSS)[0]
    if rss != resource.RLIM_INFINITY:
        found.append(rss)
    for file in _CGROUP_LIMITS:
        text = _read(file).strip()
        if text.isdecimal():
            found.append(int(text))
    return min(found)


def _installed_bytes() -> int:
    match = re.search(r"MemTotal:\s*(\d+) kB", _read(_MEMORY_INFO))
    return int(match.group(1)) * 1024 if match else 1 << 40


def _read(file: pathlib.Path) -> str:
    """Return a file's text, empty if it cannot be read."""
    try:
        return file.read_text()
    except OSError:
        return ""

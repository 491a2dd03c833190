"""Settings of a daemon: host, ports, roles, time-outs and limits."""

from __future__ import annotations

import ipaddress
import pathlib
import typing as ty

import attrs

from goldcrestproxy.settings import fleet
from goldcrestproxy.settings import loading

PORT_RANGE = loading.in_range(0, 65535)


def _validate_ip(_: ty.Any, attribute: ty.Any, value: str) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise ValueError(
            f"{attribute.name}: is {value!r}; an IP address is expected"
        ) from None


@attrs.frozen(kw_only=True)
class ControlHost:
    """Peer address of a host with the control role."""

    host: str = attrs.field(validator=loading.not_empty)
    address: str = attrs.field(validator=_validate_ip)
    peer_port: int = attrs.field(validator=PORT_RANGE)


@attrs.frozen(kw_only=True)
class Timeouts:
    """Durations of leases, heartbeats, elections, channels and stops."""

    lease_ms: int = attrs.field(
        default=550, validator=loading.in_range(50, 600_000)
    )
    grant_ms: int = attrs.field(
        default=420, validator=loading.in_range(50, 600_000)
    )
    renewal_ms: int = attrs.field(
        default=100, validator=loading.in_range(10, 60_000)
    )
    heartbeat_ms: int = attrs.field(
        default=40, validator=loading.in_range(5, 60_000)
    )
    election_min_ms: int = attrs.field(
        default=120, validator=loading.in_range(20, 60_000)
    )
    election_max_ms: int = attrs.field(
        default=240, validator=loading.in_range(21, 120_000)
    )
    drift_parts_per_million: int = attrs.field(
        default=1_000, validator=loading.in_range(0, 100_000)
    )
    channel_heartbeat_ms: int = attrs.field(
        default=100, validator=loading.in_range(5, 60_000)
    )
    channel_connect_ms: int = attrs.field(
        default=250, validator=loading.in_range(10, 60_000)
    )
    channel_silence_ms: int = attrs.field(
        default=400, validator=loading.in_range(20, 600_000)
    )
    stop_grace_ms: int = attrs.field(
        default=500, validator=loading.in_range(0, 600_000)
    )
    stop_drain_ms: int = attrs.field(
        default=30_000, validator=loading.in_range(0, 3_600_000)
    )

    def __attrs_post_init__(self) -> None:
        """Check constraints between the durations."""
        if self.election_min_ms < 2 * self.heartbeat_ms:
            raise ValueError(
                f"election_min_ms: is {self.election_min_ms}; at least "
                f"twice heartbeat_ms ({self.heartbeat_ms}) is needed"
            )
        if self.election_max_ms <= self.election_min_ms:
            raise ValueError(
                f"election_max_ms: is {self.election_max_ms}; more than "
                f"election_min_ms ({self.election_min_ms}) is needed"
            )
        if self.grant_ms > self.lease_ms:
            raise ValueError(
                f"grant_ms: is {self.grant_ms}; at most lease_ms "
                f"({self.lease_ms}) is allowed"
            )
        if self.grant_ms < 3 * self.renewal_ms:
            raise ValueError(
                f"grant_ms: is {self.grant_ms}; at least three times "
                f"renewal_ms ({self.renewal_ms}) is needed"
            )
        if self.channel_silence_ms < 3 * self.channel_heartbeat_ms:
            raise ValueError(
                f"channel_silence_ms: is {self.channel_silence_ms}; at least "
                "three times channel_heartbeat_ms "
                f"({self.channel_heartbeat_ms}) is needed"
            )
        if self.lease_ms < self.election_max_ms + 2 * self.renewal_ms:
            raise ValueError(
                f"lease_ms: is {self.lease_ms}; at least election_max_ms + "
                "2 * renewal_ms "
                f"({self.election_max_ms + 2 * self.renewal_ms}) is needed, "
                "or a change of leader interrupts keys"
            )


@attrs.frozen(kw_only=True)
class Limits:
    """Limits on the input and the replicated log of a daemon."""

    header_bytes_max: int = attrs.field(
        default=32 * 1024, validator=loading.in_range(1024, 1024 * 1024)
    )
    request_id_bytes_max: int = attrs.field(
        default=128, validator=loading.in_range(16, 1024)
    )
    announcement_bytes_max: int = attrs.field(
        default=16 * 1024, validator=loading.in_range(256, 1024 * 1024)
    )
    log_entries_max: int = attrs.field(
        default=20_000, validator=loading.in_range(10, 10_000_000)
    )
    # Memory and descriptors that the process may use, to which what callers
    # hold is limited; found out from the system if not set.
    memory_mb: int | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(loading.in_range(32, 1_000_000)),
    )
    descriptors_max: int | None = attrs.field(
        default=None,
        validator=attrs.validators.optional(
            loading.in_range(256, 100_000_000)
        ),
    )


@attrs.frozen(kw_only=True)
class Telemetry:
    """Settings of logs, metrics and traces."""

    log_format: ty.Literal["text", "json"] = "text"
    log_level: ty.Literal["debug", "info", "warning", "error"] = "info"
    log_output: ty.Literal["stderr", "stdout"] = "stderr"
    # Port that serves the metrics as text; 0 disables it.
    metrics_port: int = attrs.field(default=0, validator=PORT_RANGE)
    otlp_endpoint: str | None = None
    metric_interval_ms: int = attrs.field(
        default=10_000, validator=loading.in_range(100, 3_600_000)
    )
    trace_share: float = attrs.field(
        default=0.01, validator=loading.in_range(0, 1)
    )


@attrs.frozen(kw_only=True)
class HostSettings:
    """Contents of a daemon's settings file."""

    host: str = attrs.field(validator=loading.not_empty)
    address: str = attrs.field(validator=_validate_ip)
    zone: str = attrs.field(validator=loading.not_empty)
    roles: tuple[ty.Literal["entry", "control"], ...] = attrs.field(
        validator=loading.not_empty
    )
    caller_port: int = attrs.field(default=0, validator=PORT_RANGE)
    service_port: int = attrs.field(default=0, validator=PORT_RANGE)
    peer_port: int = attrs.field(validator=PORT_RANGE)
    data_folder: str | None = None
    control_hosts: tuple[ControlHost, ...] = ()
    timeouts: Timeouts = attrs.field(factory=Timeouts)
    limits: Limits = attrs.field(factory=Limits)
    telemetry: Telemetry = attrs.field(factory=Telemetry)
    # Only set in fleets, where targets register with the control group.
    fleet: fleet.FleetSettings | None = None
    # Address to listen on for peers, if it is not ``address``: with port
    # forwarding, other hosts connect to an address that this host lacks.
    peer_listen_address: str | None = attrs.field(
        default=None, validator=attrs.validators.optional(_validate_ip)
    )

    def __attrs_post_init__(self) -> None:
        """Check constraints between the fields."""
        if "control" in self.roles and not self.data_folder:
            raise ValueError(
                "data_folder: is missing; the role 'control' needs one"
            )
        if self.fleet is not None:
            self._check_fleet(self.fleet)
            return
        if not self.service_port:
            raise ValueError("service_port: is missing")
        if not self.control_hosts:
            raise ValueError("control_hosts: must not be empty")
        names = [control.host for control in self.control_hosts]
        if "control" in self.roles and self.host not in names:
            raise ValueError(
                f"control_hosts: does not name this host ({self.host!r}), "
                "which has the role 'control'"
            )
        if len(set(names)) != len(names):
            raise ValueError("control_hosts: names a host twice")

    def _check_fleet(self, fleet_settings: fleet.FleetSettings) -> None:
        required_fields = {
            "entry": ("callers", "balancer"),
            "control": ("registrants",),
        }
        for role in self.roles:
            for name in required_fields[role]:
                if getattr(fleet_settings, name) is None:
                    raise ValueError(
                        f"fleet: has no {name}, which the role {role!r} needs"
                    )


def load_host_settings(file: pathlib.Path) -> HostSettings:
    """Read and check the settings file of a daemon.

    :raises SettingsError: with file, path, value and allowed values
    """
    value = loading.parse(loading.read_text(file), str(file))
    return loading.structure(HostSettings, value, str(file))

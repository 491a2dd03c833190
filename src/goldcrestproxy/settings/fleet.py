"""Settings of a fleet, whose targets register with the control group."""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy.routing import copy_age
from goldcrestproxy.routing import leaving
from goldcrestproxy.settings import loading

ENDPOINT_PARTS: ty.Final = 2
# Longest hold time unless the settings give another maximum.
HOLD_MS_MAX_DEFAULT: ty.Final = 10_000.0


@attrs.frozen
class Endpoint:
    """Address and port, to listen on or to connect to."""

    address: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Endpoint:
        """Parse ``ADDRESS:PORT``.

        :raises ValueError: for any other form or an invalid port
        """
        address, _, port = text.rpartition(":")
        if not address or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError(f"is {text!r}; ADDRESS:PORT is expected")
        return cls(address, int(port))


def _validate_endpoint(
    _: ty.Any, attribute: ty.Any, value: str | None
) -> None:
    if value is not None:
        try:
            Endpoint.parse(value)
        except ValueError as error:
            raise ValueError(f"{attribute.name}: {error}") from None


def _validate_endpoints(_: ty.Any, attribute: ty.Any, values: ty.Any) -> None:
    for value in values:
        _validate_endpoint(_, attribute, value)


@attrs.frozen(kw_only=True)
class FleetSettings:
    """Listening endpoints, intervals and limits of a daemon in a fleet.

    Entry hosts need ``callers`` and ``balancer``, control hosts need
    ``registrants``. The ports of ``seeds`` are not used, since all daemons
    have the same peer port.
    """

    callers: str | None = attrs.field(
        default=None, validator=_validate_endpoint
    )
    balancer: str | None = attrs.field(
        default=None, validator=_validate_endpoint
    )
    registrants: str | None = attrs.field(
        default=None, validator=_validate_endpoint
    )
    seeds: tuple[str, ...] = attrs.field(
        validator=[loading.not_empty, _validate_endpoints]
    )
    first_start: bool = False
    zones: tuple[str, ...] = ()
    losses_tolerated: int = attrs.field(
        default=0, validator=loading.in_range(0, 10)
    )
    heartbeat_ms: float = attrs.field(
        default=1_000.0, validator=loading.in_range(50, 60_000)
    )
    # Time for which a target holds its keys after a heartbeat.
    hold_ms: int = attrs.field(
        default=3_500, validator=loading.in_range(200, 600_000)
    )
    hold_ms_max: float = attrs.field(
        default=HOLD_MS_MAX_DEFAULT, validator=loading.in_range(200, 600_000)
    )
    # Time for which a target serves after it has said that it leaves.
    drain_ms: float = attrs.field(
        default=leaving.DRAIN_MS_DEFAULT,
        validator=loading.in_range(0, 600_000),
    )
    # Time from the confirmation of a change until it binds every host.
    in_force_ms: float = attrs.field(
        default=copy_age.IN_FORCE_MS_DEFAULT,
        validator=loading.in_range(500, 600_000),
    )
    resend_ratio: float = attrs.field(
        default=0.1, validator=loading.in_range(0, 10)
    )
    resend_slack: float = attrs.field(
        default=10.0, validator=loading.in_range(0, 1_000_000)
    )
    resend_window_s: float = attrs.field(
        default=10.0, validator=loading.in_range(0.1, 3_600)
    )
    # Window in which quotas of customers are judged, and by how much and by
    # how many requests all hosts together may exceed them in it.
    quota_window_s: float = attrs.field(
        default=5.0, validator=loading.in_range(0.1, 3_600)
    )
    quota_overshoot_ratio: float = attrs.field(
        default=0.1, validator=loading.in_range(0, 10)
    )
    quota_slack_requests: float = attrs.field(
        default=20.0, validator=loading.in_range(0, 1_000_000)
    )
    # Time from SIGTERM until the process is killed from outside.
    stop_s: float = attrs.field(
        default=10.0, validator=loading.in_range(1, 3_600)
    )

    @property
    def seed_endpoints(self) -> tuple[Endpoint, ...]:
        """The parsed seeds."""
        return tuple(Endpoint.parse(seed) for seed in self.seeds)

    @property
    def effective_hold_ms(self) -> int:
        """Hold time of keys, limited to what targets accept."""
        return int(min(self.hold_ms, self.hold_ms_max))

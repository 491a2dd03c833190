"""Settings for targets that register themselves with the control group."""

from __future__ import annotations

import typing as ty

import attrs

from goldcrestproxy.settings import loading

ENDPOINT_PARTS: ty.Final = 2
# Without a bound from the settings a hold lasts at most this long.
HOLD_MS_MAX_DEFAULT: ty.Final = 10_000.0


@attrs.frozen
class Endpoint:
    """An address and a port to listen on or to connect to."""

    address: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Endpoint:
        """Read ``ADDRESS:PORT``.

        :raises ValueError: when it is anything else
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
    """Where a fleet's daemon listens, and the times and limits it keeps.

    Entry hosts have ``callers`` and ``balancer``, control hosts have
    ``registrants``. Of the seeds only the addresses matter: every daemon
    has the same peer port.
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
    # How long a target holds its keys after a heartbeat.
    hold_ms: int = attrs.field(
        default=3_500, validator=loading.in_range(200, 600_000)
    )
    hold_ms_max: float = attrs.field(
        default=HOLD_MS_MAX_DEFAULT, validator=loading.in_range(200, 600_000)
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
    # From SIGTERM until the process is ended from outside.
    stop_s: float = attrs.field(
        default=10.0, validator=loading.in_range(1, 3_600)
    )

    @property
    def seed_endpoints(self) -> tuple[Endpoint, ...]:
        """The seeds, read."""
        return tuple(Endpoint.parse(seed) for seed in self.seeds)

    @property
    def effective_hold_ms(self) -> int:
        """How long holds last, within what targets accept."""
        return int(min(self.hold_ms, self.hold_ms_max))

"""The public protocol between goldcrestproxy and its targets.

Specified in docs/target-protocol.md.
"""

from __future__ import annotations

import json
import typing as ty

import attrs

from goldcrestproxy import control
from goldcrestproxy import errors
from goldcrestproxy import registry
from goldcrestproxy import results
from goldcrestproxy import settings
from goldcrestproxy.settings import loading

GRANTS_PATH: ty.Final = "/goldcrest/v1/grants"
CANCEL_PATH: ty.Final = "/goldcrest/v1/cancel"

REQUEST_ID: ty.Final = "Goldcrest-Request-Id"
FENCING_TOKEN: ty.Final = "Goldcrest-Fencing-Token"
SLOT: ty.Final = "Goldcrest-Slot"
DEADLINE_MS: ty.Final = "Goldcrest-Deadline-Ms"
OUTCOME: ty.Final = "Goldcrest-Outcome"
REASON: ty.Final = "Goldcrest-Reason"
REST_MS: ty.Final = "Goldcrest-Rest-Ms"
TRACE_PARENT: ty.Final = "Traceparent"

NAME_BYTES_MAX: ty.Final = 128
REST_DIGITS_MAX: ty.Final = 9
INTEGER_MAX: ty.Final = (1 << 63) - 1


def _validate_name(_: ty.Any, attribute: ty.Any, value: str) -> None:
    if not value or len(value.encode()) > NAME_BYTES_MAX:
        raise ValueError(
            f"{attribute.name}: has {len(value.encode())} bytes; 1 to "
            f"{NAME_BYTES_MAX} are allowed"
        )
    if not value.isprintable() or "/" in value:
        raise ValueError(
            f"{attribute.name}: is {value!r}; printable characters other "
            "than '/' are allowed"
        )


def _validate_address(_: ty.Any, attribute: ty.Any, value: str) -> None:
    host, _, port = value.rpartition(":")
    if not registry.is_endpoint(f"{host.strip('[]')}:{port}"):
        raise ValueError(
            f"{attribute.name}: is {value[:NAME_BYTES_MAX]!r}; IP:PORT is "
            "expected"
        )


@attrs.frozen(kw_only=True)
class AnnouncedSupports:
    """Optional features of the protocol that the target implements."""

    fencing: bool = False
    cancellation: bool = False
    deadlines: bool = False


@attrs.frozen(kw_only=True)
class Announcement:
    """Announcement of a target, sent at its start and every few seconds."""

    target: str = attrs.field(validator=_validate_name)
    incarnation: str = attrs.field(validator=_validate_name)
    zone: str = attrs.field(validator=_validate_name)
    desk: str = attrs.field(validator=_validate_name)
    address: str = attrs.field(validator=_validate_address)
    slots: int = attrs.field(validator=loading.in_range(1, 10_000))
    supports: AnnouncedSupports = attrs.field(factory=AnnouncedSupports)
    leaving: bool = False

    def command(self) -> control.AnnounceTarget:
        """Return the command that registers the target."""
        return control.AnnounceTarget(
            target=self.target,
            incarnation=self.incarnation,
            zone=self.zone,
            desk=self.desk,
            address=self.address,
            slots=self.slots,
            supports=control.Supports(**attrs.asdict(self.supports)),
            leaving=self.leaving,
        )


def read_announcement(body: bytes) -> Announcement:
    """Decode a target's announcement.

    :raises RefusedError: naming the invalid field and its allowed values
    """
    try:
        value = json.loads(body)
        return settings.structure(Announcement, value, "announcement")
    except (ValueError, RecursionError, errors.SettingsError) as error:
        raise results.refusal(results.BAD_ANNOUNCEMENT, str(error)) from error


def read_rest_ms(headers: ty.Mapping[str, str]) -> int:
    """Return how long a target that ran nothing wants no requests.

    0 without the header, with a malformed one, and for a request that ran.
    """
    value = headers.get(REST_MS, "")
    not_run = headers.get(OUTCOME, "").lower() == "not-run"
    if not not_run or not value.isdecimal() or len(value) > REST_DIGITS_MAX:
        return 0
    return int(value)


@attrs.frozen(kw_only=True)
class GrantOrder:
    """The complete set of slots that a target owns.

    Valid until ``until_clock_ms`` on the target's own clock.
    """

    coordinator: str
    epoch: int
    order: int
    incarnation: str
    desk: str
    until_clock_ms: int
    partitions: tuple[tuple[int, int], ...]
    hot_keys: tuple[tuple[int, int], ...]
    elsewhere: tuple[int, ...]

    def body(self) -> bytes:
        """Return the order as JSON; key hashes are decimal strings."""
        value = {
            "coordinator": self.coordinator,
            "epoch": self.epoch,
            "order": self.order,
            "incarnation": self.incarnation,
            "desk": self.desk,
            "until_clock_ms": self.until_clock_ms,
            "partitions": self.partitions,
            "hot_keys": [
                (str(key_hash), token) for key_hash, token in self.hot_keys
            ],
            "elsewhere": [str(key_hash) for key_hash in self.elsewhere],
        }
        return json.dumps(value, separators=(",", ":")).encode()


@attrs.frozen(kw_only=True)
class GrantAnswer:
    """A target's answer to an order.

    ``limit_per_s`` is the rate of requests that the target takes, None if it
    names none.
    """

    incarnation: str
    clock_ms: int = attrs.field(
        validator=loading.in_range(-INTEGER_MAX, INTEGER_MAX)
    )
    order: int = attrs.field(validator=loading.in_range(0, INTEGER_MAX))
    cold: bool = False
    leaving: bool = False
    limit_per_s: float | None = None


def read_grant_answer(body: bytes) -> GrantAnswer:
    """Decode a target's answer to an order.

    :raises WireError: if it does not conform to the protocol
    """
    try:
        value = json.loads(body)
        field_names = {field.name for field in attrs.fields(GrantAnswer)}
        known_fields = {
            name: value[name] for name in field_names if name in value
        }
        return settings.structure(GrantAnswer, known_fields, "grant answer")
    except (
        TypeError,
        ValueError,
        RecursionError,
        errors.SettingsError,
    ) as error:
        raise errors.WireError(f"invalid grant answer: {error}") from error


def slot_name(slot: control.Slot) -> str:
    """Return the slot's value in the header ``Goldcrest-Slot``."""
    return f"key-{slot.number}" if slot.hot else f"partition-{slot.number}"

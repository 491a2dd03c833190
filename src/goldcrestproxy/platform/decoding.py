"""Validation of the platform's JSON request bodies."""

from __future__ import annotations

import json
import math
import typing as ty

from goldcrestproxy import errors


class DecodingError(errors.GoldcrestProxyError):
    """A request body does not conform to the platform's API."""


Body = dict[str, ty.Any]

MISSING: ty.Final = object()


def read_object(data: bytes) -> Body:
    """Parse a body as a JSON object.

    :raises DecodingError: if the body is not valid JSON or not an object
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DecodingError(f"the body is not JSON: {error}") from error
    return as_object(value, "the body")


def as_object(value: ty.Any, where: str) -> Body:
    """Return ``value`` if it is a JSON object.

    :raises DecodingError: if the value has another type
    """
    if not isinstance(value, dict):
        raise DecodingError(f"{where} is {value!r}; an object is expected")
    return value


def as_list(value: ty.Any, where: str) -> list[ty.Any]:
    """Return ``value`` if it is a JSON list.

    :raises DecodingError: if the value has another type
    """
    if not isinstance(value, list):
        raise DecodingError(f"{where} is {value!r}; a list is expected")
    return value


def string(body: Body, name: str, default: ty.Any = MISSING) -> str:
    """Return a field that must be a non-empty string."""
    value = body.get(name, default)
    if value is default and default is not MISSING:
        return ty.cast(str, default)
    if not isinstance(value, str) or not value:
        raise DecodingError(f"{name} is {value!r}; a text is expected")
    return value


def integer(
    body: Body, name: str, default: ty.Any = MISSING, *, minimum: int = 0
) -> int:
    """Return a field that must be an integer of at least ``minimum``."""
    value = body.get(name, default)
    if (
        isinstance(value, bool)
        or not isinstance(value, int)
        or value < minimum
    ):
        raise DecodingError(
            f"{name} is {value!r}; a whole number from {minimum} is expected"
        )
    return value


def number(
    body: Body, name: str, default: ty.Any = MISSING, *, minimum: float = 0
) -> float:
    """Return a field that must be a finite number, at least ``minimum``."""
    value = body.get(name, default)
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not math.isfinite(value)
        or value < minimum
    ):
        raise DecodingError(
            f"{name} is {value!r}; a number from {minimum} is expected"
        )
    return float(value)


def boolean(body: Body, name: str, default: bool) -> bool:
    """Return a field that must be a boolean."""
    value = body.get(name, default)
    if not isinstance(value, bool):
        raise DecodingError(f"{name} is {value!r}; true or false is expected")
    return value


def choice(body: Body, name: str, choices: ty.Collection[str]) -> str:
    """Return a field that must be one of ``choices``."""
    value = body.get(name)
    if not isinstance(value, str) or value not in choices:
        raise DecodingError(
            f"{name} is {value!r}; one of {sorted(choices)} is expected"
        )
    return value

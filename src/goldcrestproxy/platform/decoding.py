"""Checked reading of the platform's JSON bodies."""

from __future__ import annotations

import json
import math
import typing as ty

from goldcrestproxy import errors


class DecodingError(errors.GoldcrestProxyError):
    """A body says something that the platform's pages do not allow."""


Body = dict[str, ty.Any]

MISSING: ty.Final = object()


def read_object(data: bytes) -> Body:
    """Return a body that is a JSON object.

    :raises DecodingError: when it is anything else
    """
    try:
        value = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise DecodingError(f"the body is not JSON: {error}") from error
    return as_object(value, "the body")


def as_object(value: ty.Any, where: str) -> Body:
    """Return a JSON object.

    :raises DecodingError: when the value is anything else
    """
    if not isinstance(value, dict):
        raise DecodingError(f"{where} is {value!r}; an object is expected")
    return value


def as_list(value: ty.Any, where: str) -> list[ty.Any]:
    """Return a JSON list.

    :raises DecodingError: when the value is anything else
    """
    if not isinstance(value, list):
        raise DecodingError(f"{where} is {value!r}; a list is expected")
    return value


def string(body: Body, name: str, default: ty.Any = MISSING) -> str:
    """Return a field that is a text and not empty."""
    value = body.get(name, default)
    if value is default and default is not MISSING:
        return ty.cast(str, default)
    if not isinstance(value, str) or not value:
        raise DecodingError(f"{name} is {value!r}; a text is expected")
    return value


def integer(
    body: Body, name: str, default: ty.Any = MISSING, *, minimum: int = 0
) -> int:
    """Return a field that is a whole number."""
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
    """Return a field that is a number."""
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
    """Return a field that is true or false."""
    value = body.get(name, default)
    if not isinstance(value, bool):
        raise DecodingError(f"{name} is {value!r}; true or false is expected")
    return value


def choice(body: Body, name: str, choices: ty.Collection[str]) -> str:
    """Return a field that is one of some words."""
    value = body.get(name)
    if not isinstance(value, str) or value not in choices:
        raise DecodingError(
            f"{name} is {value!r}; one of {sorted(choices)} is expected"
        )
    return value

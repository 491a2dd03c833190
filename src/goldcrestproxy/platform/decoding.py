"""Validation of the platform's JSON request bodies."""

from __future__ import annotations

import json
import math
import reprlib
import typing as ty

from goldcrestproxy import errors
from goldcrestproxy import registry


class DecodingError(errors.GoldcrestProxyError):
    """A request body does not conform to the platform's API.

    Texts have the form "FIELD is VALUE; EXPECTATION".
    """

    def without_value(self) -> DecodingError:
        """Return the error without the value, which may be a secret."""
        field = str(self).partition(" is ")[0]
        expectation = str(self).rpartition("; ")[2]
        return DecodingError(f"{field} is invalid; {expectation}")


Body = dict[str, ty.Any]

MISSING: ty.Final = object()
NUMBER_MAX: ty.Final = 1e12
STRING_CHARACTERS_MAX: ty.Final = 16 * 1024


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
        raise DecodingError(
            f"{where} is {brief(value)}; an object is expected"
        )
    return value


def as_list(value: ty.Any, where: str) -> list[ty.Any]:
    """Return ``value`` if it is a JSON list.

    :raises DecodingError: if the value has another type
    """
    if not isinstance(value, list):
        raise DecodingError(f"{where} is {brief(value)}; a list is expected")
    return value


def string(body: Body, name: str, default: ty.Any = MISSING) -> str:
    """Return a field that must be a non-empty string."""
    value = body.get(name, default)
    if value is default and default is not MISSING:
        return ty.cast(str, default)
    if not isinstance(value, str) or not (
        0 < len(value) <= STRING_CHARACTERS_MAX and _is_unicode(value)
    ):
        raise DecodingError(
            f"{name} is {brief(value)}; a text of 1 to "
            f"{STRING_CHARACTERS_MAX} characters is expected"
        )
    return value


def integer(
    body: Body,
    name: str,
    default: ty.Any = MISSING,
    *,
    minimum: int = 0,
    maximum: int = registry.INTEGER_MAX,
) -> int:
    """Return a field that must be an integer within bounds."""
    value = body.get(name, default)
    if not is_integer(value, minimum, maximum):
        raise DecodingError(
            f"{name} is {brief(value)}; a whole number from {minimum} to "
            f"{maximum} is expected"
        )
    return ty.cast(int, value)


def is_integer(value: ty.Any, minimum: int, maximum: int) -> bool:
    """Whether a JSON value is an integer within bounds."""
    return type(value) is int and minimum <= value <= maximum


def number(
    body: Body,
    name: str,
    default: ty.Any = MISSING,
    *,
    minimum: float = 0,
    maximum: float = NUMBER_MAX,
) -> float:
    """Return a field that must be a number within bounds."""
    value = body.get(name, default)
    # Bounds first: a large integer cannot be converted to a float.
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not minimum <= value <= maximum
        or not math.isfinite(value)
    ):
        raise DecodingError(
            f"{name} is {brief(value)}; a number from {minimum} to "
            f"{maximum:g} is expected"
        )
    return float(value)


def endpoint(body: Body, name: str) -> str:
    """Return a field that must be an IP address and a port."""
    value = string(body, name)
    if not registry.is_endpoint(value):
        raise DecodingError(
            f"{name} is {brief(value)}; ADDRESS:PORT is expected"
        )
    return value


def boolean(body: Body, name: str, default: bool) -> bool:
    """Return a field that must be a boolean."""
    value = body.get(name, default)
    if not isinstance(value, bool):
        raise DecodingError(
            f"{name} is {brief(value)}; true or false is expected"
        )
    return value


def choice(body: Body, name: str, choices: ty.Collection[str]) -> str:
    """Return a field that must be one of ``choices``."""
    value = body.get(name)
    if not isinstance(value, str) or value not in choices:
        raise DecodingError(
            f"{name} is {brief(value)}; one of {sorted(choices)} is expected"
        )
    return value


def brief(value: ty.Any) -> str:
    """Describe a value in an error, whatever its length and depth."""
    return reprlib.repr(value)


def _is_unicode(value: str) -> bool:
    """Whether a text can be encoded, which lone surrogates cannot."""
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True

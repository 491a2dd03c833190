"""Conversion of JSON with comments to attrs classes, with located errors."""

from __future__ import annotations

import math
import pathlib
import re
import typing as ty

import attrs
import cattrs
from cattrs import errors as cattrs_errors
from cattrs import gen
from cattrs import v as cattrs_validation
import json5

from goldcrestproxy import errors

T = ty.TypeVar("T")

_TYPE_DESCRIPTIONS: ty.Final[dict[type, str]] = {
    int: "a whole number",
    float: "a number",
    str: "a text in quotes",
    bool: "true or false",
}


def read_text(file: pathlib.Path) -> str:
    """Read a UTF-8 text file.

    :raises SettingsError: when it cannot be read
    """
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(
            str(file), "", f"cannot be read: {error}"
        ) from error


def parse(text: str, file: str) -> ty.Any:
    """Parse JSON with comments.

    :raises SettingsError: with the line and column of the error
    """
    try:
        return json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise errors.SettingsError(
            file, "", f"is not JSON with comments: {error}"
        ) from error


def structure(kind: type[T], value: ty.Any, file: str, path: str = "") -> T:
    """Convert parsed JSON to an instance of an attrs class.

    :param path: path of ``value`` in the document, for errors
    :raises SettingsError: with file, path, value and allowed values
    """
    try:
        return _CONVERTER.structure(value, kind)
    except Exception as error:
        problem_path, problem = _first_problem(error, path)
        raise errors.SettingsError(file, problem_path, problem) from error


def in_range(low: float, high: float) -> ty.Callable[..., None]:
    """Return an attrs validator for a number from ``low`` to ``high``."""

    def check(_: ty.Any, attribute: ty.Any, value: ty.Any) -> None:
        if not low <= value <= high:
            raise ValueError(
                f"{attribute.name}: is {value}; {low} to {high} is allowed"
            )

    return check


def not_empty(_: ty.Any, attribute: ty.Any, value: ty.Any) -> None:
    """Validate, for attrs, that a text, list or object is not empty.

    :raises ValueError: when it is empty
    """
    if not value:
        raise ValueError(f"{attribute.name}: must not be empty")


def _structure_scalar(value: ty.Any, kind: type) -> ty.Any:
    if kind is float and type(value) is int:
        return float(value)
    if type(value) is not kind:
        raise TypeError(
            f"is {value!r}; {_TYPE_DESCRIPTIONS[kind]} is expected"
        )
    if kind is float and not math.isfinite(value):
        raise TypeError(f"is {value}; a finite number is expected")
    return value


def _structure_literal(value: ty.Any, kind: ty.Any) -> ty.Any:
    allowed = ty.get_args(kind)
    if value not in allowed:
        names = ", ".join(repr(name) for name in allowed)
        raise TypeError(f"is {value!r}; one of {names} is expected")
    return value


def _structure_list(value: ty.Any, kind: ty.Any) -> ty.Any:
    if not isinstance(value, list):
        raise TypeError(f"is {value!r}; a list is expected")
    return tuple(_CONVERTER.structure(value, list[ty.get_args(kind)[0]]))


def _make_object_hook(kind: ty.Any, converter: cattrs.Converter) -> ty.Any:
    build = gen.make_dict_structure_fn(
        kind, converter, _cattrs_forbid_extra_keys=True
    )

    def structure_object(value: ty.Any, _: ty.Any) -> ty.Any:
        if not isinstance(value, dict):
            raise TypeError(f"is {value!r}; an object in braces is expected")
        return build(value, kind)

    return structure_object


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook_factory(
        attrs.has, lambda kind: _make_object_hook(kind, converter)
    )
    for kind in _TYPE_DESCRIPTIONS:
        converter.register_structure_hook(kind, _structure_scalar)
    converter.register_structure_hook_func(
        lambda kind: ty.get_origin(kind) is ty.Literal, _structure_literal
    )
    converter.register_structure_hook_func(
        lambda kind: ty.get_origin(kind) is tuple, _structure_list
    )
    return converter


_CONVERTER: ty.Final = _make_converter()


def _first_problem(error: BaseException, path: str) -> tuple[str, str]:
    """Return the path and the description of the first error."""
    first = cattrs_validation.transform_error(
        ty.cast(ty.Any, error),
        path="$",
        format_exception=_describe,
    )[0]
    problem, _, problem_path = first.rpartition(" @ $")
    field = re.match(r"([a-z_]+): ", problem)
    if field is not None:
        problem_path = f"{problem_path}.{field.group(1)}"
        problem = problem[field.end() :]
    return f"{path}{problem_path}".lstrip("."), problem


def _describe(error: BaseException, kind: type | None) -> str:
    match error:
        case cattrs_errors.ForbiddenExtraKeysError():
            name = sorted(error.extra_fields)[0]
            allowed = ", ".join(
                sorted(field.name for field in attrs.fields(error.cl))
            )
            return f"{name}: is not a known field; known are: {allowed}"
        case KeyError():
            return "is missing"
        case AttributeError():
            return "is not an object; an object in braces is expected"
        case _:
            return str(error)

"""Configurations that operators apply: a template and its customers."""

from __future__ import annotations

import pathlib
import re
import typing as ty

import attrs

from goldcrestproxy import errors
from goldcrestproxy.settings import loading

NAME_PATTERN: ty.Final = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")

_PARAMETER_TYPES: ty.Final[dict[str, type]] = {
    "integer": int,
    "text": str,
    "boolean": bool,
}


def _validate_name(_: ty.Any, attribute: ty.Any, value: str) -> None:
    if not NAME_PATTERN.fullmatch(value):
        raise ValueError(
            f"{attribute.name}: is {value!r}; lower-case letters, digits "
            "and '-' are allowed, 63 at most"
        )


def _validate_names(
    _: ty.Any, attribute: ty.Any, value: ty.Iterable[str]
) -> None:
    for name in value:
        _validate_name(None, attribute, name)


def _validate_path(_: ty.Any, attribute: ty.Any, value: str) -> None:
    if not value.startswith("/"):
        raise ValueError(
            f"{attribute.name}: is {value!r}; it must start with '/'"
        )


@attrs.frozen(kw_only=True)
class Parameter:
    """A typed parameter of the template, set for each customer."""

    type: ty.Literal["integer", "text", "boolean"]
    default: ty.Any = None
    minimum: int | None = None
    maximum: int | None = None

    def find_problem(self, value: ty.Any) -> str | None:
        """Return why a value is invalid, or None if it is valid."""
        if type(value) is not _PARAMETER_TYPES[self.type]:
            return f"is {value!r}; a value of type {self.type} is expected"
        if self.minimum is not None and value < self.minimum:
            return f"is {value}; at least {self.minimum} is allowed"
        if self.maximum is not None and value > self.maximum:
            return f"is {value}; at most {self.maximum} is allowed"
        return None


@attrs.frozen(kw_only=True)
class Route:
    """An operation of a desk, with its method, path and limits.

    Requests of ``idempotent`` routes may be sent more than once.
    """

    operation: str = attrs.field(validator=_validate_name)
    method: ty.Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path: str = attrs.field(validator=_validate_path)
    idempotent: bool
    deadline_ms: int = attrs.field(
        default=2_000, validator=loading.in_range(1, 3_600_000)
    )
    body_bytes_max: int = attrs.field(
        default=1024 * 1024, validator=loading.in_range(0, 1024**4)
    )


@attrs.frozen(kw_only=True)
class Desk:
    """A group of targets that serve the same routes.

    ``keyed`` desks route each request by the key in its path.
    """

    kind: ty.Literal["keyed", "pool"]
    routes: tuple[Route, ...] = attrs.field(validator=loading.not_empty)
    partitions: int = attrs.field(
        default=1024, validator=loading.in_range(1, 65_536)
    )
    key_bytes_max: int = attrs.field(
        default=256, validator=loading.in_range(1, 4096)
    )
    cold_concurrency: int = attrs.field(
        default=1, validator=loading.in_range(1, 1000)
    )
    queue_requests_max: int = attrs.field(
        default=64, validator=loading.in_range(0, 100_000)
    )
    hedge_quantile: float = attrs.field(
        default=0.95, validator=loading.in_range(0.5, 1)
    )

    def __attrs_post_init__(self) -> None:
        """Check that every path of a keyed desk contains ``{key}``."""
        if self.kind != "keyed":
            return
        for route in self.routes:
            if "{key}" not in route.path:
                raise ValueError(
                    f"routes: {route.operation!r} has no '{{key}}' in its "
                    "path; a keyed desk needs one"
                )


@attrs.frozen(kw_only=True)
class RetryBudget:
    """Limit on a customer's retries.

    Each request allows ``share`` of a retry; unused ones add up to
    ``burst_requests``.
    """

    share: float = attrs.field(default=0.1, validator=loading.in_range(0, 1))
    burst_requests: int = attrs.field(
        default=10, validator=loading.in_range(0, 10_000)
    )


@attrs.frozen(kw_only=True)
class FilledTemplate:
    """The template with the parameters of one customer filled in."""

    desks: dict[str, Desk] = attrs.field(
        validator=[loading.not_empty, _validate_names]
    )
    retry_budget: RetryBudget = attrs.field(factory=RetryBudget)


@attrs.frozen(kw_only=True)
class Deployment:
    """A configuration document as operators write it."""

    parameters: dict[str, Parameter] = attrs.field(factory=dict)
    template: dict[str, ty.Any]
    customers: dict[str, dict[str, ty.Any]] = attrs.field(
        factory=dict, validator=_validate_names
    )


@attrs.frozen(kw_only=True)
class CheckedDeployment:
    """A valid deployment, with the template filled in per customer."""

    deployment: Deployment
    customers: dict[str, FilledTemplate]


def check_deployment(value: ty.Any, file: str) -> CheckedDeployment:
    """Check a parsed document and fill in its template per customer.

    :raises SettingsError: with file, path, value and allowed values
    """
    deployment = loading.structure(Deployment, value, file)
    customers: dict[str, FilledTemplate] = {}
    for name, arguments in deployment.customers.items():
        filler = _TemplateFiller(deployment.parameters, arguments, file, name)
        document = filler.fill(deployment.template, "template")
        customers[name] = loading.structure(
            FilledTemplate, document, file, "template"
        )
    _check_desks_agree(customers, file)
    return CheckedDeployment(deployment=deployment, customers=customers)


def load_deployment(file: pathlib.Path) -> CheckedDeployment:
    """Read and check a configuration file.

    :raises SettingsError: with file, path, value and allowed values
    """
    value = loading.parse(loading.read_text(file), str(file))
    return check_deployment(value, str(file))


def _check_desks_agree(
    customers: dict[str, FilledTemplate], file: str
) -> None:
    """Check that a desk has one kind and partition count for all customers.

    :raises SettingsError: with the path of the desk that differs
    """
    shared: dict[str, tuple[str, int]] = {}
    for filled in customers.values():
        for name, desk in filled.desks.items():
            shared_fields = (desk.kind, desk.partitions)
            if shared.setdefault(name, shared_fields) != shared_fields:
                raise errors.SettingsError(
                    file,
                    f"template.desks.{name}",
                    "kind and partitions must be the same for every customer",
                )


class _TemplateFiller:
    """Replaces ``${name}`` in a template by the values of one customer."""

    _PLACEHOLDER: ty.Final = re.compile(r"\$\{([a-z0-9_]+)\}")

    def __init__(
        self,
        parameters: dict[str, Parameter],
        arguments: dict[str, ty.Any],
        file: str,
        customer: str,
    ) -> None:
        self._file = file
        self._path_prefix = f"customers.{customer}"
        self._values: dict[str, ty.Any] = {}
        for name in arguments:
            if name not in parameters:
                allowed = ", ".join(sorted(parameters)) or "none"
                self._fail(
                    f"{self._path_prefix}.{name}",
                    f"is not a parameter; known are: {allowed}",
                )
        for name, parameter in parameters.items():
            value = arguments.get(name, parameter.default)
            if value is None:
                self._fail(
                    f"{self._path_prefix}.{name}",
                    "is missing and has no default",
                )
            problem = parameter.find_problem(value)
            if problem is not None:
                self._fail(f"{self._path_prefix}.{name}", problem)
            self._values[name] = value

    def _fail(self, path: str, problem: str) -> ty.NoReturn:
        raise errors.SettingsError(self._file, path, problem)

    def fill(self, value: ty.Any, path: str) -> ty.Any:
        """Return a copy of ``value`` with all placeholders replaced."""
        match value:
            case dict():
                return {
                    name: self.fill(item, f"{path}.{name}")
                    for name, item in value.items()
                }
            case list():
                return [
                    self.fill(item, f"{path}[{index}]")
                    for index, item in enumerate(value)
                ]
            case str():
                return self._fill_text(value, path)
            case _:
                return value

    def _fill_text(self, text: str, path: str) -> ty.Any:
        whole_match = self._PLACEHOLDER.fullmatch(text)
        if whole_match is not None:
            return self._lookup_value(whole_match.group(1), path)
        return self._PLACEHOLDER.sub(
            lambda match: str(self._lookup_value(match.group(1), path)), text
        )

    def _lookup_value(self, name: str, path: str) -> ty.Any:
        if name not in self._values:
            self._fail(path, f"uses ${{{name}}}, which is not a parameter")
        return self._values[name]

"""Commands and outcomes as bytes."""

from __future__ import annotations

import json
import operator
import typing as ty

import attrs
import cattrs
from cattrs import strategies

from goldcrestproxy.control import commands
from goldcrestproxy.control import outcomes
from goldcrestproxy import registry


# Heartbeats, their answers and releases carry tens of these, a few hundred
# times a second: a row takes a third of the time and size of an object.
_ROW_TYPES: ty.Final = (
    registry.HeldRange,
    registry.ReleasedRange,
    registry.GrantedRange,
    registry.FreedBlock,
    registry.BlockCut,
)


def _register_row_type(converter: cattrs.Converter, kind: type) -> None:
    """Let objects of a class be rows of their fields' values."""
    names = [field.name for field in attrs.fields(kind)]
    read = operator.attrgetter(*names)
    converter.register_unstructure_hook(kind, lambda row: list(read(row)))
    converter.register_structure_hook(
        kind,
        lambda values, _: kind(**dict(zip(names, values, strict=True))),
    )


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(omit_if_default=True)
    for kind in _ROW_TYPES:
        _register_row_type(converter, kind)
    for union in (
        commands.Command,
        outcomes.Outcome,
        registry.Call,
        registry.Answer,
    ):
        strategies.configure_tagged_union(union, converter, tag_name="kind")
    return converter


CONVERTER: ty.Final = _converter()


def encode(command: commands.Command) -> bytes:
    """Return a command's bytes for the log."""
    return _to_json(CONVERTER.unstructure(command, commands.Command))


def decode(data: bytes) -> commands.Command:
    """Read a command from the log."""
    return CONVERTER.structure(
        json.loads(data), ty.cast(ty.Any, commands.Command)
    )


def kind_suffix(kind: type) -> bytes:
    """Return how the bytes of a command of this kind end."""
    return f'"kind":"{kind.__name__}"}}'.encode()


def encode_outcome(outcome: outcomes.Outcome) -> bytes:
    """Return an outcome's bytes for a reply."""
    return _to_json(CONVERTER.unstructure(outcome, outcomes.Outcome))


def decode_outcome(data: bytes) -> outcomes.Outcome:
    """Read an outcome from a reply."""
    return CONVERTER.structure(
        json.loads(data), ty.cast(ty.Any, outcomes.Outcome)
    )


def encode_call(call: registry.Call) -> bytes:
    """Return the bytes of a target's or operator's call."""
    return _to_json(CONVERTER.unstructure(call, registry.Call))


def decode_call(data: bytes) -> registry.Call:
    """Read a call that another control host passed on."""
    return CONVERTER.structure(
        json.loads(data), ty.cast(ty.Any, registry.Call)
    )


def encode_answer(answer: registry.Answer) -> bytes:
    """Return the bytes of the leader's answer."""
    return _to_json(CONVERTER.unstructure(answer, registry.Answer))


def decode_answer(data: bytes) -> registry.Answer:
    """Read the leader's answer."""
    return CONVERTER.structure(
        json.loads(data), ty.cast(ty.Any, registry.Answer)
    )


def _to_json(value: ty.Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()

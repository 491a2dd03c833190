"""JSON encoding of commands, outcomes, and calls to the registry.

Commands, outcomes, calls and answers are tagged with their class name under
``kind``, as the last member.
"""

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


# Classes encoded as arrays of field values. Heartbeats, their answers and
# releases contain tens of these, a few hundred times a second; an array takes
# a third of the time and size of an object.
_ROW_TYPES: ty.Final = (
    registry.HeldRange,
    registry.ReleasedRange,
    registry.GrantedRange,
    registry.FreedBlock,
    registry.BlockCut,
)


def _register_row_type(converter: cattrs.Converter, kind: type) -> None:
    """Encode a class as an array of its field values, in field order."""
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
    """Encode a command for the log."""
    return _to_json(CONVERTER.unstructure(command, commands.Command))


def decode(data: bytes) -> commands.Command:
    """Decode a command from the log."""
    return CONVERTER.structure(
        json.loads(data), ty.cast(ty.Any, commands.Command)
    )


def kind_suffix(kind: type) -> bytes:
    """Return the trailing bytes of an encoded command of this class.

    They identify the class of a command without decoding it.
    """
    return f'"kind":"{kind.__name__}"}}'.encode()


def encode_outcome(outcome: outcomes.Outcome) -> bytes:
    """Encode an outcome for a reply."""
    return _to_json(CONVERTER.unstructure(outcome, outcomes.Outcome))


def decode_outcome(data: bytes) -> outcomes.Outcome:
    """Decode an outcome from a reply."""
    return CONVERTER.structure(
        json.loads(data), ty.cast(ty.Any, outcomes.Outcome)
    )


def encode_call(call: registry.Call) -> bytes:
    """Encode a call by a target or operator."""
    return _to_json(CONVERTER.unstructure(call, registry.Call))


def decode_call(data: bytes) -> registry.Call:
    """Decode a call forwarded by another control host."""
    return CONVERTER.structure(
        json.loads(data), ty.cast(ty.Any, registry.Call)
    )


def encode_answer(answer: registry.Answer) -> bytes:
    """Encode the leader's answer to a call."""
    return _to_json(CONVERTER.unstructure(answer, registry.Answer))


def decode_answer(data: bytes) -> registry.Answer:
    """Decode the leader's answer to a call."""
    return CONVERTER.structure(
        json.loads(data), ty.cast(ty.Any, registry.Answer)
    )


def _to_json(value: ty.Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()

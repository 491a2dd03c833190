"""JSON format of the heartbeats and goodbyes of targets."""

from __future__ import annotations

import typing as ty

from goldcrestproxy.platform import decoding
from goldcrestproxy import registry

_STATES: ty.Final = ("ready", "draining")
_RANGE_FIELDS: ty.Final = 3


def decode_heartbeat(target: str, data: bytes) -> registry.Heartbeat:
    """Decode a heartbeat of ``target``.

    :raises DecodingError: naming the first invalid field
    """
    body = decoding.read_object(data)
    return registry.Heartbeat(
        target=target,
        # ``born`` is the start time of the target's process, Unix time in ms.
        incarnation=decoding.integer(body, "born", 0),
        service=decoding.string(body, "service"),
        zone=decoding.string(body, "zone"),
        address=_decode_address(body),
        slots=decoding.integer(body, "slots", minimum=1),
        leaving=decoding.choice(body, "state", _STATES) == "draining",
        cold_ms=int(decoding.number(body, "cold_left_ms", 0)),
        sequence=decoding.integer(body, "sequence"),
        held=tuple(_decode_held(row) for row in _range_rows(body, "held")),
        released=tuple(
            _decode_released(row) for row in _range_rows(body, "released")
        ),
    )


def decode_goodbye(target: str, data: bytes) -> registry.Goodbye:
    """Decode a goodbye of ``target``; an empty body is valid.

    :raises DecodingError: if the body is not empty and invalid
    """
    body = decoding.read_object(data) if data.strip() else {}
    incarnation = decoding.integer(body, "born") if "born" in body else None
    return registry.Goodbye(target=target, incarnation=incarnation)


def encode_answer(answer: registry.HeartbeatAnswer) -> dict[str, ty.Any]:
    """Return the JSON body of the answer to a heartbeat."""
    if answer.ranges is None:
        return {}
    return {
        "held": [
            [
                granted.first_key,
                granted.last_key,
                granted.token,
                granted.handover,
            ]
            for granted in answer.ranges
        ],
        "hold_ms": answer.hold_ms,
    }


def _decode_address(body: decoding.Body) -> str:
    address = decoding.string(body, "address")
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise decoding.DecodingError(
            f"address is {address!r}; ADDRESS:PORT is expected"
        )
    return address


def _range_rows(body: decoding.Body, name: str) -> list[list[ty.Any]]:
    rows = decoding.as_list(body.get(name, []), name)
    for row in rows:
        if not isinstance(row, list) or len(row) != _RANGE_FIELDS:
            raise decoding.DecodingError(
                f"{name} has {row!r}; [from, to, value] is expected"
            )
        for key in row[:2]:
            if type(key) is not int or not 0 <= key < registry.KEY_COUNT:
                raise decoding.DecodingError(
                    f"{name} has key {key!r}; "
                    f"0 to {registry.KEY_COUNT - 1} is expected"
                )
    return rows


def _decode_held(row: list[ty.Any]) -> registry.HeldRange:
    if type(row[2]) is not int:
        raise decoding.DecodingError(f"held has token {row[2]!r}")
    return registry.HeldRange(first_key=row[0], last_key=row[1], token=row[2])


def _decode_released(row: list[ty.Any]) -> registry.ReleasedRange:
    if not isinstance(row[2], str):
        raise decoding.DecodingError(f"released has handover {row[2]!r}")
    return registry.ReleasedRange(
        first_key=row[0], last_key=row[1], handover=row[2]
    )

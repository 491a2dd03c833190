"""JSON format of the heartbeats and goodbyes of targets."""

from __future__ import annotations

import typing as ty

from goldcrestproxy.platform import decoding
from goldcrestproxy import registry

_STATES: ty.Final = ("ready", "draining")
_RANGE_FIELDS: ty.Final = 3
HANDOVER_CHARACTERS_MAX: ty.Final = 1_024
NAME_CHARACTERS_MAX: ty.Final = 256
COLD_MS_MAX: ty.Final = 24 * 3_600_000


def decode_heartbeat(target: str, data: bytes) -> registry.Heartbeat:
    """Decode a heartbeat of ``target``.

    :raises DecodingError: naming the first invalid field
    """
    if len(target) > NAME_CHARACTERS_MAX:
        raise decoding.DecodingError(
            f"the name has {len(target)} characters; at most "
            f"{NAME_CHARACTERS_MAX} are allowed"
        )
    body = decoding.read_object(data)
    return registry.Heartbeat(
        target=target,
        # ``born`` is the start time of the target's process, Unix time in ms.
        incarnation=decoding.integer(body, "born", 0),
        service=decoding.string(body, "service"),
        zone=decoding.string(body, "zone"),
        address=decoding.endpoint(body, "address"),
        slots=decoding.integer(
            body, "slots", minimum=1, maximum=registry.SLOTS_MAX
        ),
        leaving=decoding.choice(body, "state", _STATES) == "draining",
        cold_ms=int(
            decoding.number(body, "cold_left_ms", 0, maximum=COLD_MS_MAX)
        ),
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


def _range_rows(body: decoding.Body, name: str) -> list[list[ty.Any]]:
    rows = decoding.as_list(body.get(name, []), name)
    for row in rows:
        if not isinstance(row, list) or len(row) != _RANGE_FIELDS:
            raise decoding.DecodingError(
                f"{name} has {decoding.brief(row)}; [from, to, value] is "
                "expected"
            )
        for key in row[:2]:
            if not decoding.is_integer(key, 0, registry.KEY_COUNT - 1):
                raise decoding.DecodingError(
                    f"{name} has key {decoding.brief(key)}; "
                    f"0 to {registry.KEY_COUNT - 1} is expected"
                )
    return rows


def _decode_held(row: list[ty.Any]) -> registry.HeldRange:
    if not decoding.is_integer(row[2], 0, registry.INTEGER_MAX):
        raise decoding.DecodingError(
            f"held has token {decoding.brief(row[2])}"
        )
    return registry.HeldRange(first_key=row[0], last_key=row[1], token=row[2])


def _decode_released(row: list[ty.Any]) -> registry.ReleasedRange:
    if not isinstance(row[2], str) or len(row[2]) > HANDOVER_CHARACTERS_MAX:
        raise decoding.DecodingError(
            f"released has handover {decoding.brief(row[2])}"
        )
    return registry.ReleasedRange(
        first_key=row[0], last_key=row[1], handover=row[2]
    )

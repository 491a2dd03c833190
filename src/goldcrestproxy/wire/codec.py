"""Serialization of thrift structs in the compact protocol."""

from __future__ import annotations

import typing as ty

from thrift.protocol import TCompactProtocol
from thrift import Thrift
from thrift import TSerialization

from goldcrestproxy import errors

_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory()

T = ty.TypeVar("T")


def encode(message: ty.Any) -> bytes:
    """Serialize a generated thrift struct."""
    return TSerialization.serialize(message, _FACTORY)


def decode(kind: type[T], data: bytes) -> T:
    """Deserialize a generated thrift struct.

    :raises MalformedFrameError: when the bytes are not a ``kind`` struct
    """
    try:
        return TSerialization.deserialize(kind(), data, _FACTORY)
    except (
        EOFError,
        MemoryError,
        OverflowError,
        Thrift.TException,
        TypeError,
        UnicodeDecodeError,
        ValueError,
    ) as error:
        raise errors.MalformedFrameError(
            f"{kind.__name__} of {len(data)} bytes cannot be read: {error}"
        ) from error

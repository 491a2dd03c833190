"""Frames: reading from chunks of any size, and malformed bytes."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
import pytest

from goldcrestproxy import errors
from goldcrestproxy import wire

frames = st.lists(
    st.tuples(
        st.sampled_from(list(wire.FrameKind)),
        st.integers(0, 2**32 - 1),
        st.binary(max_size=200),
    ),
    max_size=10,
)


@given(frames, st.lists(st.integers(1, 50), min_size=1, max_size=30))
def test_frames_are_read_from_chunks_of_any_size(sent, chunk_sizes):
    data = b"".join(wire.pack(*frame) for frame in sent)
    reader = wire.FrameReader()
    received = []
    offset = 0
    chunk_number = 0
    while offset < len(data):
        size = chunk_sizes[chunk_number % len(chunk_sizes)]
        received.extend(reader.feed(data[offset : offset + size]))
        offset += size
        chunk_number += 1
    assert [(f.kind, f.stream, f.payload) for f in received] == sent


@given(st.binary(min_size=9, max_size=300))
def test_malformed_bytes_are_refused_or_buffered(data):
    reader = wire.FrameReader()
    try:
        reader.feed(data)
    except errors.MalformedFrameError:
        pass


def test_too_long_frame_is_refused_before_it_is_read():
    with pytest.raises(errors.MalformedFrameError, match="at most"):
        wire.FrameReader().feed(b"\xff\xff\xff\xff\x03\0\0\0\0")


@given(st.binary(max_size=200))
def test_any_bytes_decode_or_are_refused(data):
    try:
        wire.decode(wire.ttypes.RelayRequest, data)
    except errors.MalformedFrameError:
        pass

"""Chunked bodies in pieces of any size, and what is no such body."""

from __future__ import annotations

import itertools

import hypothesis
from hypothesis import strategies as st
import pytest
from tornado import httputil

from goldcrestproxy import chunk_decoder


def encode(chunks):
    return b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks if c)


def decode(pieces, chunks_max=chunk_decoder.CHUNKS_PER_TURN):
    decoder = chunk_decoder.ChunkDecoder()
    body = b""
    for piece in pieces:
        body += decoder.feed(piece, chunks_max)
        while decoder.undecoded:
            body += decoder.feed(b"", chunks_max)
    return decoder, body


@hypothesis.given(
    chunks=st.lists(st.binary(max_size=40), max_size=30),
    cuts=st.lists(st.integers(0, 2000), max_size=20),
    chunks_max=st.integers(1, 5),
    after=st.binary(max_size=10),
)
def test_a_body_is_the_same_however_it_arrives(
    chunks, cuts, chunks_max, after
):
    sent = encode(chunks) + b"0\r\n\r\n"
    cuts = [0, *sorted(c for c in cuts if c < len(sent)), len(sent)]
    pieces = [sent[a:b] for a, b in itertools.pairwise(cuts)]
    pieces[-1] += after
    decoder, body = decode(pieces, chunks_max)
    assert decoder.ended
    assert body == b"".join(chunks)
    assert decoder.rest == after
    assert decoder.body_bytes == len(body)


@pytest.mark.parametrize(
    "sent",
    [
        b"x\r\n",
        b"\r\n",
        b"-1\r\n",
        b"+1\r\n",
        b" 1\r\n",
        b"1 \r\n",
        b"0x1\r\n",
        b"1_0\r\n",
        b"1;a=b\r\n",
        b"1\nx\r\n",
        b"1\r\nxy\r\n",
        b"1\r\nx\n",
        b"0\r\nX-More: y\r\n",
        b"1" * 64,
    ],
)
def test_what_is_no_chunk_is_refused(sent):
    with pytest.raises(httputil.HTTPInputError):
        decode([sent])
    with pytest.raises(httputil.HTTPInputError):
        decode([sent[n : n + 1] for n in range(len(sent))])


def test_a_turn_decodes_a_bounded_number_of_chunks():
    decoder = chunk_decoder.ChunkDecoder()
    sent = encode([b"x"] * 1000)
    assert len(decoder.feed(sent)) == chunk_decoder.CHUNKS_PER_TURN
    assert decoder.undecoded
    assert len(decoder.feed(b"")) == 1000 - chunk_decoder.CHUNKS_PER_TURN
    assert not decoder.undecoded

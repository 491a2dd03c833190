"""Bodies are told apart by their bytes, not by how these arrive."""

from __future__ import annotations

import random

import pytest

from goldcrestproxy.entries import body_identity

SHORT_BYTES = body_identity.SHORT_BODY_BYTES_MAX
LONG_BYTES = body_identity.IDENTIFYING_BYTES_MAX


def identity_of(chunks, *, ended=True):
    body_hash = body_identity.BodyHash()
    for chunk in chunks:
        body_hash.update(chunk)
    return body_hash.identity(ended=ended)


def split(body, rng):
    """Return the chunks of a body, cut at random places."""
    cuts = sorted(rng.randrange(len(body)) for _ in range(20))
    return [
        body[start:end]
        for start, end in zip([0, *cuts], [*cuts, len(body)], strict=True)
    ]


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize(
    "size_bytes",
    [1, SHORT_BYTES, SHORT_BYTES + 1, 100_000, LONG_BYTES, LONG_BYTES + 9],
)
def test_a_body_has_one_identity_however_it_is_framed(size_bytes, seed):
    rng = random.Random(seed)
    body = rng.randbytes(size_bytes)
    assert identity_of(split(body, rng)) == identity_of([body])


@pytest.mark.parametrize("size_bytes", [1, 100_000, LONG_BYTES])
def test_bodies_that_differ_in_one_byte_have_different_identities(size_bytes):
    """Guards against long uploads to one path that all count as one."""
    body = bytearray(random.Random(1).randbytes(size_bytes))
    before = identity_of([bytes(body)])
    body[-1] ^= 1
    assert identity_of([bytes(body)]) != before


def test_a_body_is_not_identified_before_its_end_unless_it_is_very_long():
    unread = body_identity.Unread(is_long=False)
    assert identity_of([], ended=False) == unread
    assert identity_of([bytes(SHORT_BYTES)], ended=False) == unread
    begun = [bytes(LONG_BYTES - 1)]
    assert identity_of(begun, ended=False) == body_identity.Unread(True)
    whole = identity_of([*begun, b"\0"])
    assert identity_of([*begun, b"\0"], ended=False) == whole
    # What follows is not compared.
    assert identity_of([*begun, b"\0", b"more"]) == whole


@pytest.mark.parametrize("chunks", [[], [b""], [b"", b""]])
def test_an_empty_body_counts_as_none(chunks):
    assert identity_of(chunks) == body_identity.NoBody()

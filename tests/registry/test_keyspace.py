"""Blocks of keys: every key always belongs to exactly one block."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from goldcrestproxy import registry

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("split"), st.integers(0, 65535), st.integers(2, 16)),
        st.tuples(st.just("free"), st.integers(0, 65535), st.just(0)),
        st.tuples(st.just("assign"), st.integers(0, 65535), st.just(0)),
    ),
    max_size=40,
)


def keyspace(blocks=16):
    size = registry.KEY_COUNT // blocks
    return registry.Keyspace(
        firsts=[number * size for number in range(blocks)],
        owners=["a", "b"] * (blocks // 2),
        tokens=[1] * blocks,
    )


@given(STEPS)
def test_blocks_cover_each_key_once(steps):
    space = keyspace()
    for kind, key, pieces in steps:
        first = space.firsts[space.position_of(key)]
        match kind:
            case "split":
                space.split(first, pieces)
            case "free":
                space.free(first, space.owner_of(key), "value")
            case "assign":
                space.assign(first, "c", 9)
    assert space.firsts[0] == 0
    assert space.firsts == sorted(set(space.firsts))
    assert len(space.firsts) == len(space.owners) == len(space.tokens)
    ends = [space.last_key(at) for at in range(len(space.firsts))]
    assert ends[-1] == registry.KEY_COUNT - 1
    assert [end + 1 for end in ends[:-1]] == space.firsts[1:]
    assert set(space.handovers) <= set(space.firsts)


def test_pieces_keep_owner_and_token():
    space = keyspace()
    owner, token = space.owner_of(0), space.tokens[0]
    space.split(0, 4)
    pieces = space.blocks_within(0, 4095)
    assert len(pieces) == 4
    assert {space.owner_of(first) for first in pieces} == {owner}
    assert {space.tokens[space.position_of(first)] for first in pieces} == {
        token
    }


def test_a_free_block_is_not_split():
    space = keyspace()
    space.free(0, "a")
    space.split(0, 4)
    assert len(space.firsts) == 16


def test_only_the_owner_frees_a_block():
    space = keyspace()
    space.free(0, "b")
    assert space.owner_of(0) == "a"


def test_ranges_contain_and_overlap_blocks():
    space = keyspace()
    assert space.blocks_within(1, 8191) == [4096]
    assert space.blocks_overlapping(1, 8191) == [0, 4096]

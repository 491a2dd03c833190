"""Heartbeats of other writers are refused in few words."""

from __future__ import annotations

import json

import odd_entries
import pytest

from goldcrestproxy.platform import decoding
from goldcrestproxy.platform import heartbeats


def test_a_heartbeat_of_a_target_is_decoded():
    decoded = heartbeats.decode_heartbeat(
        "i-1", json.dumps(odd_entries.VALID).encode()
    )
    assert decoded.address == odd_entries.VALID["address"]


@pytest.mark.parametrize(("name", "value"), odd_entries.ODD_FIELDS)
def test_an_odd_heartbeat_is_refused_in_few_words(name, value):
    body = json.dumps({**odd_entries.VALID, name: value}).encode()
    with pytest.raises(decoding.DecodingError) as refused:
        heartbeats.decode_heartbeat("i-1", body)
    assert len(str(refused.value)) < 200


@pytest.mark.parametrize("body", odd_entries.ODD_BODIES)
def test_an_unreadable_heartbeat_is_refused_in_few_words(body):
    with pytest.raises(decoding.DecodingError) as refused:
        heartbeats.decode_heartbeat("i-1", body)
    assert len(str(refused.value)) < 200

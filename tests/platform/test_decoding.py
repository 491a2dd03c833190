"""Decoding of the platform's JSON bodies and headers."""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from goldcrestproxy.platform import configuration
from goldcrestproxy.platform import conventions
from goldcrestproxy.platform import decoding
from goldcrestproxy.platform import heartbeats
from goldcrestproxy import registry
from tornado import httputil

HEARTBEAT = {
    "service": "desk",
    "address": "10.0.0.9:8080",
    "zone": "zone-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 4,
    "born": 1767645424111,
    "held": [[0, 4095, 7]],
    "released": [[4096, 8191, "5c0e"]],
}
CHANGES = {
    "upsert": {
        "routes": [
            {
                "name": "r-1",
                "version": 9,
                "host": "a.example",
                "path_prefix": "/x/",
                "route_kind": "safe",
                "timeout_ms": 800,
                "target_latency_ms": 200,
                "rank": 2,
                "shares": [
                    {"service": "desk", "weight": 90},
                    {"service": "vault", "weight": 10},
                ],
                "attempts_max": 2,
            }
        ],
        "services": [
            {
                "name": "desk",
                "version": 9,
                "health_path": "/healthz",
                "connections_max": 110,
                "protocol": "h1",
                "tls": False,
                "cold_s": 3.0,
                "cold_requests_per_s": 18.0,
                "keyed": True,
                "key_warm_up_s": 2.0,
            }
        ],
        "limits": {
            "header_bytes_max": 16384,
            "body_bytes_max": 67108864,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "version": 9,
        },
    },
    "remove": {"routes": [{"name": "r-old", "version": 9}]},
}
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def encode_json(value):
    return json.dumps(value).encode()


def test_heartbeat_is_decoded_completely():
    decoded = heartbeats.decode_heartbeat("i-1", encode_json(HEARTBEAT))
    assert decoded == registry.Heartbeat(
        target="i-1",
        incarnation=1767645424111,
        service="desk",
        zone="zone-a",
        address="10.0.0.9:8080",
        slots=4,
        leaving=False,
        cold_ms=0,
        sequence=4,
        held=(registry.HeldRange(first_key=0, last_key=4095, token=7),),
        released=(
            registry.ReleasedRange(
                first_key=4096, last_key=8191, handover="5c0e"
            ),
        ),
    )


@given(st.sampled_from(sorted(HEARTBEAT)), JSON_VALUES)
def test_heartbeat_with_arbitrary_field_is_rejected_or_decoded(field, value):
    try:
        decoded = heartbeats.decode_heartbeat(
            "i-1", encode_json({**HEARTBEAT, field: value})
        )
    except decoding.DecodingError:
        return
    assert isinstance(decoded, registry.Heartbeat)


@given(st.binary(max_size=40))
def test_arbitrary_bytes_are_rejected_as_heartbeat(data):
    with pytest.raises(decoding.DecodingError):
        heartbeats.decode_heartbeat("i-1", data)


@pytest.mark.parametrize(
    "change",
    [
        {"state": "asleep"},
        {"service": 5},
        {"slots": True},
        {"address": "10.0.0.9"},
        {"held": [[0, 70000, 1]]},
        {"released": [[0, 1, 5]]},
        {"sequence": -1},
    ],
)
def test_heartbeat_with_invalid_field_is_rejected(change):
    with pytest.raises(decoding.DecodingError):
        heartbeats.decode_heartbeat(
            "i-1", encode_json({**HEARTBEAT, **change})
        )


def test_heartbeat_answer_lists_all_granted_ranges():
    answer = registry.HeartbeatAnswer(
        ranges=(
            registry.GrantedRange(
                first_key=0, last_key=9, token=3, handover="h"
            ),
        ),
        hold_ms=3500,
    )
    assert heartbeats.encode_answer(answer) == {
        "held": [[0, 9, 3, "h"]],
        "hold_ms": 3500,
    }
    assert heartbeats.encode_answer(registry.HeartbeatAnswer()) == {}


def test_items_are_read_back_as_they_were_sent():
    call = configuration.decode_changes(encode_json(CHANGES))
    state = registry.RegistryState()
    vault = registry.Item(
        key=registry.ItemKey(kind=registry.ItemKind.SERVICE, name="vault"),
        version=1,
        value=registry.Service(
            health_path="/",
            connections_max=1,
            cold_ms=0,
            cold_requests_per_s=0,
        ),
        source='{"name":"vault"}',
    )
    state.apply(1, registry.ChangeItems(changed=(vault,)))
    assert state.apply(2, registry.ChangeItems(changed=call.changed)) == ""
    encoded = configuration.encode_items(state.current_items)
    assert encoded["routes"] == CHANGES["upsert"]["routes"]
    assert encoded["services"][1:] == CHANGES["upsert"]["services"]
    assert encoded["limits"] == CHANGES["upsert"]["limits"]


@pytest.mark.parametrize(
    "change",
    [
        {"shares": [{"service": "desk", "weight": -1}]},
        {"timeout_ms": 0},
        {"timeout_ms": None},
        {"route_kind": "odd"},
        {"path_prefix": "/x"},
        {"shares": []},
        {"name": ""},
        {"version": "9"},
    ],
)
def test_call_with_invalid_route_is_rejected(change):
    route = {**CHANGES["upsert"]["routes"][0], **change}
    with pytest.raises(decoding.DecodingError):
        configuration.decode_changes(
            encode_json({"upsert": {"routes": [route]}})
        )


def test_truncated_body_is_rejected():
    with pytest.raises(decoding.DecodingError):
        configuration.decode_changes(encode_json(CHANGES)[:-9])


@given(JSON_VALUES)
def test_arbitrary_change_raises_only_decoding_errors(value):
    try:
        configuration.decode_changes(
            encode_json({"upsert": value, "remove": value})
        )
    except decoding.DecodingError:
        pass


def test_requests_carry_target_and_time_left():
    marks = conventions.PlatformHeaders()
    headers = marks.request_headers(
        [("Attempt-Id", "9c"), ("Deadline-Ms", "800"), ("X", "1"), ("X", "2")],
        target="i-1",
        left_ms=512,
    )
    assert headers["Deadline-Ms"] == "512"
    assert headers["Target-Instance"] == "i-1"
    assert headers["X"] == "1,2"


def test_hop_by_hop_headers_are_not_forwarded():
    given_headers = httputil.HTTPHeaders(
        {"Connection": "close, X-Hop", "X-Hop": "1", "Attempt-Id": "9c"}
    )
    assert conventions.end_to_end_headers(given_headers) == (
        ("Attempt-Id", "9c"),
    )


@pytest.mark.parametrize(
    ("status", "headers", "not_run", "misdirected"),
    [
        (200, {}, False, False),
        (500, {}, False, False),
        (503, {"Not-Executed": "1"}, True, False),
        (503, {}, False, False),
        (421, {"Not-Executed": "1"}, True, True),
    ],
)
def test_only_a_promise_counts_as_not_run(
    status, headers, not_run, misdirected
):
    marks = conventions.PlatformHeaders().read_metadata(
        status, httputil.HTTPHeaders(headers)
    )
    assert (marks.not_run, marks.misdirected) == (not_run, misdirected)


@given(st.text(max_size=12))
def test_malformed_load_report_is_ignored(text):
    load = conventions.read_load(text)
    assert load is None or load.slots >= 1
    assert conventions.read_load("3,0,8,150").slowdown == 1.5


@pytest.mark.parametrize(
    ("value", "limit_per_s"),
    [
        ("23.4", 23.4),
        (" 2 ", 2.0),
        ("0", 0.0),
        ("", None),
        ("-1", None),
        ("1e9", None),
        ("nan", None),
        ("many", None),
    ],
)
def test_limits_of_targets_are_decimal_numbers(value, limit_per_s):
    assert conventions.read_number(value) == limit_per_s


@pytest.mark.parametrize(
    "customer, sent, received",
    [
        (None, [("Credential", "k"), ("Tenant", "t")], None),
        ("", [("credential", "k"), ("TENANT", "t"), ("X", "y")], [("X", "y")]),
        (
            "town",
            [("Tenant", "firm"), ("X", "y")],
            [("X", "y"), ("Tenant", "town")],
        ),
    ],
)
def test_the_customer_is_named_whatever_the_caller_sent(
    customer, sent, received
):
    headers = conventions.identified_headers(sent, customer)
    assert list(headers) == (sent if received is None else received)


def test_a_customer_is_decoded_and_read_back_with_its_keys():
    sent = {
        "name": "town",
        "version": 3,
        "api_keys": ["key-1", "key-2"],
        "rank": 1,
        "requests_per_s": 2.5,
        "burst_requests": 9,
    }
    call = configuration.decode_changes(
        json.dumps({"upsert": {"customers": [sent]}}).encode()
    )
    (item,) = call.changed
    assert item.value == registry.Customer(
        key_digests=tuple(map(registry.key_digest, sent["api_keys"])),
        rank=1,
        requests_per_s=2.5,
        burst_requests=9.0,
    )
    assert configuration.encode_items(call.changed)["customers"] == [sent]
    assert "key-1" not in repr(call)


def test_a_configuration_without_customers_reads_back_without_them():
    call = configuration.decode_changes(encode_json(CHANGES))
    in_force = [item for item in call.changed if not item.removed]
    assert "customers" not in configuration.encode_items(in_force)

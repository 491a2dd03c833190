"""Settings and configuration files: validation and error messages."""

from __future__ import annotations

import copy
import pathlib

import deployments
from hypothesis import given
from hypothesis import strategies as st
import pytest

from goldcrestproxy import errors
from goldcrestproxy import settings

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
HOST = {
    "host": "entry-a",
    "address": "127.0.0.1",
    "zone": "zone-a",
    "roles": ["entry"],
    "service_port": 7200,
    "peer_port": 7100,
    "control_hosts": [
        {"host": "entry-a", "address": "127.0.0.1", "peer_port": 7100}
    ],
}


def refusal_text(kind, value):
    with pytest.raises(errors.SettingsError) as refusal:
        settings.structure(kind, value, "file.json")
    return str(refusal.value)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"host": 3}, "host: is 3; a text in quotes is expected"),
        ({"hots": "x"}, "hots: is not a known field; known are: address,"),
        ({"roles": ["boss"]}, "roles[0]: is 'boss'; one of 'entry', "),
        ({"peer_port": 70000}, "peer_port: is 70000; 0 to 65535 is allowed"),
        ({"peer_port": "7100"}, "peer_port: is '7100'; a whole number"),
        ({"address": "entry-a"}, "address: is 'entry-a'; an IP address"),
        ({"timeouts": {"lease_ms": "5s"}}, "timeouts.lease_ms: is '5s'"),
        ({"timeouts": {"lease_s": 5}}, "timeouts.lease_s: is not a known"),
        ({"timeouts": {"grant_ms": 560}}, "timeouts.grant_ms: is 560; at m"),
        ({"timeouts": {"election_max_ms": 100}}, "timeouts.election_max_ms"),
        ({"roles": ["control"]}, "data_folder: is missing; the role"),
        ({"control_hosts": []}, "control_hosts: must not be empty"),
        ({"telemetry": 3}, "telemetry: is 3; an object in braces"),
    ],
)
def test_wrong_field_is_refused_with_its_path(change, expected):
    text = refusal_text(settings.HostSettings, {**HOST, **change})
    assert text.startswith("file.json: " + expected), text


def test_missing_field_is_named():
    value = {k: v for k, v in HOST.items() if k != "zone"}
    text = refusal_text(settings.HostSettings, value)
    assert text == "file.json: zone: is missing"


def test_comments_are_allowed_and_syntax_errors_are_located(tmp_path):
    good = tmp_path / "good.json"
    good.write_text("// a comment\n{a: 1, /* more */ b: [2,],}")
    text = settings.read_text(good)
    assert settings.parse(text, "good.json") == {"a": 1, "b": [2]}
    with pytest.raises(errors.SettingsError, match=r"bad\.json: is not JSON"):
        settings.parse("{a: }", "bad.json")


def test_file_that_cannot_be_read_is_named(tmp_path):
    with pytest.raises(errors.SettingsError, match="cannot be read"):
        settings.load_host_settings(tmp_path / "none.json")


@pytest.mark.parametrize("file", sorted(EXAMPLES.glob("*/host-*.json")))
def test_host_examples_are_valid(file):
    settings.load_host_settings(file)


@pytest.mark.parametrize(
    "file",
    [EXAMPLES / "demo.json", *sorted(EXAMPLES.glob("*/deployment.json"))],
)
def test_deployment_examples_are_valid(file):
    assert settings.load_deployment(file).customers


def check(document):
    return settings.check_deployment(document, "file.json")


def test_parameters_are_filled_in_for_each_customer():
    document = deployments.document()
    document["customers"]["kisvaros"] = {"queue": 7}
    customers = check(document).customers
    assert customers["kisvaros"].desks["pitches"].queue_requests_max == 7
    assert customers["bangkok-books"].desks["pitches"].queue_requests_max == 64


@pytest.mark.parametrize(
    ("parameters", "expected"),
    [
        ({"queue": "many"}, "customers.kisvaros.queue: is 'many'; a value"),
        ({"queue": -1}, "customers.kisvaros.queue: is -1; at least 0"),
        ({"size": 1}, "customers.kisvaros.size: is not a parameter; known"),
    ],
)
def test_wrong_parameter_is_refused(parameters, expected):
    document = deployments.document()
    document["customers"]["kisvaros"] = parameters
    with pytest.raises(errors.SettingsError) as refusal:
        check(document)
    assert str(refusal.value).startswith("file.json: " + expected)


def test_unknown_placeholder_and_keyless_route_are_refused():
    document = deployments.document()
    document["template"]["desks"]["pitches"]["partitions"] = "${what}"
    with pytest.raises(errors.SettingsError, match="is not a parameter"):
        check(document)
    document = deployments.document()
    document["template"]["desks"]["pitches"]["routes"][0]["path"] = "/x"
    with pytest.raises(errors.SettingsError, match="needs one"):
        check(document)


def test_customers_must_agree_on_shared_fields():
    document = deployments.document()
    document["parameters"]["parts"] = {"type": "integer", "default": 8}
    document["template"]["desks"]["pitches"]["partitions"] = "${parts}"
    document["customers"]["kisvaros"] = {"parts": 16}
    with pytest.raises(errors.SettingsError, match="the same for every"):
        check(document)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(
    st.sampled_from(
        ["parameters", "template", "customers", "template.desks", "new"]
    ),
    json_values,
)
def test_any_document_is_valid_or_refused_with_a_path(path, value):
    document = copy.deepcopy(deployments.document())
    parent = document
    *parents, last = path.split(".")
    for name in parents:
        parent = parent[name]
    parent[last] = value
    try:
        check(document)
    except errors.SettingsError as error:
        assert str(error).startswith("file.json")


def test_fleet_limits_accept_fractions():
    """Limits scale with the size of a fleet and need not be integers."""
    fleet_settings = settings.structure(
        settings.FleetSettings,
        {
            "seeds": ["127.0.0.1:7000"],
            "heartbeat_ms": 870.5,
            "hold_ms_max": 2999.5,
            "resend_slack": 32.88135593220339,
        },
        "file.json",
    )
    assert fleet_settings.resend_slack == pytest.approx(32.88, abs=0.01)
    assert fleet_settings.effective_hold_ms == 2999

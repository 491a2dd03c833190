"""Output and exit code of each command."""

from __future__ import annotations

import json

import deployments
import pytest

from goldcrestproxy import cli
from goldcrestproxy.cli import application
from goldcrestproxy.cli import client as clients
from goldcrestproxy import results

DAEMONS = [
    {"host": "entry-a", "zone": "zone-a", "revision": 3, "stopping": False},
    {"host": "entry-b", "zone": "zone-b", "revision": 2, "stopping": True},
]
MEMBERS = [
    {"host": "entry-a", "replica": "0123456789abcdef", "voter": True},
    {"host": "entry-b", "replica": "fedcba9876543210", "voter": False},
]
ANSWERS = {
    "/v1/configuration": {
        "revision": 3,
        "document": '{"customers":{}}',
        "zones_out": ["zone-b"],
        "current": True,
    },
    "/v1/plan": {"revision": 3, "diff": ["--- in force", "+++ proposed"]},
    "/v1/history": {
        "changes": [
            {
                "revision": 1,
                "time_s": 1_700_000_000.0,
                "operator": "ilona",
                "summary": "configuration applied",
                "change_id": "first",
            }
        ]
    },
    "/v1/targets": {
        "targets": [
            {
                "target": "pitch-0",
                "desk": "pitches",
                "zone": "zone-a",
                "slots": 4,
                "condition": "in-service",
                "coordinator": "entry-a",
                "owned": 51,
            }
        ]
    },
    "/v1/owners": {
        "owner": "pitch-0",
        "moving": False,
        "hot": False,
        "partition": 17,
        "zone": "zone-a",
        "fencing_token": 99,
        "coordinator": "entry-a",
    },
    "/v1/status": {
        "host": "entry-a",
        "zone": "zone-a",
        "control_role": "leader",
        "ready": True,
        "requests_in_flight": 2,
        "revision": 3,
        "daemons": DAEMONS,
        "members": MEMBERS,
    },
    "/v1/zones/zone-b": {"revision": 4},
    "/v1/targets/pitch-0/drain": {"revision": 4},
    "/v1/members/add": {"members": MEMBERS},
    "/v1/quarantine": {
        "suspects": [
            {"fingerprint": "f00d", "crashes": ["a/1"], "quarantined": False}
        ]
    },
}


class FakeClient:
    """Returns fixed answers of a daemon that has revision 3 in force."""

    def __init__(self, server):
        self.server = server

    def get(self, path):
        return ANSWERS[path.partition("?")[0]]

    def post(self, path, value):
        if path == "/v1/configuration":
            if value["expected_revision"] == 1:
                raise clients.RefusalError(
                    {
                        "code": results.REVISION_CONFLICT,
                        "text": "revision 1 was expected, 3 is in force",
                        "document": json.dumps({"customers": {}}),
                    }
                )
            return {"revision": 4}
        return ANSWERS[path]

    def close(self):
        pass


@pytest.fixture
def run(monkeypatch, capsys, tmp_path):
    monkeypatch.setattr(application.clients, "Client", FakeClient)
    monkeypatch.chdir(tmp_path)
    document = deployments.document()
    document["template"]["desks"].pop("photos")
    (tmp_path / "new.json").write_text(json.dumps(document))
    (tmp_path / "bad.json").write_text('{"template": 3}')

    def run(*arguments):
        exit_code = cli.main(arguments)
        captured = capsys.readouterr()
        return exit_code, captured.out, captured.err

    return run


@pytest.mark.parametrize(
    "arguments",
    [
        "check new.json",
        "check bad.json",
        "check none.json",
        "plan new.json",
        "apply new.json",
        "apply new.json --expect 1",
        "get",
        "history",
        "zone out zone-b",
        "target drain pitch-0",
        "targets",
        "owners kisvaros pitches p1",
        "status",
        "members add entry-b",
        "quarantine",
        "quarantine --release f00d",
        "result 3001",
        "result 9",
    ],
)
def test_text_for_people(run, snapshot, arguments):
    exit_code, out, err = run(*arguments.split())
    assert f"exit code {exit_code}\n{out}{err}" == snapshot


def test_json_for_programs(run):
    exit_code, out, _ = run("--output", "json", "status")
    assert exit_code == 0
    assert json.loads(out)["daemons"] == DAEMONS


def test_help_names_every_command(snapshot, monkeypatch):
    monkeypatch.setenv("COLUMNS", "80")
    assert application.make_parser().format_help() == snapshot


def test_daemon_that_does_not_answer(capsys):
    exit_code = cli.main(["--server", "127.0.0.1:1", "status"])
    assert exit_code == application.EXIT_UNREACHABLE
    assert "does not answer" in capsys.readouterr().err

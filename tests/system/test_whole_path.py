"""Requests through separate processes, end to end."""

from __future__ import annotations

import cluster as clusters


def test_every_entry_host_reaches_the_same_owner(keyed):
    owners = set()
    for host in keyed.entry_hosts:
        answer = clusters.fetch(
            f"{host.caller_url}/kisvaros/pitches/pitches/p7"
        )
        assert (answer.status, answer.code) == (200, 0)
        assert answer.outcome == "ran"
        owners.add(answer.json["target"])
    assert owners == {keyed.owner("kisvaros", "pitches", "p7")["owner"]}


def test_upload_and_large_answer_pass_whole(pool):
    host = pool.entry_hosts[0]
    body = b"receipt" * 500_000
    answer = clusters.fetch(
        f"{host.caller_url}/bangkok-books/photos/photos/box-1", "PUT", body
    )
    assert answer.status == 200
    assert answer.json["bytes"] == len(body)
    answer = clusters.fetch(
        f"{host.caller_url}/bangkok-books/photos/photos/large"
    )
    assert len(answer.body) == 3_000_000

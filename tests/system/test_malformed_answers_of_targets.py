"""Malformed answers of targets, as callers of an entry host see them."""

from __future__ import annotations

import json
import os
import socket
import time

import fleet as fleets
import malformed_answers as malformed
import pytest

ANSWERS = [
    malformed.with_length(b"-2", b"ok"),
    malformed.with_length(b"9" * 25, malformed.BODY[:9]),
    malformed.with_length(b"9223372036854775808", malformed.BODY[:9]),
    malformed.with_line(b"no colon here"),
    malformed.with_line(b"Transfer-Encoding: gzip"),
    malformed.with_coding(b""),
    malformed.START + b"Keep-Alive: timeout=10\r\n\r\n" + malformed.BODY[:9],
    malformed.with_chunks(b"9zz\r\nthe whole\r\n0\r\n\r\n"),
    malformed.with_length(malformed.LENGTH).replace(b"HTTP/1.1", b"HTTP/2.0"),
]


@pytest.fixture
def fleet(tmp_path):
    """Fleet with one target, whose answers the requests tell."""
    new_fleet = fleets.Fleet(tmp_path)
    try:
        new_fleet.start()
        status, _ = new_fleet.send_operator_request(
            "PATCH", "/goldcrestproxy/config", fleets.items()
        )
        assert status == 200
        new_fleet.add_target("vault-0", "vault")
        new_fleet.wait_until(
            lambda: new_fleet.is_ready(0) and serves(new_fleet)
        )
        yield new_fleet
    finally:
        new_fleet.close()


def serves(fleet):
    return fleet.request(0, "POST", "/photo/1", body=b"x")[0] == 200


def exchange(fleet, request_id, raw_answer):
    """Return the bytes that a caller gets."""
    address = ("127.0.0.11", fleet.ports["callers"])
    with socket.create_connection(address, timeout=10) as connection:
        connection.sendall(
            b"POST /photo/1 HTTP/1.1\r\nHost: desk.example\r\n"
            b"Deadline-Ms: 2000\r\nConnection: close\r\nContent-Length: 1\r\n"
            b"Attempt-Id: %b\r\nRaw-Answer: %b\r\n\r\nx"
            % (request_id.encode(), raw_answer.hex().encode())
        )
        received = b""
        while part := connection.recv(65536):
            received += part
    return received


def exchange_until_run(fleet, raw_answer):
    """Return what a caller gets once its request has run.

    A target with malformed answers is left alone for a while.
    """
    end_s = time.monotonic() + fleets.TIMEOUT_S
    while time.monotonic() < end_s:
        request_id = os.urandom(8).hex()
        received = exchange(fleet, request_id, raw_answer)
        if fleet.runs(request_id):
            return received
        assert received.startswith(b"HTTP/1.1 503 ")
        time.sleep(0.1)
    raise AssertionError(f"never sent; {fleet.log_tails()}")


def test_callers_get_no_malformed_answer_as_a_whole_one(fleet):
    sound = malformed.with_length(malformed.LENGTH)
    for raw_answer in ANSWERS:
        received = exchange_until_run(fleet, raw_answer)
        assert received.startswith(b"HTTP/1.1 502 "), (raw_answer, received)
        # The target's other requests are served again.
        received = exchange_until_run(fleet, sound)
        assert received.startswith(b"HTTP/1.1 200 ")
        assert malformed.read_strictly(received) == malformed.BODY


def test_a_malformed_answer_leaves_a_log_line_with_its_request(fleet):
    request_id = os.urandom(8).hex()
    exchange(fleet, request_id, ANSWERS[1])
    fleet.wait_until(lambda: done_lines(fleet, request_id))
    (line,) = done_lines(fleet, request_id)
    assert "content-length: '99999" in line["failures"][0]
    assert line["sent_to"] == ["vault-0"]


def done_lines(fleet, request_id):
    """Return the lines on a request; all output has to be log lines."""
    lines = [
        json.loads(line)
        for line in fleet.logs["entry-0"].read_text().splitlines(True)
        if line.endswith("\n")
    ]
    return [
        line
        for line in lines
        if line["message"] == "request done"
        and line["request_id"] == request_id
    ]

"""Answers of daemons that the command line must not take for whole ones."""

from __future__ import annotations

import contextlib
import json
import socket
import threading

import malformed_answers as malformed
import pytest

from goldcrestproxy.cli import client as clients

ANSWER = {"revision": 3, "document": "{}"}
BODY = json.dumps(ANSWER).encode()


@contextlib.contextmanager
def answering(raw_answer):
    """Run a daemon that answers one request and closes."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def answer():
            connection, _ = listener.accept()
            with connection:
                connection.recv(65536)
                connection.sendall(raw_answer)
                connection.shutdown(socket.SHUT_WR)
                connection.recv(1)

        thread = threading.Thread(target=answer, daemon=True)
        thread.start()
        yield f"127.0.0.1:{listener.getsockname()[1]}"
        thread.join(10)


def get(raw_answer):
    with answering(raw_answer) as address:
        client = clients.Client(address)
        try:
            return client.get("/v1/configuration")
        finally:
            client.close()


@pytest.mark.parametrize("raw_answer", malformed.ANSWERS)
def test_a_malformed_answer_is_reported_as_none(raw_answer):
    answer = raw_answer.replace(malformed.BODY, BODY).replace(
        b"Length: " + malformed.LENGTH, b"Length: %d" % len(BODY)
    )
    with pytest.raises(clients.ServerUnreachableError):
        get(answer)


def test_a_sound_answer_is_read():
    assert get(malformed.with_length(b"%d" % len(BODY), BODY)) == ANSWER

"""Fields after a chunked body are no part of the head before it."""

from __future__ import annotations

import pytest
import test_sending

CHUNKED = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Signature: t1.sig\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
)


@pytest.mark.parametrize(
    "trailer",
    [
        b"Not-Executed: 1\r\n",
        b"Response-Signature: other\r\n",
        b"Server-Leaving: 1\r\n",
        b"Attempt-Id: r2\r\n",
    ],
)
def test_a_trailer_changes_no_field_of_the_head(trailer):
    async def scenario(attempts):
        answer = await attempts.send(2.0)
        assert (answer.status, answer.body) == (200, b"ok")
        assert answer.headers == (
            ("Attempt-Id", "r1"),
            ("Response-Signature", "t1.sig"),
        )
        assert attempts.target.leaving_s is None

    test_sending.run(
        test_sending.answering(CHUNKED + trailer + b"\r\n"), scenario
    )

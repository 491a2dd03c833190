"""The rules for answers, without libcurl, which has rules of its own."""

from __future__ import annotations

import re

import hypothesis
from hypothesis import strategies as st
import malformed_answers as malformed
import pytest

from goldcrestproxy.targets import answer_body
from goldcrestproxy.targets import answer_head

CUT = st.integers(1, 40)


def read(raw, method="GET", piece_bytes=1 << 20):
    """Return the body of an answer and what follows its head.

    :raises MalformedAnswerError: if the answer breaks a rule or is cut
    """
    reader = answer_head.HeadReader(method)
    while reader.head is None:
        line = re.match(rb"[^\n]*\n?", raw)[0]
        if not line:
            raise answer_head.MalformedAnswerError(
                answer_head.AnswerRule.LINE_END, "cut"
            )
        reader.feed(line)
        raw = raw[len(line) :]
    body = answer_body.BodyReader(reader.head.framing)
    match reader.head.framing:
        case answer_head.SizedBody(body_bytes=body_bytes):
            raw = raw[:body_bytes]
        case answer_head.NoBody():
            raw = b""
    parts = [
        body.feed(raw[at : at + piece_bytes])
        for at in range(0, len(raw), piece_bytes)
    ]
    body.end()
    return b"".join(parts)


@pytest.mark.parametrize("raw_answer", malformed.ANSWERS)
def test_each_malformed_answer_breaks_a_rule(raw_answer):
    with pytest.raises(answer_head.MalformedAnswerError) as caught:
        read(raw_answer)
    assert len(str(caught.value)) < 300


@pytest.mark.parametrize("raw_answer", malformed.SOUND)
def test_sound_answers_break_none(raw_answer):
    assert read(raw_answer) == malformed.BODY


@pytest.mark.parametrize("line", [b" folded", b"\tfolded", b" ", b" X: y"])
def test_a_line_that_continues_another_is_no_field(line):
    with pytest.raises(answer_head.MalformedAnswerError):
        read(malformed.with_line(line))


@pytest.mark.parametrize(
    ("method", "status", "fields"),
    [
        ("HEAD", 200, b"Content-Length: 28"),
        ("HEAD", 200, b"Transfer-Encoding: chunked"),
        ("HEAD", 200, b"Keep-Alive: timeout=10"),
        ("GET", 204, b"Content-Length: 0"),
        ("GET", 304, b"Content-Length: 28"),
        ("GET", 304, b"Keep-Alive: timeout=10"),
    ],
)
def test_answers_without_a_body_end_with_their_head(method, status, fields):
    raw = b"HTTP/1.1 %d X\r\n%b\r\n\r\n" % (status, fields)
    assert read(raw, method) == b""


@hypothesis.settings(max_examples=500)
@hypothesis.given(
    sound=st.sampled_from(malformed.SOUND),
    at=st.integers(0, 200),
    replaced=st.integers(0, 2),
    inserted=st.one_of(
        st.binary(max_size=3), st.sampled_from([b"\r\n", b"\n", b"\r\n "])
    ),
    piece_bytes=CUT,
)
def test_a_corrupted_answer_is_read_as_the_rfc_says(
    sound, at, replaced, inserted, piece_bytes
):
    corrupted = sound[:at] + inserted + sound[at + replaced :]
    try:
        found = read(corrupted, piece_bytes=piece_bytes)
    except answer_head.MalformedAnswerError:
        return
    assert found == malformed.read_strictly(corrupted)

"""Answers that break a rule of HTTP/1.1, and what a client may make of them.

Each malformed answer is a whole one with one corrupted part. What a
lenient client makes of it is a part of the body, or bytes that are none of it.
"""

from __future__ import annotations

import re

BODY = b"the whole body of the answer"
LENGTH = b"%d" % len(BODY)
START = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Signature: t1.sig\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"9\r\nthe whole\r\n13;a=b\r\n body of the answer\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def with_length(value, body=BODY):
    return START + b"Content-Length: " + value + b"\r\n\r\n" + body


def with_line(line):
    return START + line + b"\r\nContent-Length: " + LENGTH + b"\r\n\r\n" + BODY


def with_coding(value):
    head = START + b"Transfer-Encoding: " + value + b"\r\n\r\n"
    return head + CHUNKS + LAST_CHUNK


def with_chunks(chunks):
    return START + CHUNKED + b"\r\n" + chunks


def with_version(version):
    return with_length(LENGTH).replace(b"HTTP/1.1", version)


LENGTHS = [
    *(b"-2", b"9x", b"9.5", b"1e3", b"9 9", b"9;", b"9?8", b"9\xb2", b"0x1c"),
    *(b"9" * 25, b"9223372036854775808", b"18446744073709551625"),
    *(b"", b"-28", b"+28", b'"28"', b"x28", b"?", b"28x", b"28;", b"two"),
    *(b"9,28", b"28,9", b"28,", b",28", b"9,9x", b"9\x0028", b"2\r8"),
    "\u0662\u0668".encode(),
]
LINES = [
    *(b"no colon here", b"Content-Length 9", b"?", b"\xff\xfe\xfd", b"{}"),
    *(b": 9", b"Content-Length : 9", b"Content-Length\t: 9"),
    *(b"Content Length: 9", b"Content\x00-Length: 9", b"X(y): z"),
    *(b"X: a\x00b", b"X: a\x01b", b"X: a\x7fb", b"X: a\rContent-Length: 9"),
    *(b"HTTP/1.1 200 OK", b"HTTP/1.1 503 Busy\r\nNot-Executed: 1"),
]
FRAMINGS = [
    *(b"Content-Length: 9", b"Content-Length: 29", CHUNKED.strip()),
    *(b"Transfer-Encoding: gzip", b"Transfer-Encoding: identity"),
    *(b"Transfer-Encoding: xchunked", b"Transfer-Encoding:"),
]
CODINGS = [
    *(b"xchunked", b"chunkedx", b"chunk", b"", b"chunked, gzip", b"gzip"),
    *(b"chunked, chunked", b"identity", b"chunked;q=1", b"chunked,", b"?"),
]
CHUNK_FORMS = [
    b"9zz\r\nthe whole\r\n" + LAST_CHUNK,
    b"9\r\nthe whole\r\n0zz\r\n\r\n",
    b"x\r\n" + LAST_CHUNK,
    b"-9\r\nthe whole\r\n" + LAST_CHUNK,
    b"9\r\nthe whole body\r\n" + LAST_CHUNK,
    b"9\r\nthe whole" + LAST_CHUNK,
    b"9\r\nthe whole\r\n",
    b"9\r\nthe whole\r\n0\r\n",
    b"1" + b"0" * 16 + b"9\r\nthe whole\r\n" + LAST_CHUNK,
    b"",
    CHUNKS,
    CHUNKS + b"0\r\nno field\r\n\r\n",
    CHUNKS + b"0\r\nX: a\x00b\r\n\r\n",
    CHUNKS + b"0\r\nHTTP/1.1 503 Busy\r\n\r\n",
    CHUNKS + b"0\r\nX: y\r\n",
]
INTERIM = b"HTTP/1.1 103 Hints\r\n"
HEADS = [
    *map(with_length, LENGTHS),
    *map(with_line, LINES + FRAMINGS),
    *map(with_coding, CODINGS),
    # Without a length beside the line.
    *(START + line + b"\r\n\r\n" + BODY for line in LINES),
    # In an interim answer before a sound one.
    *(
        INTERIM + line + b"\r\n\r\n" + with_length(LENGTH)
        for line in (b"no colon here", b"X: a\x00b", *FRAMINGS)
    ),
    INTERIM + b"Content-Length: 9\r\n\r\n" + START + b"\r\n" + BODY,
    with_length(LENGTH).replace(b"200 OK", b"101 Switching"),
    # An end of the head that is the rest of something else.
    START + b"Content-Length: 9\r\n\nX: y\r\n\r\n" + BODY,
    START.replace(b"/1.1", b"/1.0") + CHUNKED + b"\r\n" + CHUNKS + LAST_CHUNK,
    *map(with_version, (b"HTPT/1.1", b"HTTP/1", b"HTTP/1.10", b"HTTP/2.0")),
    *map(with_version, (b"HTTP/x.1", b"http/1.1", b"HTTP/1.1 20")),
    b"HTTP/1.1 OK 200\r\nAttempt-Id: r1\r\n\r\n",
    b"\x16\x03\x01\x00*\x02\x00\x00\r\n\r\n",
    b"no field\r\n" + with_length(LENGTH),
]
# Heads that are malformed only where a body follows them.
LOST_LENGTHS = [
    # The connection is to be kept, so there was a length.
    START + b"Keep-Alive: timeout=10\r\n\r\n" + BODY[:9],
    START + b"Connection: keep-alive\r\n\r\n" + BODY[:9],
    START + b"Keep-Alive: timeout=10\r\nContent-Lenght: 28\r\n\r\n" + BODY[:9],
]
# Fields that became the continuation of another one. Some versions of libcurl
# join such lines, others pass them on.
CONTINUATIONS = [
    START + b" Content-Length: 28\r\n\r\n" + BODY[:9],
    START + b"X: y\r\n\tTransfer-Encoding: chunked\r\n\r\n" + CHUNKS,
]
HEADS += LOST_LENGTHS + CONTINUATIONS
ANSWERS = [*HEADS, *map(with_chunks, CHUNK_FORMS)]
# Those of answers that say that they did not run, which they did.
REFUSALS = [
    answer.replace(b"200 OK", b"503 Busy\r\nNot-Executed: 1")
    for answer in HEADS
    if answer.startswith(START)
]

SOUND = [
    with_length(LENGTH),
    with_length(b"0" + LENGTH),
    with_length(LENGTH).replace(b": ", b":").replace(b"OK", b""),
    with_length(LENGTH).replace(b"\r\n", b"\n"),
    with_length(LENGTH + b" \t"),
    with_length(b"28, 28"),
    with_line(b"Content-Length: 28"),
    with_line(b"Keep-Alive: timeout=10"),
    with_line(b"X:"),
    with_line(b"X: caf\xe9\tau lait"),
    with_version(b"HTTP/1.0"),
    # Bytes after the answer belong to no request.
    with_length(LENGTH) + b"more",
    with_chunks(CHUNKS + LAST_CHUNK),
    with_chunks(CHUNKS + LAST_CHUNK) + b"more",
    with_chunks(CHUNKS + b"00;x\r\nX: y\r\nZ: a: b\r\n\r\n"),
    with_chunks(CHUNKS.replace(b"9\r\n", b"9 \r\n") + LAST_CHUNK),
    START + b"\r\n" + BODY,
    START + b"Connection: close\r\nKeep-Alive: timeout=10\r\n\r\n" + BODY,
    START.replace(b"/1.1", b"/1.0") + b"\r\n" + BODY,
    INTERIM + b"Link: </a>\r\n\r\n" + with_length(LENGTH),
]

_HEAD = re.compile(
    rb"HTTP/1\.(?P<minor>[0-9]) (?P<status>[1-9][0-9]{2})"
    rb"(?: [\t -~\x80-\xff]*)?(?P<end>\r?\n)"
    rb"(?P<fields>(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~\x80-\xff]*(?P=end))*)"
    rb"(?P=end)"
)
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[\t -~\x80-\xff]*)?\r\n")
_TRAILERS = re.compile(
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t -~\x80-\xff]*\r\n)*\r\n"
)


def read_strictly(raw):
    """Return the body of an answer with one, None if it is malformed.

    Reads the whole of what a connection carried at once, by RFC 9112,
    sections 4, 5, 6.3 and 7.1, and joins lines as section 5.2 allows.
    """
    while True:
        head_end = re.search(rb"\n\r?\n", raw)
        if head_end is None:
            return None
        body = raw[head_end.end() :]
        joined = re.sub(rb"\r?\n[ \t]+", b" ", raw[: head_end.end()])
        head = _HEAD.fullmatch(joined)
        if head is None:
            return None
        fields = [
            (name.lower(), value.strip(b" \t"))
            for line in head["fields"].splitlines()
            for name, _, value in [line.partition(b":")]
        ]
        if int(head["status"]) >= 200:
            break
        if int(head["status"]) == 101:
            return None
        raw = body
    codings = [v for name, v in fields if name == b"transfer-encoding"]
    lengths = {
        part.strip(b" \t")
        for name, value in fields
        if name == b"content-length"
        for part in value.split(b",")
    }
    if head["status"] in (b"204", b"304"):
        return b""
    if codings:
        lone = len(codings) == 1 and codings[0].lower() == b"chunked"
        if not lone or lengths or head["minor"] == b"0":
            return None
        return _read_chunks(body)
    if not lengths:
        return body
    if len(lengths) > 1 or not re.fullmatch(rb"[0-9]{1,30}", min(lengths)):
        return None
    length = int(min(lengths))
    return body[:length] if length <= len(body) else None


def _read_chunks(data):
    body = b""
    while (chunk := _CHUNK.match(data)) is not None:
        size, data = int(chunk[1], 16), data[chunk.end() :]
        if not size:
            return body if _TRAILERS.match(data) else None
        body, data = body + data[:size], data[size:]
        if not data.startswith(b"\r\n"):
            return None
        data = data[2:]
    return None

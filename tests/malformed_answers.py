"""Answers that break a rule of HTTP/1.1, and what a client may make of them.

Each malformed answer is a whole one of which one part is spoilt. What a
lenient client makes of it is a part of the body, or bytes that are none of it.
"""

from __future__ import annotations

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
    # The connection is to be kept, so there was a length.
    START + b"Keep-Alive: timeout=10\r\n\r\n" + BODY[:9],
    START + b"Connection: keep-alive\r\n\r\n" + BODY[:9],
    START + b"Keep-Alive: timeout=10\r\nContent-Lenght: 28\r\n\r\n" + BODY[:9],
    # A field that became the continuation of another one.
    START + b" Content-Length: 28\r\n\r\n" + BODY[:9],
    START + b"X: y\r\n\tTransfer-Encoding: chunked\r\n\r\n" + CHUNKS,
]
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

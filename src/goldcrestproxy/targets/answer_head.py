"""Heads of targets' answers, and where the bodies after them end.

Follows RFC 9112, sections 4, 5 and 6.3. Where the RFC lets a recipient repair
a malformed head, the head is rejected instead: a corrupted field can look like
a valid one of another name or value.
"""

from __future__ import annotations

import enum
import re
import typing as ty

import attrs
from tornado import httputil

from goldcrestproxy import errors

# Lower (1xx) statuses are interim: a final status follows.
FINAL_STATUS_MIN: ty.Final = 200
STATUSES_WITHOUT_BODY: ty.Final = (204, 304)
STATUS_SWITCHING_PROTOCOLS: ty.Final = 101
# Covers every length that libcurl accepts.
LENGTH_MAX: ty.Final = (1 << 63) - 1
# Length of an answer's head, with what each line costs besides its bytes.
HEAD_BYTES_MAX: ty.Final = 128 * 1024
HEADER_BYTES: ty.Final = 256
# Part of malformed input that is shown in messages.
_SHOWN_BYTES_MAX: ty.Final = 64
_STATUS_LINE: ty.Final = re.compile(
    rb"HTTP/1\.([0-9]) ([1-9][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*)?"
)
_FIELD_LINE: ty.Final = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)"
)
_LENGTH: ty.Final = re.compile(r"[0-9]+")
_WHITESPACE: ty.Final = " \t"
# libcurl joins a line that starts with whitespace to the field before, as RFC
# 9112, section 5.2 allows. It may have been one of these fields.
_JOINED_FRAMING: ty.Final = re.compile(
    r"\b(?:content-length|transfer-encoding)\s*:", re.IGNORECASE
)


class AnswerRule(enum.Enum):
    """Rules for answers; the values name them in logs and metrics."""

    HEAD_SIZE = "head-size"
    STATUS_LINE = "status-line"
    FIELD_LINE = "field-line"
    LINE_END = "line-end"
    CONTENT_LENGTH = "content-length"
    TRANSFER_ENCODING = "transfer-encoding"
    CHUNK = "chunk"
    BODY_LENGTH = "body-length"
    REJECTED_BY_LIBCURL = "libcurl"


class MalformedAnswerError(errors.GoldcrestProxyError):
    """An answer breaks a rule, so nothing in it can be relied on."""

    def __init__(self, rule: AnswerRule, text: str) -> None:
        """Store the rule that was broken."""
        self.rule = rule
        super().__init__(f"{rule.value}: {text}")


@attrs.frozen(kw_only=True)
class NoBody:
    """The answer ends with its head."""


@attrs.frozen(kw_only=True)
class SizedBody:
    """The body has a known length."""

    body_bytes: int


@attrs.frozen(kw_only=True)
class ChunkedBody:
    """The body ends with its last chunk."""


@attrs.frozen(kw_only=True)
class BodyUntilClose:
    """The body ends when the target closes the connection."""


Framing = NoBody | SizedBody | ChunkedBody | BodyUntilClose


@attrs.frozen(kw_only=True)
class AnswerHead:
    """Status and headers of a target's answer."""

    status: int
    headers: httputil.HTTPHeaders
    framing: Framing

    @property
    def body_bytes(self) -> int | None:
        """The length of the body, -1 if chunked, None if unknown."""
        match self.framing:
            case NoBody():
                return 0
            case SizedBody(body_bytes=body_bytes):
                return body_bytes
            case ChunkedBody():
                return -1
            case BodyUntilClose():
                return None


@attrs.define
class HeadReader:
    """Reads the lines of one answer up to the end of its final head."""

    method: str
    # Set once the final head is complete.
    head: AnswerHead | None = attrs.field(init=False, default=None)
    _head_bytes: int = attrs.field(init=False, default=0)
    _line_end: bytes = attrs.field(init=False, default=b"")
    _minor_version: int = attrs.field(init=False, default=0)
    # 0 before the status line.
    _status: int = attrs.field(init=False, default=0)
    _headers: httputil.HTTPHeaders = attrs.field(
        init=False, factory=httputil.HTTPHeaders
    )

    def feed(self, line: bytes) -> None:
        """Read the next line, which includes its end.

        Heads of interim answers are read and dropped.

        :raises MalformedAnswerError: if the head breaks a rule
        """
        self._head_bytes += len(line) + HEADER_BYTES
        if self._head_bytes > HEAD_BYTES_MAX:
            raise MalformedAnswerError(
                AnswerRule.HEAD_SIZE,
                f"the head of the answer exceeds {HEAD_BYTES_MAX} bytes",
            )
        if self.head is not None:
            # Trailers belong to the body, which libcurl passes on undecoded.
            raise _malformed(AnswerRule.STATUS_LINE, line, "the body")
        if not self._status:
            self._read_status_line(line)
            return
        if not line.endswith(self._line_end):
            raise _malformed(AnswerRule.LINE_END, line, repr(self._line_end))
        text = line[: -len(self._line_end)]
        if text:
            self._read_field_line(text)
        else:
            self._end_head()

    def _read_status_line(self, line: bytes) -> None:
        # RFC 9112, section 2.2 allows lines that end with LF. A head with
        # both ends is corrupted: a single LF may have ended it too early.
        self._line_end = b"\r\n" if line.endswith(b"\r\n") else b"\n"
        match = _STATUS_LINE.fullmatch(line.removesuffix(self._line_end))
        if match is None:
            raise _malformed(AnswerRule.STATUS_LINE, line, "a status line")
        if not line.endswith(b"\n"):
            raise _malformed(AnswerRule.LINE_END, line, "the end of the line")
        self._minor_version = int(match.group(1))
        self._status = int(match.group(2))
        if self._status == STATUS_SWITCHING_PROTOCOLS:
            # It was not requested, and another protocol would follow.
            raise _malformed(AnswerRule.STATUS_LINE, line, "an answer in HTTP")

    def _read_field_line(self, text: bytes) -> None:
        match = _FIELD_LINE.fullmatch(text)
        if match is None:
            raise _malformed(AnswerRule.FIELD_LINE, text, "NAME: VALUE")
        name, value = match.groups()
        self._headers.add(
            name.decode("latin1"), value.decode("latin1").strip(_WHITESPACE)
        )

    def _end_head(self) -> None:
        framing = read_framing(
            self.method, self._status, self._minor_version, self._headers
        )
        if self._status >= FINAL_STATUS_MIN:
            self.head = AnswerHead(
                status=self._status, headers=self._headers, framing=framing
            )
        self._status = 0
        self._headers = httputil.HTTPHeaders()


def read_framing(
    method: str,
    status: int,
    minor_version: int,
    headers: httputil.HTTPHeaders,
) -> Framing:
    """Return how the body of an answer ends (RFC 9112, section 6.3).

    :param method: of the request
    :param minor_version: of HTTP/1
    :raises MalformedAnswerError: if that cannot be told for sure
    """
    codings = headers.get_list("Transfer-Encoding")
    lengths = headers.get_list("Content-Length")
    if status < FINAL_STATUS_MIN:
        if codings or lengths:
            raise MalformedAnswerError(
                AnswerRule.CONTENT_LENGTH, f"a body is announced by a {status}"
            )
        return NoBody()
    length_bytes = _read_length(lengths)
    if codings:
        _check_codings(codings, lengths, minor_version)
    if method == "HEAD" or status in STATUSES_WITHOUT_BODY:
        return NoBody()
    if codings:
        return ChunkedBody()
    if length_bytes is not None:
        return SizedBody(body_bytes=length_bytes)
    _check_without_length(headers)
    return BodyUntilClose()


def _check_without_length(headers: httputil.HTTPHeaders) -> None:
    """Check that a head without a length has not lost it."""
    if _keeps_connection(headers):
        raise MalformedAnswerError(
            AnswerRule.CONTENT_LENGTH,
            "no length, but the connection is to be kept",
        )
    for name, value in headers.get_all():
        if _JOINED_FRAMING.search(value):
            raise MalformedAnswerError(
                AnswerRule.FIELD_LINE,
                f"{name} holds another field: {_shown(value)}",
            )


def _keeps_connection(headers: httputil.HTTPHeaders) -> bool:
    """Whether the target announces to keep its connection.

    All answers of such a connection have a length (RFC 9112, section 9.3).
    """
    options = {
        option.strip(_WHITESPACE).lower()
        for option in headers.get("Connection", "").split(",")
    }
    if "close" in options:
        return False
    return "keep-alive" in options or "Keep-Alive" in headers


def _check_codings(
    codings: list[str], lengths: list[str], minor_version: int
) -> None:
    value = ", ".join(codings)
    if lengths:
        raise MalformedAnswerError(
            AnswerRule.TRANSFER_ENCODING,
            f"{_shown(value)} beside a Content-Length",
        )
    if minor_version < 1:
        raise MalformedAnswerError(
            AnswerRule.TRANSFER_ENCODING, f"{_shown(value)} in HTTP/1.0"
        )
    # No other coding was offered to the target.
    if value.lower() != "chunked":
        raise MalformedAnswerError(
            AnswerRule.TRANSFER_ENCODING, f"{_shown(value)} instead of chunked"
        )


def _read_length(lengths: list[str]) -> int | None:
    """Return the length of the body in bytes, None if none is given.

    Equal lengths may be repeated (RFC 9110, section 8.6).
    """
    if not lengths:
        return None
    values = {
        value.strip(_WHITESPACE)
        for field_value in lengths
        for value in field_value.split(",")
    }
    first = min(values)
    if len(values) > 1 or not _LENGTH.fullmatch(first):
        raise MalformedAnswerError(
            AnswerRule.CONTENT_LENGTH,
            f"{_shown(', '.join(lengths))} is no length",
        )
    # int() refuses thousands of digits.
    if len(first) > len(str(LENGTH_MAX)) or int(first) > LENGTH_MAX:
        raise MalformedAnswerError(
            AnswerRule.CONTENT_LENGTH, f"{_shown(first)} exceeds {LENGTH_MAX}"
        )
    return int(first)


def check_field_line(line: bytes) -> None:
    """Check a line of a head or a trailer, without its end.

    :raises MalformedAnswerError: if it is no field
    """
    if not _FIELD_LINE.fullmatch(line):
        raise _malformed(AnswerRule.FIELD_LINE, line, "NAME: VALUE")


def _malformed(
    rule: AnswerRule, found: bytes, expected: str
) -> MalformedAnswerError:
    return MalformedAnswerError(rule, f"{_shown(found)} instead of {expected}")


def _shown(value: str | bytes) -> str:
    return repr(value[:_SHOWN_BYTES_MAX])

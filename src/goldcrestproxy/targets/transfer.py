"""One HTTP request to a target through libcurl.

libcurl resends a request by itself when a reused connection closes without an
answer. The callback that it runs right before each sending aborts a second
one: a transfer is sent at most once, and ``stage`` records whether it was.
"""

from __future__ import annotations

import asyncio
import enum
import time
import typing as ty

import pycurl
from tornado import curl_httpclient
from tornado import httpclient

from goldcrestproxy import errors
from goldcrestproxy.targets import answer_body
from goldcrestproxy.targets import answer_head
from goldcrestproxy.targets import connections as open_connections
from goldcrestproxy.targets import handles as transfer_handles
from goldcrestproxy.wire import Pipe

CONNECTION_IDLE_S_MAX: ty.Final = 5
CONNECT_TIMEOUT_MS: ty.Final = 250
# A transfer that is still queued this long before its deadline is not sent:
# its refusal can then reach the caller in time. Less than the time that a
# retry needs.
QUEUE_RESERVE_S: ty.Final = 0.015
# Makes libcurl abort the transfer and close its connection.
ABORT: ty.Final = -1
RESET_CODES: ty.Final = (pycurl.E_RECV_ERROR, pycurl.E_SEND_ERROR)
# Codes of heads that libcurl rejects itself. The first is its general code
# for malformed answers, under its older name.
MALFORMED_CODES: ty.Final = (
    pycurl.E_FTP_WEIRD_SERVER_REPLY,
    pycurl.E_UNSUPPORTED_PROTOCOL,
    pycurl.E_BAD_CONTENT_ENCODING,
)


class Stage(enum.Enum):
    """Whether any byte of a request may have been sent."""

    NOT_SENT = "not sent"
    SENT = "sent"


class TransferError(errors.GoldcrestProxyError):
    """A transfer ended without a complete answer."""

    def __init__(
        self,
        stage: Stage,
        curl_code: int,
        text: str,
        *,
        mismatched: bool = False,
        was_reset: bool = False,
        broken_rule: answer_head.AnswerRule | None = None,
    ) -> None:
        """Create an error.

        :param curl_code: libcurl's, 0 if it has none
        :param mismatched: whether an answer to another request arrived
        :param was_reset: whether the connection was lost without an answer
        :param broken_rule: the rule that a malformed answer broke
        """
        self.stage = stage
        self.curl_code = curl_code
        self.mismatched = mismatched
        self.was_reset = was_reset
        self.broken_rule = broken_rule
        super().__init__(f"{text} (curl error {curl_code}, {stage.value})")

    @property
    def timed_out(self) -> bool:
        """Whether the transfer failed because it timed out."""
        return self.curl_code == pycurl.E_OPERATION_TIMEDOUT


class Transfer:
    """One request and its answer, both streamed."""

    def __init__(
        self,
        handles: transfer_handles.Handles,
        request: httpclient.HTTPRequest,
        *,
        body: Pipe | None,
        body_bytes: int,
        new_connection: bool,
        connections: open_connections.Connections,
        may_send: ty.Callable[[], bool],
        may_start: ty.Callable[[], bool] = lambda: True,
        queue_first: bool = False,
        configure: ty.Callable[[pycurl.Curl], None] | None = None,
        expected_header: tuple[str, str] | None = None,
        deadline_header: str | None = None,
        queue_reserve_s: float = QUEUE_RESERVE_S,
    ) -> None:
        """Prepare a request.

        Its ``request_timeout`` starts now and includes the time in the queue
        for a handle.

        :param body: the request body, or None
        :param body_bytes: length of the body, -1 if unknown
        :param new_connection: do not reuse a connection
        :param connections: the connections used so far
        :param may_send: called right before the first byte is sent; returning
            False aborts the transfer
        :param may_start: called after a wait for a handle; returning False
            fails the transfer
        :param queue_first: wait for a handle before all other transfers
        :param configure: sets further options of the libcurl handle
        :param expected_header: a header and the value that the answer must
            carry; an answer without it belongs to another request
        :param deadline_header: the request header, if it has one, that holds
            the milliseconds left
        :param queue_reserve_s: time before its time-out at which a transfer
            that still waits for a handle fails
        """
        self._configure_more = configure
        self._expected_header = expected_header
        self._deadline_header = deadline_header
        self._queue_reserve_s = queue_reserve_s
        self._queue_first = queue_first
        self._may_start = may_start
        self.mismatched = False
        self.head: asyncio.Future[answer_head.AnswerHead] = (
            asyncio.get_running_loop().create_future()
        )
        self.answer_body = Pipe()
        self.stage = Stage.NOT_SENT
        self.reused = False
        # Whether it got a handle.
        self.started = False
        # Time in the queue for a handle.
        self.queued_s = 0.0
        # Time from then until the connection was established.
        self.connect_s = 0.0
        self._started_s = time.monotonic()
        timeout_s = ty.cast(float, request.request_timeout)
        self._deadline_s = self._started_s + timeout_s
        self._handles = handles
        self._turn: asyncio.Future[None] | None = None
        self._fetched: asyncio.Future[httpclient.HTTPResponse] | None = None
        self._request = request
        self._body = body
        self._body_bytes = body_bytes
        self._new_connection = new_connection
        self._connections = connections
        # Of a new connection, -1 for one that was used before.
        self._socket_fd = -1
        # Whether the connection that libcurl chose had unread bytes.
        self._unclean_connection = False
        # Whether libcurl lost a reused connection and was to send again.
        self._resend_prevented = False
        self._may_send = may_send
        self._head_reader = answer_head.HeadReader(request.method)
        # None until the head is complete.
        self._body_reader: answer_body.BodyReader | None = None
        # Why the transfer was aborted here, if it was.
        self._malformed: answer_head.MalformedAnswerError | None = None
        self._curl: pycurl.Curl | None = None
        self._unsent = b""
        self._cancelled = False
        self._send_paused = False
        self._receive_paused = False

    @property
    def answered(self) -> bool:
        """Whether the head of an answer has arrived."""
        return self.head.done() and self.head.exception() is None

    async def run(self) -> None:
        """Send the request and receive the answer.

        Sets ``head`` and ``answer_body`` to the answer, or to a TransferError.
        """
        self._request.prepare_curl_callback = self._configure_curl
        while await self._take_handle():
            self.started = True
            error = await self._fetch()
            if not self._unclean_connection:
                break
            self._unclean_connection = False
            self._new_connection = True
            self._queue_first = True
        else:
            self._fail(
                0, "cancelled, not allowed, or no handle became free in time"
            )
            return
        if error is not None:
            self._fail(*error)
            return
        if self._body_reader is None:
            # libcurl reports a success here.
            self._fail(0, "the answer broke off in its head")
            return
        try:
            self._body_reader.end()
        except answer_head.MalformedAnswerError as malformed:
            self._malformed = malformed
            self._fail(0, str(malformed))
            return
        self._set_head()
        self.answer_body.finish()

    async def _fetch(self) -> tuple[int, str] | None:
        """Run the transfer once; return libcurl's error, None without one."""
        try:
            self._fetched = self._handles.fetch(self._request)
            await self._fetched
        except curl_httpclient.CurlError as error:
            return error.errno, str(self._malformed or error.message)
        except Exception as error:
            return 0, str(error)
        finally:
            self._curl = None
        return None

    def cancel(self) -> None:
        """Abort the transfer and close its connection."""
        self._cancelled = True
        if self._turn is not None:
            self._turn.cancel()
        if self._curl is not None:
            # Pausing and unpausing makes libcurl run its progress callback,
            # which aborts the transfer.
            self._pause(pycurl.PAUSE_ALL)
            self._pause(pycurl.PAUSE_CONT)

    async def _take_handle(self) -> bool:
        """Take a handle; return False if it is not to be used.

        The transfer may be cancelled, too late, or no longer allowed.
        """
        if self._cancelled:
            return False
        turn = self._turn = self._handles.take(first=self._queue_first)
        if turn.done():
            self._request.request_timeout = max(0.001, self._left_s())
            return True
        queue_s = self._left_s() - self._queue_reserve_s
        await asyncio.wait([turn], timeout=queue_s)
        if not turn.done():
            turn.cancel()
        if turn.cancelled():
            return False
        left_s = self._left_s()
        if (
            self._cancelled
            or left_s < self._queue_reserve_s
            or not self._may_start()
        ):
            self._handles.give_back()
            return False
        self.queued_s = time.monotonic() - self._started_s
        self._request.request_timeout = left_s
        header = self._deadline_header
        if header is not None and header in self._request.headers:
            self._request.headers[header] = str(int(left_s * 1000))
        return True

    def _left_s(self) -> float:
        return self._deadline_s - time.monotonic()

    def _fail(self, code: int, text: str) -> None:
        error = TransferError(
            self.stage,
            code,
            text,
            mismatched=self.mismatched,
            was_reset=self._resend_prevented or code in RESET_CODES,
            broken_rule=self._broken_rule(code),
        )
        if not self.head.done():
            self.head.set_exception(error)
            self.head.exception()
        self.answer_body.fail(error)

    def _broken_rule(self, code: int) -> answer_head.AnswerRule | None:
        if self._malformed is not None:
            return self._malformed.rule
        if code in MALFORMED_CODES and self.stage is Stage.SENT:
            return answer_head.AnswerRule.REJECTED_BY_LIBCURL
        return None

    def _configure_curl(self, curl: pycurl.Curl) -> None:
        self._curl = curl
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.FRESH_CONNECT, int(self._new_connection))
        curl.setopt(pycurl.MAXAGE_CONN, CONNECTION_IDLE_S_MAX)
        self._socket_fd = -1
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._on_socket)
        curl.setopt(pycurl.PREREQFUNCTION, self._before_sending)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        # The body reader decodes chunks; libcurl takes what follows the
        # digits of a size for an extension, and trailers for headers.
        curl.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_body_chunk)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._progress)
        if self._configure_more is not None:
            self._configure_more(curl)
        if self._body is not None:
            self._configure_body(curl)

    def _configure_body(self, curl: pycurl.Curl) -> None:
        curl.setopt(pycurl.HTTPGET, 0)
        curl.setopt(pycurl.UPLOAD, 1)
        curl.setopt(pycurl.CUSTOMREQUEST, self._request.method)
        curl.setopt(pycurl.INFILESIZE_LARGE, self._body_bytes)
        curl.setopt(pycurl.READFUNCTION, self._next_body_chunk)
        self._body.on_write = self._resume_send

    def _on_socket(self, socket_fd: int, _: int) -> int:
        """Remember the socket of a new connection."""
        self._socket_fd = socket_fd
        return pycurl.SOCKOPT_OK

    def _before_sending(
        self,
        peer_address: str,
        local_address: str,
        peer_port: int,
        local_port: int,
    ) -> int:
        if self.stage is not Stage.NOT_SENT:
            self._resend_prevented = True
            return pycurl.PREREQFUNC_ABORT
        if self._cancelled:
            return pycurl.PREREQFUNC_ABORT
        elapsed_s = time.monotonic() - self._started_s
        self.connect_s = elapsed_s - self.queued_s
        self.reused = self._socket_fd < 0
        if not self.reused:
            self._connections.record(local_port, self._socket_fd)
        elif not self._connections.is_clean(local_port):
            self._unclean_connection = True
            return pycurl.PREREQFUNC_ABORT
        if not self._may_send():
            return pycurl.PREREQFUNC_ABORT
        self.stage = Stage.SENT
        return pycurl.PREREQFUNC_OK

    def _progress(self, *_: ty.Any) -> int:
        return int(self._cancelled)

    def _on_header(self, line: bytes) -> int | None:
        try:
            self._head_reader.feed(line)
        except answer_head.MalformedAnswerError as malformed:
            return self._abort_malformed(malformed)
        head = self._head_reader.head
        if head is None:
            return None
        if not self._is_expected(head):
            self.mismatched = True
            return ABORT
        self._body_reader = answer_body.BodyReader(head.framing)
        return None

    def _abort_malformed(
        self, malformed: answer_head.MalformedAnswerError
    ) -> int:
        self._malformed = malformed
        return ABORT

    def _is_expected(self, head: answer_head.AnswerHead) -> bool:
        if self._expected_header is None:
            return True
        name, value = self._expected_header
        return head.headers.get(name) == value

    def _set_head(self) -> None:
        head = self._head_reader.head
        if head is not None and not self.head.done():
            self.head.set_result(head)

    def _on_body_chunk(self, chunk: bytes) -> int:
        if self._body_reader is None:
            # libcurl saw the end of a head that is not final.
            return ABORT
        if self.answer_body.full:
            self._receive_paused = True
            self.answer_body.on_read = self._resume_receive
            return pycurl.WRITEFUNC_PAUSE
        try:
            part = self._body_reader.feed(chunk)
        except answer_head.MalformedAnswerError as malformed:
            return self._abort_malformed(malformed)
        self._set_head()
        self.answer_body.feed(part)
        return len(chunk)

    def _next_body_chunk(self, size_bytes: int) -> bytes | int:
        if not self._unsent:
            try:
                chunk = self._body.read_nowait()
            except BaseException:
                return pycurl.READFUNC_ABORT
            if chunk is None:
                self._send_paused = True
                return pycurl.READFUNC_PAUSE
            self._unsent = chunk
        part, self._unsent = (
            self._unsent[:size_bytes],
            self._unsent[size_bytes:],
        )
        return part

    def _resume_send(self) -> None:
        if self._send_paused:
            self._send_paused = False
            asyncio.get_running_loop().call_soon(self._unpause)

    def _resume_receive(self, _: int) -> None:
        if self._receive_paused and not self.answer_body.full:
            self._receive_paused = False
            asyncio.get_running_loop().call_soon(self._unpause)

    def _unpause(self) -> None:
        flags = pycurl.PAUSE_CONT
        if self._send_paused:
            flags |= pycurl.PAUSE_SEND
        if self._receive_paused:
            flags |= pycurl.PAUSE_RECV
        self._pause(flags)

    def _pause(self, flags: int) -> None:
        if self._curl is None:
            return
        if self._fetched is not None and self._fetched.done():
            # Another transfer may use the handle already.
            return
        try:
            self._curl.pause(flags)
        except pycurl.error:
            # The transfer has already failed; ``fetch`` raises the error.
            pass

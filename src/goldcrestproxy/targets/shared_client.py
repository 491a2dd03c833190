"""HTTP client of all targets, with one connection pool per host."""

from __future__ import annotations

import typing as ty

import attrs
import pycurl
from tornado import httpclient

from goldcrestproxy.routing import connect_timeout
from goldcrestproxy.targets import connections
from goldcrestproxy.targets import handles
from goldcrestproxy.targets import transfer
from goldcrestproxy.wire import Pipe

# Maximum number of concurrent requests; further ones queue for a handle.
HANDLES_MAX: ty.Final = 192


@attrs.frozen(kw_only=True)
class OutgoingRequest:
    """A request to a target.

    ``body_bytes`` is -1 if the length is unknown. ``idle_s_max`` is how long
    a reused connection may have been idle; 0 requires a new connection.
    ``expected_header`` is a header and the value that the answer must carry,
    ``deadline_header`` the header with the milliseconds left. A request that
    queues for a handle fails ``queue_reserve_ms`` before its time-out, and
    goes before all others with ``queue_first``.
    """

    address: str
    method: str
    path: str
    headers: dict[str, str]
    body: Pipe | None
    body_bytes: int
    timeout_ms: float
    queue_reserve_ms: float
    idle_s_max: int
    expected_header: tuple[str, str]
    deadline_header: str
    queue_first: bool = False


class SharedClient:
    """Connection pool shared by requests to all targets.

    Limiting concurrent requests is left to the targets.
    """

    def __init__(self) -> None:
        self._handles = handles.Handles(HANDLES_MAX)
        self._connections = connections.Connections()
        self.adaptive_timeout = connect_timeout.ConnectTimeout()

    def start(
        self,
        outgoing: OutgoingRequest,
        may_start: ty.Callable[[], bool],
        may_send: ty.Callable[[], bool],
    ) -> transfer.Transfer:
        """Prepare a request; ``Transfer.run`` sends it.

        :param may_start: called after a wait for a handle; returning False
            fails the transfer
        :param may_send: called right before the first byte is sent; returning
            False aborts the transfer
        """
        request = httpclient.HTTPRequest(
            f"http://{outgoing.address}/",
            method=outgoing.method,
            headers=outgoing.headers,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            connect_timeout=min(
                self.adaptive_timeout.timeout_ms, outgoing.timeout_ms
            )
            / 1000,
            request_timeout=outgoing.timeout_ms / 1000,
        )

        def configure(curl: pycurl.Curl) -> None:
            # pycurl refuses a str that is not ASCII.
            path = outgoing.path.encode("latin1")
            curl.setopt(pycurl.REQUEST_TARGET, path)
            curl.setopt(pycurl.MAXAGE_CONN, max(1, outgoing.idle_s_max))

        return transfer.Transfer(
            self._handles,
            request,
            body=outgoing.body,
            body_bytes=outgoing.body_bytes,
            new_connection=outgoing.idle_s_max == 0,
            connections=self._connections,
            queue_first=outgoing.queue_first,
            may_start=may_start,
            may_send=may_send,
            configure=configure,
            expected_header=outgoing.expected_header,
            deadline_header=outgoing.deadline_header,
            queue_reserve_s=max(
                transfer.QUEUE_RESERVE_S, outgoing.queue_reserve_ms / 1000
            ),
        )

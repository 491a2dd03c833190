"""HTTP client of one target."""

from __future__ import annotations

import asyncio
import contextlib
import typing as ty

from tornado import httpclient

from goldcrestproxy import errors
from goldcrestproxy.targets import connections
from goldcrestproxy.targets import handles
from goldcrestproxy.targets import protocol
from goldcrestproxy.targets import transfer
from goldcrestproxy.wire import Pipe

ANSWER_BYTES_MAX: ty.Final = 1024 * 1024
# Separate handles, so that orders do not queue behind requests.
ORDER_HANDLES: ty.Final = 2
CLOSE_POLL_S: ty.Final = 0.05


class TargetClient:
    """Connection pools of one target, used by its coordinator only."""

    def __init__(self, address: str, slots: int) -> None:
        """Create a client.

        :param address: IP:PORT of the target
        :param slots: maximum number of concurrent requests
        """
        self._address = address
        self._active_transfers = 0
        self._connections = connections.Connections()
        self._request_client = handles.Handles(slots)
        self._order_client = handles.Handles(ORDER_HANDLES)

    def start(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        *,
        body: Pipe | None,
        body_bytes: int,
        timeout_ms: int,
        new_connection: bool,
        may_send: ty.Callable[[], bool],
        expected_header: tuple[str, str] | None = None,
    ) -> transfer.Transfer:
        """Prepare a caller's request; ``Transfer.run`` sends it.

        :param expected_header: see ``Transfer``
        """
        request = httpclient.HTTPRequest(
            f"http://{self._address}{path}",
            method=method,
            headers=headers,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            connect_timeout=transfer.CONNECT_TIMEOUT_MS / 1000,
            request_timeout=timeout_ms / 1000,
        )
        return transfer.Transfer(
            self._request_client,
            request,
            body=body,
            body_bytes=body_bytes,
            new_connection=new_connection,
            connections=self._connections,
            may_send=may_send,
            expected_header=expected_header,
            deadline_header=protocol.DEADLINE_MS,
        )

    async def send_order(
        self,
        order: protocol.GrantOrder,
        timeout_ms: int,
        *,
        new_connection: bool,
        may_send: ty.Callable[[], bool],
    ) -> protocol.GrantAnswer:
        """Send an order and return the target's answer.

        :raises TransferError: if no complete answer was received
        :raises WireError: if the answer is invalid
        """
        answer = await self._post(
            protocol.GRANTS_PATH,
            order.body(),
            timeout_ms,
            new_connection=new_connection,
            may_send=may_send,
        )
        return protocol.read_grant_answer(answer)

    async def cancel(self, request_id: str, timeout_ms: int) -> None:
        """Request the cancellation of a request, ignoring errors."""
        try:
            await self._post(
                f"{protocol.CANCEL_PATH}/{request_id}",
                b"",
                timeout_ms,
                new_connection=False,
                may_send=lambda: True,
            )
        except errors.GoldcrestProxyError:
            pass

    async def close(self) -> None:
        """Close all connections once no transfer uses them."""
        while self._active_transfers:
            await asyncio.sleep(CLOSE_POLL_S)
        self._request_client.close()
        self._order_client.close()

    @contextlib.contextmanager
    def in_use(self) -> ty.Iterator[None]:
        """Keep the connections open for the duration of a transfer."""
        self._active_transfers += 1
        try:
            yield
        finally:
            self._active_transfers -= 1

    async def _post(
        self,
        path: str,
        body: bytes,
        timeout_ms: int,
        *,
        new_connection: bool,
        may_send: ty.Callable[[], bool],
    ) -> bytes:
        pipe = Pipe()
        pipe.feed(body)
        pipe.finish()
        request = httpclient.HTTPRequest(
            f"http://{self._address}{path}",
            method="POST",
            headers={"Content-Type": "application/json"},
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            connect_timeout=transfer.CONNECT_TIMEOUT_MS / 1000,
            request_timeout=timeout_ms / 1000,
        )
        order_transfer = transfer.Transfer(
            self._order_client,
            request,
            body=pipe,
            body_bytes=len(body),
            new_connection=new_connection,
            connections=self._connections,
            may_send=may_send,
        )
        with self.in_use():
            await order_transfer.run()
        head = await order_transfer.head
        answer = await order_transfer.answer_body.read_all(ANSWER_BYTES_MAX)
        if head.status != 200:
            raise errors.WireError(f"target answered {path}: {head.status}")
        return answer

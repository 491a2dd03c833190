"""Transfers that wait for a handle end by their deadlines, unsent."""

from __future__ import annotations

import asyncio
import re
import time

import pytest
import raw_server
from tornado import httpclient

from goldcrestproxy import targets
from goldcrestproxy.targets import connections as open_connections
from goldcrestproxy.targets import handles as transfer_handles


async def no_answer(server, number, reader, writer):
    await asyncio.sleep(30)
    return False


async def answer_if_second(server, number, reader, writer):
    """Stay silent on the first connection, answer on the others."""
    if number == 1:
        return await no_answer(server, number, reader, writer)
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    await writer.drain()
    return True


def start(client, timeout_ms, may_send=lambda: True, headers=None):
    transfer = client.start(
        "GET",
        "/work",
        headers or {},
        body=None,
        body_bytes=0,
        timeout_ms=timeout_ms,
        new_connection=False,
        may_send=may_send,
    )
    return transfer, asyncio.create_task(transfer.run())


async def failure_of(transfer, task):
    """Return the error of a transfer that must end within a second."""
    async with asyncio.timeout(1):
        await task
    with pytest.raises(targets.TransferError) as found:
        await transfer.head
    return found.value


def run(respond, scenario):
    """Run a test with a client that has a single handle."""

    async def run_scenario():
        server = raw_server.RawServer(respond)
        async with server.running() as address:
            client = targets.TargetClient(address, 1)
            try:
                await scenario(server, client)
            finally:
                await client.close()

    asyncio.run(run_scenario())


def test_transfer_without_a_handle_fails_unsent_by_its_deadline():
    async def scenario(server, client):
        silent, silent_task = start(client, 20_000)
        transfer, task = start(client, 200)
        error = await failure_of(transfer, task)
        assert error.stage is targets.Stage.NOT_SENT
        assert not error.timed_out
        # A handle that becomes free afterwards must not send it.
        silent.cancel()
        await silent_task
        await asyncio.sleep(0.05)
        assert len(server.requests) == server.connections == 1

    run(no_answer, scenario)


def test_transfer_cancelled_without_a_handle_opens_no_connection():
    async def scenario(server, client):
        silent, silent_task = start(client, 20_000)
        transfer, task = start(client, 20_000)
        await asyncio.sleep(0.05)
        transfer.cancel()
        error = await failure_of(transfer, task)
        assert error.stage is targets.Stage.NOT_SENT
        silent.cancel()
        await silent_task
        await asyncio.sleep(0.05)
        assert server.connections == 1

    run(no_answer, scenario)


def test_transfer_cancelled_before_its_start_opens_no_connection():
    async def scenario(server, client):
        transfer, task = start(client, 20_000)
        transfer.cancel()
        error = await failure_of(transfer, task)
        assert error.stage is targets.Stage.NOT_SENT
        await asyncio.sleep(0.05)
        assert server.connections == 0

    run(no_answer, scenario)


def test_time_in_the_queue_counts_towards_the_timeout():
    async def scenario(server, client):
        started_s = time.monotonic()
        _, first_task = start(client, 400)
        second, second_task = start(client, 700)
        await first_task
        error = await failure_of(second, second_task)
        assert error.stage is targets.Stage.SENT
        assert error.timed_out
        assert 0.65 < time.monotonic() - started_s < 1.0

    run(no_answer, scenario)


def test_queued_transfer_states_the_time_that_is_left():
    async def scenario(server, client):
        _, first_task = start(client, 400)
        headers = {"Goldcrest-Deadline-Ms": "700"}
        _, second_task = start(client, 700, headers=headers)
        await asyncio.gather(first_task, second_task)
        sent = re.search(rb"Deadline-Ms: (\d+)", server.requests[1])
        assert 100 < int(sent.group(1)) <= 310

    run(no_answer, scenario)


def test_queued_transfers_are_sent_in_order_once_a_handle_is_free():
    order = []

    async def scenario(server, client):
        silent, silent_task = start(client, 20_000)
        queued = [
            start(client, 5_000, lambda n=n: order.append(n) or True)
            for n in range(5)
        ]
        await asyncio.sleep(0.05)
        queued[2][0].cancel()
        silent.cancel()
        async with asyncio.timeout(1):
            await asyncio.gather(silent_task, *(task for _, task in queued))
        assert order == [0, 1, 3, 4]

    run(answer_if_second, scenario)


def test_handle_is_free_again_after_a_request_that_cannot_be_sent():
    async def scenario(server, client):
        bad = client.start(
            "GET",
            "/work",
            {"X-Name": "two\nlines"},
            body=None,
            body_bytes=0,
            timeout_ms=500,
            new_connection=False,
            may_send=lambda: True,
        )
        error = await failure_of(bad, asyncio.create_task(bad.run()))
        assert error.stage is targets.Stage.NOT_SENT
        _, task = start(client, 500)
        async with asyncio.timeout(0.3):
            while not server.requests:
                await asyncio.sleep(0.01)
        await task

    run(no_answer, scenario)


class RecordingCurl:
    """A libcurl handle that records its pauses."""

    def __init__(self):
        self.pauses = []

    def setopt(self, *_):
        pass

    def pause(self, flags):
        self.pauses.append(flags)


class SingleFetch:
    """Handles whose only fetch ends when a test says so."""

    def __init__(self):
        self.curl = RecordingCurl()
        self.fetched = asyncio.get_running_loop().create_future()

    def take(self, *, first=False):
        turn = asyncio.get_running_loop().create_future()
        turn.set_result(None)
        return turn

    def fetch(self, request):
        request.prepare_curl_callback(self.curl)
        return self.fetched


def test_ended_transfer_does_not_pause_the_next_user_of_its_handle():
    async def scenario():
        handles = SingleFetch()
        ended = targets.Transfer(
            handles,
            httpclient.HTTPRequest("http://127.0.0.1/", request_timeout=1.0),
            body=None,
            body_bytes=0,
            new_connection=False,
            connections=open_connections.Connections(),
            may_send=lambda: True,
        )
        task = asyncio.create_task(ended.run())
        await asyncio.sleep(0)
        # The handle is free at once, but ``run`` continues only later.
        handles.fetched.set_result(None)
        ended.cancel()
        assert handles.curl.pauses == []
        await task

    asyncio.run(scenario())


def test_a_transfer_that_is_not_allowed_after_its_wait_opens_no_connection():
    """Guards against connections to targets that have left meanwhile."""

    async def scenario(server, client):
        handles = client._request_client
        silent, silent_task = start(client, 20_000)
        queued = targets.Transfer(
            handles,
            httpclient.HTTPRequest(
                f"http://{client._address}/work", request_timeout=5.0
            ),
            body=None,
            body_bytes=0,
            new_connection=False,
            connections=open_connections.Connections(),
            may_send=lambda: True,
            may_start=lambda: False,
        )
        task = asyncio.create_task(queued.run())
        await asyncio.sleep(0.05)
        assert not task.done()
        silent.cancel()
        await silent_task
        error = await failure_of(queued, task)
        assert error.stage is targets.Stage.NOT_SENT
        assert server.connections == 1
        # Its handle is free again.
        assert handles.take().done()
        handles.give_back()

    run(no_answer, scenario)


def test_a_transfer_that_goes_first_is_sent_before_those_that_wait():
    async def scenario():
        single = transfer_handles.Handles(1)
        single.take()
        waiting = [single.take(), single.take()]
        first = single.take(first=True)
        single.give_back()
        assert first.done()
        assert not any(turn.done() for turn in waiting)
        single.give_back()
        assert waiting[0].done()
        single.close()

    asyncio.run(scenario())

"""A single attempt ends by its deadline and tells whether it may have run."""

from __future__ import annotations

import asyncio
import contextlib
import random
import re
import socket
import struct
import time

import attrs
import pytest
import raw_server

from goldcrestproxy.control import observations
from goldcrestproxy import entries
from goldcrestproxy.entries import body_identity
from goldcrestproxy.entries import fleet_map
from goldcrestproxy.entries import replay
from goldcrestproxy.entries import sending
from goldcrestproxy import platform
from goldcrestproxy import registry
from goldcrestproxy.routing import cold_rate
from goldcrestproxy.routing import fleet_retries
from goldcrestproxy.routing import target_choice
from goldcrestproxy.routing import target_contact
from goldcrestproxy import targets
from goldcrestproxy.targets import shared_client
from goldcrestproxy.targets import transfer
from goldcrestproxy import wire

REQUEST = entries.FleetRequest(
    request_id="r1",
    method="GET",
    host="a.example",
    request_target="/x/1",
    headers=(("Attempt-Id", "r1"),),
    key=None,
    body=None,
    body_bytes=0,
    deadline_ms=None,
)


@attrs.frozen
class Attempts:
    """Sends attempts to a raw server through a real client."""

    server: raw_server.RawServer
    client: targets.SharedClient
    sender: entries.Sender
    observations: observations.Observations
    target: fleet_map.TrackedTarget

    async def send(
        self,
        left_s,
        request=REQUEST,
        is_allowed=lambda: True,
        *,
        new_connection=False,
    ):
        return await self.sender.send(
            request,
            replay.ReplayableBody(request.body),
            self.target,
            idempotent=False,
            new_connection=new_connection,
            deadline_s=time.monotonic() + left_s,
            is_allowed=is_allowed,
            on_sent=lambda _: None,
        )

    async def failure(self, left_s, request=REQUEST):
        """Return the failure of an attempt, which ends by its deadline."""
        async with asyncio.timeout(left_s + 0.5):
            with pytest.raises(sending.SendError) as caught:
                await self.send(left_s, request)
        return caught.value.failure


def run(respond, scenario, conventions=None):
    async def run_scenario():
        server = raw_server.RawServer(respond)
        async with server.running() as address:
            client = targets.SharedClient()
            target = fleet_map.TrackedTarget(
                record=registry.RegisteredTarget(
                    target="t1",
                    incarnation=1,
                    service="s",
                    zone="zone-a",
                    address=address,
                    slots=4,
                ),
                stats=target_choice.TargetStats(slots=4),
                rate=cold_rate.ColdRateLimiter(phase=0.0),
            )
            observed = observations.Observations()
            sender = entries.Sender(
                client,
                conventions or platform.PlatformHeaders(),
                observed,
                target_contact.TargetContact(),
                time.monotonic,
            )
            await scenario(Attempts(server, client, sender, observed, target))

    asyncio.run(run_scenario())


async def no_answer(server, number, reader, writer):
    await asyncio.sleep(30)
    return False


def answering(raw_answer):
    async def respond(server, number, reader, writer):
        writer.write(raw_answer)
        await writer.drain()
        return True

    return respond


def test_request_that_may_no_longer_be_sent_does_not_reach_its_target():
    """It waited for a connection; the target has done nothing wrong."""

    async def scenario(attempts):
        with pytest.raises(sending.SendError) as caught:
            await attempts.send(1.0, is_allowed=lambda: False)
        assert isinstance(caught.value.failure, fleet_retries.NotRun)
        assert attempts.server.requests == []
        assert not attempts.target.stats.is_backing_off(time.monotonic())

    run(no_answer, scenario)


@pytest.mark.parametrize(
    ("status", "not_run"), [(200, ""), (503, "Not-Executed: 1\r\n")]
)
def test_a_limit_is_in_force_while_answers_name_it(status, not_run):
    limits = ["Server-Limit: 23.4\r\n", "Server-Limit: 2\r\n", ""]

    async def respond(server, number, reader, writer):
        limit = limits[len(server.requests) - 1]
        writer.write(
            f"HTTP/1.1 {status} X\r\nAttempt-Id: r1\r\n{limit}{not_run}"
            "Content-Length: 0\r\n\r\n".encode()
        )
        return True

    async def scenario(attempts):
        for expected in (23.4, 2.0, None):
            with contextlib.suppress(sending.SendError):
                await attempts.send(5)
            assert attempts.target.request_limit.limit_per_s == expected

    run(respond, scenario)


@pytest.fixture
def single_handle(monkeypatch):
    """Let each client have one handle only."""
    monkeypatch.setattr(shared_client, "HANDLES_MAX", 1)


@contextlib.asynccontextmanager
async def silent_request(attempts):
    """Keep the only handle in use by a request without an answer."""
    task = asyncio.create_task(attempts.send(20))
    await asyncio.sleep(0.05)
    try:
        yield task
    finally:
        task.cancel()
        await asyncio.wait([task])


def test_request_without_a_handle_is_not_run_before_its_deadline(
    single_handle, monkeypatch
):
    monkeypatch.setattr(transfer, "QUEUE_RESERVE_S", 0.2)

    async def scenario(attempts):
        async with silent_request(attempts):
            started_s = time.monotonic()
            match await attempts.failure(0.5):
                case fleet_retries.NotRun():
                    pass
                case failure:
                    pytest.fail(f"{failure} instead of not run")
            # The caller still has to receive the refusal.
            assert time.monotonic() - started_s < 0.5
        await asyncio.sleep(0.05)
        assert len(attempts.server.requests) == 1

    run(no_answer, scenario)


def test_request_that_could_not_be_answered_any_more_leaves_the_queue(
    single_handle,
):
    async def scenario(attempts):
        attempts.target.stats.work_ms = 800.0
        async with silent_request(attempts):
            started_s = time.monotonic()
            await attempts.failure(0.6)
            assert 0.15 < time.monotonic() - started_s < 0.4

    run(no_answer, scenario)


def test_target_is_not_blamed_for_a_request_without_a_handle(single_handle):
    async def scenario(attempts):
        timeout_ms = attempts.client.adaptive_timeout.timeout_ms
        async with silent_request(attempts):
            for _ in range(target_choice.FAILURES_MAX):
                await attempts.failure(0.1)
            now_s = time.monotonic()
            assert not attempts.target.stats.is_backing_off(now_s)
            assert attempts.target.stats.in_flight == 1
        assert attempts.client.adaptive_timeout.timeout_ms == timeout_ms

    run(no_answer, scenario)


def test_target_gets_the_time_that_is_left_after_the_queue(single_handle):
    async def scenario(attempts):
        async with silent_request(attempts) as silent:
            queued = asyncio.create_task(attempts.failure(1.0))
            await asyncio.sleep(0.5)
            silent.cancel()
            await queued
        sent = re.search(rb"Deadline-Ms: (\d+)", attempts.server.requests[1])
        assert 300 < int(sent.group(1)) <= 500

    run(no_answer, scenario)


def test_time_in_the_queue_is_not_counted_as_time_of_the_target(
    single_handle,
):
    raw_answer = (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nContent-Length: 2\r\n\r\nok"
    )

    async def respond(server, number, reader, writer):
        if number == 1:
            return await no_answer(server, number, reader, writer)
        return await answering(raw_answer)(server, number, reader, writer)

    async def scenario(attempts):
        timeout_ms = attempts.client.adaptive_timeout.timeout_ms
        async with silent_request(attempts) as silent:
            queued = asyncio.create_task(attempts.send(2.0))
            await asyncio.sleep(0.7)
            silent.cancel()
            assert (await queued).status == 200
        assert attempts.target.stats.work_ms < 300
        assert attempts.client.adaptive_timeout.timeout_ms == timeout_ms

    run(respond, scenario)


OK_HEAD = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\n"


class FailingHeaders(platform.PlatformHeaders):
    """Conventions with a fault that appears once there is an answer."""

    def read_metadata(self, status, headers):
        raise ValueError("unexpected")


def assert_may_have_run(failure, *, timed_out):
    match failure:
        case fleet_retries.MaybeRun():
            assert failure.timed_out is timed_out
        case _:
            pytest.fail(f"{failure} instead of may have run")


def test_answer_that_cannot_be_handled_means_may_have_run(single_handle):
    raw_answer = OK_HEAD + b"Content-Length: 200000\r\n\r\n" + bytes(100_000)

    async def scenario(attempts):
        for _ in range(2):
            # The second attempt needs the handle of the first.
            assert_may_have_run(await attempts.failure(0.5), timed_out=False)
        assert attempts.target.stats.in_flight == 0

    run(answering(raw_answer), scenario, FailingHeaders())


def test_large_answer_of_a_target_that_did_not_run_it_is_not_awaited(
    single_handle,
):
    raw_answer = (
        b"HTTP/1.1 503 Full\r\nAttempt-Id: r1\r\nNot-Executed: 1\r\n"
        b"Content-Length: 200000\r\n\r\n"
    ) + bytes(100_000)

    async def scenario(attempts):
        for _ in range(2):
            match await attempts.failure(0.5):
                case fleet_retries.NotRun(refused=True):
                    pass
                case failure:
                    pytest.fail(f"{failure} instead of refused")

    run(answering(raw_answer), scenario)


LONG_NUMBER = b"9" * 5000


def closing(raw_answer):
    async def respond(server, number, reader, writer):
        writer.write(raw_answer)
        await writer.drain()
        return False

    return respond


def test_a_load_too_long_to_read_does_not_lose_the_answer():
    async def scenario(attempts):
        answer = await attempts.send(1.0)
        assert (answer.status, answer.body) == (200, b"ok")

    load = b"Server-Load: " + LONG_NUMBER + b",1,1\r\n"
    run(closing(OK_HEAD + load + b"Content-Length: 2\r\n\r\nok"), scenario)


def test_an_answer_whose_length_is_too_long_to_read_is_not_whole():
    """RFC 9112, section 6.3: nothing tells where such an answer ends."""

    async def scenario(attempts):
        failure = await attempts.failure(1.0)
        assert_may_have_run(failure, timed_out=False)
        assert "content-length" in failure.text

    length = b"Content-Length: " + LONG_NUMBER + b"\r\n"
    run(closing(OK_HEAD + length + b"Connection: close\r\n\r\nok"), scenario)


@pytest.mark.parametrize(
    "raw_answer",
    [
        b"",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        OK_HEAD + b"Content-Length: 100\r\n\r\nhalf",
        OK_HEAD + b"Content-Length: 70000\r\n\r\n" + bytes(60_000),
    ],
)
def test_target_that_falls_silent_means_may_have_run(raw_answer):
    async def scenario(attempts):
        assert_may_have_run(await attempts.failure(0.3), timed_out=True)
        assert attempts.target.stats.in_flight == 0

    run(answering(raw_answer), scenario)


def test_garbage_instead_of_an_answer_means_may_have_run():
    async def scenario(attempts):
        assert_may_have_run(await attempts.failure(1.0), timed_out=False)

    run(answering(b"\x00\xff garbage\r\n\r\n"), scenario)


def test_upload_that_pauses_ends_by_the_deadline():
    async def scenario(attempts):
        body = wire.Pipe()
        body.feed(b"half")
        upload = attrs.evolve(
            REQUEST, method="POST", body=body, body_bytes=100
        )
        failure = await attempts.failure(0.3, upload)
        assert_may_have_run(failure, timed_out=True)

    run(no_answer, scenario)


def test_large_answer_that_stops_is_incomplete_by_the_deadline():
    raw_answer = OK_HEAD + b"Content-Length: 200000\r\n\r\n" + bytes(100_000)

    async def scenario(attempts):
        answer = await attempts.send(0.5)
        async with asyncio.timeout(1.0):
            with pytest.raises(targets.TransferError):
                await answer.remaining_body.read_all(200_000)
        await asyncio.sleep(0)
        assert attempts.target.stats.in_flight == 0

    run(answering(raw_answer), scenario)


def test_path_that_is_not_ascii_reaches_the_target_unchanged():
    async def scenario(attempts):
        path = "/x/Zürich".encode()
        # As tornado's server decodes request lines.
        request = attrs.evolve(REQUEST, request_target=path.decode("latin1"))
        assert (await attempts.send(1.0, request)).status == 200
        assert attempts.server.requests[0].startswith(b"GET " + path)

    raw_answer = OK_HEAD + b"Content-Length: 2\r\n\r\nok"
    run(answering(raw_answer), scenario)


def test_a_target_that_answers_while_it_reads_gets_the_whole_body():
    """The answer is streamed before the end of the request body."""
    sent = random.Random(1).randbytes(2 * 1024 * 1024)

    async def echo(server, number, reader, writer):
        writer.write(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\n"
            b"Content-Length: %d\r\n\r\n" % len(sent)
        )
        left_bytes = len(sent)
        while left_bytes:
            chunk = await reader.read(65536)
            left_bytes -= len(chunk)
            writer.write(chunk)
            await writer.drain()
        return False

    async def scenario(attempts):
        body = wire.Pipe()
        request = attrs.evolve(
            REQUEST, method="POST", body=body, body_bytes=len(sent)
        )

        async def write_body():
            for at in range(0, len(sent), 65536):
                await body.put(sent[at : at + 65536])
            body.finish()

        writing = asyncio.create_task(write_body())
        async with asyncio.timeout(5):
            answer = await attempts.send(5, request)
            remaining = await answer.remaining_body.read_all(len(sent))
        assert answer.body + remaining == sent
        await writing

    run(echo, scenario)


def answer_of(request_id, *, refused=False):
    head = b"HTTP/1.1 200 OK\r\n"
    if refused:
        head = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
    body = f"of {request_id}".encode()
    return (
        head
        + f"Attempt-Id: {request_id}\r\n".encode()
        + b"Content-Length: %d\r\n\r\n" % len(body)
        + body
    )


def request_of(request_id):
    return attrs.evolve(
        REQUEST,
        request_id=request_id,
        headers=(("Attempt-Id", request_id),),
    )


def repeating(*, refused, delay_s):
    """Answer each request; write the first answer once more, later."""

    async def respond(server, number, reader, writer):
        request_id = re.search(
            r"Attempt-Id: (\w+)", server.requests[-1].decode()
        ).group(1)
        first = len(server.requests) == 1
        writer.write(answer_of(request_id, refused=refused and first))
        await writer.drain()
        if first:
            await asyncio.sleep(delay_s)
            writer.write(answer_of(request_id, refused=refused))
            await writer.drain()
        return True

    return respond


@pytest.mark.parametrize("refused", [False, True])
@pytest.mark.parametrize("delay_s", [0, 0.05])
def test_a_connection_with_a_second_answer_is_not_used_again(refused, delay_s):
    async def scenario(attempts):
        with contextlib.suppress(sending.SendError):
            await attempts.send(1.0, request_of("r1"))
        await asyncio.sleep(0.15)
        answer = await attempts.send(1.0, request_of("r2"))
        assert answer.body == b"of r2"
        assert attempts.server.connections == 2

    run(repeating(refused=refused, delay_s=delay_s), scenario)


@pytest.mark.parametrize("refused", [False, True])
def test_an_earlier_answer_written_again_answers_no_other_request(refused):
    """It arrives when the connection is in use again."""

    async def respond(server, number, reader, writer):
        request_id = f"r{len(server.requests)}"
        if number == 1:
            request_id = "r1"
        writer.write(answer_of(request_id, refused=refused))
        await writer.drain()
        return True

    async def scenario(attempts):
        with contextlib.suppress(sending.SendError):
            await attempts.send(1.0, request_of("r1"))
        with pytest.raises(sending.SendError) as caught:
            await attempts.send(1.0, request_of("r2"))
        assert_may_have_run(caught.value.failure, timed_out=False)
        assert attempts.server.connections == 1
        with contextlib.suppress(sending.SendError):
            await attempts.send(1.0, request_of("r3"))
        assert attempts.server.connections == 2

    run(respond, scenario)


def test_an_attempt_can_be_made_on_a_new_connection():
    async def respond(server, number, reader, writer):
        writer.write(answer_of("r1"))
        await writer.drain()
        return True

    async def scenario(attempts):
        for _ in range(2):
            await attempts.send(1.0)
        assert attempts.server.connections == 1
        await attempts.send(1.0, new_connection=True)
        assert attempts.server.connections == 2

    run(respond, scenario)


async def reset(server, number, reader, writer):
    """Reset the connection, as a target does that is full."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, linger
    )
    return False


@pytest.mark.parametrize("busy", [True, False])
def test_a_busy_target_that_resets_connections_has_no_room(busy):
    async def scenario(attempts):
        slots = attempts.target.stats.slots
        for _ in range(target_choice.FAILURES_MAX):
            now_s = time.monotonic()
            load = target_choice.LoadReport(
                running=slots, waiting=30 if busy else 0, slots=slots
            )
            if busy:
                attempts.target.stats.record_load(load, now_s)
            assert_may_have_run(await attempts.failure(1.0), timed_out=False)
        now_s = time.monotonic()
        assert attempts.target.stats.is_backing_off(now_s) is not busy
        if busy:
            attempts.target.stats.record_load(load, now_s)
        assert attempts.target.has_room(now_s) is not busy

    run(reset, scenario)


def test_a_busy_target_that_resets_a_reused_connection_has_no_room():
    """libcurl would send the request again, which is prevented."""

    async def respond(server, number, reader, writer):
        if len(server.requests) == 1:
            writer.write(answer_of("r1"))
            await writer.drain()
            return True
        return await reset(server, number, reader, writer)

    async def scenario(attempts):
        await attempts.send(1.0)
        slots = attempts.target.stats.slots
        load = target_choice.LoadReport(running=slots, waiting=30, slots=slots)
        attempts.target.stats.record_load(load, time.monotonic())
        assert_may_have_run(await attempts.failure(1.0), timed_out=False)
        assert len(attempts.server.requests) == 2
        now_s = time.monotonic()
        assert attempts.target.stats.failures == 0
        attempts.target.stats.record_load(load, now_s)
        assert not attempts.target.has_room(now_s)

    run(respond, scenario)


@pytest.mark.parametrize("whole", [True, False])
def test_a_target_that_crashes_during_an_upload_is_reported_with_its_body(
    whole,
):
    """Guards against crashes that count for a request without a body."""
    body = random.Random(1).randbytes(100_000)

    async def crash(server, number, reader, writer):
        await reader.readexactly(1)
        writer.transport.abort()
        return False

    async def scenario(attempts):
        pipe = wire.Pipe()
        request = attrs.evolve(
            REQUEST, method="POST", body=pipe, body_bytes=len(body)
        )
        pipe.feed(body[:50_000])
        sending_failed = asyncio.create_task(
            attempts.failure(1.0, request),
        )
        while not attempts.server.requests:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)
        if whole:
            pipe.feed(body[50_000:])
            pipe.finish()
        failure = await sending_failed
        assert isinstance(failure, fleet_retries.MaybeRun)
        report = wire.ttypes.WatchRequest()
        attempts.observations.flush_into(report)
        body_hash = body_identity.BodyHash()
        body_hash.update(body)
        identity = body_hash.identity(ended=True)
        expected = [request.fingerprint(identity)] if whole else []
        assert [run.fingerprint for run in report.broken] == expected

    run(crash, scenario)

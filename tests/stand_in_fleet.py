"""Stand-in for a fleet target: sends heartbeats, holds keys, serves requests.

Follows the platform's published protocol, with the project's names on the
wire (deploy/wire.toml). Runs as a separate process:

    python stand_in_fleet.py ID SERVICE ADDRESS:PORT CONTROL,CONTROL [--keyed]

Each request that runs prints a line "RUN request-id" to standard output. One
with the header ``Drop-Silently`` prints "DROPPED request-id" and is never
answered. One whose path contains "crash", or whose body ends with it, ends the
process. With ``--events``, holds, runs and drops are also printed as "EVENT"
lines of JSON with their time. After SIGHUP it turns requests away and asks for
rest; after SIGALRM its answers, but not its heartbeats, say that it leaves.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import itertools
import json
import os
import signal
import sys
import time

from tornado import httpclient
from tornado import httpserver
from tornado import iostream
from tornado import web

HEARTBEAT_S = 0.2
WORK_S = 0.01
# Time for which a leaving target keeps serving.
DRAIN_S = 2.5


class Target:
    def __init__(self, options):
        self.name = options.id
        self.service = options.service
        self.address = options.address
        self.control_addresses = options.controls.split(",")
        self.keyed = options.keyed
        self.listen = options.listen or options.address
        self.events = options.events
        self.limit_per_s = options.limit
        self.rest_s = options.rest
        # Until then, it turns all requests away.
        self.rest_until_s = 0.0
        # Whether its answers say that it leaves; its heartbeats do not.
        self.answers_leaving = False
        # A slow clock makes holds last longer than granted.
        self.clock_rate = 1 - options.slow
        # Highest token received by first key, also for ranges not held now.
        self.seen_tokens = {}
        self.incarnation = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.state = "ready"
        self.held = {}
        self.until_s = 0.0
        self.released = []

    def holds_key(self, key):
        if time.monotonic() >= self.until_s:
            return False
        return any(
            first <= key <= last for first, (last, _) in self.held.items()
        )

    def heartbeat_body(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 4,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": next(self.sequence),
            "born": self.incarnation,
            "held": [[f, last, t] for f, (last, t) in self.held.items()],
            "released": self.released,
        }

    async def send_heartbeat(self, client):
        sent_s = time.monotonic()
        body = json.dumps(self.heartbeat_body())
        for control in self.control_addresses:
            try:
                answer = await client.fetch(
                    f"http://{control}/goldcrestproxy/instances/{self.name}",
                    method="PUT",
                    body=body,
                    request_timeout=1.0,
                )
            except Exception:
                continue
            self.apply_answer(json.loads(answer.body), sent_s)
            return True
        return False

    def apply_answer(self, answer, sent_s):
        self.released = []
        if "held" not in answer:
            return
        granted = {
            f: (last, t)
            for f, last, t, _ in answer["held"]
            if self.seen_tokens.get(f, 0) <= t
        }
        self.seen_tokens.update({f: t for f, (_, t) in granted.items()})
        if time.monotonic() >= self.until_s:
            # Expired ranges are not reported as released.
            self.held = {}
        for first, (last, token) in self.held.items():
            if not any(f <= first <= end for f, (end, _) in granted.items()):
                self.released.append([first, last, f"{self.name}-{token}"])
        self.held = granted
        self.until_s = sent_s + answer["hold_ms"] / 1000 / self.clock_rate
        self.print_event(
            "hold",
            until_s=self.until_s,
            ranges=[[f, last, t] for f, (last, t) in granted.items()],
        )

    def print_event(self, kind, **fields):
        if self.events:
            event = {"kind": kind, "at_s": time.monotonic(), **fields}
            print("EVENT " + json.dumps(event), flush=True)

    async def drain_and_exit(self):
        """Report draining, serve for ``DRAIN_S``, deregister and exit."""
        self.state = "draining"
        client = httpclient.AsyncHTTPClient()
        for _ in range(10):
            if await self.send_heartbeat(client):
                break
            await asyncio.sleep(0.2)
        await asyncio.sleep(DRAIN_S)
        for control in self.control_addresses:
            try:
                await client.fetch(
                    f"http://{control}/goldcrestproxy/instances/{self.name}",
                    method="DELETE",
                    request_timeout=1.0,
                )
                break
            except Exception:
                continue
        sys.exit(0)

    async def run(self):
        client = httpclient.AsyncHTTPClient()
        while True:
            await self.send_heartbeat(client)
            await asyncio.sleep(0.05 if self.released else HEARTBEAT_S)


class Handler(web.RequestHandler):
    def initialize(self, target):
        self.target = target

    async def serve(self):
        headers = self.request.headers
        request_id = headers.get("Attempt-Id", "")
        self.set_header("Attempt-Id", request_id)
        load = headers.get("Report-Load", "1,0,4,100")
        self.set_header("Server-Load", load)
        if self.target.limit_per_s:
            self.set_header("Server-Limit", str(self.target.limit_per_s))
        if self.target.answers_leaving:
            self.set_header("Server-Leaving", "1")
        self.target.print_event("arrival", id=request_id)
        rest_s = self.target.rest_until_s - time.monotonic()
        if rest_s > 0:
            self.set_status(503)
            self.set_header("Not-Executed", "1")
            self.set_header("Retry-After", f"{rest_s:.3f}")
            self.target.print_event("away", id=request_id, rest_s=rest_s)
            return
        key = headers.get("Shard-Key")
        misdirected = headers.get("Target-Instance", self.target.name) != (
            self.target.name
        )
        if misdirected or (
            self.target.keyed
            and (key is None or not self.target.holds_key(int(key)))
        ):
            self.set_status(421)
            self.set_header("Not-Executed", "1")
            return
        if "Drop-Silently" in headers:
            print(f"DROPPED {request_id}", flush=True)
            self.target.print_event("drop", id=request_id)
            await asyncio.Event().wait()
        print(f"RUN {request_id}", flush=True)
        self.target.print_event(
            "run", id=request_id, key=key, headers=list(headers.get_all())
        )
        if "crash" in self.request.path or self.request.body.endswith(
            b"crash"
        ):
            os._exit(1)
        if "Endless" in headers:
            await self.write_without_end(headers["Endless"], request_id)
            return
        if "Raw-Answer" in headers:
            await self.write_raw(headers["Raw-Answer"], request_id)
            return
        await asyncio.sleep(float(headers.get("Work-Seconds", WORK_S)))
        self.set_header("Response-Signature", f"{self.target.name}.sig")
        if self.target.keyed and time.monotonic() >= self.target.until_s:
            # The hold expired while the request ran.
            self.set_status(500)
            return
        if "Fail-With" in headers:
            self.set_status(int(headers["Fail-With"]))
            self.write(b"failed")
            return
        self.write(self.request.body or b"looked up")

    async def write_raw(self, raw_answer, request_id):
        """Write bytes, given as hexadecimal digits, and close.

        The id ``r1`` in them is replaced by that of the request.
        """
        stream = self.detach()
        answer = bytes.fromhex(raw_answer)
        with contextlib.suppress(iostream.StreamClosedError):
            await stream.write(answer.replace(b"r1", request_id.encode()))
        stream.close()

    async def write_without_end(self, part, request_id):
        """Write a part of an answer until the connection is closed."""
        stream = self.detach()
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\n"
        starts = {"nothing": "", "head": f"{head}X-Long: ", "body": head}
        piece = b"x" * 65536
        try:
            await stream.write(starts[part].encode())
            if part == "body":
                await stream.write(b"Transfer-Encoding: chunked\r\n\r\n")
                piece = b"10000\r\n" + piece + b"\r\n"
            while True:
                await stream.write(piece)
        except iostream.StreamClosedError:
            print(f"CLOSED {request_id}", flush=True)

    get = post = serve


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("id")
    parser.add_argument("service")
    parser.add_argument("address")
    parser.add_argument("controls")
    parser.add_argument("--keyed", action="store_true")
    parser.add_argument("--events", action="store_true")
    parser.add_argument(
        "--limit",
        type=float,
        default=0.0,
        help="limit to name, in requests per second, until SIGUSR2",
    )
    parser.add_argument(
        "--rest",
        type=float,
        default=0.0,
        help="seconds for which it asks for rest after SIGHUP",
    )
    parser.add_argument("--listen", help="if not where others reach it")
    parser.add_argument(
        "--slow", type=float, default=0.0, help="part by which a clock lags"
    )
    target = Target(parser.parse_args())
    host, port = target.listen.split(":")
    server = httpserver.HTTPServer(
        web.Application([(r"/.*", Handler, {"target": target})])
    )
    server.listen(int(port), address=host)

    def start_draining():
        target.state = "draining"

    def withdraw_limit():
        target.limit_per_s = 0.0

    def rest():
        target.rest_until_s = time.monotonic() + target.rest_s

    def answer_leaving():
        target.answers_leaving = True

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, rest)
    loop.add_signal_handler(signal.SIGALRM, answer_leaving)
    loop.add_signal_handler(signal.SIGUSR1, start_draining)
    loop.add_signal_handler(signal.SIGUSR2, withdraw_limit)
    loop.add_signal_handler(
        signal.SIGTERM, lambda: asyncio.create_task(target.drain_and_exit())
    )
    await target.run()


if __name__ == "__main__":
    asyncio.run(main())

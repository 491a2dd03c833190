"""Stand-in for a target that follows docs/target-protocol.md.

Each run of a request is recorded as JSON lines, which tests count. A word in
the path selects a fault: ``crash``, ``slow``, ``silent``, ``short``,
``crossed``, ``malformed``, ``large``, ``endless-head`` or ``endless-body``. A
body that ends with ``crash`` does, too. ``/control`` changes the service time
and state.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import time
import uuid

from tornado import httpclient
from tornado import iostream
from tornado import web


def clock_ms() -> int:
    return int(time.monotonic() * 1000)


class Target:
    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.incarnation = uuid.uuid4().hex
        self.epoch = 0
        self.order = 0
        self.until_clock_ms = 0
        self.slots: dict[str, int] = {}
        self.running = 0
        self.running_max = 0
        self.completed = 0
        self.service_ms = options.service_ms
        self.leaving = False
        self.limit_per_s = None
        # Until then, it turns requests away and asks for rest.
        self.rest_until_s = 0.0
        self.silent = False
        # Requests beyond the slots wait inside the target.
        self.slot_semaphore = asyncio.Semaphore(options.slots)
        self.record_file = (
            open(options.record, "a", buffering=1) if options.record else None
        )

    @property
    def cold(self) -> bool:
        return self.completed < self.options.cold_requests

    def record(
        self, event: str, time_s: float | None = None, **fields: object
    ) -> None:
        if self.record_file is None:
            return
        line = {
            "event": event,
            "time_s": time.monotonic() if time_s is None else time_s,
            "target": self.options.name,
            **fields,
        }
        self.record_file.write(json.dumps(line) + "\n")

    def apply_order(self, order: dict) -> None:
        newer = (order["epoch"], order["order"]) > (self.epoch, self.order)
        if self.options.fencing and not newer:
            return
        self.epoch, self.order = order["epoch"], order["order"]
        self.until_clock_ms = order["until_clock_ms"]
        self.slots = {
            f"partition-{number}": token
            for number, token in order["partitions"]
        } | {f"key-{key}": token for key, token in order["hot_keys"]}

    def refusal_reason(self, headers: dict, now_s: float) -> str | None:
        slot = headers.get("Goldcrest-Slot")
        if self.options.fencing and slot is not None:
            token = int(headers["Goldcrest-Fencing-Token"])
            if int(now_s * 1000) >= self.until_clock_ms:
                return "not-owner"
            if self.slots.get(slot) != token:
                return "stale-token"
        capacity = (
            self.options.cold_bears if self.cold else self.options.slots * 2
        )
        return "shed" if self.running >= capacity else None

    async def announce(self) -> None:
        client = httpclient.AsyncHTTPClient()
        while True:
            for server in self.options.announce:
                body = {
                    "target": self.options.name,
                    "incarnation": self.incarnation,
                    "zone": self.options.zone,
                    "desk": self.options.desk,
                    "address": f"{self.options.address}:"
                    f"{self.options.announced_port or self.options.port}",
                    "slots": self.options.slots,
                    "supports": {
                        "fencing": self.options.fencing,
                        "cancellation": True,
                        "deadlines": True,
                    },
                    "leaving": self.leaving,
                }
                try:
                    await client.fetch(
                        f"http://{server}/v1/targets/announce",
                        method="POST",
                        body=json.dumps(body),
                        request_timeout=2,
                    )
                    break
                except Exception:
                    continue
            await asyncio.sleep(self.options.announce_s)


class GrantsHandler(web.RequestHandler):
    def post(self) -> None:
        target: Target = self.application.settings["target"]
        order = json.loads(self.request.body)
        target.apply_order(order)
        self.write(
            {
                "incarnation": target.incarnation,
                "clock_ms": clock_ms(),
                "order": target.order,
                "cold": target.cold,
                "limit_per_s": target.limit_per_s,
            }
        )


class CancelHandler(web.RequestHandler):
    def post(self, request_id: str) -> None:
        target: Target = self.application.settings["target"]
        target.record("cancel", request_id=request_id)
        self.write({})


class ControlHandler(web.RequestHandler):
    def post(self) -> None:
        target: Target = self.application.settings["target"]
        value = json.loads(self.request.body)
        target.service_ms = value.get("service_ms", target.service_ms)
        target.leaving = value.get("leaving", target.leaving)
        target.limit_per_s = value.get("limit_per_s", target.limit_per_s)
        if "rest_s" in value:
            target.rest_until_s = time.monotonic() + value["rest_s"]
        if value.get("turn_cold"):
            target.completed = 0
        self.write({"running_max": target.running_max})


class WorkHandler(web.RequestHandler):
    async def work(self) -> None:
        target: Target = self.application.settings["target"]
        headers = self.request.headers
        request_id = headers.get("Goldcrest-Request-Id", "")
        self.set_header("Goldcrest-Request-Id", request_id)
        # The process may be stopped between the check and the record, so a
        # run is recorded with the time for which its grant was checked.
        now_s = time.monotonic()
        rest_s = target.rest_until_s - now_s
        if rest_s > 0:
            self.set_status(503)
            self.set_header("Goldcrest-Outcome", "not-run")
            self.set_header("Goldcrest-Reason", "shed")
            self.set_header("Goldcrest-Rest-Ms", str(int(rest_s * 1000)))
            target.record("away", now_s, request_id=request_id, rest_s=rest_s)
            return
        reason = target.refusal_reason(headers, now_s)
        if reason is not None:
            self.set_status(503)
            self.set_header("Goldcrest-Outcome", "not-run")
            self.set_header("Goldcrest-Reason", reason)
            target.record("refused", request_id=request_id, reason=reason)
            return
        target.running += 1
        target.running_max = max(target.running_max, target.running)
        fields = {
            "request_id": request_id,
            "path": self.request.path,
            "slot": headers.get("Goldcrest-Slot"),
            "token": headers.get("Goldcrest-Fencing-Token"),
            "bytes": len(self.request.body),
            "cold": target.cold,
            "running": target.running,
        }
        target.record("start", now_s, method=self.request.method, **fields)
        if "crash" in self.request.path or self.request.body.endswith(
            b"crash"
        ):
            os._exit(1)
        try:
            async with target.slot_semaphore:
                await asyncio.sleep(target.service_ms / 1000)
            if "slow" in self.request.path:
                await asyncio.sleep(1.0)
        finally:
            target.running -= 1
        target.completed += 1
        target.record("end", **fields)
        if "silent" in self.request.path:
            await asyncio.sleep(60)
        if "short" in self.request.path:
            await self.request.connection.stream.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
                b"Goldcrest-Request-Id: "
                + request_id.encode()
                + b"\r\n\r\nhalf"
            )
            self.request.connection.stream.close()
            return
        if "malformed" in self.request.path:
            # No integer holds this length; the body is cut.
            await self.request.connection.stream.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775808\r\n"
                b"Goldcrest-Request-Id: "
                + request_id.encode()
                + b"\r\n\r\nhalf"
            )
            self.request.connection.stream.close()
            return
        if "endless" in self.request.path:
            await self.write_without_end(request_id)
            target.record("closed", request_id=request_id)
            return
        if "crossed" in self.request.path:
            self.set_header("Goldcrest-Request-Id", "another-request")
        if "large" in self.request.path:
            self.write(b"x" * 3_000_000)
            return
        self.write(
            {
                "target": target.options.name,
                "path": self.request.path,
                "bytes": len(self.request.body),
            }
        )

    async def write_without_end(self, request_id: str) -> None:
        """Write a head or a body until the connection is closed."""
        stream = self.detach()
        head = f"HTTP/1.1 200 OK\r\nGoldcrest-Request-Id: {request_id}\r\n"
        piece = b"x" * 65536
        if "head" in self.request.path:
            head += "X-Long: "
        else:
            head += "Transfer-Encoding: chunked\r\n\r\n"
            piece = b"10000\r\n" + piece + b"\r\n"
        try:
            await stream.write(head.encode())
            while True:
                await stream.write(piece)
        except iostream.StreamClosedError:
            pass

    get = post = put = delete = work


def parse(arguments: list[str] | None = None) -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("--name", required=True)
    parser.add_argument("--desk", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--announced-port", type=int, default=0)
    parser.add_argument("--announce-s", type=float, default=0.25)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--service-ms", type=float, default=2)
    parser.add_argument("--cold-requests", type=int, default=0)
    parser.add_argument("--cold-bears", type=int, default=1)
    parser.add_argument("--fencing", action="store_true")
    parser.add_argument("--record")
    parser.add_argument("--announce", action="append", default=[])
    return parser.parse_args(arguments)


async def main() -> None:
    options = parse()
    target = Target(options)
    application = web.Application(
        [
            (r"/goldcrest/v1/grants", GrantsHandler),
            (r"/goldcrest/v1/cancel/(.+)", CancelHandler),
            (r"/control", ControlHandler),
            (r"/.*", WorkHandler),
        ],
        target=target,
    )
    application.listen(
        options.port, address=options.address, max_body_size=1 << 30
    )
    await target.announce()


if __name__ == "__main__":
    asyncio.run(main())

"""Plain proxy that serves as the baseline of bench/policy.py.

Uses round robin over a pool, a hash of the path for keyed targets, a fixed
limit of concurrent requests at each target and up to two retries of any
failure. A target counts as healthy while connections to it open. Serves the
same paths as an entry host.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import zlib

from tornado import curl_httpclient
from tornado import httpclient
from tornado import web

ATTEMPTS = 3
TIMEOUT_S = 3.0
CONCURRENCY_PER_SLOT = 2


class Baseline:
    def __init__(self, targets: list[str], keyed: bool, slots: int) -> None:
        self.targets = targets
        self.keyed = keyed
        self.next_target = itertools.count()
        self.limits = {
            name: asyncio.Semaphore(slots * CONCURRENCY_PER_SLOT)
            for name in targets
        }
        self.client = curl_httpclient.CurlAsyncHTTPClient(
            force_instance=True, max_clients=1000
        )

    def choose(self, path: str, attempt: int) -> str:
        if self.keyed:
            return self.targets[zlib.crc32(path.encode()) % len(self.targets)]
        return self.targets[next(self.next_target) % len(self.targets)]


class Handler(web.RequestHandler):
    async def serve(self) -> None:
        baseline: Baseline = self.application.settings["baseline"]
        path = "/" + self.request.path.split("/", 3)[3]
        for attempt in range(ATTEMPTS):
            name = baseline.choose(path, attempt)
            try:
                async with baseline.limits[name]:
                    response = await baseline.client.fetch(
                        f"http://{name}{path}",
                        method=self.request.method,
                        body=self.request.body or None,
                        allow_nonstandard_methods=True,
                        request_timeout=TIMEOUT_S,
                        raise_error=False,
                    )
            except (httpclient.HTTPError, OSError):
                continue
            if response.code == 200:
                self.write(response.body)
                return
        self.set_status(503)

    get = post = put = serve


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--keyed", action="store_true")
    parser.add_argument("targets", nargs="+")
    options = parser.parse_args()
    web.Application(
        [(r"/.*", Handler)],
        baseline=Baseline(options.targets, options.keyed, options.slots),
    ).listen(options.port, "127.0.0.1")
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())

"""Daemon whose connections to targets pass through relays of a test.

    python rerouted_daemon.py ROUTES --settings FILE

ROUTES is a JSON object with the relay's HOST:PORT for each target's
HOST:PORT. Other connections are not changed.
"""

from __future__ import annotations

import json
import sys

import pycurl
from tornado import tcpclient

from goldcrestproxy import daemon
from goldcrestproxy.targets import transfer


def reroute(routes):
    configure = transfer.Transfer._configure_curl
    connect = tcpclient.TCPClient.connect

    def configure_curl(self, curl):
        configure(self, curl)
        curl.setopt(
            pycurl.CONNECT_TO,
            [f"{target}:{relay}" for target, relay in routes.items()],
        )

    async def connect_client(self, host, port, *arguments, **options):
        relay = routes.get(f"{host}:{port}", f"{host}:{port}")
        host, _, port = relay.rpartition(":")
        return await connect(self, host, int(port), *arguments, **options)

    transfer.Transfer._configure_curl = configure_curl
    tcpclient.TCPClient.connect = connect_client


if __name__ == "__main__":
    reroute(json.loads(sys.argv.pop(1)))
    sys.exit(daemon.main())

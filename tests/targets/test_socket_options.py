from __future__ import annotations

import asyncio
import socket

import pycurl
import raw_server
from tornado import httpclient
from tornado import tcpclient

from goldcrestproxy.targets import handles


def options_of(connection):
    return {
        "user_timeout": connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        ),
        "keepalive": connection.getsockopt(
            socket.SOL_SOCKET, socket.SO_KEEPALIVE
        ),
    }


def test_libraries_do_not_let_the_kernel_give_up_connections():
    opened = []

    def open_socket(_purpose, _address):
        opened.append(socket.socket())
        return opened[-1]

    async def respond(_server, _number, _reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        return True

    async def scenario():
        server = raw_server.RawServer(respond)
        async with server.running() as address:
            client = handles.Handles(1)
            await client.take()
            await client.fetch(
                httpclient.HTTPRequest(
                    f"http://{address}/",
                    prepare_curl_callback=lambda curl: curl.setopt(
                        pycurl.OPENSOCKETFUNCTION, open_socket
                    ),
                )
            )
            host, _, port = address.rpartition(":")
            stream = await tcpclient.TCPClient().connect(host, int(port))
            opened.append(stream.socket)
            found = [options_of(connection) for connection in opened]
            stream.close()
            client.close()
            return found

    unset = {"user_timeout": 0, "keepalive": 0}
    assert asyncio.run(scenario()) == [unset, unset]

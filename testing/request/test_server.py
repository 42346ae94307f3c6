"""The HTTP listener of a node."""

from __future__ import annotations

import socket
import unittest

import anyio

from bramleylead.request._server import HttpServer


class HttpServerTest(unittest.TestCase):
    def test_small_writes_go_out_at_once(self) -> None:
        """Answers came 40 ms late: asyncio leaves TCP_NODELAY off on a socket made without proto.

        The head and the body of an answer are two writes, and the second one waited for the
        client's delayed acknowledgement of the first.
        """
        seen = []

        async def app(scope: dict, receive: object, send: object) -> None:
            for connection in server._server.server_state.connections:
                accepted = connection.transport.get_extra_info("socket")
                seen.append(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))

        server = HttpServer(app)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(server.serve, "127.0.0.1:0")
                host, port = address.rsplit(":", 1)
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                    await stream.receive()
                server.kill()

        anyio.run(main)
        self.assertEqual([bool(value) for value in seen], [True])


if __name__ == "__main__":
    unittest.main()

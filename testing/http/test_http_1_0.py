"""Callers of HTTP/1.0, to whom a response without a length ends with its connection."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.connection._tcp import split_address
from bramleylead.http._exchange import Exchange
from bramleylead.http._server import HttpServer

REQUEST = b"GET /stream HTTP/%s\r\nHost: site.example\r\n\r\n"
EVENT = b"id: 1\ndata: word\n\n"
TEST_LIMIT_S = 30.0


class BrokenOffError(Exception):
    """Ends a response in its middle."""


def received_by_caller(
    version: bytes, *, broken_off: bool = False, killed: bool = False
) -> tuple[bytes, bool]:
    """Return what a caller receives, and whether the connection was reset.

    :param broken_off: whether the application ends the response in its middle.
    :param killed: whether the server is killed in its middle.
    """
    server: HttpServer

    async def app(scope, receive, send) -> None:
        exchange = Exchange(scope, receive, send)
        await exchange.start(200, [("content-type", "text/event-stream")])
        await exchange.write(EVENT)
        await anyio.sleep(0.1)
        if killed:
            server.kill()
        if broken_off:
            raise BrokenOffError
        await exchange.write(b"", more=False)

    async def main() -> tuple[bytes, bool]:
        nonlocal server
        server = HttpServer(app)
        received = b""
        with anyio.fail_after(TEST_LIMIT_S):
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(server.serve, "127.0.0.1:0")
                async with await anyio.connect_tcp(*split_address(address)) as stream:
                    await stream.send(REQUEST % version)
                    was_reset = False
                    try:
                        while not received.endswith(b"0\r\n\r\n"):
                            received += await stream.receive()
                    except anyio.EndOfStream:
                        pass
                    except anyio.BrokenResourceError:
                        was_reset = True
                server.kill()
        return received, was_reset

    return anyio.run(main, backend="asyncio")


class Http10Test(unittest.TestCase):
    # Guards against a stream that was broken off and looks complete to a caller of HTTP/1.0.
    def test_a_response_that_is_broken_off_is_reset(self) -> None:
        _, was_reset = received_by_caller(b"1.0", broken_off=True)
        self.assertTrue(was_reset)

    # Guards against the same when the gateway ends by itself or is killed.
    def test_a_response_is_reset_if_the_server_is_killed_in_its_middle(self) -> None:
        _, was_reset = received_by_caller(b"1.0", killed=True)
        self.assertTrue(was_reset)

    def test_a_complete_response_ends_with_its_connection(self) -> None:
        received, was_reset = received_by_caller(b"1.0", broken_off=False)
        self.assertTrue(received.endswith(EVENT))
        self.assertFalse(was_reset)

    def test_a_chunked_response_that_is_broken_off_lacks_its_last_chunk(self) -> None:
        received, was_reset = received_by_caller(b"1.1", broken_off=True)
        self.assertIn(EVENT, received)
        self.assertFalse(received.endswith(b"0\r\n\r\n"))
        self.assertFalse(was_reset)

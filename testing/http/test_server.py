"""The HTTP listener with real sockets, on the asyncio backend."""

from __future__ import annotations

import json
import signal
import socket
import unittest
import unittest.mock
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
import httpcore
from anyio.abc import SocketStream

from bramleylead.connection._tcp import split_address
from bramleylead.http import _protocol
from bramleylead.http import _server
from bramleylead.request import AnswerChunk
from bramleylead.request import HttpApp
from bramleylead.request import HttpServer
from testing.request.fakes import PRAIRIE_KEY
from testing.request.fakes import SETTINGS
from testing.request.fakes import FakeNode
from testing.request.fakes import answer_end

HEADERS = {"Authorization": f"Bearer {PRAIRIE_KEY}", "Bramleylead-Program": "p-1"}
CHAT = {"model": "tutor", "messages": [{"role": "user", "content": "hi"}], "stream": True}
TEST_LIMIT_S = 30.0

TestBody = Callable[[HttpServer, str], Awaitable[None]]


def serve(node: FakeNode, body: TestBody) -> None:
    """Run ``body`` against a listener; it must stop or kill the listener before it returns."""

    async def main() -> None:
        server = HttpServer(HttpApp(node, SETTINGS))
        with anyio.fail_after(TEST_LIMIT_S):
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(server.serve, "127.0.0.1:0")
                await body(server, address)

    anyio.run(main, backend="asyncio")


async def send_raw(address: str, data: bytes) -> tuple[int, Any]:
    """Send bytes and return the status and JSON of the response."""
    async with await anyio.connect_tcp(*split_address(address)) as stream:
        await stream.send(data)
        return _parse(await _read_all(stream))


async def _read_all(stream: SocketStream) -> bytes:
    received = b""
    try:
        while True:
            received += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return received


def _parse(response: bytes) -> tuple[int, Any]:
    head, _, body = response.partition(b"\r\n\r\n")
    return int(head.split()[1]), json.loads(body)


class ServerTest(unittest.TestCase):
    def test_a_stop_lets_a_running_stream_finish(self) -> None:
        node = FakeNode(
            [AnswerChunk(0, "hel", 1), 0.3, AnswerChunk(3, "lo", 1), answer_end("hello")]
        )

        async def body(server: HttpServer, address: str) -> None:
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{address}/v1/chat/completions"
                content = json.dumps(CHAT).encode()
                async with pool.stream("POST", url, headers=HEADERS, content=content) as response:
                    parts = response.aiter_stream()
                    received = await anext(parts)
                    server.stop(grace_s=10)
                    async for part in parts:
                        received += part
            self.assertTrue(received.endswith(b"data: [DONE]\n\n"))
            self.assertEqual(received.count(b"chat.completion.chunk"), 3)

        before = signal.getsignal(signal.SIGTERM)
        serve(node, body)
        self.assertIs(signal.getsignal(signal.SIGTERM), before)

    def test_a_request_of_which_a_part_has_arrived_is_answered_despite_a_stop(self) -> None:
        # Under load, a stop cut off connections whose request had arrived in part.
        async def body(server: HttpServer, address: str) -> None:
            request = b"GET /v1/programs/x HTTP/1.1\r\nhost: a\r\n\r\n"
            async with await anyio.connect_tcp(*split_address(address)) as stream:
                await stream.send(request[:20])
                await anyio.sleep(0.1)
                server.stop(grace_s=10)
                await anyio.sleep(0.1)
                await stream.send(request[20:])
                response = await _read_all(stream)
            self.assertTrue(response.startswith(b"HTTP/1.1 401"), response[:80])

        serve(FakeNode([]), body)

    def test_connections_have_tcp_nodelay_set(self) -> None:
        """Without an explicit protocol on the listener socket, each first token was 40 ms late."""
        node = FakeNode([AnswerChunk(0, "hel", 1), 60.0, answer_end("hel")])
        nodelay_values: list[int] = []

        async def body(server: HttpServer, address: str) -> None:
            async with await anyio.connect_tcp(*split_address(address)) as stream:
                await stream.send(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
                await stream.receive()
                for connection in server._server.server_state.connections:
                    raw_socket = connection.transport.get_extra_info("socket")
                    nodelay_values.append(
                        raw_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                    )
            server.stop(grace_s=1)

        serve(node, body)
        self.assertEqual([bool(value) for value in nodelay_values], [True])

    def test_a_caller_that_stops_reading_does_not_block_its_request(self) -> None:
        """The send buffer never drained, and the request waited forever."""
        text = "x" * 60_000
        chunks = [AnswerChunk(number * len(text), text, 1) for number in range(400)]

        async def body(server: HttpServer, address: str) -> None:
            content = json.dumps(CHAT).encode()
            head = (
                f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                f"Content-Length: {len(content)}\r\nBramleylead-Program: p-1\r\n"
                f"Authorization: Bearer {PRAIRIE_KEY}\r\n\r\n"
            )
            async with await anyio.connect_tcp(*split_address(address)) as stream:
                await stream.send(head.encode() + content)
                await node.call_cancelled.wait()
            server.stop(grace_s=1)

        node = FakeNode(list(chunks))
        with unittest.mock.patch.object(_server, "TCP_USER_TIMEOUT_MS", 300):
            serve(node, body)
        self.assertEqual(node.metrics.callers_gone.get({}), 1)

    def test_a_kill_aborts_running_requests(self) -> None:
        node = FakeNode([AnswerChunk(0, "hel", 1), 60.0, answer_end("hel")])

        async def body(server: HttpServer, address: str) -> None:
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{address}/v1/chat/completions"
                content = json.dumps(CHAT).encode()
                with self.assertRaises((httpcore.RemoteProtocolError, httpcore.ReadError)):
                    async with pool.stream(
                        "POST", url, headers=HEADERS, content=content
                    ) as response:
                        async for _ in response.aiter_stream():
                            server.kill()
            with self.assertRaises(OSError):
                await anyio.connect_tcp(*split_address(address))

        serve(node, body)

    def test_requests_are_cancelled_after_the_grace_period(self) -> None:
        node = FakeNode([AnswerChunk(0, "hel", 1), 60.0, answer_end("hel")])

        async def body(server: HttpServer, address: str) -> None:
            async with httpcore.AsyncConnectionPool() as pool:
                url = f"http://{address}/v1/chat/completions"
                content = json.dumps(CHAT).encode()
                async with pool.stream("POST", url, headers=HEADERS, content=content) as response:
                    parts = response.aiter_stream()
                    await anext(parts)
                    server.stop(grace_s=0.1)
                    with self.assertRaises((httpcore.RemoteProtocolError, httpcore.ReadError)):
                        await anext(parts)

        serve(node, body)

    def test_invalid_http_gets_an_error_kind(self) -> None:
        async def body(server: HttpServer, address: str) -> None:
            status, document = await send_raw(address, b"hello\r\n\r\n")
            self.assertEqual((status, document["error"]["error_kind"]), (400, "malformed"))
            huge = b"GET / HTTP/1.1\r\nx: " + b"y" * 100_000
            status, document = await send_raw(address, huge)
            self.assertEqual((status, document["error"]["error_kind"]), (413, "too_large"))
            server.stop(grace_s=1)

        serve(FakeNode(), body)

    def test_headers_that_arrive_too_slowly_are_refused(self) -> None:
        async def body(server: HttpServer, address: str) -> None:
            status, document = await send_raw(address, b"GET /healthz HTTP/1.1\r\nx: ")
            self.assertEqual((status, document["error"]["error_kind"]), (504, "deadline_exceeded"))
            server.stop(grace_s=1)

        with unittest.mock.patch.object(_protocol, "HEADER_TIMEOUT_S", 0.2):
            serve(FakeNode(), body)

    def test_a_too_large_body_is_refused_without_a_connection_reset(self) -> None:
        async def body(server: HttpServer, address: str) -> None:
            head = (
                f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 3000000\r\n"
                f"Authorization: Bearer {PRAIRIE_KEY}\r\n\r\n"
            )
            status, document = await send_raw(address, head.encode() + b"x" * 3_000_000)
            self.assertEqual((status, document["error"]["error_kind"]), (413, "too_large"))
            server.stop(grace_s=1)

        serve(FakeNode(), body)

    def test_a_disconnect_during_a_stream_cancels_the_call(self) -> None:
        node = FakeNode([AnswerChunk(0, "hel", 1), 60.0, answer_end("hel")])

        async def body(server: HttpServer, address: str) -> None:
            content = json.dumps(CHAT).encode()
            head = (
                f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                f"Content-Length: {len(content)}\r\nBramleylead-Program: p-1\r\n"
                f"Authorization: Bearer {PRAIRIE_KEY}\r\n\r\n"
            )
            async with await anyio.connect_tcp(*split_address(address)) as stream:
                await stream.send(head.encode() + content)
                await stream.receive()
            await node.call_cancelled.wait()
            server.stop(grace_s=1)

        serve(node, body)

    def test_an_address_in_use_raises_an_error(self) -> None:
        async def body(server: HttpServer, address: str) -> None:
            with self.assertRaises(OSError):
                await HttpServer(HttpApp(FakeNode(), SETTINGS)).serve(address)
            server.kill()

        serve(FakeNode(), body)


class NoDelayTest(unittest.TestCase):
    def test_small_writes_are_sent_immediately(self) -> None:
        """Responses were 40 ms late: asyncio does not set TCP_NODELAY on a socket without a proto.

        The head and the body of a response are two writes, and the second one waited for the
        client's delayed acknowledgement of the first.
        """
        nodelay_values = []

        async def app(scope: dict, receive: Any, send: Any) -> None:
            for connection in server._server.server_state.connections:
                accepted = connection.transport.get_extra_info("socket")
                nodelay_values.append(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
            head = [(b"content-length", b"2")]
            await send({"type": "http.response.start", "status": 200, "headers": head})
            await send({"type": "http.response.body", "body": b"{}"})

        server = HttpServer(app)

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(server.serve, "127.0.0.1:0")
                await send_raw(address, b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
                server.kill()

        anyio.run(main)
        self.assertEqual([bool(value) for value in nodelay_values], [True])


if __name__ == "__main__":
    unittest.main()

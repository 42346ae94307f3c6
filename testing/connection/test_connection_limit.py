"""Idle connections do not take the descriptors that a process needs."""

from __future__ import annotations

import errno
import resource
import socket
import unittest
import unittest.mock
from contextlib import AsyncExitStack
from typing import Any

import anyio
from anyio.abc import SocketStream
from result import Ok
from structlog.testing import capture_logs

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.connection import TcpNetwork
from bramleylead.connection import _accept
from bramleylead.connection._connection_limit import CALLERS_SHARE
from bramleylead.connection._connection_limit import MIN_CONNECTIONS
from bramleylead.connection._connection_limit import descriptor_share
from bramleylead.connection._listener import open_listener
from bramleylead.connection._listener import split_address
from bramleylead.http._server import HttpServer
from testing.connection.test_accept import REQUEST
from testing.connection.test_accept import FailingListener
from testing.connection.test_rpc import KEY
from testing.connection.test_rpc import Echo
from testing.connection.test_tcp_options import answer_empty

LIMIT_S = 20.0
CLOSED = (anyio.EndOfStream, anyio.BrokenResourceError)


async def echo(request: Echo, reply: Reply) -> None:
    await reply.send(request)


class HttpConnectionLimitTest(unittest.TestCase):
    def run_server(self, body: Any, app: Any = answer_empty) -> None:
        async def main() -> None:
            server = HttpServer(app, share=0.0)
            with anyio.fail_after(LIMIT_S):
                async with AsyncExitStack() as stack, anyio.create_task_group() as tasks:
                    address = await tasks.start(server.serve, "127.0.0.1:0")

                    async def connect() -> SocketStream:
                        stream = await anyio.connect_tcp(*split_address(address))
                        return await stack.enter_async_context(stream)

                    await body(connect)
                    server.kill()

        with capture_logs():
            anyio.run(main)

    # Guards against callers that get no connection since idle ones hold all descriptors.
    def test_a_caller_is_served_in_place_of_the_connection_that_was_idle_longest(self) -> None:
        async def body(connect: Any) -> None:
            idle = [await connect() for _ in range(MIN_CONNECTIONS)]
            for closed in idle:
                caller = await connect()
                await caller.send(REQUEST)
                self.assertIn(b"200", await caller.receive())
                with self.assertRaises(CLOSED):
                    await closed.receive()

        self.run_server(body)

    def test_a_kept_connection_outlasts_those_that_never_sent_anything(self) -> None:
        async def body(connect: Any) -> None:
            kept = await connect()
            await kept.send(REQUEST)
            await kept.receive()
            idle = [await connect() for _ in range(2 * MIN_CONNECTIONS)]
            with self.assertRaises(CLOSED):
                await idle[0].receive()
            await kept.send(REQUEST)
            self.assertIn(b"200", await kept.receive())

        self.run_server(body)

    def test_running_requests_are_never_cut(self) -> None:
        async def answer_later(scope: Any, receive: Any, send: Any) -> None:
            send_started.send_nowait(None)
            await go_on.wait()
            await answer_empty(scope, receive, send)

        async def body(connect: Any) -> None:
            callers = []
            for _ in range(2 * MIN_CONNECTIONS):
                callers.append(await connect())
                await callers[-1].send(REQUEST)
                await started.receive()
                await connect()
            go_on.set()
            for caller in callers:
                self.assertIn(b"200", await caller.receive())

        send_started, started = anyio.create_memory_object_stream[None](100)
        go_on = anyio.Event()
        self.run_server(body, answer_later)

    def test_without_a_descriptor_an_idle_connection_is_closed(self) -> None:
        async def open_failing(address: str, prepare: Any) -> socket.socket:
            opened = await open_listener(address, prepare)
            listeners.append(FailingListener(fileno=opened.detach()))
            return listeners[-1]

        async def body(connect: Any) -> None:
            idle = await connect()
            caller = await connect()
            await caller.send(REQUEST)
            await caller.receive()
            listeners[0].errors = [errno.EMFILE]
            await connect()
            with self.assertRaises(CLOSED):
                await idle.receive()

        listeners: list[FailingListener] = []
        with unittest.mock.patch.object(_accept, "open_listener", open_failing):
            self.run_server(body)


class ShareTest(unittest.TestCase):
    def share_at(self, limit: int) -> int:
        limits = (limit, limit)
        with unittest.mock.patch.object(resource, "getrlimit", return_value=limits):
            return descriptor_share(CALLERS_SHARE)

    def test_a_share_leaves_descriptors_for_the_process_itself(self) -> None:
        self.assertEqual([self.share_at(limit) for limit in (4, 120, 4_100)], [4, 45, 1_950])

    # Guards against a server that closes all connections but four, as if -1 were a small limit.
    def test_no_limit_counts_as_a_high_one(self) -> None:
        self.assertGreater(self.share_at(resource.RLIM_INFINITY), 100_000)


class NodesConnectionLimitTest(unittest.TestCase):
    def test_a_node_is_served_while_connections_without_a_handshake_are_held(self) -> None:
        async def main() -> None:
            server = PeerServer(node="b", cluster_key=KEY, max_unproven=MIN_CONNECTIONS)
            server.handle(Echo, echo)
            async with AsyncExitStack() as stack, anyio.create_task_group() as tasks:
                network = TcpNetwork()
                address = await tasks.start(network.serve, "127.0.0.1:0", server.serve_stream)
                idle = [
                    await stack.enter_async_context(await network.connect(address))
                    for _ in range(2 * MIN_CONNECTIONS)
                ]
                async with PeerClient(network, node="a", cluster_key=KEY) as client:
                    answer = await client.request(address, Echo("hello"), timeout_s=LIMIT_S)
                self.assertEqual(answer, Ok(Echo("hello")))
                for stream in idle[:MIN_CONNECTIONS]:
                    with self.assertRaises(CLOSED):
                        await stream.receive()
                self.assertGreaterEqual(server.closed_unproven, MIN_CONNECTIONS)
                tasks.cancel_scope.cancel()

        anyio.run(main)


if __name__ == "__main__":
    unittest.main()

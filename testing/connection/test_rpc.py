"""Calls between nodes over the fake network."""

from __future__ import annotations

import unittest
from typing import Any
from typing import NamedTuple

import anyio
from result import Err
from result import Ok

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.connection import message
from bramleylead.errors import ErrorKind
from bramleylead.standins import FakeNetwork
from bramleylead.standins import run_virtual

KEY = "a shared key of the cluster"
ADDRESS = "10.0.0.2:7000"


@message(9001)
class Echo(NamedTuple):
    text: str
    times: int = 1


async def _echo(request: Echo, reply: Reply) -> None:
    for _ in range(request.times):
        await reply.send(request)


async def _with_pair(test: Any, *, server_key: str = KEY) -> Any:
    network = FakeNetwork({"10.0.0.1": ("r1", "d1"), "10.0.0.2": ("r2", "d2")})
    server = PeerServer(node="b", cluster_key=server_key)
    server.handle(Echo, _echo)
    async with anyio.create_task_group() as tasks:
        await tasks.start(network.view("10.0.0.2").serve, ADDRESS, server.serve_stream)
        async with PeerClient(network.view("10.0.0.1"), node="a", cluster_key=KEY) as client:
            result = await test(network, server, client)
        tasks.cancel_scope.cancel()
    return result


class RequestTest(unittest.TestCase):
    def test_a_request_gets_its_answer(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            return await client.request(ADDRESS, Echo("hello"), timeout_s=1)

        answer = run_virtual(lambda: _with_pair(body), seed=1)
        self.assertEqual(answer, Ok(Echo("hello")))

    def test_a_wrong_cluster_key_gets_no_answer(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            return await client.request(ADDRESS, Echo("hello"), timeout_s=1), server.bad_frames

        answer, bad = run_virtual(lambda: _with_pair(body, server_key="other" * 4), seed=1)
        self.assertIsInstance(answer, Err)
        self.assertEqual(bad, 1)

    def test_a_silent_stream_is_replaced_by_a_new_one(self) -> None:
        async def body(network: FakeNetwork, server: PeerServer, client: PeerClient) -> Any:
            await client.request(ADDRESS, Echo("first"), timeout_s=1)
            network.silence("10.0.0.1", "10.0.0.2")
            lost = await client.request(ADDRESS, Echo("lost"), timeout_s=10)
            return lost, await client.request(ADDRESS, Echo("again"), timeout_s=1)

        lost, again = run_virtual(lambda: _with_pair(body), seed=1)
        self.assertEqual(lost.err_value.kind, ErrorKind.OWNER_UNAVAILABLE)
        self.assertEqual(again, Ok(Echo("again")))


if __name__ == "__main__":
    unittest.main()

"""A node run as a process: signals, state dump, graceful stop, and addresses in use."""

from __future__ import annotations

import contextlib
import io
import json
import os
import signal
import socket
import sys
import unittest
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
import httpcore

from bramleylead._signals import SIGNALS_OF_COMMAND
from bramleylead._signals import SignalInbox
from bramleylead.node_settings import NodeSettings
from bramleylead.process import _node
from bramleylead.process._run_node import free_address
from bramleylead.process._run_node import run_node

TEST_LIMIT_S = 30.0
KEY = "a shared key of the cluster"


def settings() -> NodeSettings:
    """Return the settings of a single node with a free HTTP port and any peer port."""
    return NodeSettings(
        node="n1",
        region="r1",
        data_centre="d1",
        peer_address="127.0.0.1:0",
        http_address=free_address("127.0.0.1:0"),
        cluster_key=KEY,
        operator_key_sha256="ab" * 32,
    )


async def status(node: NodeSettings, path: str) -> int:
    """Return the HTTP status of a probe; 0 if nothing listens."""
    async with httpcore.AsyncConnectionPool() as pool:
        try:
            return (await pool.request("GET", f"http://{node.http_address}{path}")).status
        except httpcore.NetworkError:
            return 0


def run(body: Callable[[NodeSettings], Awaitable[Any]]) -> tuple[list[bool], Any, str]:
    """Run a node concurrently with ``body``, which must send the signals that end it.

    :returns: whether it stopped gracefully, what ``body`` returned, and the standard output.
    """
    node = settings()
    ended: list[bool] = []
    results: list[Any] = []

    async def serve() -> None:
        with SignalInbox(SIGNALS_OF_COMMAND["node"]) as signals:
            ended.append(await run_node(node, signals))

    async def main() -> None:
        with anyio.fail_after(TEST_LIMIT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(serve)
                while await status(node, "/healthz") != 200:  # noqa: ASYNC110 - no event
                    await anyio.sleep(0.01)
                results.append(await body(node))

    written = io.StringIO()
    with contextlib.redirect_stdout(written):
        anyio.run(main, backend="asyncio")
    return ended, results[0], written.getvalue()


def send(number: signal.Signals) -> None:
    os.kill(os.getpid(), number)


class RunNodeTest(unittest.TestCase):
    def test_a_node_without_a_ticket_is_not_ready_and_stops_gracefully(self) -> None:
        async def body(node: NodeSettings) -> tuple[int, int]:
            before = await status(node, "/readyz")
            send(signal.SIGTERM)
            return before, await status(node, "/healthz")

        ended, (before, while_stopping), _ = run(body)
        self.assertEqual((before, while_stopping), (503, 200))
        self.assertEqual(ended, [True])

    # Guards against a node that ends by force: a signal in its start found no handler.
    def test_a_signal_while_a_node_starts_gives_the_start_up(self) -> None:
        with SignalInbox(SIGNALS_OF_COMMAND["node"]) as signals:
            send(signal.SIGHUP)
            send(signal.SIGTERM)
            self.assertTrue(anyio.run(run_node, settings(), signals, backend="asyncio"))

    def test_a_second_signal_ends_the_node_immediately(self) -> None:
        async def body(node: NodeSettings) -> None:
            _node.LEAVE_PROPAGATION_S, original = TEST_LIMIT_S, _node.LEAVE_PROPAGATION_S
            try:
                send(signal.SIGTERM)
                await anyio.sleep(0.05)
                send(signal.SIGTERM)
                await anyio.sleep(0.05)
            finally:
                _node.LEAVE_PROPAGATION_S = original

        ended, _, _ = run(body)
        self.assertEqual(ended, [False])

    def test_sigusr1_writes_the_dump_without_secrets_and_the_node_keeps_running(self) -> None:
        async def body(node: NodeSettings) -> int:
            send(signal.SIGUSR1)
            while '{"node":' not in sys.stdout.getvalue():  # noqa: ASYNC110 - no event
                await anyio.sleep(0.01)
            after = await status(node, "/healthz")
            send(signal.SIGTERM)
            return after

        ended, after, written = run(body)
        (line,) = [line for line in written.splitlines() if line.startswith("{")]
        self.assertEqual((json.loads(line)["node"], after, ended), ("n1", 200, [True]))
        self.assertNotIn(KEY, written)
        self.assertNotIn("ab" * 32, written)

    def test_an_address_in_use_raises_oserror(self) -> None:
        node = settings()
        with socket.socket() as taken:
            taken.bind(("127.0.0.1", int(node.http_address.rpartition(":")[2])))
            taken.listen()
            signals = SignalInbox(SIGNALS_OF_COMMAND["node"])
            with self.assertRaises(BaseExceptionGroup) as raised:
                anyio.run(run_node, node, signals, backend="asyncio")
        self.assertIsNotNone(raised.exception.subgroup(OSError))


if __name__ == "__main__":
    unittest.main()

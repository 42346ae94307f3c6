"""Listeners whose address the system can't give yet."""

from __future__ import annotations

import errno
import itertools
import socket
import struct
import unittest
import unittest.mock
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import anyio
from structlog.testing import capture_logs

from bramleylead.connection import TcpNetwork
from bramleylead.connection import _listener
from bramleylead.connection._free_ports import find_free_port
from bramleylead.connection._listener import LOG_INTERVAL_S
from bramleylead.connection._listener import UNUSABLE_AFTER_S
from bramleylead.connection._listener import split_address
from bramleylead.connection._listener import wait_for_listener
from bramleylead.http._server import HttpServer
from bramleylead.standins import run_virtual
from testing.connection.test_tcp_options import answer_empty
from testing.connection.test_tcp_options import ignore

HOST = "127.0.0.1"
WAIT_LIMIT_S = 10.0
NO_TIME_WAIT = struct.pack("ii", 1, 0)
"""SO_LINGER that frees the port as soon as the connection is closed."""


@contextmanager
def held_port() -> Iterator[str]:
    """Hold a port as the local port of an outgoing connection; yield its address."""
    address = f"{HOST}:{find_free_port(HOST)}"
    with socket.create_server((HOST, 0)) as target, socket.socket() as outgoing:
        outgoing.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_TIME_WAIT)
        outgoing.bind(split_address(address))
        outgoing.connect(target.getsockname())
        yield address


async def wait_for_event(lines: list[Any], name: str) -> dict[str, Any]:
    while True:
        for line in lines:
            if line["event"] == name:
                return line
        await anyio.sleep(0.01)


class ListenerTest(unittest.TestCase):
    # Guards against a process that ends since a port of it is in use while it starts.
    def assert_waits_for_port(self, serve: Any, *arguments: Any) -> None:
        async def main() -> None:
            with anyio.fail_after(WAIT_LIMIT_S):
                async with anyio.create_task_group() as tasks:
                    with held_port() as address:
                        tasks.start_soon(tasks.start, serve, address, *arguments)
                        line = await wait_for_event(lines, "address_unavailable")
                    self.assertEqual((line["address"], line["kind"]), (address, "EADDRINUSE"))
                    await wait_for_event(lines, "address_bound")
                    async with await anyio.connect_tcp(*split_address(address)):
                        tasks.cancel_scope.cancel()

        with capture_logs() as lines:
            anyio.run(main)

    def test_a_port_in_use_is_waited_for_by_the_server_of_callers(self) -> None:
        self.assert_waits_for_port(HttpServer(answer_empty, waits_for_address=True).serve)

    def test_a_port_in_use_is_waited_for_by_the_server_of_nodes(self) -> None:
        self.assert_waits_for_port(TcpNetwork(waits_for_address=True).serve, ignore)

    def test_a_passing_error_of_bind_or_listen_is_waited_out(self) -> None:
        numbers = (errno.EADDRINUSE, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
        failures = [OSError(number, "refused") for number in numbers for _ in range(100)]
        listener = object()

        async def main() -> None:
            with unittest.mock.patch.object(
                _listener, "open_listener", side_effect=[*failures, listener]
            ):
                self.assertIs(await wait_for_listener("10.0.0.1:80"), listener)
            self.assertGreater(anyio.current_time(), UNUSABLE_AFTER_S)

        with capture_logs() as lines:
            run_virtual(main, seed=1)
        waits = [line for line in lines if line["event"] == "address_unavailable"]
        kinds = [kind for kind, _ in itertools.groupby(line["kind"] for line in waits)]
        self.assertEqual(kinds, [errno.errorcode[number] for number in numbers])
        # Guards against a process that is never ready and said why once, long ago.
        for before, after in itertools.pairwise(waits):
            waited_s = after["waited_s"] - before["waited_s"]
            self.assertLess(waited_s, LOG_INTERVAL_S + 1.0)
            if before["kind"] == after["kind"]:
                self.assertGreaterEqual(waited_s, LOG_INTERVAL_S)
        self.assertGreater(len(waits), len(numbers))
        self.assertEqual(lines[-1]["event"], "address_bound")

    def test_an_address_of_another_machine_is_given_up_with_a_reason(self) -> None:
        async def main() -> None:
            with self.assertRaises(OSError):
                await wait_for_listener("192.0.2.1:80")

        with capture_logs() as lines:
            run_virtual(main, seed=1)
        self.assertEqual(
            [(line["event"], line["kind"]) for line in lines],
            [("address_unavailable", "EADDRNOTAVAIL"), ("address_unusable", "EADDRNOTAVAIL")],
        )

    def test_a_server_that_waits_for_its_port_can_be_stopped(self) -> None:
        async def main() -> None:
            server = HttpServer(answer_empty, waits_for_address=True)
            with anyio.fail_after(WAIT_LIMIT_S), held_port() as address:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(server.serve, address)
                    await wait_for_event(lines, "address_unavailable")
                    server.stop(grace_s=1.0)
                    await server.closed.wait()

        with capture_logs() as lines:
            anyio.run(main)


if __name__ == "__main__":
    unittest.main()

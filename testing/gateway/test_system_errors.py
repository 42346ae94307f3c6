"""A gateway as a real process, while the system refuses it what it asks for."""

from __future__ import annotations

import resource
import signal
import socket
import tempfile
import unittest
from collections.abc import Iterator
from contextlib import AsyncExitStack
from contextlib import contextmanager
from contextlib import suppress
from pathlib import Path

import anyio
import anyio.lowlevel

from bramleylead.connection._free_ports import find_free_port
from bramleylead.connection._listener import split_address
from bramleylead.connection._server import HANDSHAKE_TIMEOUT_S
from bramleylead.http._protocol import HEADER_TIMEOUT_S
from testing.connection.test_listener import held_port
from testing.gateway.test_processes import TIMEOUT_S
from testing.gateway.test_processes import Site

NO_STORE = "127.0.0.1:9"
FEW_DESCRIPTORS = 120
MORE_CONNECTIONS = 200
CALLERS = 20
RECONNECT_S = 1.0
OTHER_MACHINE = "192.0.2.1:9464"
RUN_WITH_SHORT_WAIT = """
import runpy
from bramleylead.connection import _listener
_listener.UNUSABLE_AFTER_S = 0.2
runpy.run_module("bramleylead", run_name="__main__", alter_sys=True)
"""


@contextmanager
def few_descriptors() -> Iterator[None]:
    """Give few descriptors to the processes that are started in this context."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (FEW_DESCRIPTORS, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def hold_connections(address: str, stack: AsyncExitStack) -> None:
    """Open idle connections and hold them; those that nobody accepts wait in the backlog."""
    for _ in range(MORE_CONNECTIONS):
        connection = stack.enter_context(socket.socket())
        connection.setblocking(False)
        connection.connect_ex(split_address(address))
        await anyio.lowlevel.checkpoint()


async def keep_holding(address: str) -> None:
    """Hold idle connections; replace those that are closed."""
    async with anyio.create_task_group() as tasks:
        for _ in range(MORE_CONNECTIONS):
            tasks.start_soon(keep_holding_one, address)


async def keep_holding_one(address: str) -> None:
    while True:
        with suppress(OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            async with await anyio.connect_tcp(*split_address(address)) as stream:
                await stream.receive()
        await anyio.sleep(RECONNECT_S)


async def answers(address: str) -> None:
    """Wait until a server answers HTTP on a new connection, or closes one without an answer."""
    with anyio.fail_after(TIMEOUT_S):
        async with await anyio.connect_tcp(*split_address(address)) as stream:
            await stream.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.receive()


def port_of(address: str) -> int:
    return split_address(address)[1]


async def wait_for_line(site: Site, name: str, event: str) -> None:
    """Wait until a process has logged an event; fail if it ends before."""
    with anyio.fail_after(TIMEOUT_S):
        while not any(line.get("event") == event for line in site.log(name)):
            if (code := site.processes[name].returncode) is not None:
                raise AssertionError(f"{name} ended with code {code}")
            await anyio.sleep(0.05)


class ProcessTest(unittest.TestCase):
    # Guards against a process that ends since a port of it is in use while it starts.
    def test_a_gateway_starts_when_its_port_becomes_free(self) -> None:
        async def main() -> None:
            async with AsyncExitStack() as stack:
                folder = stack.enter_context(tempfile.TemporaryDirectory())
                site = Site(Path(folder), NO_STORE, stack)
                with held_port() as site.http:
                    await site.start_gateway()
                    await wait_for_line(site, "gateway", "address_unavailable")
                await wait_for_line(site, "gateway", "gateway_serving")
                async with await anyio.connect_tcp(*split_address(site.http)):
                    site.processes["gateway"].send_signal(signal.SIGTERM)
                with anyio.fail_after(TIMEOUT_S):
                    self.assertEqual(await site.processes["gateway"].wait(), 0)

        anyio.run(main)

    def test_a_gateway_that_waits_for_its_port_can_be_stopped(self) -> None:
        async def main() -> None:
            async with AsyncExitStack() as stack:
                folder = stack.enter_context(tempfile.TemporaryDirectory())
                site = Site(Path(folder), NO_STORE, stack)
                with held_port() as site.http:
                    await site.start_gateway()
                    await wait_for_line(site, "gateway", "address_unavailable")
                    site.processes["gateway"].send_signal(signal.SIGTERM)
                    with anyio.fail_after(TIMEOUT_S):
                        self.assertEqual(await site.processes["gateway"].wait(), 0)

        anyio.run(main)

    # Guards against a process that ends, while it serves, for an address that only reports use.
    def test_an_unusable_address_of_the_metrics_ends_neither_role(self) -> None:
        async def main() -> None:
            async with AsyncExitStack() as stack:
                folder = stack.enter_context(tempfile.TemporaryDirectory())
                site = Site(Path(folder), NO_STORE, stack)
                site.command = ["-c", RUN_WITH_SHORT_WAIT]
                site.metrics = OTHER_MACHINE
                await site.start_gateway()
                await site.start("l", "ledger", data_folder=folder, metrics_address=OTHER_MACHINE)
                for name in ("gateway", "l"):
                    await wait_for_line(site, name, "address_unusable")
                    await wait_for_line(site, name, "task_failed")
                for process in site.processes.values():
                    process.send_signal(signal.SIGTERM)
                    with anyio.fail_after(TIMEOUT_S):
                        self.assertEqual(await process.wait(), 0)

        anyio.run(main)

    # Guards against a process that ends since accept has no descriptor left.
    def test_idle_connections_at_any_port_do_not_end_a_gateway_or_a_ledger_node(self) -> None:
        async def main() -> None:
            async with AsyncExitStack() as stack:
                folder = stack.enter_context(tempfile.TemporaryDirectory())
                site = Site(Path(folder), NO_STORE, stack)
                nodes, ledger_nodes = (f"127.0.0.1:{find_free_port('127.0.0.1')}" for _ in "12")
                with few_descriptors():
                    await site.start_gateway(peer_ports=[port_of(nodes), 0])
                    await site.start_ledger("l", peer_ports=[port_of(ledger_nodes), 0])
                await wait_for_line(site, "gateway", "gateway_serving")
                await wait_for_line(site, "l", "ledger_serving")
                for address in (nodes, ledger_nodes, site.http, site.metrics):
                    async with AsyncExitStack() as connections:
                        await hold_connections(address, connections)
                        await anyio.sleep(HANDSHAKE_TIMEOUT_S)
                    await answers(address)
                for name, process in site.processes.items():
                    self.assertIsNone(process.returncode, name)
                    process.send_signal(signal.SIGTERM)
                    with anyio.fail_after(TIMEOUT_S):
                        self.assertEqual(await process.wait(), 0)

        anyio.run(main)

    # Guards against callers that get no connection since idle ones hold all descriptors.
    def test_callers_are_served_while_idle_connections_are_held(self) -> None:
        async def main() -> None:
            async with AsyncExitStack() as stack:
                folder = stack.enter_context(tempfile.TemporaryDirectory())
                site = Site(Path(folder), NO_STORE, stack)
                with few_descriptors():
                    await site.start_gateway()
                await wait_for_line(site, "gateway", "gateway_serving")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(keep_holding, site.http)
                    await anyio.sleep(1.0)
                    for _ in range(CALLERS):
                        # Idle connections end by themselves after HEADER_TIMEOUT_S.
                        with anyio.fail_after(HEADER_TIMEOUT_S / 2):
                            response = await site.request(site.http, "/p/x")
                        self.assertEqual(response and response.status, 503)
                    tasks.cancel_scope.cancel()
                self.assertNotIn(
                    "accept_failed", {line.get("event") for line in site.log("gateway")}
                )

        anyio.run(main)


if __name__ == "__main__":
    unittest.main()

"""A gateway as a real process, while the system refuses it what it asks for."""

from __future__ import annotations

import signal
import tempfile
import unittest
from contextlib import AsyncExitStack
from pathlib import Path

import anyio

from bramleylead.connection._listener import split_address
from testing.connection.test_listener import held_port
from testing.gateway.test_processes import TIMEOUT_S
from testing.gateway.test_processes import Site

NO_STORE = "127.0.0.1:9"


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


if __name__ == "__main__":
    unittest.main()

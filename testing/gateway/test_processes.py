"""Gateway and ledger as real processes, with a fake store and a scripted replica."""

from __future__ import annotations

import json
import signal
import sys
import tempfile
import unittest
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import anyio.abc
from anyio.abc import Process
from anyio.abc import SocketStream

from bramleylead.connection._free_ports import find_free_port
from bramleylead.connection._http_client import HttpClient
from bramleylead.connection._http_client import HttpResponse
from bramleylead.platform import _names as names
from bramleylead.platform._objects import PlatformStore
from bramleylead.standins._platform_store import PlatformStoreStandIn
from bramleylead.standins._serving import serve_app
from testing.gateway._site import FakeReplica
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import chunk
from testing.gateway._site import event
from testing.gateway._site import event_stream
from testing.gateway.test_foreign_entries import put_odd_items
from testing.platform.test_decode import ENTRY
from testing.platform.test_decode import ROUTE
from testing.platform.test_decode import configuration_with

HOST = "127.0.0.1"
TIMEOUT_S = 30.0
STOP_GRACE_S = 6.0
TURN = {
    "host": "h.example",
    "bramleylead-program-id": "p",
    "bramleylead-token-budget": "1000",
    "bramleylead-token-usage": "10,100",
    "bramleylead-deadline-ms": "20000",
}


class Site:
    """Two ledger nodes and a gateway, each in its own process."""

    def __init__(self, folder: Path, store_address: str, stack: AsyncExitStack) -> None:
        self._folder = folder
        self._store_address = store_address
        self._stack = stack
        self.processes: dict[str, Process] = {}
        self.command = ["-m", "bramleylead"]
        self.http = f"{HOST}:{find_free_port(HOST)}"
        self.ready = f"{HOST}:{find_free_port(HOST)}"
        self.metrics = f"{HOST}:{find_free_port(HOST)}"

    async def start(self, name: str, role: str, **extra_settings: Any) -> None:
        """Start a process with its settings."""
        settings = {
            "node": name,
            "region": "r",
            "data_centre": "d",
            "data_centres": {"d": "r"},
            "host": HOST,
            "peer_ports": [find_free_port(HOST), 0],
            "metrics_address": f"{HOST}:{find_free_port(HOST)}",
            "store": {"address": self._store_address},
            "cluster_key": "key between nodes of a test",
            "losses": 1,
            "stop_grace_s": STOP_GRACE_S,
            **extra_settings,
        }
        file = self._folder / f"{name}.json"
        file.write_text(json.dumps(settings))
        log = (self._folder / f"{name}.log").open("wb")
        self._stack.callback(log.close)
        command = [sys.executable, *self.command, role, f"--settings={file}"]
        process = await anyio.open_process(command, stdout=log, stderr=log)
        self._stack.push_async_callback(_kill, process)
        self.processes[name] = process

    async def start_ledger(self, name: str, **extra_settings: Any) -> None:
        await self.start(name, "ledger", data_folder=str(self._folder / name), **extra_settings)

    async def start_gateway(self, **extra_settings: Any) -> None:
        await self.start(
            "gateway",
            "gateway",
            http_address=self.http,
            ready_address=self.ready,
            metrics_address=self.metrics,
            **extra_settings,
        )

    async def request(self, address: str, path: str, **options: Any) -> HttpResponse | None:
        method = "POST" if options.get("body") else "GET"
        async with HttpClient(address, keep_alive=False) as client:
            response = await client.request(method, path, timeout_s=10.0, **options)
        return response.ok_value if response.is_ok() else None

    async def wait_for_status(self, address: str, path: str, status: int) -> None:
        """Repeat a request until its response has a status."""
        with anyio.fail_after(TIMEOUT_S):
            while True:
                response = await self.request(address, path)
                if response is not None and response.status == status:
                    return
                await anyio.sleep(0.05)

    async def turn(self, name: str, body: bytes, **headers: str) -> HttpResponse:
        """Send a turn, and retry it until the ledger accepts entries."""
        all_headers = {**TURN, names.REQUEST_ID: name, **headers}
        with anyio.fail_after(TIMEOUT_S):
            while True:
                response = await self.request(self.http, "/p/x", body=body, headers=all_headers)
                if response is not None and response.status != 503:
                    return response
                await anyio.sleep(0.1)

    def print_logs(self) -> None:
        """Print what the processes have logged, to trace a failure that shows once."""
        for file in sorted(self._folder.glob("*.log")):
            print(f"{file.name}:\n{file.read_text()}", file=sys.stderr)

    def log(self, name: str) -> list[dict[str, Any]]:
        text = (self._folder / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]


async def _kill(process: Process) -> None:
    if process.returncode is None:
        process.kill()
        await process.wait()


@asynccontextmanager
async def run_processes(replica: FakeReplica) -> AsyncIterator[Site]:
    """Run the processes with one replica, beside objects that can't be read."""
    stand_in = PlatformStoreStandIn()
    async with AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        address = await stack.enter_async_context(serve_app(stand_in.app, f"{HOST}:0"))
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)

        async def accept(stream: SocketStream) -> None:
            await replica.serve(stream)

        tasks.start_soon(listener.serve, accept)
        stand_in.put("config", "main", configuration_with({**ROUTE, "timeout-ms": 20_000}))
        stand_in.put("servers", replica.name, {**ENTRY, "address": f"{HOST}:{port}"})
        for kind in ("config", "servers", "retirements"):
            put_odd_items(stand_in, f"{kind}-of-another-writer", kind=kind)
        site = Site(folder, address, stack)
        for name in ("ledger-1", "ledger-2"):
            await site.start_ledger(name)
        await site.start_gateway()
        await site.wait_for_status(site.ready, names.READY_PATH, 200)
        try:
            yield site
        except Exception:
            site.print_logs()
            raise


async def send_two_events(received: ReceivedRequest, stream: anyio.abc.ByteStream) -> None:
    await stream.send(event_stream(received, 1, 2))


class ProcessesTest(unittest.TestCase):
    def test_a_turn_survives_the_kill_of_every_process(self) -> None:
        async def main() -> None:
            replica = FakeReplica("i-1", send_two_events)
            async with run_processes(replica) as site:
                first = await site.turn("t1", b"one;")
                self.assertEqual((first.status, first.body), (200, event(1) + event(2)))
                for process in site.processes.values():
                    process.kill()
                    await process.wait()
                for name in ("ledger-1", "ledger-2"):
                    await site.start_ledger(name)
                await site.start_gateway()
                await site.wait_for_status(site.ready, names.READY_PATH, 200)
                second = await site.turn("t2", b"two", **{names.PREVIOUS_TURN: "t1"})
                self.assertEqual(second.status, 200)
                self.assertEqual(replica.received[-1].body, b"one;word1\nword2\ntwo")

        anyio.run(main)

    def test_a_budget_survives_a_restart_of_the_gateway(self) -> None:
        async def main() -> None:
            async with run_processes(FakeReplica("i-1", send_two_events)) as site:
                budget = {names.TOKEN_BUDGET: "140"}
                self.assertEqual((await site.turn("t1", b"x", **budget)).status, 200)
                site.processes["gateway"].kill()
                await site.processes["gateway"].wait()
                await site.start_gateway()
                await site.wait_for_status(site.ready, names.READY_PATH, 200)
                self.assertEqual((await site.turn("t2", b"x", **budget)).status, 402)

        anyio.run(main)

    def test_a_stopping_gateway_completes_its_responses(self) -> None:
        async def main() -> None:
            async def slow(received: ReceivedRequest, stream: anyio.abc.ByteStream) -> None:
                await stream.send(event_stream(received, 1, end=False))
                if received.id == "t2":
                    site.processes["gateway"].send_signal(signal.SIGTERM)
                    await site.wait_for_status(site.ready, names.READY_PATH, 503)
                await stream.send(chunk(event(2)) + b"0\r\n\r\n")

            async with run_processes(FakeReplica("i-1", slow)) as site:
                await site.turn("t1", b"x")
                response = await site.turn("t2", b"x")
                self.assertEqual((response.status, response.body), (200, event(1) + event(2)))
                with anyio.fail_after(TIMEOUT_S):
                    self.assertEqual(await site.processes["gateway"].wait(), 0)
                events = [line["event"] for line in site.log("gateway")]
                for expected in ("gateway_serving", "gateway_stopping", "gateway_stopped"):
                    self.assertIn(expected, events)

        anyio.run(main)

    def test_a_vm_to_be_retired_reports_that_it_is_empty(self) -> None:
        async def main() -> None:
            async with run_processes(FakeReplica("i-1", send_two_events)) as site:
                await site.start_ledger("ledger-3")
                await site.turn("t1", b"one;")
                async with PlatformStore(site._store_address) as store:
                    created = await store.create(names.RETIREMENT_KIND, "ledger-1", {})
                    self.assertTrue(created.is_ok())
                    with anyio.fail_after(TIMEOUT_S):
                        while True:
                            retirement = await store.get(names.RETIREMENT_KIND, "ledger-1")
                            status = retirement.unwrap().status or {}
                            if status.get("state") == names.STATE_COMPLETED:
                                break
                            await anyio.sleep(0.05)
                site.processes["ledger-1"].kill()
                second = await site.turn("t2", b"two", **{names.PREVIOUS_TURN: "t1"})
                self.assertEqual(second.status, 200)

        anyio.run(main)

    def test_metrics_and_state_are_read_over_http(self) -> None:
        async def main() -> None:
            async with run_processes(FakeReplica("i-1", send_two_events)) as site:
                await site.turn("t1", b"x")
                page = await site.request(site.metrics, "/metrics")
                assert page is not None
                self.assertIn(b'event="answered"', page.body)
                dump = await site.request(site.metrics, "/dump")
                assert dump is not None
                self.assertEqual(json.loads(dump.body)["replicas"][0]["name"], "i-1")

        anyio.run(main)

    def test_invalid_settings_prevent_a_start(self) -> None:
        async def main() -> int | None:
            with tempfile.TemporaryDirectory() as folder:
                file = Path(folder) / "bad.json"
                file.write_text('{"node": "x"}')
                command = [sys.executable, "-m", "bramleylead", "gateway", f"--settings={file}"]
                return (await anyio.run_process(command, check=False)).returncode

        self.assertEqual(anyio.run(main), 3)

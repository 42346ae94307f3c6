"""The real programs as processes, before a stand-in of the store and a scripted replica."""

from __future__ import annotations

import json
import signal
import socket
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

from bramleylead.connection._http_client import HttpAnswer
from bramleylead.connection._http_client import HttpClient
from bramleylead.platform import _names as names
from bramleylead.platform._objects import PlatformStore
from bramleylead.standins._platform_store import PlatformStoreStandIn
from bramleylead.standins._serving import serve_app
from testing.gateway._site import Asked
from testing.gateway._site import FakeReplica
from testing.gateway._site import chunk
from testing.gateway._site import event
from testing.gateway._site import stream_of
from testing.platform.test_decode import ENTRY
from testing.platform.test_decode import ROUTE
from testing.platform.test_decode import plain

HOST = "127.0.0.1"
PATIENCE_S = 30.0
GRACE_S = 6.0
TURN = {
    "host": "h.example",
    "bramleylead-program-id": "p",
    "bramleylead-token-budget": "1000",
    "bramleylead-token-usage": "10,100",
    "bramleylead-deadline-ms": "20000",
}


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


class Site:
    """Two nodes of the ledger and a gateway, each a process."""

    def __init__(self, folder: Path, store_address: str, stack: AsyncExitStack) -> None:
        self._folder = folder
        self._store_address = store_address
        self._stack = stack
        self.processes: dict[str, Process] = {}
        self.http = f"{HOST}:{free_port()}"
        self.ready = f"{HOST}:{free_port()}"
        self.metrics = f"{HOST}:{free_port()}"

    async def start(self, name: str, role: str, **more: Any) -> None:
        """Start a process with its settings."""
        settings = {
            "node": name,
            "region": "r",
            "data_centre": "d",
            "data_centres": {"d": "r"},
            "host": HOST,
            "peer_ports": [free_port(), 0],
            "metrics_address": f"{HOST}:{free_port()}",
            "store": {"address": self._store_address},
            "cluster_key": "key between nodes of a test",
            "losses": 1,
            "stop_grace_s": GRACE_S,
            **more,
        }
        file = self._folder / f"{name}.json"
        file.write_text(json.dumps(settings))
        log = (self._folder / f"{name}.log").open("wb")
        self._stack.callback(log.close)
        words = [sys.executable, "-m", "bramleylead", role, f"--settings={file}"]
        process = await anyio.open_process(words, stdout=log, stderr=log)
        self._stack.push_async_callback(_end, process)
        self.processes[name] = process

    async def start_ledger(self, name: str) -> None:
        await self.start(name, "ledger", data_folder=str(self._folder / name))

    async def start_gateway(self) -> None:
        await self.start(
            "gateway",
            "gateway",
            http_address=self.http,
            ready_address=self.ready,
            metrics_address=self.metrics,
        )

    async def ask(self, address: str, path: str, **options: Any) -> HttpAnswer | None:
        method = "POST" if options.get("body") else "GET"
        async with HttpClient(address, keep_alive=False) as client:
            answer = await client.request(method, path, timeout_s=10.0, **options)
        return answer.ok_value if answer.is_ok() else None

    async def until_status(self, address: str, path: str, status: int) -> None:
        """Ask until an answer has a status."""
        with anyio.fail_after(PATIENCE_S):
            while True:
                answer = await self.ask(address, path)
                if answer is not None and answer.status == status:
                    return
                await anyio.sleep(0.05)

    async def turn(self, name: str, body: bytes, **headers: str) -> HttpAnswer:
        """Send a turn until the ledger takes entries."""
        sent = {**TURN, names.REQUEST_ID: name, **headers}
        with anyio.fail_after(PATIENCE_S):
            while True:
                answer = await self.ask(self.http, "/p/x", body=body, headers=sent)
                if answer is not None and answer.status != 503:
                    return answer
                await anyio.sleep(0.1)

    def log(self, name: str) -> list[dict[str, Any]]:
        text = (self._folder / f"{name}.log").read_text()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]


async def _end(process: Process) -> None:
    if process.returncode is None:
        process.kill()
        await process.wait()


@asynccontextmanager
async def site_of(replica: FakeReplica) -> AsyncIterator[Site]:
    """Run the processes before one replica."""
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
        stand_in.put("config", "main", plain({**ROUTE, "timeout-ms": 20_000}))
        stand_in.put("servers", replica.name, {**ENTRY, "address": f"{HOST}:{port}"})
        site = Site(folder, address, stack)
        for name in ("ledger-1", "ledger-2"):
            await site.start_ledger(name)
        await site.start_gateway()
        await site.until_status(site.ready, names.READY_PATH, 200)
        yield site


async def answers(asked: Asked, stream: anyio.abc.ByteStream) -> None:
    await stream.send(stream_of(asked, 1, 2))


class ProcessesTest(unittest.TestCase):
    def test_a_turn_is_found_after_every_process_was_killed(self) -> None:
        async def main() -> None:
            replica = FakeReplica("i-1", answers)
            async with site_of(replica) as site:
                first = await site.turn("t1", b"one;")
                self.assertEqual((first.status, first.body), (200, event(1) + event(2)))
                for process in site.processes.values():
                    process.kill()
                    await process.wait()
                for name in ("ledger-1", "ledger-2"):
                    await site.start_ledger(name)
                await site.start_gateway()
                await site.until_status(site.ready, names.READY_PATH, 200)
                second = await site.turn("t2", b"two", **{names.PREVIOUS_TURN: "t1"})
                self.assertEqual(second.status, 200)
                self.assertEqual(replica.asked[-1].body, b"one;word1\nword2\ntwo")

        anyio.run(main)

    def test_a_budget_holds_over_a_restart_of_the_gateway(self) -> None:
        async def main() -> None:
            async with site_of(FakeReplica("i-1", answers)) as site:
                spent = {names.TOKEN_BUDGET: "140"}
                self.assertEqual((await site.turn("t1", b"x", **spent)).status, 200)
                site.processes["gateway"].kill()
                await site.processes["gateway"].wait()
                await site.start_gateway()
                await site.until_status(site.ready, names.READY_PATH, 200)
                self.assertEqual((await site.turn("t2", b"x", **spent)).status, 402)

        anyio.run(main)

    def test_a_gateway_that_is_stopped_ends_its_answers_whole(self) -> None:
        async def main() -> None:
            async def slow(asked: Asked, stream: anyio.abc.ByteStream) -> None:
                await stream.send(stream_of(asked, 1, end=False))
                if asked.id == "t2":
                    site.processes["gateway"].send_signal(signal.SIGTERM)
                    await site.until_status(site.ready, names.READY_PATH, 503)
                await stream.send(chunk(event(2)) + b"0\r\n\r\n")

            async with site_of(FakeReplica("i-1", slow)) as site:
                await site.turn("t1", b"x")
                answer = await site.turn("t2", b"x")
                self.assertEqual((answer.status, answer.body), (200, event(1) + event(2)))
                with anyio.fail_after(PATIENCE_S):
                    self.assertEqual(await site.processes["gateway"].wait(), 0)
                events = [line["event"] for line in site.log("gateway")]
                for expected in ("gateway_serving", "gateway_stopping", "gateway_stopped"):
                    self.assertIn(expected, events)

        anyio.run(main)

    def test_a_vm_to_be_emptied_reports_that_it_is(self) -> None:
        async def main() -> None:
            async with site_of(FakeReplica("i-1", answers)) as site:
                await site.start_ledger("ledger-3")
                await site.turn("t1", b"one;")
                async with PlatformStore(site._store_address) as store:
                    wanted = await store.create(names.RETIREMENT_KIND, "ledger-1", {})
                    self.assertTrue(wanted.is_ok())
                    with anyio.fail_after(PATIENCE_S):
                        while True:
                            found = await store.get(names.RETIREMENT_KIND, "ledger-1")
                            status = found.unwrap().status or {}
                            if status.get("state") == names.STATE_COMPLETED:
                                break
                            await anyio.sleep(0.05)
                site.processes["ledger-1"].kill()
                second = await site.turn("t2", b"two", **{names.PREVIOUS_TURN: "t1"})
                self.assertEqual(second.status, 200)

        anyio.run(main)

    def test_metrics_and_state_are_read_over_http(self) -> None:
        async def main() -> None:
            async with site_of(FakeReplica("i-1", answers)) as site:
                await site.turn("t1", b"x")
                page = await site.ask(site.metrics, "/metrics")
                assert page is not None
                self.assertIn(b'event="answered"', page.body)
                dump = await site.ask(site.metrics, "/dump")
                assert dump is not None
                self.assertEqual(json.loads(dump.body)["replicas"][0]["name"], "i-1")

        anyio.run(main)

    def test_settings_with_faults_start_nothing(self) -> None:
        async def main() -> int | None:
            with tempfile.TemporaryDirectory() as folder:
                file = Path(folder) / "bad.json"
                file.write_text('{"node": "x"}')
                words = [sys.executable, "-m", "bramleylead", "gateway", f"--settings={file}"]
                return (await anyio.run_process(words, check=False)).returncode

        self.assertEqual(anyio.run(main), 3)

"""Parts of the path bench: a small fleet over loopback, and a cheap caller."""

from __future__ import annotations

import json
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from typing import NamedTuple
from typing import final

import anyio
from anyio.abc import ByteStream

from bramleylead.connection._tcp import split_address
from bramleylead.node_settings import RequestSettings
from bramleylead.node_settings import StoreSettings
from bramleylead.platform import MemoryStore
from bramleylead.process._node import Node
from bramleylead.process._run_node import free_address
from bramleylead.standins import EngineModelSettings
from bramleylead.standins import serve_objects
from bramleylead.trials._deployments import MODEL
from bramleylead.trials._deployments import aspenhold
from bramleylead.trials._deployments import branch_key
from bramleylead.trials._example import Example
from bramleylead.trials._live import LiveFleet
from bramleylead.trials._live import live_fleet

NODES = 3
ENDPOINTS = ("engine-0", "records-0")
BRANCH = "lakeland"
KIND = "tutoring"
ANY_ADDRESS = "127.0.0.1:0"
END_MARK = b"[DONE]"
LAST_CHUNK = b"0\r\n\r\n"
READ_BYTES = 65_536
READY_LIMIT_S = 30.0
READY_CHECK_S = 0.1


class Timing(NamedTuple):
    """One streamed answer as its caller saw it, in seconds from the send."""

    first_s: float
    whole_s: float


@final
class PathFleet:
    """Three nodes before one engine; one node is the entry, the two others own what is called."""

    def __init__(self, fleet: LiveFleet, engine: str) -> None:
        hosts = list(fleet.hosts.values())
        self.entry_address = hosts[0].settings.http_address
        self.engine_address = engine
        assert hosts[0].served is not None
        self._entry: Node = hosts[0].served.node
        self._fleet = fleet
        self._serial = 0

    async def wait_ready(self) -> None:
        """Wait until every partition is served.

        :raises TimeoutError: if some partition has no owner for too long.
        """
        count = self._entry.settings.partitions.count
        with anyio.fail_after(READY_LIMIT_S):
            while sum(self._owned()) < count:  # noqa: ASYNC110 - bench, polls several nodes
                await anyio.sleep(READY_CHECK_S)

    def new_program(self) -> str:
        """Return the name of a program whose owner is not the entry."""
        while True:
            self._serial += 1
            name = f"bench-{self._serial}"
            if not self._entry.explain(name, 1)["owned_here"]:
                return name

    def _owned(self) -> list[int]:
        hosts = self._fleet.hosts.values()
        nodes = [host.served.node for host in hosts if host.served is not None]
        return [node.dump()["partitions"]["owned"] for node in nodes]


@asynccontextmanager
async def path_fleet(
    engine: EngineModelSettings, requests: RequestSettings
) -> AsyncIterator[PathFleet]:
    """Run the fleet of the bench.

    :param requests: those settings of the nodes.
    """
    store = MemoryStore()
    async with serve_objects(store, ANY_ADDRESS) as objects:
        store_settings = StoreSettings(kind="http", location=f"http://{objects}")
        example = _example({"store": store_settings, "requests": requests})
        running = live_fleet(example, store, engine=engine, rng=random.Random(1))
        async with running as fleet:
            (address,) = fleet.endpoints.engines
            path = PathFleet(fleet, address)
            await path.wait_ready()
            yield path


def _example(changes: dict[str, Any]) -> Example:
    whole = aspenhold()
    nodes = {
        name: settings.model_copy(
            update={
                "peer_address": free_address(ANY_ADDRESS),
                "http_address": free_address(ANY_ADDRESS),
                **changes,
            }
        )
        for name, settings in list(whole.nodes.items())[:NODES]
    }
    moved = {
        name: whole.ticket.endpoints[name].model_copy(update={"address": free_address(ANY_ADDRESS)})
        for name in ENDPOINTS
    }
    ticket = whole.ticket.model_copy(update={"endpoints": moved})
    keys = {branch: branch_key(branch) for branch in ticket.branches}
    return Example(whole._replace(nodes=nodes, ticket=ticket), keys, "")


def chat_request(program: str, output_tokens: int) -> bytes:
    """Return one streamed chat-completions request; the engine ignores its program."""
    text = f"How do I sharpen a chain? [output={output_tokens}]"
    body = {"model": MODEL, "stream": True, "messages": [{"role": "user", "content": text}]}
    body["max_tokens"] = output_tokens
    headers = f"Bramleylead-Program: {program}\r\nBramleylead-Kind: {KIND}\r\n"
    return _request("POST", "/v1/chat/completions", json.dumps(body).encode(), headers)


def open_request(program: str) -> bytes:
    """Return the request that opens a program."""
    return _request("POST", "/v1/programs", json.dumps({"program": program, "kind": KIND}).encode())


def end_request(program: str) -> bytes:
    """Return the request that ends a program."""
    return _request("DELETE", f"/v1/programs/{program}", b"")


@final
class BenchCaller:
    """Sends requests over one kept connection."""

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream

    async def stream(self, request: bytes) -> Timing:
        """Send a request for a streamed answer and read it whole."""
        sent_s = anyio.current_time()
        await self._stream.send(request)
        first_s = 0.0
        tail = b""
        while not (END_MARK in tail and tail.endswith(LAST_CHUNK)):
            data = await self._stream.receive(READ_BYTES)
            if not first_s and b"data:" in data:
                first_s = anyio.current_time() - sent_s
            tail = (tail + data)[-READ_BYTES:]
            if not first_s and b"HTTP/1.1 200" not in tail:
                raise RuntimeError(f"the answer is no stream: {tail[:500]!r}")
        return Timing(first_s, anyio.current_time() - sent_s)

    async def short(self, request: bytes) -> None:
        """Send a request with a short answer and read it whole."""
        await self._stream.send(request)
        data = b""
        while b"\r\n\r\n" not in data:
            data += await self._stream.receive(READ_BYTES)
        head, _, body = data.partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 20"):
            raise RuntimeError(f"refused: {data[:500]!r}")
        length = int(head.lower().split(b"content-length:")[1].split()[0])
        while len(body) < length:
            body += await self._stream.receive(READ_BYTES)


@asynccontextmanager
async def bench_caller(address: str) -> AsyncIterator[BenchCaller]:
    """Open a caller's connection."""
    async with await anyio.connect_tcp(*split_address(address)) as stream:
        yield BenchCaller(stream)


def _request(method: str, path: str, body: bytes, headers: str = "") -> bytes:
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: bench\r\nContent-Type: application/json\r\n"
        f"Authorization: Bearer {branch_key(BRANCH)}\r\nContent-Length: {len(body)}\r\n"
    )
    return f"{head}{headers}\r\n".encode() + body

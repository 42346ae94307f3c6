"""The deployment of the processor bench: one gateway, three nodes of the ledger, one replica."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from collections.abc import Sequence
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from pathlib import Path
from typing import final

import anyio

from bramleylead.connection._http_client import HttpClient
from bramleylead.http._exchange import Exchange
from bramleylead.http._exchange import Receive
from bramleylead.http._exchange import Scope
from bramleylead.http._exchange import Send
from bramleylead.platform import _names as names
from bramleylead.platform._encode import write_configuration
from bramleylead.platform._encode import write_replica
from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Configuration
from bramleylead.platform._types import EngineSpec
from bramleylead.platform._types import Limits
from bramleylead.platform._types import Replica
from bramleylead.platform._types import Route
from bramleylead.platform._types import Service
from bramleylead.platform._types import Share
from bramleylead.standins._platform_store import PlatformStoreStandIn
from bramleylead.standins._serving import serve_app
from bramleylead.trials.site._judge import EVENT_TOKENS
from bramleylead.trials.site._judge import event
from bramleylead.trials.site._processes import Node

HOST_NAME = "bench.example"
ANY_ADDRESS = "127.0.0.1:0"
LEDGERS = 3
LOSSES = 1
EVENTS = 8
PROGRAM_TURNS = 5
WORD = "w" * 170
"""Makes an event of 200 to 260 bytes."""
PLAIN_BODY = b"p" * 800
INPUT = b"input of a turn;" * 20
MAX_BODY_BYTES = 4_000_000
REQUEST_S = 10.0
READY_S = 40.0
READY_CHECK_S = 0.02
DESCRIPTORS = 400


@final
class BenchSite:
    """The processes, and a caller that sends them requests one after the other.

    :param builds: where each process finds the package and its libraries; as this one if empty.
    :param command: what the interpreter runs in each process.
    """

    def __init__(self, folder: Path, builds: Sequence[Path], command: Sequence[str]) -> None:
        def node(name: str, role: str) -> Node:
            rng = random.Random(name)
            return Node(
                name,
                role,
                folder,
                rng,
                losses=LOSSES,
                builds=builds,
                descriptors=DESCRIPTORS,
                command=command,
            )

        self.gateway = node("gateway", "gateway")
        self.ledgers = [node(f"ledger-{i}", "ledger") for i in range(LEDGERS)]
        self.store = PlatformStoreStandIn()
        self.served = 0
        self._serial = 0

    @property
    def nodes(self) -> list[Node]:
        """All processes."""
        return [*self.ledgers, self.gateway]

    async def open(self, stack: AsyncExitStack) -> None:
        """Start everything; return when the gateway takes callers."""
        store = await stack.enter_async_context(serve_app(self.store.app, ANY_ADDRESS))
        address = await stack.enter_async_context(serve_app(self._replica, ANY_ADDRESS))
        for service in ("models", "plain"):
            entry = write_replica(Replica(f"{service}-1", service, address, "d", False, 8))
            self.store.put(names.REPLICA_KIND, f"{service}-1", entry)
        made = write_configuration(_configuration())
        self.store.put(names.CONFIGURATION_KIND, names.CONFIGURATION_NAME, made)
        for each in self.nodes:
            await each.open(store, stack)
        await self.wait_ready()

    async def wait_ready(self) -> None:
        """Wait until the gateway takes callers.

        :raises TimeoutError: if it does not in time.
        """
        with anyio.fail_after(READY_S):
            async with HttpClient(self.gateway.ready) as client:
                while True:
                    answer = await client.request("GET", names.READY_PATH, timeout_s=1.0)
                    if answer.is_ok() and answer.ok_value.status == 200:
                        return
                    await anyio.sleep(READY_CHECK_S)

    async def wait_durable(self) -> None:
        """Wait until the ledger keeps turns.

        :raises TimeoutError: if it does not in time.
        """
        with anyio.fail_after(READY_S):
            async with HttpClient(self.gateway.http) as client:
                while True:
                    try:
                        await self.turns(client, 1)
                    except RuntimeError:
                        await anyio.sleep(READY_CHECK_S)
                    else:
                        return

    async def turns(self, client: HttpClient, count: int) -> None:
        """Send kept turns: programs of several, each turn continuing the one before."""
        program = previous = ""
        for number in range(count):
            self._serial += 1
            if number % PROGRAM_TURNS == 0:
                program, previous = f"p{self._serial}", ""
            request = f"turn-{self._serial}"
            headers = {
                names.PROGRAM_ID: program,
                names.SESSION_ID: program,
                names.TOKEN_BUDGET: "100000",
                names.TOKEN_USAGE: f"100,{EVENTS * EVENT_TOKENS}",
                **({names.PREVIOUS_TURN: previous} if previous else {}),
            }
            await self._ask(client, "/turns/x", request, headers)
            previous = request

    async def plain_calls(self, client: HttpClient, count: int) -> None:
        """Send plain calls."""
        for _ in range(count):
            self._serial += 1
            request = f"plain-{self._serial}"
            await self._ask(client, "/plain/x", request, {names.PROGRAM_ID: f"p{self._serial}"})

    async def _ask(self, client: HttpClient, path: str, request: str, more: dict[str, str]) -> None:
        headers = {
            "host": HOST_NAME,
            names.REQUEST_ID: request,
            names.DEADLINE_MS: "10000",
            **more,
        }
        answer = await client.request(
            "POST", path, body=INPUT, headers=headers, timeout_s=REQUEST_S
        )
        status = answer.ok_value.status if answer.is_ok() else answer.err_value
        if status != 200:
            raise RuntimeError(f"{request}: {status}")

    async def _replica(self, scope: Scope, receive: Receive, send: Send) -> None:
        exchange = Exchange(scope, receive, send)
        await exchange.read_body(max_bytes=MAX_BODY_BYTES, timeout_s=REQUEST_S)
        self.served += 1
        request = exchange.headers.get(names.REQUEST_ID, "")
        headers = [(names.REQUEST_ID, request), (names.SERVER_STAMP, f"stamp-{request}")]
        if request.startswith("plain"):
            await exchange.respond(200, PLAIN_BODY, headers)
            return
        await exchange.start(200, [*headers, ("content-type", "text/event-stream")])
        for number in range(1, EVENTS + 1):
            await exchange.write(event(number, WORD))
            await anyio.sleep(0.001)
        await exchange.write(b"", more=False)


@asynccontextmanager
async def bench_site(
    folder: Path, builds: Sequence[Path], command: Sequence[str] = ("-m", "bramleylead")
) -> AsyncIterator[BenchSite]:
    """Run the deployment in this context."""
    async with AsyncExitStack() as stack:
        site = BenchSite(folder, builds, command)
        await site.open(stack)
        yield site


def _configuration() -> Configuration:
    engine = EngineSpec(slots=8, cache_tokens=100_000, tokens_per_event=EVENT_TOKENS)
    services = {"models": Service("models", 100, engine), "plain": Service("plain", 100, None)}
    routes = (_route("turns", CallKind.STREAM, "models"), _route("plain", CallKind.SAFE, "plain"))
    limits = Limits(
        max_header_bytes=16_384, max_body_bytes=1_000_000, header_timeout_s=3.0, idle_timeout_s=15.0
    )
    return Configuration(1, routes, services, limits)


def _route(name: str, kind: CallKind, service: str) -> Route:
    return Route(
        name=name,
        host=HOST_NAME,
        path_prefix=f"/{name}/",
        kind=kind,
        shares=(Share(service, 1.0),),
        max_attempts=1,
        timeout_s=REQUEST_S,
        target_latency_s=0.5,
        priority=0,
        retains_turns=kind is CallKind.STREAM,
        turn_retention_s=60.0,
        resumable=False,
    )

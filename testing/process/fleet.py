"""A fleet of membership and ticket nodes over the fake network, for the tests of both."""

from __future__ import annotations

import json
import random
from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.metrics import Metrics
from bramleylead.node_settings import NodeSettings
from bramleylead.node_settings import TicketSettings
from bramleylead.platform import MemoryStore
from bramleylead.platform import StoreError
from bramleylead.platform import StoreErrorKind
from bramleylead.platform import VmEntry
from bramleylead.process._store_health import ObservedStore
from bramleylead.process.membership._membership import Membership
from bramleylead.process.tickets._ticket_admin import TicketAdmin
from bramleylead.process.tickets._tickets import TicketLog
from bramleylead.promises import Promises
from bramleylead.standins import FakeNetwork
from bramleylead.version import Config
from bramleylead.version import Ticket

KEY = "a shared key of the cluster"
PORT = 7000


class CutStore:
    """A node's connection to the store, which a test can cut."""

    def __init__(self, fleet: Fleet, host: str) -> None:
        self._fleet = fleet
        self._host = host

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._fleet.store, name)

        async def call(*args: Any, **kwargs: Any) -> Any:
            await self._fleet.network.pass_gate(self._host)
            if self._fleet.store_out or self._host in self._fleet.cut_from_store:
                await anyio.sleep(0.2)
                return Err(StoreError(StoreErrorKind.UNAVAILABLE, "cut"))
            return await method(*args, **kwargs)

        return call


class Fleet:
    """Nodes ``n0 ..`` on hosts ``10.0.0.<i>``, in four data centres of two regions."""

    def __init__(self, *, seed: int) -> None:
        self.network = FakeNetwork({})
        self.store = MemoryStore()
        self.store_out = False
        self.cut_from_store: set[str] = set()
        self.seed = seed
        self.tickets = TicketSettings()
        self.nodes: dict[str, Membership] = {}
        self.logs: dict[str, Any] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}

    def settings(self, i: int, name: str = "") -> NodeSettings:
        return NodeSettings(
            node=name or f"n{i}",
            region=f"r{i % 4 // 2}",
            data_centre=f"d{i % 4}",
            peer_address=f"{host(i)}:{PORT}",
            http_address=f"{host(i)}:8000",
            cluster_key=KEY,
            operator_key_sha256="0" * 64,
            tickets=self.tickets,
        )

    def list_vm(self, settings: NodeSettings) -> None:
        self.store.set_vm(
            VmEntry(
                settings.node,
                settings.peer_address,
                settings.region,
                settings.data_centre,
                leaving=False,
            )
        )

    async def start(self, tasks: anyio.abc.TaskGroup, i: int, *, name: str = "") -> None:
        settings = self.settings(i, name)
        self.network.place(host(i), settings.region, settings.data_centre)
        self.list_vm(settings)
        await tasks.start(self._run, settings, host(i))

    async def _run(
        self, settings: NodeSettings, node_host: str, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        rng = random.Random(f"{self.seed}/{settings.node}/{anyio.current_time()}")
        network = self.network.view(node_host)
        server = PeerServer(node=settings.node, cluster_key=KEY)
        store = ObservedStore(CutStore(self, node_host))
        metrics = Metrics()
        with anyio.CancelScope() as scope:
            self._scopes[node_host] = scope
            async with PeerClient(network, node=settings.node, cluster_key=KEY) as peers:
                membership = Membership(
                    settings,
                    peers=peers,
                    server=server,
                    store=store,
                    rng=rng,
                    metrics=metrics,
                    boot_id=f"{rng.getrandbits(32):08x}",
                )
                async with (
                    self.extra_components(membership, settings, peers, server, store, rng, metrics),
                    anyio.create_task_group() as tasks,
                ):
                    await tasks.start(network.serve, settings.peer_address, server.serve_stream)
                    async with membership:
                        self.nodes[settings.node] = membership
                        task_status.started()
                        await anyio.sleep_forever()

    @asynccontextmanager
    async def extra_components(self, *parts: Any) -> AsyncIterator[None]:
        """Run components on top of membership; for subclasses to override."""
        yield

    def kill(self, i: int, *, name: str = "") -> None:
        self.network.kill(host(i))
        self.nodes.pop(name or f"n{i}")
        self._scopes.pop(host(i)).cancel()

    def views(self) -> dict[str, list[str]]:
        """Return the names in each running node's view."""
        return {name: [m.node for m in node.members()] for name, node in self.nodes.items()}

    def agreed(self) -> bool:
        wanted = sorted(self.nodes)
        return all(names == wanted for names in self.views().values())


def host(i: int) -> str:
    return f"10.0.{i // 250}.{i % 250 + 1}"


async def until(condition: Callable[[], bool], *, limit_s: float) -> float:
    """Wait until a condition is true; return how long it took.

    :raises TimeoutError: if it is not true within ``limit_s``.
    """
    started = anyio.current_time()
    with anyio.fail_after(limit_s):
        while not condition():  # noqa: ASYNC110 - the condition has no event
            await anyio.sleep(0.05)
    return anyio.current_time() - started


@asynccontextmanager
async def running(fleet: Fleet, count: int) -> AsyncIterator[anyio.abc.TaskGroup]:
    """Run ``count`` nodes, and wait until they all know each other."""
    async with anyio.create_task_group() as tasks:
        for i in range(count):
            await fleet.start(tasks, i)
        await until(fleet.agreed, limit_s=30)
        yield tasks
        tasks.cancel_scope.cancel()


def ticket_body(number: int, author: str = "op", **fields: Any) -> bytes:
    return json.dumps({"number": number, "author": author, **fields}).encode()


def parse(body: bytes, config: Config) -> Result[Ticket, Failure]:
    """Check only the schema; the full validation has its own tests."""
    try:
        return Ok(Ticket.model_validate_json(body))
    except ValueError as error:
        return Err(Failure(ErrorKind.TICKET_INVALID, str(error)))


class TicketFleet(Fleet):
    """A fleet whose nodes also run the ticket log."""

    def __init__(self, *, seed: int, relay: str = "tree") -> None:
        super().__init__(seed=seed)
        self.relay = relay
        self.ticket_admins: dict[str, TicketAdmin] = {}
        self.promises: dict[str, Promises] = {}

    @asynccontextmanager
    async def extra_components(
        self,
        membership: Membership,
        settings: NodeSettings,
        peers: PeerClient,
        server: PeerServer,
        store: ObservedStore,
        rng: random.Random,
        metrics: Metrics,
    ) -> AsyncIterator[None]:
        promises = Promises(metrics.registry)
        self.promises[settings.node] = promises
        log = TicketLog(
            settings,
            peers=peers,
            server=server,
            store=store,
            membership=membership,
            promises=promises,
            metrics=metrics,
            rng=rng,
            relay=self.relay,
        )
        ticket_admin = TicketAdmin(log, peers=peers, membership=membership, validate=parse)
        async with log:
            self.logs[settings.node] = log
            self.ticket_admins[settings.node] = ticket_admin
            yield

    def kill(self, i: int, *, name: str = "") -> None:
        super().kill(i, name=name)
        self.logs.pop(name or f"n{i}")
        self.ticket_admins.pop(name or f"n{i}")

    def all_at(self, number: int) -> bool:
        return all(log.config.number == number for log in self.logs.values())

    def all_current(self) -> bool:
        return all(log.is_current() for log in self.logs.values())

    def none_current(self) -> bool:
        return not any(log.is_current() for log in self.logs.values())

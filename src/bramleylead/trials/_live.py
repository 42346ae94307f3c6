"""A fleet over real sockets in one process: object API, engines, services, nodes, a balancer."""

from __future__ import annotations

import random
import socket
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import final

import anyio
from anyio.abc import ByteStream
from anyio.abc import SocketAttribute
from anyio.abc import TaskGroup
from anyio.abc import TaskStatus
from result import Err

from bramleylead.connection import TcpNetwork
from bramleylead.metrics import Metrics
from bramleylead.node_settings import NodeSettings
from bramleylead.platform import MemoryStore
from bramleylead.platform import VmEntry
from bramleylead.platform import open_store
from bramleylead.process._run_node import ServedNode
from bramleylead.process._run_node import serve_node
from bramleylead.promises import Promise
from bramleylead.promises import Violation
from bramleylead.standins import EngineLedger
from bramleylead.standins import EngineModelSettings
from bramleylead.standins import FakeEngine
from bramleylead.standins import FakeService
from bramleylead.standins import FakeWeightStore
from bramleylead.standins import ServiceLedger
from bramleylead.standins import serve_engine
from bramleylead.standins import serve_tool
from bramleylead.trials._example import Example
from bramleylead.trials._fleet import tool_models
from bramleylead.trials._http_node import HttpNode
from bramleylead.version import Endpoint
from bramleylead.version import EndpointKind

PROBE_INTERVAL_S = 0.1


@final
class CutNetwork:
    """The real network of one node, whose streams can all be dropped at once."""

    def __init__(self) -> None:
        self._tcp = TcpNetwork()
        self._open: set[ByteStream] = set()

    async def connect(self, address: str) -> ByteStream:
        """Open a TCP stream."""
        stream = await self._tcp.connect(address)
        self._open.add(stream)
        return stream

    async def serve(
        self,
        address: str,
        handler: Callable[[ByteStream], Awaitable[None]],
        *,
        task_status: TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept TCP streams."""

        async def accept(stream: ByteStream) -> None:
            self._open.add(stream)
            try:
                await handler(stream)
            finally:
                self._open.discard(stream)

        await self._tcp.serve(address, accept, task_status=task_status)

    def cut(self) -> None:
        """Shut every stream, so that nothing that still runs can send a word."""
        for stream in self._open:
            try:
                stream.extra(SocketAttribute.raw_socket).shutdown(socket.SHUT_RDWR)
            except OSError:
                continue
        self._open.clear()


@final
class LiveEndpoints:
    """The stand-ins of one user, with one ledger for all engines and one for all services."""

    def __init__(self) -> None:
        self.engines: dict[str, FakeEngine] = {}
        self.engine_ledger = EngineLedger()
        self.service_ledger = ServiceLedger()
        self.weights = FakeWeightStore()


@final
class LiveHost:
    """One VM: its node, and the node as callers reach it.

    :param broken: never set here: a connection that breaks shows itself to its caller.
    """

    def __init__(
        self, settings: NodeSettings, keys: dict[str, str], violations: list[Violation]
    ) -> None:
        self.settings = settings
        self.node = HttpNode(settings.http_address, keys, self._note_cut)
        self._violations = violations
        self.broken = anyio.Event()
        self.stopping = False
        self.up = False
        self.served: ServedNode | None = None
        self.network = CutNetwork()
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()

    def _note_cut(self, detail: str) -> None:
        """Count a violation if a planned stop broke a request off."""
        if self.stopping:
            found = f"a request was cut off by {self.settings.node}: {detail}"
            self._violations.append(Violation(Promise.GRACEFUL_STOP, found))


@final
class LiveFleet:
    """One user's fleet. Implements ``TrialFleet``; made by :func:`live_fleet`."""

    def __init__(
        self, example: Example, store: MemoryStore, tasks: TaskGroup, *, rng: random.Random
    ) -> None:
        self.deployment = example.deployment
        self.endpoints = LiveEndpoints()
        self.violations: list[Violation] = []
        self.node_violations: list[Violation] = []
        self.hosts = {
            name: LiveHost(settings, example.keys, self.violations)
            for name, settings in example.deployment.nodes.items()
        }
        self._store = store
        self._tasks = tasks
        self._rng = rng

    def ready(self) -> list[LiveHost]:
        """Return the hosts whose last probe found them ready."""
        return [host for host in self.hosts.values() if host.up]

    async def start_endpoint(
        self, name: str, endpoint: Endpoint, settings: EngineModelSettings
    ) -> None:
        """Serve a stand-in at its address."""
        if endpoint.kind is EndpointKind.ENGINE:
            engine = FakeEngine(
                name,
                settings,
                rng=self._new_rng(),
                ledger=self.endpoints.engine_ledger,
                weights=self.endpoints.weights,
            )
            self.endpoints.engines[endpoint.address] = engine
            await self._tasks.start(_hold, serve_engine(engine, endpoint.address))
            return
        service = FakeService(
            name,
            tool_models(self.deployment, endpoint.serves),
            rng=self._new_rng(),
            ledger=self.endpoints.service_ledger,
            checks_fence=endpoint.checks_fence,
        )
        await self._tasks.start(_hold, serve_tool(service, endpoint.address))

    async def start_node(self, name: str) -> None:
        """Start a node and wait until it serves."""
        host = self.hosts[name]
        host.stopping = False
        host.scope, host.ended, host.network = anyio.CancelScope(), anyio.Event(), CutNetwork()
        self._list(host, leaving=False)
        await self._tasks.start(self._run_node, host)

    async def stop(self, name: str) -> None:
        """Stop a node gracefully."""
        host = self.hosts[name]
        assert host.served is not None
        host.stopping = True
        self._list(host, leaving=True)
        await host.served.stop()
        host.scope.cancel()
        await host.ended.wait()
        self._store.remove_vm(name)

    async def kill(self, name: str) -> None:
        """Drop a node's sockets and tasks without a word."""
        host = self.hosts[name]
        assert host.served is not None
        host.served.kill()
        host.network.cut()
        host.scope.cancel()
        await host.ended.wait()

    async def balance(self, host: LiveHost) -> None:
        """Probe a host as a balancer does, until cancelled."""
        while True:
            host.up = await host.node.probe()
            await anyio.sleep(PROBE_INTERVAL_S)

    async def submit_first_ticket(self) -> None:
        """Put the first ticket in force on every node."""
        nodes = [host.served.node for host in self.hosts.values() if host.served is not None]
        body = self.deployment.ticket.model_dump_json().encode()
        accepted = await nodes[0].submit_ticket(body)
        if isinstance(accepted, Err):
            raise ValueError(f"first ticket: {accepted.err_value.detail}")
        for node in nodes:
            await node.tickets.wait_changed(0)

    def collect_violations(self) -> None:
        """Take over what the running nodes have counted themselves."""
        for host in self.hosts.values():
            if host.served is not None:
                self._collect(host.served)

    def _collect(self, served: ServedNode) -> None:
        found = served.node.promises.violations
        self.node_violations.extend(found)
        found.clear()

    async def _run_node(
        self, host: LiveHost, *, task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        metrics = Metrics()
        try:
            with host.scope:
                async with (
                    open_store(host.settings.store, registry=metrics.registry) as store,
                    serve_node(
                        host.settings,
                        store=store,
                        network=host.network,
                        rng=self._new_rng(),
                        metrics=metrics,
                    ) as served,
                ):
                    host.served = served
                    task_status.started()
                    await anyio.sleep_forever()
        finally:
            if host.served is not None:
                self._collect(host.served)
            host.served = None
            host.ended.set()

    def _list(self, host: LiveHost, *, leaving: bool) -> None:
        settings = host.settings
        self._store.set_vm(
            VmEntry(
                settings.node,
                settings.peer_address,
                settings.region,
                settings.data_centre,
                leaving,
            )
        )

    def _new_rng(self) -> random.Random:
        return random.Random(self._rng.getrandbits(64))


@asynccontextmanager
async def live_fleet(
    example: Example, store: MemoryStore, *, engine: EngineModelSettings, rng: random.Random
) -> AsyncIterator[LiveFleet]:
    """Run a user's fleet with its first ticket in force.

    :param store: the object API that the example's settings point to.
    """
    async with anyio.create_task_group() as tasks:
        fleet = LiveFleet(example, store, tasks, rng=rng)
        for name, endpoint in sorted(example.deployment.ticket.endpoints.items()):
            checks = {"checks_fence": endpoint.checks_fence, "models": (endpoint.serves,)}
            await fleet.start_endpoint(name, endpoint, engine.model_copy(update=checks))
        for name in fleet.hosts:
            await fleet.start_node(name)
        for host in fleet.hosts.values():
            tasks.start_soon(fleet.balance, host)
        await fleet.submit_first_ticket()
        try:
            yield fleet
        finally:
            tasks.cancel_scope.cancel()


async def _hold(context: object, *, task_status: TaskStatus[None]) -> None:
    """Keep a context open until cancelled."""
    async with context:  # type: ignore[attr-defined]
        task_status.started()
        await anyio.sleep_forever()

"""Membership and ticket log of many nodes in one process, for the control bench.

The product's own code runs over the fake network and the embedded store, under virtual time.
"""

from __future__ import annotations

import json
import random
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from typing import NamedTuple
from typing import final

import anyio
from anyio.abc import TaskGroup
from anyio.abc import TaskStatus
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.errors import Failure
from bramleylead.metrics import Metrics
from bramleylead.node_settings import NodeSettings
from bramleylead.platform import MemoryStore
from bramleylead.platform import VmEntry
from bramleylead.process._store_health import ObservedStore
from bramleylead.process.membership._membership import Membership
from bramleylead.process.tickets._ticket_admin import TicketAdmin
from bramleylead.process.tickets._tickets import TicketLog
from bramleylead.promises import Promises
from bramleylead.standins import FakeNetwork
from bramleylead.standins import FaultyStore
from bramleylead.standins import StoreFaults
from bramleylead.version import Config
from bramleylead.version import Ticket

KEY = "key of the control bench"
DATA_CENTRES = 4
REGIONS = 2
HOSTS_PER_SUBNET = 250
WATCH_DELAY_S = 0.1


class Running(NamedTuple):
    """One node that runs."""

    membership: Membership
    log: TicketLog
    desk: TicketAdmin
    promises: Promises
    scope: anyio.CancelScope


@final
class ControlFleet:
    """``count`` nodes in four data centres of two regions."""

    def __init__(self, count: int, *, seed: int, relay: str) -> None:
        self.count = count
        self.network = FakeNetwork({})
        self.store = MemoryStore()
        self.nodes: dict[str, Running] = {}
        self._faults = StoreFaults(watch_delay_s=WATCH_DELAY_S)
        self._seed = seed
        self._relay = relay

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Run the nodes until the context closes."""
        async with anyio.create_task_group() as tasks:
            for number in range(self.count):
                await self._start(tasks, number)
            yield
            tasks.cancel_scope.cancel()

    def agreed(self) -> bool:
        """Whether each node lists exactly the nodes that run."""
        wanted = sorted(self.nodes)
        return all(
            [member.node for member in node.membership.members()] == wanted
            for node in self.nodes.values()
        )

    def kill(self, node: str) -> None:
        """Drop a node without a word."""
        running = self.nodes.pop(node)
        self.network.kill(running.membership.own.address.rpartition(":")[0])
        running.scope.cancel()

    def violations(self) -> int:
        """Return how often a promise was seen broken."""
        return sum(len(node.promises.violations) for node in self.nodes.values())

    async def _start(self, tasks: TaskGroup, number: int) -> None:
        settings = _settings(number)
        self.network.place(_host(number), settings.region, settings.data_centre)
        place = (settings.region, settings.data_centre)
        self.store.set_vm(VmEntry(settings.node, settings.peer_address, *place, leaving=False))
        await tasks.start(self._run, settings, _host(number))

    async def _run(self, settings: NodeSettings, host: str, *, task_status: TaskStatus) -> None:
        rng = random.Random(f"{self._seed}/{settings.node}")
        network = self.network.view(host)
        server = PeerServer(node=settings.node, cluster_key=KEY)
        way = FaultyStore(self.store, host=host, network=self.network, rng=rng, faults=self._faults)
        store = ObservedStore(way)
        metrics = Metrics()
        promises = Promises(metrics.registry)
        async with AsyncExitStack() as stack:
            scope = stack.enter_context(anyio.CancelScope())
            client = PeerClient(network, node=settings.node, cluster_key=KEY)
            peers = await stack.enter_async_context(client)
            membership = Membership(
                settings,
                peers=peers,
                server=server,
                store=store,
                rng=rng,
                metrics=metrics,
                boot_id=f"{rng.getrandbits(32):08x}",
            )
            log = TicketLog(
                settings,
                peers=peers,
                server=server,
                store=store,
                membership=membership,
                promises=promises,
                metrics=metrics,
                rng=rng,
                relay=self._relay,
            )
            desk = TicketAdmin(log, peers=peers, membership=membership, validate=_parse)
            await stack.enter_async_context(log)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            await tasks.start(network.serve, settings.peer_address, server.serve_stream)
            await stack.enter_async_context(membership)
            self.nodes[settings.node] = Running(membership, log, desk, promises, scope)
            task_status.started()
            await anyio.sleep_forever()


def ticket_body(number: int) -> bytes:
    """Return a ticket of the size of one endpoint's change."""
    endpoint = {
        "kind": "engine",
        "address": "10.9.0.1:8000",
        "serves": "assistant",
        "region": "r0",
        "data_centre": "d0",
    }
    plain = {"number": number, "author": "bench", "endpoints": {f"e{number % 100}": endpoint}}
    return json.dumps(plain).encode()


def _parse(body: bytes, config: Config) -> Result[Ticket, Failure]:
    return Ok(Ticket.model_validate_json(body))


def _host(number: int) -> str:
    return f"10.0.{number // HOSTS_PER_SUBNET}.{number % HOSTS_PER_SUBNET + 1}"


def _settings(number: int) -> NodeSettings:
    data_centre = number % DATA_CENTRES
    return NodeSettings(
        node=f"node-{number:03d}",
        region=f"r{data_centre * REGIONS // DATA_CENTRES}",
        data_centre=f"d{data_centre}",
        peer_address=f"{_host(number)}:7000",
        http_address=f"{_host(number)}:8000",
        cluster_key=KEY,
        operator_key_sha256="0" * 64,
    )

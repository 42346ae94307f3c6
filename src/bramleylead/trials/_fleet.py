"""A fleet of the product's own nodes in one process, over the stand-ins, under virtual time."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager
from typing import final

import anyio
from anyio.abc import TaskGroup

from bramleylead.connection._tcp import split_address
from bramleylead.node_settings import NodeSettings
from bramleylead.platform import MemoryStore
from bramleylead.platform import VmEntry
from bramleylead.process._node import Node
from bramleylead.promises import Violation
from bramleylead.standins import FakeEndpoints
from bramleylead.standins import FakeNetwork
from bramleylead.standins import FaultyStore
from bramleylead.standins import StoreFaults
from bramleylead.standins import ToolModel
from bramleylead.trials._deployments import Deployment
from bramleylead.version import EndpointKind

VM_LIST_LAG_S = 10.0


@final
class Host:
    """One VM and the node on it, if it runs.

    :param broken: set when the node's connections to callers break.
    """

    def __init__(self, settings: NodeSettings) -> None:
        self.settings = settings
        self.ip = split_address(settings.peer_address)[0]
        self.node: Node | None = None
        self.scope = anyio.CancelScope()
        self.broken = anyio.Event()
        self.ended = anyio.Event()
        self.frozen = False
        self.stopping = False

    @property
    def running(self) -> bool:
        """Whether a node runs here, frozen or not."""
        return self.node is not None

    @property
    def ready(self) -> bool:
        """Whether the balancer sends callers here."""
        return self.node is not None and not self.frozen and self.node.ready()


@final
class Fleet:
    """The nodes, endpoints, network and store of one trial."""

    def __init__(self, deployment: Deployment, tasks: TaskGroup, *, seed: int) -> None:
        self.deployment = deployment
        self.rng = random.Random(f"{seed}/fleet")
        self.seed = seed
        places = {
            split_address(settings.peer_address)[0]: (settings.region, settings.data_centre)
            for settings in deployment.nodes.values()
        }
        for endpoint in deployment.ticket.endpoints.values():
            host = split_address(endpoint.address)[0]
            places[host] = (endpoint.region, endpoint.data_centre)
        self.network = FakeNetwork(places)
        self.inner_store = MemoryStore()
        self.faults = StoreFaults(vm_lag_s=VM_LIST_LAG_S)
        self.endpoints = FakeEndpoints(self.network, seed=seed)
        self.hosts = {name: Host(settings) for name, settings in deployment.nodes.items()}
        self.violations: list[Violation] = []
        self.handler_errors = 0
        self._tasks = tasks
        self._boots = 0

    def view_store(self, host: str) -> FaultyStore:
        """Return the object API as one host reaches it."""
        return FaultyStore(
            self.inner_store,
            host=host,
            network=self.network,
            rng=random.Random(f"{self.seed}/{host}/{self._boots}"),
            faults=self.faults,
        )

    async def start_endpoints(self, tools: Callable[[str], dict[str, ToolModel]]) -> None:
        """Start the engines and plain services of the first ticket."""
        for name, endpoint in sorted(self.deployment.ticket.endpoints.items()):
            if endpoint.kind is EndpointKind.ENGINE:
                self.endpoints.add_engine(name, endpoint.address)
            else:
                self.endpoints.add_service(
                    name,
                    endpoint.address,
                    tools(endpoint.serves),
                    checks_fence=endpoint.checks_fence,
                )
        await self._tasks.start(self.endpoints.run)

    async def start_node(self, name: str) -> None:
        """Start a node on a VM that runs none, and wait until it serves peers."""
        host = self.hosts[name]
        self._boots += 1
        host.broken = anyio.Event()
        host.ended = anyio.Event()
        host.scope = anyio.CancelScope()
        host.stopping = False
        settings = host.settings
        self.faults.set_vm(
            self.inner_store,
            VmEntry(name, settings.peer_address, settings.region, settings.data_centre, False),
        )
        started = anyio.Event()
        self._tasks.start_soon(self._run_node, host, started)
        await started.wait()

    async def kill(self, name: str) -> None:
        """Drop a node without a word, as when its VM is lost."""
        host = self.hosts[name]
        if host.node is None:
            return
        self.network.kill(host.ip)
        self.network.thaw(host.ip)
        host.frozen = False
        host.broken.set()
        host.scope.cancel()
        await host.ended.wait()

    async def stop(self, name: str) -> None:
        """Stop a node gracefully."""
        host = self.hosts[name]
        if host.node is None:
            return
        host.stopping = True
        await host.node.stop()
        host.broken.set()
        host.scope.cancel()
        await host.ended.wait()

    def freeze(self, name: str) -> None:
        """Pause a node: nothing enters or leaves it."""
        self.hosts[name].frozen = True
        self.network.freeze(self.hosts[name].ip)

    def thaw(self, name: str) -> None:
        """Let a paused node go on."""
        self.hosts[name].frozen = False
        self.network.thaw(self.hosts[name].ip)

    def ready(self) -> list[Host]:
        """Return the hosts that the balancer sends callers to, in order of name."""
        return [host for _, host in sorted(self.hosts.items()) if host.ready]

    def collect_violations(self) -> None:
        """Take over what the running nodes have counted."""
        for host in self.hosts.values():
            if host.node is not None:
                self.violations.extend(host.node.promises.violations)
                host.node.promises.violations.clear()

    async def _run_node(self, host: Host, started: anyio.Event) -> None:
        node = Node(
            host.settings,
            network=self.network.view(host.ip),
            store=self.view_store(host.ip),
            backends=self.endpoints.backends(host.ip),
            wall_clock=anyio.current_time,
            rng=random.Random(f"{self.seed}/{host.settings.node}/{self._boots}"),
        )
        try:
            with host.scope:
                async with node:
                    host.node = node
                    started.set()
                    await anyio.sleep_forever()
        finally:
            self.violations.extend(node.promises.violations)
            node.promises.violations.clear()
            self.handler_errors += node.handler_errors
            host.node = None
            host.ended.set()
            started.set()


@asynccontextmanager
async def running_fleet(deployment: Deployment, *, seed: int) -> AsyncIterator[Fleet]:
    """Run a fleet with its endpoints and its first ticket in force."""
    async with anyio.create_task_group() as tasks:
        fleet = Fleet(deployment, tasks, seed=seed)
        await fleet.start_endpoints(lambda group: tool_models(deployment, group))
        for name in sorted(fleet.hosts):
            await fleet.start_node(name)
        await submit_first_ticket(fleet)
        try:
            yield fleet
        finally:
            fleet.collect_violations()
            tasks.cancel_scope.cancel()


async def submit_first_ticket(fleet: Fleet) -> None:
    """Put the deployment's ticket in force everywhere."""
    body = fleet.deployment.ticket.model_dump_json().encode()
    host = next(iter(fleet.hosts.values()))
    assert host.node is not None
    accepted = await host.node.submit_ticket(body)
    accepted.unwrap()
    for other in fleet.hosts.values():
        if other.node is not None:
            await other.node.tickets.wait_changed(0)


def tool_models(deployment: Deployment, group: str) -> dict[str, ToolModel]:
    """Return how the tools of an endpoint group behave."""
    models = {}
    for kind in deployment.ticket.program_kinds.values():
        for name, tool in kind.tools.items():
            if tool.endpoint_group == group:
                models[name] = ToolModel(repeatable=tool.repeatable)
    return models

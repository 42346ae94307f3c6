"""Partition hosts of several nodes on a fake network, with store and membership faults."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from contextlib import asynccontextmanager
from typing import Any

import anyio
from aioprometheus import Registry
from result import Err
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.fleet._members import Member
from bramleylead.fleet._members import MemberState
from bramleylead.node_settings import NodeSettings
from bramleylead.platform._memory import MemoryStore
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind
from bramleylead.process.journal._entries import Entry
from bramleylead.process.journal._entries import ProgramOpened
from bramleylead.process.partitions._partition_host import PartitionHost
from bramleylead.promises import Promises
from bramleylead.standins import FakeNetwork
from bramleylead.standins import run_virtual

KEY = "a shared key of the cluster"
PORT = 7000
NEVER_S = 10.0**9


class HostStore:
    """A host's view of the store: can be frozen with the host, unavailable, or lose messages."""

    def __init__(self, fleet: PartitionFleet, host: str) -> None:
        self._fleet = fleet
        self._host = host
        self.unavailable = False
        self.replies_to_lose = 0
        self.requests_to_lose = 0

    async def _call(
        self, name: str, *arguments: Any, timeout_s: float = 2.0, **other_options: Any
    ) -> Any:
        await self._fleet.network.pass_gate(self._host)
        await anyio.sleep(self._fleet.store_delay_s)
        if self.unavailable or self._fleet.store_out:
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, "store out"))
        if name == "put" and self.requests_to_lose > 0:
            self.requests_to_lose -= 1
            return Err(StoreError(StoreErrorKind.UNKNOWN, "no reply"))
        result = await getattr(self._fleet.store, name)(*arguments, **other_options)
        await self._fleet.network.pass_gate(self._host)
        if name == "put" and self.replies_to_lose > 0:
            self.replies_to_lose -= 1
            return Err(StoreError(StoreErrorKind.UNKNOWN, "reply lost"))
        return result

    async def get(self, key: str, **options: Any) -> Any:
        return await self._call("get", key, **options)

    async def put(self, key: str, value: bytes, **options: Any) -> Any:
        return await self._call("put", key, value, **options)

    async def delete(self, key: str, **options: Any) -> Any:
        return await self._call("delete", key, **options)

    async def list(self, prefix: str, **options: Any) -> Any:
        return await self._call("list", prefix, **options)

    async def watch(self, prefix: str, **options: Any) -> Any:
        raise NotImplementedError

    async def vms(self, **options: Any) -> Any:
        raise NotImplementedError


class FleetMembers:
    """The member list of the fleet, with states set by the test."""

    def __init__(self, fleet: PartitionFleet, node: str) -> None:
        self._fleet = fleet
        self.self_name = node
        self.store_reachable: bool | None = None

    def members(self) -> Sequence[Member]:
        return [each for each in self._sorted_members() if each.state is not MemberState.DEAD]

    def alive(self) -> Sequence[Member]:
        states = (MemberState.ALIVE, MemberState.SUSPECT)
        return [each for each in self._sorted_members() if each.state in states]

    def get(self, node: str) -> Member | None:
        return self._fleet.members_by_name.get(node)

    async def wait_changed(self) -> None:
        await anyio.sleep_forever()

    async def store_reachable_by_peers(self) -> bool | None:
        if self.store_reachable is not None:
            return self.store_reachable
        return not self._fleet.store_out

    def _sorted_members(self) -> list[Member]:
        return [self._fleet.members_by_name[node] for node in sorted(self._fleet.members_by_name)]


class FleetNode:
    """A node with partition host, client and server, stopped by its own cancel scope."""

    def __init__(self, fleet: PartitionFleet, name: str, boot: str) -> None:
        self.fleet = fleet
        self.name = name
        self.host = fleet.address_of(name).split(":")[0]
        self.registry = Registry()
        self.promises = Promises(self.registry)
        self.store = HostStore(fleet, self.host)
        self.members = FleetMembers(fleet, name)
        self.boot = boot
        self.scope = anyio.CancelScope()
        self.owned_calls: list[int] = []
        self.lost_calls: list[int] = []
        self.partitions: PartitionHost = None  # type: ignore[assignment]

    async def run(self, *, task_status: Any = anyio.TASK_STATUS_IGNORED) -> None:
        fleet = self.fleet
        settings = fleet.settings(self.name)
        server = PeerServer(node=self.name, cluster_key=KEY)
        view = fleet.network.view(self.host)
        with self.scope:
            async with (
                PeerClient(view, node=self.name, cluster_key=KEY) as client,
                PartitionHost(
                    settings,
                    self.store,
                    client,
                    server,
                    self.members,
                    self.promises,
                    self.registry,
                    wall_clock=lambda: 0.0,
                    on_owned=lambda log: self.owned_calls.append(log.number),
                    on_lost=self.lost_calls.append,
                    boot=self.boot,
                ) as self.partitions,
                anyio.create_task_group() as tasks,
            ):
                await tasks.start(view.serve, settings.peer_address, server.serve_stream)
                task_status.started()
                await anyio.sleep_forever()


class PartitionFleet:
    """Nodes ``n1``, ``n2`` ... distributed round-robin over data centres ``d1``, ``d2``, ``d3``."""

    def __init__(self, nodes: int, *, partitions: int, **overrides: Any) -> None:
        self.names = [f"n{index + 1}" for index in range(nodes)]
        self.locations = {
            name: ("r1", f"d{index % 3 + 1}") for index, name in enumerate(self.names)
        }
        self.network = FakeNetwork(
            {self.address_of(name).split(":")[0]: self.locations[name] for name in self.names}
        )
        self.store = MemoryStore()
        self.store_delay_s = 0.003
        self.store_out = False
        self.members_by_name: dict[str, Member] = {}
        self.nodes: dict[str, FleetNode] = {}
        self.all_nodes: list[FleetNode] = []
        self._partition_settings = {"count": partitions} | overrides
        self._tasks: Any = None

    def address_of(self, name: str) -> str:
        return f"10.0.0.{name[1:]}:{PORT}"

    def settings(self, name: str) -> NodeSettings:
        region, data_centre = self.locations[name]
        return NodeSettings.model_validate(
            {
                "node": name,
                "region": region,
                "data_centre": data_centre,
                "peer_address": self.address_of(name),
                "http_address": self.address_of(name),
                "cluster_key": KEY,
                "operator_key_sha256": "0" * 64,
                "partitions": self._partition_settings,
            }
        )

    async def start(self, name: str) -> FleetNode:
        node = FleetNode(self, name, f"boot-{len(self.all_nodes) + 1}")
        region, data_centre = self.locations[name]
        address = self.address_of(name)
        self.members_by_name[name] = Member(
            name, address, address, region, data_centre, boot_id=node.boot
        )
        self.nodes[name] = node
        self.all_nodes.append(node)
        await self._tasks.start(node.run)
        return node

    def kill(self, name: str) -> FleetNode:
        """Stop a node abruptly, and mark it as dead in the member list."""
        node = self.nodes.pop(name)
        self.network.kill(node.host)
        node.scope.cancel()
        self.set_state(name, MemberState.DEAD)
        return node

    def set_state(self, name: str, state: MemberState) -> None:
        self.members_by_name[name] = self.members_by_name[name]._replace(state=state)

    def cut(self, name: str, *others: str) -> None:
        for other in others:
            self.network.cut(self.nodes[name].host, self.nodes[other].host)

    def heal(self, name: str, *others: str) -> None:
        for other in others:
            self.network.heal(self.nodes[name].host, self.nodes[other].host)

    def owners(self, partition: int) -> list[str]:
        """Return the names of the nodes that serve a partition as owner."""
        return [
            name
            for name, node in sorted(self.nodes.items())
            if node.partitions.log(partition) is not None
        ]

    def owner(self, partition: int) -> FleetNode:
        """Return the only owner of a partition."""
        names = self.owners(partition)
        assert len(names) == 1, f"partition {partition} has owners {names}"
        return self.nodes[names[0]]

    async def wait_until(self, holds: Callable[[], bool], *, timeout_s: float) -> float:
        """Wait until a condition holds and return the elapsed time."""
        started_s = anyio.current_time()
        while not holds():
            assert anyio.current_time() - started_s < timeout_s, "condition did not hold in time"
            await anyio.sleep(0.01)
        return anyio.current_time() - started_s

    async def wait_owned(self, timeout_s: float = 20.0) -> None:
        """Wait until every partition has exactly one owner with a working pair."""
        count = self._partition_settings["count"]

        def all_paired() -> bool:
            return all(
                len(self.owners(number)) == 1
                and self.owner(number).partitions.log(number).has_valid_lease()
                for number in range(count)
            )

        await self.wait_until(all_paired, timeout_s=timeout_s)

    async def append(self, partition: int, entry: Entry) -> Result[bool, Any]:
        """Append at the current owner."""
        log = self.owner(partition).partitions.log(partition)
        return await log.append(entry)

    def violations(self) -> list[Any]:
        return [each for node in self.all_nodes for each in node.promises.violations]

    @asynccontextmanager
    async def running(self) -> Any:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for name in self.names:
                await self.start(name)
            yield self
            tasks.cancel_scope.cancel()


def program_opened(program: str) -> ProgramOpened:
    """Return an entry that opens a program."""
    return ProgramOpened(program, "branch", "kind", "", 0.0)


def run_fleet(
    body: Callable[[PartitionFleet], Awaitable[Any]],
    *,
    nodes: int = 3,
    partitions: int = 1,
    seed: int = 1,
    **overrides: Any,
) -> Any:
    """Run a test body on a started fleet in virtual time."""

    async def main() -> Any:
        fleet = PartitionFleet(nodes, partitions=partitions, **overrides)
        async with fleet.running():
            await fleet.wait_owned()
            result = await body(fleet)
        assert fleet.violations() == [], fleet.violations()
        return result

    return run_virtual(main, seed=seed)

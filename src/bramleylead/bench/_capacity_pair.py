"""One partition with both copies over the fake network: what an append costs."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator
from collections.abc import Sequence
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from typing import NamedTuple
from typing import final

import anyio
from aioprometheus import Registry
from anyio.abc import TaskGroup

from bramleylead.bench._capacity_state import opened
from bramleylead.bench._capacity_state import turn
from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.fleet._members import Member
from bramleylead.fleet._members import MemberState
from bramleylead.node_settings import NodeSettings
from bramleylead.node_settings import PartitionSettings
from bramleylead.platform import MemoryStore
from bramleylead.process.journal._entries import Entry
from bramleylead.process.journal._partition_log import PartitionLog
from bramleylead.process.partitions._partition_host import PartitionHost
from bramleylead.promises import Promises
from bramleylead.standins import FakeNetwork
from bramleylead.standins import run_virtual

KEY = "a shared key of the bench"
NODES = {"first": "10.0.0.1:7000", "second": "10.0.1.1:7000"}
READY_LIMIT_S = 60.0
READY_CHECK_S = 0.1
US = 1e6


class AppendCost(NamedTuple):
    """Processor time of both copies together and bytes both ways, for one append."""

    cpu_us: float
    bytes: float
    sends: float


@final
class _FixedMembers:
    """Two nodes that never change."""

    def __init__(self, node: str) -> None:
        self.self_name = node
        self._all = [
            Member(name, address, address, "r0", f"d{at}", MemberState.ALIVE, 1, name)
            for at, (name, address) in enumerate(NODES.items())
        ]

    def members(self) -> Sequence[Member]:
        return self._all

    def alive(self) -> Sequence[Member]:
        return self._all

    def get(self, node: str) -> Member | None:
        return next((each for each in self._all if each.node == node), None)

    async def wait_changed(self) -> None:
        await anyio.sleep_forever()

    async def store_reachable_by_peers(self) -> bool | None:
        return True


def _settings(node: str) -> NodeSettings:
    return NodeSettings(
        node=node,
        region="r0",
        data_centre=f"d{list(NODES).index(node)}",
        peer_address=NODES[node],
        http_address=NODES[node],
        cluster_key=KEY,
        operator_key_sha256="0" * 64,
        partitions=PartitionSettings(count=1),
    )


@asynccontextmanager
async def _pair(network: FakeNetwork) -> AsyncIterator[PartitionLog]:
    """Run both nodes and yield the partition at its owner, once both copies are up."""
    store = MemoryStore()
    async with anyio.create_task_group() as tasks, AsyncExitStack() as stack:
        hosts = [await _start(network, store, node, stack, tasks) for node in NODES]
        with anyio.fail_after(READY_LIMIT_S):
            while not (ready := _ready(hosts)):  # noqa: ASYNC110 - bench, polls two nodes
                await anyio.sleep(READY_CHECK_S)
        yield ready[0]
        tasks.cancel_scope.cancel()


async def _start(
    network: FakeNetwork,
    store: MemoryStore,
    node: str,
    stack: AsyncExitStack,
    tasks: TaskGroup,
) -> PartitionHost:
    settings = _settings(node)
    view = network.view(NODES[node].split(":")[0])
    server = PeerServer(node=node, cluster_key=KEY)
    client = await stack.enter_async_context(PeerClient(view, node=node, cluster_key=KEY))
    registry = Registry()
    host = PartitionHost(
        settings,
        store,
        client,
        server,
        _FixedMembers(node),
        Promises(registry),
        registry,
        wall_clock=anyio.current_time,
        on_owned=lambda log: None,
        on_lost=lambda number: None,
        boot=node,
    )
    await stack.enter_async_context(host)
    await tasks.start(view.serve, settings.peer_address, server.serve_stream)
    return host


def _ready(hosts: list[PartitionHost]) -> list[PartitionLog]:
    logs = [host.log(0) for host in hosts]
    return [log for log in logs if log is not None and log.has_valid_lease()]


def measure_append(entries: int, appends: int, tokens: int) -> AppendCost:
    """Return the cost of one append of so many entries, one append at a time.

    :param entries: 0 for the barrier, else a multiple of 2: intent and end of calls.
    """
    network = FakeNetwork({"10.0.0.1": ("r0", "d0"), "10.0.1.1": ("r0", "d1")})

    async def body() -> AppendCost:
        async with _pair(network) as log:
            (await log.append(opened(0))).unwrap()
            batches = [_batch(entries, at, tokens) for at in range(appends)]
            await anyio.sleep(1.0)
            sent = sum(network.bytes_by_host.values())
            sends = sum(network.sends_by_host.values())
            started = time.process_time()
            for batch in batches:
                (await log.append(*batch)).unwrap()
            cpu_s = time.process_time() - started
            added = sum(network.bytes_by_host.values()) - sent
            sends = sum(network.sends_by_host.values()) - sends
            return AppendCost(cpu_s / appends * US, added / appends, sends / appends)

    return run_virtual(body, seed=1)


def _batch(entries: int, at: int, tokens: int) -> list[Entry]:
    pairs = entries // 2
    first = at * pairs + 1
    return [entry for call in range(first, first + pairs) for entry in turn(0, call, tokens)]

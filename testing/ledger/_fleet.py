"""Ledger nodes and gateways for tests, on the fake network and virtual time."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import asynccontextmanager

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.ledger._client import LedgerClient
from bramleylead.ledger._disk_loading import load_node
from bramleylead.ledger._load_sharing import LoadSharing
from bramleylead.ledger._members import NO_VIEW
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._membership import Membership
from bramleylead.ledger._node import LedgerNode
from bramleylead.ledger._records import KeptTurn
from bramleylead.ledger._records import Key
from bramleylead.ledger._records import Record
from bramleylead.ledger._records import key_of
from bramleylead.ledger._relay_table import RelayTable
from bramleylead.ledger._traffic_shares import TrafficShares
from bramleylead.standins import FakeNetwork
from bramleylead.standins import virtual_random

KEY = "a shared key of the cluster"
PORT = 7000
SYNC_S = 0.002
LOSSES = 1
MAX_NODES = 12
REGIONS = {f"d{i}": f"r{i}" for i in range(3)}


class MemoryDisk:
    """A disk whose content survives a restart of the node, until it is wiped."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.view = NO_VIEW
        self.records: list[Record] = []
        self.full = False
        self.load_errors: list[OSError] = []
        self.view_delays_s: dict[int, float] = {}
        self.most_views_at_once = 0
        self._views_being_written = 0

    async def load(self) -> tuple[LedgerView, list[Record]]:
        if self.load_errors:
            raise self.load_errors.pop()
        return self.view, list(self.records)

    async def write(self, records: list[Record]) -> None:
        await anyio.sleep(SYNC_S)
        if self.full:
            raise OSError(28, "No space left on device")
        self.records += records

    async def write_view(self, view: LedgerView) -> None:
        self._views_being_written += 1
        self.most_views_at_once = max(self.most_views_at_once, self._views_being_written)
        await anyio.sleep(self.view_delays_s.get(view.epoch, SYNC_S))
        self._views_being_written -= 1
        if self.full:
            raise OSError(28, "No space left on device")
        self.view = view

    async def delete_expired(self, is_held: Callable[[Key], bool]) -> None:
        self.records = [record for record in self.records if is_held(key_of(record))]


class MemoryMemberList:
    """A member list whose store a test can make unavailable."""

    def __init__(self) -> None:
        self.view = NO_VIEW
        self.unavailable = False
        self.reads = 0

    async def read(self) -> Result[LedgerView, str]:
        self.reads += 1
        await anyio.sleep(0.004)
        return Err("the store is unavailable") if self.unavailable else Ok(self.view)

    async def change(self, before: LedgerView, after: LedgerView) -> Result[None, str]:
        await anyio.sleep(0.004)
        if self.unavailable or self.view != before:
            return Err(
                "the store is unavailable" if self.unavailable else "the list has changed since"
            )
        self.view = after
        return Ok(None)


class Ledger:
    """Nodes ``s0``, ``s1``, … on hosts ``10.0.0.<i>``, spread over three regions."""

    def __init__(self) -> None:
        locations = {host(i): (f"r{i % 3}", f"d{i % 3}") for i in range(MAX_NODES)}
        self.network = FakeNetwork(
            {**locations, **{gateway_host(i): (f"r{i}", f"d{i}") for i in range(3)}}
        )
        self.members = MemoryMemberList()
        self.disks: dict[int, MemoryDisk] = {}
        self.nodes: dict[int, LedgerNode] = {}
        self.memberships: dict[int, Membership] = {}
        self.relay_tables: dict[int, RelayTable] = {}
        self.servers: dict[int, PeerServer] = {}
        self.ports: dict[int, int] = {}
        self.target_size: int | None = None
        self.losses = LOSSES
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._wipes = 0

    async def start(self, i: int, *, tasks: anyio.abc.TaskGroup) -> None:
        """Start a node and wait until it serves."""
        self.disks.setdefault(i, MemoryDisk(f"disk-{i}-{self._wipes}"))
        await tasks.start(self._run, i)

    def kill(self, i: int) -> None:
        """Kill a node's process; its disk is kept."""
        self.network.kill(host(i))
        self._scopes.pop(i).cancel()
        del self.nodes[i]

    def wipe(self, i: int) -> None:
        """Replace a node's disk by an empty one."""
        self._wipes += 1
        self.disks[i] = MemoryDisk(f"disk-{i}-{self._wipes}")

    async def leave(self, i: int) -> None:
        """Make a node leave permanently."""
        with anyio.fail_after(5):
            while True:
                if await self.memberships[i].leave():
                    return
                await anyio.sleep(0.1)

    async def wait_for_members(self, *numbers: int) -> None:
        """Wait until these nodes are members."""
        with anyio.fail_after(20):
            await wait_until(lambda: all(self.nodes[i].is_member for i in numbers))

    def holders(self, record_key: Key) -> list[int]:
        """Return the members' disks that hold a record."""
        disk_names = {member.disk for member in self.members.view.members}
        return [
            i
            for i, disk in self.disks.items()
            if disk.name in disk_names and record_key in map(key_of, disk.records)
        ]

    async def _run(
        self, i: int, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        view = self.network.view(host(i))
        server = PeerServer(node=f"s{i}", cluster_key=KEY)
        self.servers[i] = server
        with anyio.CancelScope() as scope:
            self._scopes[i] = scope
            async with (
                PeerClient(view, node=f"s{i}", cluster_key=KEY) as peers,
                anyio.create_task_group() as tasks,
            ):
                address = f"{host(i)}:{self.ports.get(i, PORT)}"
                node = LedgerNode(
                    node=f"s{i}",
                    address=address,
                    disk=self.disks[i],
                    peers=peers,
                    data_centre=f"d{i % 3}",
                )
                await load_node(node)
                node.register_handlers(server)
                self.nodes[i] = node
                tasks.start_soon(node.run_writer)
                self.relay_tables[i] = RelayTable(virtual_random(f"relays {i}"))
                self.relay_tables[i].register_handlers(server)
                load_sharing = LoadSharing(node, peers, TrafficShares())
                load_sharing.register_handlers(server)
                tasks.start_soon(load_sharing.run)
                await tasks.start(
                    lambda task_status: view.serve(
                        address, server.serve_stream, task_status=task_status
                    )
                )
                membership = Membership(
                    node,
                    self.members,
                    peers,
                    losses=self.losses,
                    rng=virtual_random(f"membership {i}"),
                    target_size=self.target_size,
                    regions=REGIONS,
                )
                self.memberships[i] = membership
                tasks.start_soon(membership.run)
                task_status.started()
                await anyio.sleep_forever()

    @asynccontextmanager
    async def gateway(self, i: int) -> AsyncIterator[LedgerClient]:
        """Open a client of the ledger as gateway ``i``."""
        async with self.peers(i) as peers, self.client(peers) as client:
            yield client

    def peers(self, i: int) -> PeerClient:
        """Return a client with which gateway ``i`` calls other nodes."""
        return PeerClient(self.network.view(gateway_host(i)), node=f"g{i}", cluster_key=KEY)

    def client(self, peers: PeerClient) -> LedgerClient:
        """Return a client of the ledger."""
        return LedgerClient(
            peers, self.members.read, losses=self.losses, rng=virtual_random("client")
        )


@asynccontextmanager
async def running_ledger(
    count: int, *, losses: int = LOSSES
) -> AsyncIterator[tuple[Ledger, anyio.abc.TaskGroup]]:
    """Run a ledger with ``count`` members."""
    ledger = Ledger()
    ledger.losses = losses
    ledger.target_size = count
    async with anyio.create_task_group() as tasks:
        for i in range(count):
            await ledger.start(i, tasks=tasks)
        await ledger.wait_for_members(*range(count))
        ledger.target_size = None
        yield ledger, tasks
        tasks.cancel_scope.cancel()


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    while True:
        if condition():
            return
        await anyio.sleep(0.05)


def host(i: int) -> str:
    return f"10.0.0.{i}"


def gateway_host(i: int) -> str:
    return f"10.0.1.{i}"


def turn(name: str, previous: str = "") -> KeptTurn:
    return KeptTurn(
        name, previous, "p", name, 10, 60.0, f"in {name};".encode(), f"out {name}\n".encode()
    )

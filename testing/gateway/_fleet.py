"""Several gateways with one ledger before replicas that can crash, in virtual time."""

from __future__ import annotations

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager

import anyio

from bramleylead.connection import PeerServer
from bramleylead.platform._types import Replica
from bramleylead.platform._types import Route
from bramleylead.standins import run_virtual
from testing.gateway._site import RELAY_PORT
from testing.gateway._site import FakeReplica
from testing.gateway._site import Script
from testing.gateway._site import Site
from testing.gateway._site import configuration
from testing.ledger._fleet import KEY
from testing.ledger._fleet import Ledger
from testing.ledger._fleet import gateway_host
from testing.ledger._fleet import running_ledger

RESTART_S = 3.0
REPORT_INTERVAL_S = 0.8
SLOTS = 12


class CrashableReplica:
    """A replica whose process can crash; it starts again at the same address under a new name.

    :param make_script: returns the script that answers requests, given this replica.
    :param version: of its software.
    """

    def __init__(
        self,
        fleet: Fleet,
        number: int,
        make_script: Callable[[CrashableReplica], Script],
        version: str,
    ) -> None:
        self.version = version
        self._fleet = fleet
        self._number = number
        self._script = make_script(self)
        self._scope = anyio.CancelScope()
        self.crashes = 0
        self.process = FakeReplica(self.name, self._script)

    @property
    def name(self) -> str:
        return f"i{self._number}.{self.crashes}"

    @property
    def address(self) -> str:
        return f"10.0.2.{self._number}:80"

    @property
    def host(self) -> str:
        return self.address.partition(":")[0]

    def crash(self) -> None:
        """End the process: its connections are closed and new ones refused."""
        self._scope.cancel()

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Serve, and start again after each crash, until cancelled."""
        self._fleet.network.place(self.host, "r0", "d0")
        view = self._fleet.network.view(self.host)
        while True:
            self.process = FakeReplica(self.name, self._script)
            self._fleet.list_replica(self)
            with anyio.CancelScope() as self._scope:
                async with anyio.create_task_group() as tasks:
                    await tasks.start(self._serve, view)
                    if not self.crashes:
                        task_status.started()
            former = self.name
            self.crashes += 1
            await anyio.sleep(RESTART_S)
            self._fleet.unlist(former)

    async def _serve(self, view, *, task_status) -> None:
        await view.serve(self.address, self.process.serve, task_status=task_status)


class Fleet:
    """Gateways, the nodes of their ledger, and replicas of the service ``svc``."""

    def __init__(self, ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
        self._tasks = tasks
        self.ledger = ledger
        self.network = ledger.network
        self.gateways: list[Site] = []
        self.replicas: list[CrashableReplica] = []

    @property
    def crashes(self) -> int:
        return sum(replica.crashes for replica in self.replicas)

    async def add_replica(
        self, make_script: Callable[[CrashableReplica], Script], *, version: str = "v1"
    ) -> CrashableReplica:
        """Start a replica.

        :param make_script: returns the script, given the replica that it may crash.
        """
        replica = CrashableReplica(self, len(self.replicas) + 1, make_script, version)
        self.replicas.append(replica)
        await self._tasks.start(replica.run)
        return replica

    async def run_relay(self, site: Site, *, task_status: anyio.abc.TaskStatus[str]) -> None:
        """Take the requests of other gateways, and report so to the ledger as a gateway does."""
        server = PeerServer(node=site.host, cluster_key=KEY)
        site.relay_server.register_handlers(server)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._report_relay, site)
            address = f"{site.host}:{RELAY_PORT}"
            view = self.network.view(site.host)
            await view.serve(address, server.serve_stream, task_status=task_status)

    async def _report_relay(self, site: Site) -> None:
        while True:
            offer = site.relay_server.current_offer()
            for table in self.ledger.relay_tables.values():
                table.record(offer, now=anyio.current_time())
            await anyio.sleep(REPORT_INTERVAL_S)

    def strand(self, gateway: int, *, hang: bool = True, refuse: bool = False) -> None:
        """Cut a gateway off from all replicas.

        :param hang: whether attempts to connect get no answer, instead of a refusal.
        :param refuse: refuse new connections only; open ones live on.
        """
        for replica in self.replicas:
            ends = (gateway_host(gateway), replica.host)
            if refuse:
                self.network.refuse(*ends)
            else:
                self.network.cut(*ends, hang=hang)

    def reconnect(self, gateway: int) -> None:
        """Undo :meth:`strand`."""
        for replica in self.replicas:
            self.network.heal(gateway_host(gateway), replica.host)

    def reset(self, gateway: int) -> None:
        """Cut a gateway off from all replicas; its connections to them are reset."""
        for replica in self.replicas:
            self.network.reset(gateway_host(gateway), replica.host)
        self.strand(gateway, hang=False)

    def list_replica(self, replica: CrashableReplica) -> None:
        entry = _entry_of(replica, leaving=False)
        for gateway in self.gateways:
            gateway.directory.put_replica(entry)

    def announce_leaving(self, replica: CrashableReplica) -> None:
        entry = _entry_of(replica, leaving=True)
        for gateway in self.gateways:
            gateway.directory.put_replica(entry)

    def unlist(self, name: str) -> None:
        for gateway in self.gateways:
            gateway.directory.remove_replica(name)


def _entry_of(replica: CrashableReplica, *, leaving: bool) -> Replica:
    return Replica(replica.name, "svc", replica.address, "d0", leaving, SLOTS, replica.version)


@asynccontextmanager
async def running_fleet(*routes: Route, gateways: int = 3) -> AsyncIterator[Fleet]:
    """Run gateways with a configuration of these routes, and a ledger of three nodes."""
    async with running_ledger(3) as (ledger, tasks), AsyncExitStack() as stack:
        fleet = Fleet(ledger, tasks)
        for number in range(gateways):
            peers = await stack.enter_async_context(ledger.peers(number))
            client = await stack.enter_async_context(ledger.client(peers))
            await client.refresh()
            site = Site(
                tasks,
                network=ledger.network,
                host=gateway_host(number),
                ledger=client,
                peers=peers,
                first_turn=number,
            )
            site.directory.apply_configuration(configuration(*routes), source="test")
            await tasks.start(fleet.run_relay, site)
            tasks.start_soon(site.path_monitor.run)
            fleet.gateways.append(site)
        yield fleet


def run_with_fleet(
    main: Callable[[Fleet], Awaitable[None]], *routes: Route, gateways: int = 3, seed: int = 1
) -> None:
    async def run() -> None:
        async with running_fleet(*routes, gateways=gateways) as fleet:
            await main(fleet)

    run_virtual(run, seed=seed)

"""A node: starts the components of a process in order and stops them in reverse."""

from __future__ import annotations

import random
from collections.abc import AsyncIterator
from collections.abc import Callable
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager
from types import TracebackType
from typing import Any
from typing import Self
from typing import final

import anyio
import structlog
from anyio.abc import TaskGroup
from result import Err
from result import Result

from bramleylead.backends import BackendFactory
from bramleylead.connection import Network
from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.metrics import Metrics
from bramleylead.node_settings import NodeSettings
from bramleylead.platform import ObjectStore
from bramleylead.process._gauges import GaugeRefresher
from bramleylead.process._node_components import NodeComponents
from bramleylead.process._node_dump import dump_components
from bramleylead.process._node_dump import explain_call
from bramleylead.process._store_health import ObservedStore
from bramleylead.process.journal._partition_log import PartitionLog
from bramleylead.promises import Promise
from bramleylead.promises import Promises
from bramleylead.request import AddChild
from bramleylead.request import CallItem
from bramleylead.request import CallRequest
from bramleylead.request import EndProgram
from bramleylead.request import OpenProgram
from bramleylead.request import ProgramView
from bramleylead.request import ReadProgram
from bramleylead.request import ResumeCall
from bramleylead.request import TicketAccepted
from bramleylead.request import TicketStatus
from bramleylead.request import TicketSummary
from bramleylead.request import find_branch
from bramleylead.request import key_matches
from bramleylead.supervision import supervise
from bramleylead.supervision import supervise_server
from bramleylead.version import Config

BOOT_ID_BITS = 64
SETTLE_ATTEMPTS = 5
SETTLE_RETRY_S = 1.0
GRANT_RETURN_INTERVAL_S = 10.0
DRAIN_CHECK_INTERVAL_S = 0.05
IDLE_WAIT_S = 2.0
"""How long a stop waits for each partition to be idle before it refuses new calls."""
LEAVE_PROPAGATION_S = 0.5
"""Time for the load balancer and the peers to learn that the node leaves, before the handover."""

log = structlog.get_logger()


@final
class Node:
    """One node: implements ``NodeService`` for the HTTP interface, and runs as a context manager.

    :param wall_clock: returns seconds since 1970, or virtual time in a trial.
    :param rng: random source of this process; also generates its boot id.
    :param metrics: the metrics of the process, if other components share them.
    """

    def __init__(
        self,
        settings: NodeSettings,
        *,
        network: Network,
        store: ObjectStore,
        backends: BackendFactory,
        wall_clock: Callable[[], float],
        rng: random.Random,
        metrics: Metrics | None = None,
    ) -> None:
        self.settings = settings
        self.metrics = Metrics() if metrics is None else metrics
        self.promises = Promises(self.metrics.registry)
        self.peer_address = settings.peer_address
        self._network = network
        self._store = ObservedStore(store)
        self._backends = backends
        self._wall_clock = wall_clock
        self._rng = rng
        self._stack = AsyncExitStack()
        self._leaving = False
        self._stopping = False
        self._ready = False
        self._entry_calls = 0
        self._client = PeerClient(network, node=settings.node, cluster_key=settings.cluster_key)
        self._server = PeerServer(node=settings.node, cluster_key=settings.cluster_key)

    @property
    def config(self) -> Config:
        """The configuration in force."""
        return self.tickets.config

    @property
    def handler_errors(self) -> int:
        """Number of peer calls whose handler raised an unexpected exception."""
        return self._server.handler_errors

    @property
    def stopping(self) -> bool:
        """Whether the node is stopping and accepts no new work."""
        return self._stopping

    async def __aenter__(self) -> Self:
        await self._stack.__aenter__()
        try:
            await self._start()
        except BaseException:
            await self._stack.aclose()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        self._ready = False
        return await self._stack.__aexit__(kind, error, trace)

    def alive(self) -> bool:
        """Liveness: whether the process responds."""
        return True

    def ready(self) -> bool:
        """Readiness: whether the load balancer should route callers to this node."""
        return self._ready and not self._leaving and self.config.number > 0

    def branch_of_key(self, key: str) -> str | None:
        """Return the branch that a caller's key belongs to."""
        return find_branch(self.config, key)

    def is_operator(self, key: str) -> bool:
        """Whether a key is the operators' key."""
        return key_matches(key, self.settings.operator_key_sha256)

    async def open_program(self, request: OpenProgram) -> Result[ProgramView, Failure]:
        """Open a program; a sub-agent is first added to its parent."""
        if not self.tickets.is_current():
            detail = "this node can't prove that it has the latest ticket in force"
            return Err(Failure(ErrorKind.NOT_CURRENT, detail))
        if request.parent:
            child = AddChild(request.branch, request.parent, request.program)
            added = await self._components.router.execute(child)
            if isinstance(added, Err):
                return added
            # A sub-agent continues its parent's work, so it is not scheduled as a new program.
            tokens_served = max(1.0, float(added.ok_value.tokens_used))
            request = request._replace(attained=tokens_served)
        return await self._components.router.execute(request)

    async def read_program(self, request: ReadProgram) -> Result[ProgramView, Failure]:
        """Read a program's state."""
        return await self._components.router.execute(request)

    async def end_program(self, request: EndProgram) -> Result[ProgramView, Failure]:
        """End a program and its sub-agents."""
        return await self._components.router.execute(request)

    def call(self, request: CallRequest) -> Any:
        """Run a call or attach to a running one; leaving the context does not cancel the call."""
        if not request.key and request.number == 0:
            request = request._replace(key=f"{self._rng.getrandbits(BOOT_ID_BITS):016x}")
        return self._answer(request)

    def resume(self, request: ResumeCall) -> Any:
        """Return an answer, starting at an offset."""
        return self._answer(request)

    async def submit_ticket(self, body: bytes) -> Result[TicketAccepted, Failure]:
        """Validate a ticket's JSON and accept it under its number, or reject it without effect."""
        return await self._components.ticket_admin.submit_ticket(body)

    async def ticket_status(self, number: int) -> Result[TicketStatus, Failure]:
        """Report the nodes on which an accepted ticket is in force."""
        return await self._components.ticket_admin.ticket_status(number)

    async def list_tickets(self) -> Result[tuple[TicketSummary, ...], Failure]:
        """List the accepted tickets in number order."""
        return await self._components.ticket_admin.list_tickets()

    async def show_ticket(self, number: int) -> Result[dict[str, Any], Failure]:
        """Return an accepted ticket's JSON."""
        return await self._components.ticket_admin.show_ticket(number)

    def dump(self) -> dict[str, Any]:
        """Return the process's state as JSON-serializable values, without secrets."""
        settings = self.settings
        return {
            "node": settings.node,
            "region": settings.region,
            "data_centre": settings.data_centre,
            "stopping": self._stopping,
            "ready": self.ready(),
            "entry_calls": self._entry_calls,
            **dump_components(self._components),
            "violations": [violation._asdict() for violation in self.promises.violations],
        }

    def explain(self, program: str, number: int) -> dict[str, Any]:
        """Return what this node knows about a call and its scheduling decisions."""
        return explain_call(self._components, self.settings, program, number)

    async def stop(self) -> None:
        """Stop gracefully: leave the load balancer, hand over partitions, finish running calls."""
        self._leaving = True
        log.info("node_stopping", node=self.settings.node)
        await anyio.sleep(LEAVE_PROPAGATION_S)
        self._stopping = True
        await self._components.membership.leave()
        with anyio.move_on_after(self.settings.stop_grace_s) as grace:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._close_owner)
                await self._components.partitions.leave()
                tasks.cancel_scope.cancel()
            await self._drain()
        self.promises.check(
            Promise.GRACEFUL_STOP,
            self._entry_calls == 0,
            f"{self._entry_calls} answers are cut off {self.settings.stop_grace_s:g} s after "
            f"{self.settings.node} was told to stop",
        )
        log.info("node_stopped", node=self.settings.node, in_time=not grace.cancelled_caught)

    async def _close_owner(self) -> None:
        """Refuse new calls after ``IDLE_WAIT_S``.

        Until then, a partition that becomes idle is handed over without a refused call.
        """
        await anyio.sleep(IDLE_WAIT_S)
        self._components.owner.stop_accepting_calls()

    async def _drain(self) -> None:
        """Wait until no call and no caller's answer is left on this node."""
        await self._components.owner.wait_idle()
        while self._entry_calls:  # noqa: ASYNC110 - no event signals the last caller
            await anyio.sleep(DRAIN_CHECK_INTERVAL_S)

    async def _start(self) -> None:
        """Start the components in dependency order."""
        boot_id = f"{self._rng.getrandbits(BOOT_ID_BITS):016x}"
        await self._stack.enter_async_context(self._client)
        tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._stack.callback(tasks.cancel_scope.cancel)
        self._tasks = tasks
        components = self._make_components(boot_id, tasks)
        self._components = components
        self.tickets = components.tickets
        await tasks.start(
            supervise_server,
            "nodes",
            self._network.serve,
            self.peer_address,
            self._server.serve_stream,
        )
        for part in (
            components.membership,
            components.tickets,
            components.scheduler,
            components.partitions,
        ):
            await self._stack.enter_async_context(part)
        gauges = GaugeRefresher(
            self.metrics, self._client, self._server, components.escrow, components.owned
        )
        for name, loop in (
            ("garbage_collection", components.ender.run),
            ("cache_sweep", components.sweep.run),
            ("grant_return", self._return_grants),
            ("gauges", gauges.run),
        ):
            tasks.start_soon(supervise, name, loop)
        self._ready = True
        log.info("node_started", node=self.settings.node, boot_id=boot_id)

    def _make_components(self, boot_id: str, tasks: TaskGroup) -> NodeComponents:
        return NodeComponents(
            self.settings,
            client=self._client,
            server=self._server,
            store=self._store,
            backends=self._backends,
            promises=self.promises,
            metrics=self.metrics,
            wall_clock=self._wall_clock,
            rng=self._rng,
            boot_id=boot_id,
            tasks=tasks,
            on_owned=self._on_owned,
            on_lost=self._on_lost,
        )

    @asynccontextmanager
    async def _answer(
        self, request: CallRequest | ResumeCall
    ) -> AsyncIterator[AsyncIterator[CallItem]]:
        self._entry_calls += 1
        items = self._components.router.stream_answer(request)
        try:
            yield items
        finally:
            self._entry_calls -= 1
            with anyio.CancelScope(shield=True):
                await items.aclose()

    def _on_owned(self, partition: PartitionLog) -> None:
        self._tasks.start_soon(self._settle_interrupted, partition)

    def _on_lost(self, partition: int) -> None:
        self._components.owner.cancel_partition_calls(partition)

    async def _settle_interrupted(self, partition: PartitionLog) -> None:
        """Settle interrupted calls; the cleanup of ended programs handles those that fail here."""
        for _ in range(SETTLE_ATTEMPTS):
            if self._components.partitions.log(partition.number) is not partition:
                return
            if await self._components.owner.finish_interrupted_calls(partition):
                return
            await anyio.sleep(SETTLE_RETRY_S)

    async def _return_grants(self) -> None:
        """Periodically return the unused budget grants of owned partitions."""
        while True:
            await anyio.sleep(GRANT_RETURN_INTERVAL_S)
            for partition in self._components.owned():
                await self._components.escrow.return_idle_grants(partition)

"""Creates the components of a node, each after those that it depends on."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import final

from anyio.abc import TaskGroup
from result import Err
from result import Ok
from result import Result

from bramleylead.backends import BackendFactory
from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.metrics import Metrics
from bramleylead.node_settings import NodeSettings
from bramleylead.process._owner_dependencies import OwnerDependencies
from bramleylead.process._store_health import ObservedStore
from bramleylead.process.budgets._budget import BudgetEscrow
from bramleylead.process.calls._cache_sweep import CacheSweep
from bramleylead.process.calls._garbage_collection import ProgramGarbageCollector
from bramleylead.process.calls._owner import ProgramOwner
from bramleylead.process.calls._router import ProgramRouter
from bramleylead.process.journal._partition_log import PartitionLog
from bramleylead.process.membership._membership import Membership
from bramleylead.process.partitions._partition_host import PartitionHost
from bramleylead.process.tickets._ticket_admin import TicketAdmin
from bramleylead.process.tickets._tickets import TicketLog
from bramleylead.promises import Promises
from bramleylead.scheduling import NodeScheduler
from bramleylead.scheduling import RetryBudget
from bramleylead.version import Config
from bramleylead.version import Ticket
from bramleylead.version._validation import validate_ticket


@final
class NodeComponents:
    """The components of a node; the node opens and closes them.

    :param rng: random source of the process, from which the components' own sources are seeded.
    :param tasks: task group of the running calls.
    :param on_owned: called when this node becomes the owner of a partition.
    :param on_lost: called with the number of a partition that this node no longer owns.
    """

    def __init__(
        self,
        settings: NodeSettings,
        *,
        client: PeerClient,
        server: PeerServer,
        store: ObservedStore,
        backends: BackendFactory,
        promises: Promises,
        metrics: Metrics,
        wall_clock: Callable[[], float],
        rng: random.Random,
        boot_id: str,
        tasks: TaskGroup,
        on_owned: Callable[[PartitionLog], None],
        on_lost: Callable[[int], None],
    ) -> None:
        self._settings = settings
        self._client = client
        self._server = server
        self._store = store
        self._backends = backends
        self._promises = promises
        self._metrics = metrics
        self._wall_clock = wall_clock
        self._rng = rng
        self.membership = self._make_membership(boot_id)
        self.tickets = self._make_tickets()
        self.ticket_admin = TicketAdmin(
            self.tickets, peers=client, membership=self.membership, validate=_validate
        )
        self.partitions = self._make_partitions(boot_id, on_owned, on_lost)
        self.scheduler = self._make_scheduler()
        self.escrow = BudgetEscrow(
            store,
            lambda: self.tickets.config,
            promises,
            node=settings.node,
            partitions=settings.partitions.count,
        )
        parts = self._make_owner_dependencies()
        self.owner = ProgramOwner(parts, tasks)
        self.router = ProgramRouter(settings, self.partitions, self.owner, client, promises)
        self.router.register(server)
        self.ender = ProgramGarbageCollector(parts, self.owner, self.router, self.owned)
        self.sweep = CacheSweep(parts, self.membership, client)
        self.sweep.register(server)

    def owned(self) -> list[PartitionLog]:
        """Return the partitions that this node owns, in number order."""
        return [log for _, log in sorted(self.partitions.table.owned.items())]

    def _make_membership(self, boot_id: str) -> Membership:
        return Membership(
            self._settings,
            peers=self._client,
            server=self._server,
            store=self._store,
            rng=random.Random(self._rng.getrandbits(64)),
            metrics=self._metrics,
            boot_id=boot_id,
        )

    def _make_tickets(self) -> TicketLog:
        return TicketLog(
            self._settings,
            peers=self._client,
            server=self._server,
            store=self._store,
            membership=self.membership,
            promises=self._promises,
            metrics=self._metrics,
            rng=random.Random(self._rng.getrandbits(64)),
        )

    def _make_partitions(
        self,
        boot_id: str,
        on_owned: Callable[[PartitionLog], None],
        on_lost: Callable[[int], None],
    ) -> PartitionHost:
        return PartitionHost(
            self._settings,
            self._store,
            self._client,
            self._server,
            self.membership,
            self._promises,
            self._metrics.registry,
            wall_clock=self._wall_clock,
            on_owned=on_owned,
            on_lost=on_lost,
            may_move=lambda partition: self.owner.is_idle(partition),
            boot=boot_id,
        )

    def _make_scheduler(self) -> NodeScheduler:
        return NodeScheduler(
            self._settings,
            client=self._client,
            server=self._server,
            config=self.tickets,
            members=self.membership,
            backends=self._backends,
            promises=self._promises,
            metrics=self._metrics,
        )

    def _make_owner_dependencies(self) -> OwnerDependencies:
        return OwnerDependencies(
            settings=self._settings,
            directory=self.partitions,
            tickets=self.tickets,
            escrow=self.escrow,
            scheduler=self.scheduler,
            backends=self._backends,
            retries=RetryBudget(),
            promises=self._promises,
            metrics=self._metrics,
            wall_clock=self._wall_clock,
        )


def _validate(body: bytes, config: Config) -> Result[Ticket, Failure]:
    """Validate a ticket and report all its faults in one failure."""
    checked = validate_ticket(body, config)
    if isinstance(checked, Ok):
        return checked
    detail = "; ".join(str(fault) for fault in checked.err_value)
    return Err(Failure(ErrorKind.TICKET_INVALID, detail))

"""Does a plan's faults to a deployment and undoes them; a decorator registers each kind."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import final

import anyio
import structlog

from bramleylead.trials.site._plan import Fault
from bramleylead.trials.site._plan import FaultKind
from bramleylead.trials.site._processes import Node
from bramleylead.trials.site._proxy import Way
from bramleylead.trials.site._replica import SoakReplica

if TYPE_CHECKING:
    from bramleylead.trials.site._soak import Site

UNEASY_S = 5.0
"""So long after a fault no bound on time is held against the gateways that it touches."""
GREY_SHARE = 0.4
DRAIN_S = 4.0

log = structlog.get_logger()

Act = Callable[["Faults", Fault], Awaitable[None]]
_acts: dict[FaultKind, Act] = {}


def act(*kinds: FaultKind) -> Callable[[Act], Act]:
    """Register what is done for some kinds of fault."""

    def register(act: Act) -> Act:
        _acts.update(dict.fromkeys(kinds, act))
        return act

    return register


@final
class Faults:
    """Plays plans on one deployment; faults may overlap."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self._busy: dict[str, anyio.Lock] = {}

    async def play(self, plan: list[Fault]) -> None:
        """Do each fault at its time; return when the last is undone."""
        began_at = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for fault in plan:
                await anyio.sleep(max(0.0, began_at + fault.at_s - anyio.current_time()))
                tasks.start_soon(self._play, fault)

    def gateway(self, fault: Fault) -> Node:
        """Return the gateway that a fault means."""
        return self.site.gateways[fault.target % len(self.site.gateways)]

    def ledger(self, fault: Fault) -> Node:
        """Return the node of the ledger that a fault means."""
        return self.site.ledgers[fault.target % len(self.site.ledgers)]

    def replica(self, fault: Fault) -> SoakReplica:
        """Return the replica that a fault means."""
        return self.site.replicas[fault.target % len(self.site.replicas)]

    def alone(self, name: str) -> anyio.Lock:
        """Return the lock that lets one fault at a time touch a process or replica."""
        return self._busy.setdefault(name, anyio.Lock())

    def unsettle(self, gateways: list[Node], for_s: float) -> None:
        """Hold no bound on time against gateways during a fault and for a while after it."""
        until = anyio.current_time() + for_s + UNEASY_S
        self.site.judge.unsettle([node.name for node in gateways], until)

    async def _play(self, fault: Fault) -> None:
        log.info("fault_begins", **fault._asdict())
        await _acts[fault.kind](self, fault)
        log.info("fault_ends", kind=fault.kind, target=fault.target)


@act(FaultKind.KILL_GATEWAY, FaultKind.STOP_GATEWAY)
async def _end_gateway(faults: Faults, fault: Fault) -> None:
    node = faults.gateway(fault)
    async with faults.alone(node.name):
        faults.unsettle([node], fault.for_s)
        await _end(node, by_kill=fault.kind is FaultKind.KILL_GATEWAY)
        faults.site.judge.restarted(node.name)
        await anyio.sleep(fault.for_s)
        faults.unsettle([node], 0.0)
        await node.start()


@act(FaultKind.KILL_LEDGER, FaultKind.STOP_LEDGER, FaultKind.WIPE_LEDGER)
async def _end_ledger(faults: Faults, fault: Fault) -> None:
    node = faults.ledger(fault)
    async with faults.alone(node.name):
        faults.unsettle(faults.site.gateways, fault.for_s)
        await _end(node, by_kill=fault.kind is not FaultKind.STOP_LEDGER)
        if fault.kind is FaultKind.WIPE_LEDGER:
            node.wipe()
        await anyio.sleep(fault.for_s)
        await node.start()


@act(FaultKind.FREEZE_GATEWAY, FaultKind.FREEZE_LEDGER)
async def _freeze(faults: Faults, fault: Fault) -> None:
    is_gateway = fault.kind is FaultKind.FREEZE_GATEWAY
    node = faults.gateway(fault) if is_gateway else faults.ledger(fault)
    async with faults.alone(node.name):
        faults.unsettle([node] if is_gateway else faults.site.gateways, fault.for_s)
        node.freeze()
        await anyio.sleep(fault.for_s)
        node.thaw()


@act(FaultKind.KILL_ALL)
async def _kill_all(faults: Faults, fault: Fault) -> None:
    nodes = [*faults.site.ledgers, *faults.site.gateways]
    faults.unsettle(faults.site.gateways, fault.for_s)
    for node in nodes:
        node.thaw()
        await node.kill()
        faults.site.judge.restarted(node.name)
    for node in nodes:
        if not node.is_running:
            await node.start()


@act(FaultKind.STORE_OUT, FaultKind.STORE_SILENT)
async def _store(faults: Faults, fault: Fault) -> None:
    store = faults.site.store
    async with faults.alone("store"):
        faults.unsettle(faults.site.gateways, fault.for_s)
        store.out = fault.kind is FaultKind.STORE_OUT
        store.silent = fault.kind is FaultKind.STORE_SILENT
        await anyio.sleep(fault.for_s)
        store.out = store.silent = False


@act(FaultKind.STORE_FORGETS)
async def _store_forgets(faults: Faults, fault: Fault) -> None:
    faults.unsettle(faults.site.gateways, 0.0)
    faults.site.store.compact()


@act(FaultKind.STORE_TURNS_AWAY)
async def _store_turns_away(faults: Faults, fault: Fault) -> None:
    nodes = [*faults.site.ledgers, *faults.site.gateways]
    node = nodes[fault.target % len(nodes)]
    async with faults.alone(f"store of {node.name}"):
        faults.unsettle(faults.site.gateways, fault.for_s)
        node.store.way = Way.REFUSED
        await node.store.reset()
        await anyio.sleep(fault.for_s)
        node.store.way = Way.OPEN


WAYS = {
    FaultKind.REPLICA_SILENT: Way.SILENT,
    FaultKind.REPLICA_DEAF: Way.DEAF,
    FaultKind.REPLICA_SLOW: Way.DELAYED,
    FaultKind.REPLICA_REFUSES: Way.REFUSED,
}


@act(*WAYS)
async def _replica_way(faults: Faults, fault: Fault) -> None:
    replica = faults.replica(fault)
    async with faults.alone(replica.name):
        replica.proxy.way = WAYS[fault.kind]
        await anyio.sleep(fault.for_s)
        replica.proxy.way = Way.OPEN
        await replica.proxy.reset()


@act(FaultKind.REPLICA_RESETS)
async def _replica_resets(faults: Faults, fault: Fault) -> None:
    await faults.replica(fault).proxy.reset()


@act(FaultKind.REPLICA_GREY)
async def _replica_grey(faults: Faults, fault: Fault) -> None:
    replica = faults.replica(fault)
    async with faults.alone(replica.name):
        replica.grey = GREY_SHARE
        await anyio.sleep(fault.for_s)
        replica.grey = 0.0


@act(FaultKind.REPLICA_DRAINS)
async def _replica_drains(faults: Faults, fault: Fault) -> None:
    """Let a replica leave; after a while it comes back as another one."""
    replica = faults.replica(fault)
    async with faults.alone(replica.name):
        faults.site.list(replica, leaving=True)
        faults.site.judge.drained(replica.name)
        await anyio.sleep(DRAIN_S + fault.for_s)
        faults.site.unlist(replica)
        replica.name = f"{replica.name}+"
        faults.site.list(replica, leaving=False)


@act(FaultKind.CONFIGURE)
async def _configure(faults: Faults, fault: Fault) -> None:
    faults.site.configure()


async def _end(node: Node, *, by_kill: bool) -> None:
    if by_kill:
        await node.kill()
    else:
        await node.stop()

"""Fleet membership by random probes and piggybacked updates, based on SWIM.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol" (2002): each node probes one member per interval, indirectly if it does not
answer, and marks it suspect before it declares it dead. Extensions of SWIM:

- New updates are also pushed at once to a few members.
- A node that may itself be isolated or paused does not act on its suspicions (as in Dadgar,
  Phillips and Currey, "Lifeguard", 2018).
- Views are compared by hash, and differing records are exchanged.
- Nodes known as dead are probed again while the platform lists them.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from collections.abc import Sequence
from types import TracebackType
from typing import Any
from typing import Self
from typing import final

import anyio
import structlog
from anyio.abc import TaskGroup
from result import Err

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.fleet._members import Member
from bramleylead.fleet._members import MemberState
from bramleylead.metrics import Metrics
from bramleylead.node_settings import NodeSettings
from bramleylead.process._store_health import ObservedStore
from bramleylead.process._store_poll import StorePoll
from bramleylead.process.membership._indirect_probes import IndirectProbes
from bramleylead.process.membership._member_table import MemberTable
from bramleylead.process.membership._membership_messages import MemberUpdate
from bramleylead.process.membership._membership_messages import NodeStatus
from bramleylead.process.membership._membership_messages import Probe
from bramleylead.process.membership._membership_messages import ProbeAnswer
from bramleylead.process.membership._membership_messages import update_of
from bramleylead.process.membership._suspicions import PAUSE_FACTOR
from bramleylead.process.membership._suspicions import Suspicions
from bramleylead.process.membership._update_queue import UpdateQueue
from bramleylead.process.membership._view_exchange import ViewExchange
from bramleylead.process.membership._vm_list import VmList

PUSH_FANOUT = 3
PUSH_DELAY_S = 0.02
VIEW_TIMEOUT_FACTOR = 4
ABSENT_PROBE_PROBABILITY = 0.2
JOIN_PROBE_COUNT = 3
JOIN_RETRY_S = 0.5

log = structlog.get_logger()

StatusListener = Callable[[str, NodeStatus], None]


def _default_status() -> NodeStatus:
    return NodeStatus()


@final
class Membership:
    """The local node's view of the fleet, updated by tasks while the context is open.

    :param address: bound peer address, if it differs from the one in the settings.
    :param boot_id: differs for each start of the process.
    """

    def __init__(
        self,
        settings: NodeSettings,
        *,
        peers: PeerClient,
        server: PeerServer,
        store: ObservedStore,
        rng: random.Random,
        metrics: Metrics,
        boot_id: str,
        address: str = "",
        http_address: str = "",
    ) -> None:
        self._settings = settings.membership
        self._peers = peers
        self._store = store
        self._rng = rng
        own = Member(
            settings.node,
            address or settings.peer_address,
            http_address or settings.http_address,
            settings.region,
            settings.data_centre,
            boot_id=boot_id,
        )
        self._table = MemberTable(own)
        self._update_queue = UpdateQueue()
        timeout_s = VIEW_TIMEOUT_FACTOR * self._settings.probe_timeout_s
        self._view_exchange = ViewExchange(
            self._table, self._apply_update, peers, server, timeout_s=timeout_s
        )
        self._vm_list = VmList(store, rng, interval_s=self._settings.vm_list_interval_s)
        self._probe_round: list[str] = []
        self._last_received_at = float("-inf")
        self._push_requested = anyio.Event()
        self._indirect_probes = IndirectProbes(self._settings, self._probe, peers, server, rng)
        self._suspicions = Suspicions(
            self._table,
            self._probe,
            self._apply_update,
            lambda: self._last_received_at,
            suspect_s=self._settings.suspect_s,
        )
        self._store_poll = StorePoll(store, peers, server)
        self._tasks: TaskGroup | None = None
        self.status_source: Callable[[], NodeStatus] = _default_status
        self.status_listeners: list[StatusListener] = []
        self._state_changes = metrics.counter("member_changes_total", "Changes of members' states.")
        self._member_gauge = metrics.members
        self._register(server)

    def _register(self, server: PeerServer) -> None:
        server.handle(Probe, self._on_probe)

    async def __aenter__(self) -> Self:
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        self._tasks.start_soon(self._vm_list.run)
        self._tasks.start_soon(self._run_join)
        self._tasks.start_soon(self._run_probes)
        self._tasks.start_soon(self._run_push)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        assert self._tasks is not None
        self._tasks.cancel_scope.cancel()
        return await self._tasks.__aexit__(kind, error, trace)

    @property
    def self_name(self) -> str:
        """The name of this node."""
        return self._table.own.node

    @property
    def own(self) -> Member:
        """The record of this node."""
        return self._table.own

    def members(self) -> Sequence[Member]:
        """Return every member that is not dead, this node included."""
        return self._table.not_dead()

    def alive(self) -> Sequence[Member]:
        """Return members that are alive or suspect and not leaving, this node included."""
        return [m for m in self._table.not_dead() if m.state is not MemberState.LEAVING]

    def get(self, node: str) -> Member | None:
        """Return one member, also a dead one whose record is still kept."""
        return self._table.get(node)

    async def wait_changed(self) -> None:
        """Wait until a member joins, leaves, dies, returns, restarts or changes its address."""
        await self._table.wait_changed()

    def knows_other_nodes(self) -> bool:
        """Whether another member is known, or another VM is listed."""
        return bool(self._table.others()) or bool(self._vm_list.others(self.self_name))

    @property
    def has_received_message(self) -> bool:
        """Whether this node has received a membership message since it started."""
        return self._last_received_at > float("-inf")

    @property
    def store_ok(self) -> bool | None:
        """Whether the store answers this node; ``None`` without a recent call."""
        return self._store.ok

    async def leave(self) -> None:
        """Announce that this node is leaving; it answers until its context closes."""
        if self._table.own.state is not MemberState.LEAVING:
            self._table.update_own(state=MemberState.LEAVING)
            self._update_queue.add(update_of(self._table.own))
        await self._push_updates()

    async def store_reachable_by_peers(self) -> bool | None:
        """Ask a few peers of every data centre whether the store answers them."""
        data_centres = self._vm_list.data_centres | self._table.data_centres()
        return await self._store_poll.poll(self._table.own, self._table.others(), data_centres)

    @property
    def store_polled_at(self) -> float:
        """When peers were last asked about the store, by this node's clock."""
        return self._store_poll.polled_at

    # Probing

    async def _run_probes(self) -> None:
        while True:
            await anyio.sleep(self._settings.probe_interval_s * self._rng.uniform(0.9, 1.1))
            self._vm_list.add_data_centres(self._table.data_centres())
            self._table.remove_expired()
            target = self._next_target()
            if target is not None:
                self._start_task(self._probe_member, target)
            if self._rng.random() < ABSENT_PROBE_PROBABILITY:
                self._start_task(self._probe_absent_vm)

    def _next_target(self) -> Member | None:
        """Return the next member in random order, reshuffled each round (SWIM, section 4.3)."""
        while True:
            if not self._probe_round:
                self._probe_round = [member.node for member in self._table.others()]
                self._rng.shuffle(self._probe_round)
                if not self._probe_round:
                    return None
            member = self._table.get(self._probe_round.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    async def _probe_member(self, member: Member) -> None:
        started = anyio.current_time()
        if await self._probe(member.node, member.address):
            return
        reached_indirectly = await self._indirect_probes.is_reachable(member, self._table.others())
        took_s = anyio.current_time() - started
        if reached_indirectly or took_s > PAUSE_FACTOR * 3 * self._settings.probe_timeout_s:
            return
        known = self._table.get(member.node)
        if known is not None and known.state is MemberState.ALIVE:
            self._apply_update(update_of(known)._replace(state=MemberState.SUSPECT))

    async def _probe(self, node: str, address: str) -> bool:
        """Probe one address; return whether the intended node answered."""
        known = self._table.get(node)
        updates = self._update_queue.next_batch(len(self._table.not_dead()))
        if known is not None and known.state is not MemberState.ALIVE:
            updates.append(update_of(known))
        own = self._table.own
        probe = Probe(node, update_of(own), self.status_source(), updates, self._table.digest)
        answer = await self._peers.request(
            address, probe, timeout_s=self._settings.probe_timeout_s, idempotent=True
        )
        if isinstance(answer, Err) or not isinstance(answer.ok_value, ProbeAnswer):
            return False
        self._receive(answer.ok_value.responder, answer.ok_value.status, answer.ok_value.updates)
        await self._view_exchange.synchronize(address, answer.ok_value.digest)
        if answer.ok_value.responder.node != node:
            self._mark_replaced(node, address)
            return False
        return True

    def _mark_replaced(self, node: str, address: str) -> None:
        """Mark a member dead because another node answers at its address."""
        known = self._table.get(node)
        if known is not None and known.address == address and node != self.self_name:
            self._apply_update(update_of(known)._replace(state=MemberState.DEAD))

    async def _probe_absent_vm(self) -> None:
        """Probe a random listed VM that is unknown or known as dead."""
        known = {member.node for member in self._table.not_dead()}
        absent = [vm for vm in self._vm_list.others(self.self_name) if vm.node not in known]
        if absent:
            vm = self._rng.choice(absent)
            await self._probe(vm.node, vm.address)

    # Updates

    def _receive(
        self, sender: MemberUpdate, status: NodeStatus, updates: Sequence[MemberUpdate]
    ) -> None:
        self._last_received_at = anyio.current_time()
        for update in (sender, *updates):
            self._apply_update(update)
        if sender.node != self.self_name:
            self._table.set_status(sender.node, status)
            for listener in self.status_listeners:
                listener(sender.node, status)

    def _apply_update(self, update: MemberUpdate) -> None:
        if update.node == self.self_name:
            if self._table.refute(update):
                self._state_changes.inc({"state": "refuted"})
                self._queue_update(update_of(self._table.own))
            return
        if not self._table.apply(update):
            return
        self._state_changes.inc({"state": update.state.value})
        self._member_gauge.set({"state": "listed"}, len(self._table.not_dead()))
        self._queue_update(update)
        if update.state is MemberState.SUSPECT:
            self._start_task(self._suspicions.run, update)

    def _queue_update(self, update: MemberUpdate) -> None:
        self._update_queue.add(update)
        self._push_requested.set()

    async def _run_push(self) -> None:
        """Push new updates to a few members at once, in addition to piggybacking them."""
        while True:
            await self._push_requested.wait()
            await anyio.sleep(PUSH_DELAY_S)
            self._push_requested = anyio.Event()
            await self._push_updates()

    async def _push_updates(self) -> None:
        others = self._table.others()
        targets = self._rng.sample(others, min(PUSH_FANOUT, len(others)))
        async with anyio.create_task_group() as tasks:
            for member in targets:
                tasks.start_soon(self._probe, member.node, member.address)

    # Joining

    async def _run_join(self) -> None:
        """Probe listed VMs until one answers; gossip then spreads the join to the fleet."""
        while not self._table.others():
            vms = self._vm_list.others(self.self_name)
            for vm in self._rng.sample(vms, min(JOIN_PROBE_COUNT, len(vms))):
                self._start_task(self._probe, vm.node, vm.address)
            await anyio.sleep(JOIN_RETRY_S)

    # Handlers

    async def _on_probe(self, probe: Probe, reply: Reply) -> None:
        self._receive(probe.sender, probe.status, probe.updates)
        updates = self._update_queue.next_batch(len(self._table.not_dead()))
        sender = self._table.get(probe.sender.node)
        if sender is not None and update_of(sender) != probe.sender:
            updates.append(update_of(sender))
        own = update_of(self._table.own)
        await reply.send(ProbeAnswer(own, self.status_source(), updates, self._table.digest))

    def _start_task(self, function: Callable[..., Any], *args: Any) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, *args)

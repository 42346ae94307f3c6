"""Membership by random probes and piggybacked news, after SWIM.

Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
Membership Protocol" (2002): each node probes one member an interval, through others when it does
not answer, and suspects it before it declares it dead. Added to it: news that others wait for is
pushed at once; a node that may itself be cut off or paused doubts its own suspicions (as in
Dadgar, Phillips and Currey, "Lifeguard", 2018); views are compared by hash and evened out; nodes
believed dead are tried again while the platform lists them.
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
from bramleylead.metrics import Metrics
from bramleylead.node_settings import NodeSettings
from bramleylead.process._store_health import ObservedStore
from bramleylead.process._store_poll import StorePoll
from bramleylead.process.membership._indirect_probes import IndirectProbes
from bramleylead.process.membership._member_table import MemberTable
from bramleylead.process.membership._members import Member
from bramleylead.process.membership._members import MemberState
from bramleylead.process.membership._membership_messages import Facts
from bramleylead.process.membership._membership_messages import News
from bramleylead.process.membership._membership_messages import Probe
from bramleylead.process.membership._membership_messages import ProbeAnswer
from bramleylead.process.membership._membership_messages import news_of
from bramleylead.process.membership._news import NewsQueue
from bramleylead.process.membership._view_exchange import ViewExchange
from bramleylead.process.membership._vm_list import VmList

SPREAD_FANOUT = 3
SPREAD_GATHER_S = 0.02
VIEW_TIMEOUT_PROBES = 4
RETRY_SHARE = 0.2
PAUSE_FACTOR = 3.0
JOIN_PROBES = 3
JOIN_RETRY_S = 0.5

log = structlog.get_logger()

FactsHeard = Callable[[str, Facts], None]


def _no_facts() -> Facts:
    return Facts()


@final
class Membership:
    """The view of the fleet, kept by tasks of its own while the context is open.

    :param address: bound peer address, where it is another than the one in the settings.
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
        self._news = NewsQueue()
        timeout_s = VIEW_TIMEOUT_PROBES * self._settings.probe_timeout_s
        self._views = ViewExchange(self._table, self._take, peers, server, timeout_s=timeout_s)
        self._vms = VmList(store, rng, interval_s=self._settings.vm_list_interval_s)
        self._round: list[str] = []
        self._heard_at = float("-inf")
        self._spread = anyio.Event()
        self._indirect = IndirectProbes(self._settings, self._probe, peers, server, rng)
        self._store_poll = StorePoll(store, peers, server)
        self._tasks: TaskGroup | None = None
        self.facts: Callable[[], Facts] = _no_facts
        self.on_facts: list[FactsHeard] = []
        self._changes = metrics.counter("member_changes_total", "Changes of members' states.")
        self._gauge = metrics.members
        self._register(server)

    def _register(self, server: PeerServer) -> None:
        server.handle(Probe, self._on_probe)

    async def __aenter__(self) -> Self:
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        self._tasks.start_soon(self._vms.run)
        self._tasks.start_soon(self._run_join)
        self._tasks.start_soon(self._run_probes)
        self._tasks.start_soon(self._run_spread)
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
        return self._table.listed()

    def alive(self) -> Sequence[Member]:
        """Return members that are alive or suspect and not leaving, this node included."""
        return [m for m in self._table.listed() if m.state is not MemberState.LEAVING]

    def get(self, node: str) -> Member | None:
        """Return one member, also a dead one that is still remembered."""
        return self._table.get(node)

    async def wait_changed(self) -> None:
        """Wait until a member joins, leaves, dies, returns or changes its place."""
        await self._table.wait_changed()

    def knows_others(self) -> bool:
        """Whether another member is known, or another VM is listed."""
        return bool(self._table.others()) or bool(self._vms.others(self.self_name))

    @property
    def has_heard_peer(self) -> bool:
        """Whether another member has said anything since this node started."""
        return self._heard_at > float("-inf")

    @property
    def store_ok(self) -> bool | None:
        """Whether the store answers this node; ``None`` when it made no call lately."""
        return self._store.ok

    async def leave(self) -> None:
        """Tell the fleet that this node is leaving; it still answers until its context closes."""
        if self._table.own.state is not MemberState.LEAVING:
            self._table.change_own(state=MemberState.LEAVING)
            self._news.add(news_of(self._table.own))
        await self._push_news()

    async def store_reachable_by_peers(self) -> bool | None:
        """Ask a few peers, first in other data centres, whether the store answers them."""
        centres = self._vms.data_centres | self._table.data_centres()
        return await self._store_poll.ask(self._table.own, self._table.others(), centres)

    @property
    def store_polled_at(self) -> float:
        """When peers were last asked for the store, by this node's clock."""
        return self._store_poll.asked_at

    # Probing

    async def _run_probes(self) -> None:
        while True:
            await anyio.sleep(self._settings.probe_interval_s * self._rng.uniform(0.9, 1.1))
            self._vms.note_data_centres(self._table.data_centres())
            self._table.forget_old()
            target = self._next_target()
            if target is not None:
                self._start(self._probe_member, target)
            if self._rng.random() < RETRY_SHARE:
                self._start(self._retry_unseen)

    def _next_target(self) -> Member | None:
        """Go through all members in a random order, then shuffle anew (SWIM, section 4.3)."""
        while True:
            if not self._round:
                self._round = [member.node for member in self._table.others()]
                self._rng.shuffle(self._round)
                if not self._round:
                    return None
            member = self._table.get(self._round.pop())
            if member is not None and member.state is not MemberState.DEAD:
                return member

    async def _probe_member(self, member: Member) -> None:
        started = anyio.current_time()
        if await self._probe(member.node, member.address):
            return
        helped = await self._indirect.reaches(member, self._table.others())
        took_s = anyio.current_time() - started
        if helped or took_s > PAUSE_FACTOR * 3 * self._settings.probe_timeout_s:
            return
        known = self._table.get(member.node)
        if known is not None and known.state is MemberState.ALIVE:
            self._take(news_of(known)._replace(state=MemberState.SUSPECT))

    async def _probe(self, node: str, address: str) -> bool:
        """Probe one address; return whether the node meant has answered."""
        known = self._table.get(node)
        news = self._news.take(len(self._table.listed()))
        if known is not None and known.state is not MemberState.ALIVE:
            news.append(news_of(known))
        own = self._table.own
        probe = Probe(node, news_of(own), self.facts(), news, self._table.digest)
        answer = await self._peers.request(
            address, probe, timeout_s=self._settings.probe_timeout_s, idempotent=True
        )
        if isinstance(answer, Err) or not isinstance(answer.ok_value, ProbeAnswer):
            return False
        self._hear(answer.ok_value.responder, answer.ok_value.facts, answer.ok_value.news)
        await self._views.even_out(address, answer.ok_value.digest)
        if answer.ok_value.responder.node != node:
            self._note_replaced(node, address)
            return False
        return True

    def _note_replaced(self, node: str, address: str) -> None:
        """Take in that another node answers at a member's address: the member is gone."""
        known = self._table.get(node)
        if known is not None and known.address == address and node != self.self_name:
            self._take(news_of(known)._replace(state=MemberState.DEAD))

    async def _retry_unseen(self) -> None:
        """Try a listed VM that is not a member, or one that is believed dead."""
        known = {member.node for member in self._table.listed()}
        unseen = [vm for vm in self._vms.others(self.self_name) if vm.node not in known]
        if unseen:
            vm = self._rng.choice(unseen)
            await self._probe(vm.node, vm.address)

    # News

    def _hear(self, speaker: News, facts: Facts, news: Sequence[News]) -> None:
        self._heard_at = anyio.current_time()
        for item in (speaker, *news):
            self._take(item)
        if speaker.node != self.self_name:
            self._table.note_facts(speaker.node, facts)
            for heard in self.on_facts:
                heard(speaker.node, facts)

    def _take(self, item: News) -> None:
        if item.node == self.self_name:
            if self._table.refute(item):
                self._changes.inc({"state": "refuted"})
                self._publish(news_of(self._table.own))
            return
        if not self._table.apply(item):
            return
        self._changes.inc({"state": item.state.value})
        self._gauge.set({"state": "listed"}, len(self._table.listed()))
        self._publish(item)
        if item.state is MemberState.SUSPECT:
            self._start(self._mature, item)

    def _publish(self, item: News) -> None:
        self._news.add(item)
        self._spread.set()

    async def _run_spread(self) -> None:
        """Push fresh news at once to a few members, besides the copies that probes carry."""
        while True:
            await self._spread.wait()
            await anyio.sleep(SPREAD_GATHER_S)
            self._spread = anyio.Event()
            await self._push_news()

    async def _push_news(self) -> None:
        others = self._table.others()
        chosen = self._rng.sample(others, min(SPREAD_FANOUT, len(others)))
        async with anyio.create_task_group() as tasks:
            for member in chosen:
                tasks.start_soon(self._probe, member.node, member.address)

    async def _mature(self, suspicion: News) -> None:
        """Declare a suspect dead unless it refutes in time, or this node must doubt itself."""
        doubted = False
        while self._still_suspect(suspicion):
            started = anyio.current_time()
            await anyio.sleep(self._settings.suspect_s)
            paused = anyio.current_time() - started > PAUSE_FACTOR * self._settings.suspect_s
            if paused or self._heard_at < started:
                doubted = True
                continue
            if doubted and await self._probe(suspicion.node, suspicion.address):
                return
            doubted = False
            if self._still_suspect(suspicion):
                self._take(suspicion._replace(state=MemberState.DEAD))

    def _still_suspect(self, suspicion: News) -> bool:
        known = self._table.get(suspicion.node)
        return known is not None and news_of(known) == suspicion

    # Joining

    async def _run_join(self) -> None:
        """Probe listed VMs until one has answered; it then tells the rest of the fleet."""
        while not self._table.others():
            vms = self._vms.others(self.self_name)
            for vm in self._rng.sample(vms, min(JOIN_PROBES, len(vms))):
                self._start(self._probe, vm.node, vm.address)
            await anyio.sleep(JOIN_RETRY_S)

    # Handlers

    async def _on_probe(self, probe: Probe, reply: Reply) -> None:
        self._hear(probe.sender, probe.facts, probe.news)
        news = self._news.take(len(self._table.listed()))
        sender = self._table.get(probe.sender.node)
        if sender is not None and news_of(sender) != probe.sender:
            news.append(news_of(sender))
        own = news_of(self._table.own)
        await reply.send(ProbeAnswer(own, self.facts(), news, self._table.digest))

    def _start(self, function: Callable[..., Any], *args: Any) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, *args)

"""The ticket log of one node: the tickets in force, and the proof that they are the latest.

A few watchers in each data centre read the store for the other nodes. About every second each
watcher pushes its state along a tree of its data centre. A node whose proof becomes too old because
no push arrived pulls from a watcher.
"""

from __future__ import annotations

import random
from collections import deque
from types import TracebackType
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
from bramleylead.process.membership._membership import Membership
from bramleylead.process.membership._membership_messages import NodeStatus
from bramleylead.process.tickets._applied_tickets import AppliedTickets
from bramleylead.process.tickets._currency import Currency
from bramleylead.process.tickets._currency import Ticks
from bramleylead.process.tickets._peer_numbers import PeerTicketNumbers
from bramleylead.process.tickets._ticket_messages import NumberAsked
from bramleylead.process.tickets._ticket_messages import NumberGiven
from bramleylead.process.tickets._ticket_messages import Pushed
from bramleylead.process.tickets._ticket_messages import PushTaken
from bramleylead.process.tickets._ticket_messages import TicketsAsked
from bramleylead.process.tickets._ticket_messages import TicketsGiven
from bramleylead.process.tickets._ticket_puller import STALE_FRACTION
from bramleylead.process.tickets._ticket_puller import TicketPuller
from bramleylead.process.tickets._ticket_pusher import TicketPusher
from bramleylead.process.tickets._ticket_store import TicketStore
from bramleylead.process.tickets._ticket_store import dump_config
from bramleylead.process.tickets._ticket_store import load_config
from bramleylead.process.tickets._ticket_store import number_of
from bramleylead.process.tickets._ticket_wakeup import TicketWakeup
from bramleylead.process.tickets._watchers import Watchers
from bramleylead.promises import Promises
from bramleylead.version import Config

MAX_ANSWER_BYTES = 500_000
SNAPSHOT_INTERVAL_TICKETS = 50
STORE_RETRY_S = 0.5
SILENT_PEERS_WAIT_S = 10.0
MAX_REMEMBERED_PUSHES = 64

log = structlog.get_logger()


@final
class TicketLog:
    """Keeps the configuration up to date while its context is open."""

    def __init__(
        self,
        settings: NodeSettings,
        *,
        peers: PeerClient,
        server: PeerServer,
        store: ObservedStore,
        membership: Membership,
        promises: Promises,
        metrics: Metrics,
        rng: random.Random,
        relay: str = "tree",
    ) -> None:
        self._settings = settings.tickets
        self._store = TicketStore(store, node=settings.node)
        self._membership = membership
        self._metrics = metrics
        self._watchers = Watchers(settings, membership)
        self._applied = AppliedTickets(promises)
        self._currency = Currency()
        self._ticks = Ticks(first=rng.getrandbits(48))
        self._pusher = TicketPusher(
            peers, membership, self._applied, self._currency, self._settings, rng, relay=relay
        )
        self._wakeup = TicketWakeup(self._store, self.learn, wait_s=self._settings.watch_s)
        self._pushes_seen: deque[int] = deque(maxlen=MAX_REMEMBERED_PUSHES)
        self._peer_number_tracker = PeerTicketNumbers()
        self._puller = TicketPuller(
            settings,
            peers=peers,
            membership=membership,
            watchers=self._watchers,
            applied=self._applied,
            currency=self._currency,
            peer_numbers=self._peer_number_tracker,
            metrics=metrics,
            rng=rng,
            on_answer=self._take_answer,
        )
        self._started_at = 0.0
        self._loaded = False
        self._tasks: TaskGroup | None = None
        membership.status_source = self._node_status
        membership.status_listeners.append(self._on_status)
        server.handle(Pushed, self._on_pushed)
        server.handle(TicketsAsked, self._on_tickets_asked)
        server.handle(NumberAsked, self._on_number_asked)

    async def __aenter__(self) -> Self:
        self._started_at = anyio.current_time()
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        self._tasks.start_soon(self._run_watch)
        self._tasks.start_soon(self._puller.run)
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
    def config(self) -> Config:
        """The configuration after the last ticket that was applied."""
        return self._applied.config

    @property
    def applied(self) -> AppliedTickets:
        """The tickets in force, and those that are waiting or stuck."""
        return self._applied

    @property
    def store(self) -> TicketStore:
        """The tickets' objects in the store."""
        return self._store

    @property
    def age_s(self) -> float:
        """Age of the proof that the ticket in force is the latest."""
        return self._currency.age_s

    def is_current(self) -> bool:
        """Whether this node may act on its configuration; see module ``_currency``."""
        bound_s = self._settings.current_within_s
        if not self._caught_up_since_start() or self._peer_number_tracker.is_behind(bound_s):
            return False
        return min(self._currency.age_s, self._currency.outage_age_s) <= bound_s

    def dump(self) -> dict[str, object]:
        """Return the log's state for the node's state dump."""
        return {
            "number": self._applied.number,
            "current": self.is_current(),
            "proof": self._currency.to_proof()._asdict(),
            "highest_heard": self._peer_number_tracker.highest,
            "caught_up": self._peer_number_tracker.caught_up,
            "waiting": self._applied.waiting,
            "stuck": self._applied.stuck,
            "watches_store": self._watchers.includes_self(),
        }

    async def wait_changed(self, after_number: int) -> None:
        """Wait until a ticket above ``after_number`` is in force."""
        await self._applied.wait_changed(after_number)

    async def refresh(self) -> bool:
        """Read the store up to the latest ticket; return whether it answered."""
        if not self._loaded and not await self._load():
            return False
        while True:
            asked_at = anyio.current_time()
            wanted = self._applied.number + 1
            found = await self._store.read(wanted)
            if isinstance(found, Err):
                return False
            if found.ok_value is None:
                self._currency.record_proof(wanted - 1, asked_at)
                return True
            self.learn(wanted, found.ok_value.value)
            if self._applied.number < wanted:
                return True

    def learn(self, number: int, body: bytes) -> None:
        """Add a ticket that is in the store."""
        before = self._applied.number
        self._applied.learn(number, body)
        self._after_change(before)

    # The store

    async def _run_watch(self) -> None:
        await self._load()
        while True:
            if not self._watchers.includes_self():
                await anyio.sleep(self._settings.watch_s)
            elif await self.refresh():
                self._start_push()
                # End a watch that the store no longer answers before the proof expires.
                with anyio.move_on_after(STALE_FRACTION * self._settings.current_within_s):
                    await self._wakeup.wait()
            else:
                await self._wait_during_outage()

    async def _wait_during_outage(self) -> None:
        """Do one round of an outage: ask peers about the store, pause, and push."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._confirm_outage)
            tasks.start_soon(anyio.sleep, STORE_RETRY_S)
        self._start_push()

    async def _confirm_outage(self) -> None:
        if await self._membership.store_reachable_by_peers() is False:
            self._currency.record_outage(self._membership.store_polled_at)

    async def _load(self) -> bool:
        """Read the snapshot and the tickets after it, in pages."""
        snapshot = await self._store.read_snapshot()
        if isinstance(snapshot, Err):
            return False
        self._install(snapshot.ok_value)
        while True:
            before = self._applied.number
            page = await self._store.read_after(before)
            if isinstance(page, Err):
                return False
            for stored in page.ok_value:
                number = number_of(stored.key)
                if number is not None:
                    self.learn(number, stored.value)
            if self._applied.number == before:
                self._loaded = True
                return True

    # Peers

    def _node_status(self) -> NodeStatus:
        proof = self._currency.to_proof()
        return NodeStatus(proof.number, proof.age_s, self._membership.store_ok)

    def _on_status(self, node: str, status: NodeStatus) -> None:
        self._record_peer_number(status.ticket)

    def _record_peer_number(self, number: int) -> None:
        self._peer_number_tracker.record(number, applied=self._applied.number)
        if self._peer_number_tracker.highest > self._applied.number:
            self._puller.request()

    def _caught_up_since_start(self) -> bool:
        """Whether this node has, since it started, had all tickets that its peers reported.

        The store may return stale state to a restarted node, so it must catch up with its peers
        first. If no listed VM responds within ``SILENT_PEERS_WAIT_S``, the store alone is trusted.
        """
        if self._peer_number_tracker.caught_up or not self._membership.knows_other_nodes():
            return True
        silent = (
            self._peer_number_tracker.highest == 0 and not self._membership.has_received_message
        )
        return silent and anyio.current_time() - self._started_at > SILENT_PEERS_WAIT_S

    def _take_answer(self, after: int, response: TicketsGiven, asked_at: float) -> None:
        if response.config:
            self._install(load_config(response.config) or Config())
        self._learn_bodies(after, response.tickets)
        self._currency.apply_proof(response.proof, measured_at=asked_at)
        self._record_peer_number(response.number)

    def _learn_bodies(self, after: int, bodies: list[bytes]) -> None:
        for offset, body in enumerate(bodies):
            self.learn(after + 1 + offset, body)

    def _install(self, config: Config) -> None:
        before = self._applied.number
        self._applied.install(config)
        self._after_change(before)

    def _after_change(self, before: int) -> None:
        number = self._applied.number
        if number == before:
            return
        self._currency.set_applied(number)
        self._metrics.ticket_in_force.set({}, number)
        self._peer_number_tracker.set_applied(number)
        if (
            number // SNAPSHOT_INTERVAL_TICKETS > before // SNAPSHOT_INTERVAL_TICKETS
            and self._watchers.is_self_first()
        ):
            assert self._tasks is not None
            self._tasks.start_soon(self._store.write_snapshot, self._applied.config)

    def _start_push(self) -> None:
        assert self._tasks is not None
        self._tasks.start_soon(self._pusher.start_push)

    # Handlers

    async def _on_pushed(self, pushed: Pushed, reply: Reply) -> None:
        """Apply a push, and forward it unless it was seen before."""
        self._learn_bodies(pushed.proof.number - len(pushed.tickets), pushed.tickets)
        measured_at = self._ticks.measured_at(pushed.echo, pushed.held_s)
        if measured_at is not None:
            self._currency.apply_proof(pushed.proof, measured_at=measured_at)
        self._record_peer_number(pushed.proof.number)
        await reply.send(PushTaken(self._applied.number, self._ticks.send()))
        if pushed.push not in self._pushes_seen:
            self._pushes_seen.append(pushed.push)
            assert self._tasks is not None
            self._tasks.start_soon(self._forward, pushed, reply.peer)

    async def _forward(self, pushed: Pushed, sender: str) -> None:
        """Forward a push; first pull from the sender any tickets that the push did not contain.

        Otherwise all nodes below this one would wait for the next push.
        """
        if pushed.proof.number > self._applied.number:
            await self._puller.pull_from(self._membership.get(sender))
        await self._pusher.forward(pushed.push, pushed.root)

    async def _on_tickets_asked(self, request: TicketsAsked, reply: Reply) -> None:
        tickets = self._applied.bodies_after(request.after, limit_bytes=MAX_ANSWER_BYTES)
        config = b""
        if not tickets and request.after < self._applied.number:
            config = dump_config(self._applied.config)
        number = self._applied.number
        await reply.send(TicketsGiven(number, self._currency.to_proof(), tickets, config))

    async def _on_number_asked(self, request: NumberAsked, reply: Reply) -> None:
        await reply.send(NumberGiven(self._applied.number, self._applied.stuck))

"""Asks peers whether the store answers them: tells an outage from being cut off from it."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
from typing import final

import anyio
from result import Ok

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.process._store_health import ObservedStore
from bramleylead.process.membership._members import Member
from bramleylead.process.membership._membership_messages import StoreAsked
from bramleylead.process.membership._membership_messages import StoreHeard
from bramleylead.process.partitions._rendezvous import store_watchers

ASKED_PER_DATA_CENTRE = 2
ASK_TIMEOUT_S = 1.2
KEPT_S = 0.5


@final
class StorePoll:
    """Asks, and answers when asked. An answer is used again for a moment."""

    def __init__(self, store: ObservedStore, peers: PeerClient, server: PeerServer) -> None:
        self._store = store
        self._peers = peers
        self._lock = anyio.Lock()
        self._answer: bool | None = None
        self.asked_at = float("-inf")
        server.handle(StoreAsked, self._on_asked)

    async def ask(
        self, own: Member, others: Sequence[Member], data_centres: Set[str]
    ) -> bool | None:
        """Return whether the store answers peers; ``None`` when too few know.

        An outage is one that more than half of the data centres see, this node's own among them:
        a region that is cut off from the store and from the other region must not take that for
        an outage, and two halves can't both be more than half.
        """
        async with self._lock:
            now = anyio.current_time()
            if now - self.asked_at >= KEPT_S:
                heard = await self._ask_all(chosen_peers(others))
                self._answer = _judge(heard, own, data_centres)
                self.asked_at = now
            return self._answer

    async def _ask_all(self, members: Sequence[Member]) -> dict[str, list[bool]]:
        """Return the answers by data centre."""
        heard: dict[str, list[bool]] = {}

        async def ask(member: Member) -> None:
            answer = await self._peers.request(
                member.address, StoreAsked(), timeout_s=ASK_TIMEOUT_S, idempotent=True
            )
            if isinstance(answer, Ok) and isinstance(answer.ok_value, StoreHeard):
                ok = answer.ok_value.ok
                if ok is not None:
                    heard.setdefault(member.data_centre, []).append(ok)

        async with anyio.create_task_group() as tasks:
            for member in members:
                tasks.start_soon(ask, member)
        return heard

    async def _on_asked(self, request: StoreAsked, reply: Reply) -> None:
        await reply.send(StoreHeard(await self._store.try_now()))


def _judge(heard: Mapping[str, list[bool]], own: Member, data_centres: Set[str]) -> bool | None:
    if any(ok for answers in heard.values() for ok in answers):
        return True
    if not heard or 2 * len(set(heard) | {own.data_centre}) <= len(data_centres):
        return None
    return False


def chosen_peers(others: Sequence[Member]) -> list[Member]:
    """Choose the watchers of each data centre, who know without a call of their own."""
    chosen = []
    for centre in sorted({member.data_centre for member in others}):
        chosen += store_watchers(others, centre, ASKED_PER_DATA_CENTRE)
    return chosen

"""Asks peers whether the store answers them, to distinguish an outage from a lost connection."""

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
from bramleylead.fleet._members import Member
from bramleylead.fleet._rendezvous import store_watchers
from bramleylead.process._store_health import ObservedStore
from bramleylead.process.membership._membership_messages import StoreAsked
from bramleylead.process.membership._membership_messages import StoreHeard

PEERS_PER_DATA_CENTRE = 2
POLL_TIMEOUT_S = 1.2
RESULT_TTL_S = 0.5


@final
class StorePoll:
    """Polls peers and answers their polls. A result is cached for ``RESULT_TTL_S``."""

    def __init__(self, store: ObservedStore, peers: PeerClient, server: PeerServer) -> None:
        self._store = store
        self._peers = peers
        self._lock = anyio.Lock()
        self._result: bool | None = None
        self.polled_at = float("-inf")
        server.handle(StoreAsked, self._on_store_asked)

    async def poll(
        self, own: Member, others: Sequence[Member], data_centres: Set[str]
    ) -> bool | None:
        """Return whether the store answers peers; ``None`` if too few of them know.

        An outage must be seen in more than half of the data centres, including this node's own. A
        region that is cut off from the store and from the other region must not conclude that the
        store is out, and only one side of a split can have a majority.
        """
        async with self._lock:
            now = anyio.current_time()
            if now - self.polled_at >= RESULT_TTL_S:
                answers = await self._poll(select_peers(others))
                self._result = _decide(answers, own, data_centres)
                self.polled_at = now
            return self._result

    async def _poll(self, members: Sequence[Member]) -> dict[str, list[bool]]:
        """Return the answers per data centre."""
        answers: dict[str, list[bool]] = {}

        async def poll(member: Member) -> None:
            answer = await self._peers.request(
                member.address, StoreAsked(), timeout_s=POLL_TIMEOUT_S, idempotent=True
            )
            if isinstance(answer, Ok) and isinstance(answer.ok_value, StoreHeard):
                ok = answer.ok_value.ok
                if ok is not None:
                    answers.setdefault(member.data_centre, []).append(ok)

        async with anyio.create_task_group() as tasks:
            for member in members:
                tasks.start_soon(poll, member)
        return answers

    async def _on_store_asked(self, request: StoreAsked, reply: Reply) -> None:
        await reply.send(StoreHeard(await self._store.probe()))


def _decide(answers: Mapping[str, list[bool]], own: Member, data_centres: Set[str]) -> bool | None:
    if any(ok for centre_answers in answers.values() for ok in centre_answers):
        return True
    if not answers or 2 * len(set(answers) | {own.data_centre}) <= len(data_centres):
        return None
    return False


def select_peers(others: Sequence[Member]) -> list[Member]:
    """Select the watchers of each data centre, which already call the store regularly."""
    selected = []
    for centre in sorted({member.data_centre for member in others}):
        selected += store_watchers(others, centre, PEERS_PER_DATA_CENTRE)
    return selected

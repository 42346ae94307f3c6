"""Evens out two members' views: compares hashes, and exchanges the records that differ."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import anyio
from result import Err

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.process.membership._member_table import MemberTable
from bramleylead.process.membership._membership_messages import News
from bramleylead.process.membership._membership_messages import ViewAsked
from bramleylead.process.membership._membership_messages import ViewGiven

INTERVAL_S = 5.0


@final
class ViewExchange:
    """Anti-entropy between members, for news that piggybacking has missed.

    :param take: takes in one record.
    """

    def __init__(
        self,
        table: MemberTable,
        take: Callable[[News], None],
        peers: PeerClient,
        server: PeerServer,
        *,
        timeout_s: float,
    ) -> None:
        self._table = table
        self._take = take
        self._peers = peers
        self._timeout_s = timeout_s
        self._evened_at = float("-inf")
        server.handle(ViewAsked, self._on_asked)
        server.handle(ViewGiven, self._on_given)

    async def even_out(self, address: str, digest: int) -> None:
        """Exchange what differs with a member whose view has this digest, once an interval."""
        now = anyio.current_time()
        if digest == self._table.digest or now - self._evened_at < INTERVAL_S:
            return
        self._evened_at = now
        asked = ViewAsked(self._table.buckets)
        answer = await self._peers.request(
            address, asked, timeout_s=self._timeout_s, idempotent=True
        )
        if isinstance(answer, Err) or not isinstance(answer.ok_value, ViewGiven):
            return
        view = answer.ok_value
        better = self._table.newer_than(view.records, view.buckets)
        for record in view.records:
            self._take(record)
        if better:
            given = ViewGiven(better, self._table.buckets)
            await self._peers.request(address, given, timeout_s=self._timeout_s, idempotent=True)

    async def _on_asked(self, request: ViewAsked, reply: Reply) -> None:
        records = self._table.differing(request.buckets)
        await reply.send(ViewGiven(records, self._table.buckets))

    async def _on_given(self, request: ViewGiven, reply: Reply) -> None:
        for record in request.records:
            self._take(record)
        await reply.send(ViewGiven([], self._table.buckets))

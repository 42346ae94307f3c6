"""Synchronizes the views of two members: compares hashes and exchanges differing records."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import anyio
from result import Err

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.process.membership._member_table import MemberTable
from bramleylead.process.membership._membership_messages import MemberUpdate
from bramleylead.process.membership._membership_messages import ViewAsked
from bramleylead.process.membership._membership_messages import ViewGiven

EXCHANGE_INTERVAL_S = 5.0


@final
class ViewExchange:
    """Anti-entropy between members, for updates that piggybacking has missed.

    :param apply_update: applies one record to this node's view.
    """

    def __init__(
        self,
        table: MemberTable,
        apply_update: Callable[[MemberUpdate], None],
        peers: PeerClient,
        server: PeerServer,
        *,
        timeout_s: float,
    ) -> None:
        self._table = table
        self._apply_update = apply_update
        self._peers = peers
        self._timeout_s = timeout_s
        self._last_exchange_at = float("-inf")
        server.handle(ViewAsked, self._on_view_asked)
        server.handle(ViewGiven, self._on_view_given)

    async def synchronize(self, address: str, digest: int) -> None:
        """Exchange differing records with the member at ``address``, once per interval at most.

        :param digest: hash of that member's view.
        """
        now = anyio.current_time()
        if digest == self._table.digest or now - self._last_exchange_at < EXCHANGE_INTERVAL_S:
            return
        self._last_exchange_at = now
        request = ViewAsked(self._table.buckets)
        answer = await self._peers.request(
            address, request, timeout_s=self._timeout_s, idempotent=True
        )
        if isinstance(answer, Err) or not isinstance(answer.ok_value, ViewGiven):
            return
        view = answer.ok_value
        missing = self._table.records_missing_from(view.records, view.buckets)
        for record in view.records:
            self._apply_update(record)
        if missing:
            push = ViewGiven(missing, self._table.buckets)
            await self._peers.request(address, push, timeout_s=self._timeout_s, idempotent=True)

    async def _on_view_asked(self, request: ViewAsked, reply: Reply) -> None:
        records = self._table.differing_records(request.buckets)
        await reply.send(ViewGiven(records, self._table.buckets))

    async def _on_view_given(self, request: ViewGiven, reply: Reply) -> None:
        for record in request.records:
            self._apply_update(record)
        await reply.send(ViewGiven([], self._table.buckets))

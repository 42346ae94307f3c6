"""Declares suspects dead, unless they refute the suspicion or this node may be at fault."""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from typing import final

import anyio

from bramleylead.fleet._members import MemberState
from bramleylead.process.membership._member_table import MemberTable
from bramleylead.process.membership._membership_messages import MemberUpdate
from bramleylead.process.membership._membership_messages import update_of

PAUSE_FACTOR = 3.0


@final
class Suspicions:
    """The suspicions of one node.

    :param probe: probes an address; returns whether the intended node answered.
    :param apply: applies an update to this node's view.
    :param last_received_at: returns when this node last received a membership message.
    """

    def __init__(
        self,
        table: MemberTable,
        probe: Callable[[str, str], Awaitable[bool]],
        apply: Callable[[MemberUpdate], None],
        last_received_at: Callable[[], float],
        *,
        suspect_s: float,
    ) -> None:
        self._table = table
        self._probe = probe
        self._apply = apply
        self._last_received_at = last_received_at
        self._suspect_s = suspect_s

    async def run(self, suspicion: MemberUpdate) -> None:
        """Declare a suspect dead unless it refutes the suspicion in time.

        If this node was paused or received no message meanwhile, it waits again and probes first.
        """
        unreliable = False
        while self._still_suspect(suspicion):
            started = anyio.current_time()
            await anyio.sleep(self._suspect_s)
            paused = anyio.current_time() - started > PAUSE_FACTOR * self._suspect_s
            if paused or self._last_received_at() < started:
                unreliable = True
                continue
            if unreliable and await self._probe(suspicion.node, suspicion.address):
                return
            unreliable = False
            if self._still_suspect(suspicion):
                self._apply(suspicion._replace(state=MemberState.DEAD))

    def _still_suspect(self, suspicion: MemberUpdate) -> bool:
        known = self._table.get(suspicion.node)
        return known is not None and update_of(known) == suspicion

"""Probes a member through other members when a direct probe fails (SWIM, section 3.1)."""

from __future__ import annotations

import random
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import final

import anyio
from result import Ok

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.fleet._members import Member
from bramleylead.node_settings import MembershipSettings
from bramleylead.process.membership._membership_messages import ProbedFor
from bramleylead.process.membership._membership_messages import ProbeFor

HELPER_TIMEOUT_FACTOR = 2


@final
class IndirectProbes:
    """Sends indirect probe requests to other members and serves theirs.

    :param probe: probes a node at an address directly.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        probe: Callable[[str, str], Awaitable[bool]],
        peers: PeerClient,
        server: PeerServer,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._probe = probe
        self._peers = peers
        self._rng = rng
        server.handle(ProbeFor, self._on_probe_for)

    async def is_reachable(self, member: Member, others: Sequence[Member]) -> bool:
        """Return whether any of a few randomly chosen members can reach ``member``."""
        helpers = [other for other in others if other.node != member.node]
        count = min(self._settings.indirect_probes, len(helpers))
        reached: list[bool] = []
        async with anyio.create_task_group() as tasks:
            for helper in self._rng.sample(helpers, count):
                tasks.start_soon(self._request_probe, helper, member, reached)
        return any(reached)

    async def _request_probe(self, helper: Member, member: Member, reached: list[bool]) -> None:
        request = ProbeFor(member.node, member.address)
        timeout_s = HELPER_TIMEOUT_FACTOR * self._settings.probe_timeout_s
        answer = await self._peers.request(
            helper.address, request, timeout_s=timeout_s, idempotent=True
        )
        if isinstance(answer, Ok) and isinstance(answer.ok_value, ProbedFor):
            reached.append(answer.ok_value.reached)

    async def _on_probe_for(self, request: ProbeFor, reply: Reply) -> None:
        await reply.send(ProbedFor(await self._probe(request.target, request.address)))

"""Finds engine memory that no live program accounts for, and releases it.

Releases are journaled by the owners of programs; the sweep catches what that can miss, such as a
cache built by a call whose journal entries were lost with both copies. Each engine is swept by one
node, chosen by rendezvous, and a cache is released only when two sweeps in a row found no live
program for it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import final

import anyio
from result import Err
from result import Ok

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.process._parts import OwnerParts
from bramleylead.process.membership._members import MemberList
from bramleylead.process.partitions._place import partition_of
from bramleylead.process.partitions._rendezvous import ranked
from bramleylead.request import LivePrograms
from bramleylead.version import EndpointKind

SWEEP_INTERVAL_S = 30.0
ASK_TIMEOUT_S = 3.0


@final
class CacheSweep:
    """Sweeps the engines that fall to this node."""

    def __init__(self, parts: OwnerParts, members: MemberList, client: PeerClient) -> None:
        self._parts = parts
        self._members = members
        self._client = client
        self._suspects: dict[str, set[str]] = {}
        self.leaks_released = 0

    def register(self, server: PeerServer) -> None:
        """Answer other nodes' questions about programs of partitions that are owned here."""
        server.handle(LivePrograms, self._serve)

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            for name, endpoint in sorted(self._parts.tickets.config.endpoints.items()):
                if endpoint.kind is EndpointKind.ENGINE and self._is_mine(name):
                    await self._sweep(name)

    async def _sweep(self, name: str) -> None:
        endpoint = self._parts.tickets.config.endpoints.get(name)
        if endpoint is None:
            return
        engine = self._parts.backends.engine(name, endpoint)
        contents = await engine.cache_contents()
        if isinstance(contents, Err):
            return
        held = sorted({event.program for event in contents.ok_value.events})
        leaked = await self._without_program(held)
        confirmed = leaked & self._suspects.get(name, set())
        self._suspects[name] = leaked - confirmed
        for program in sorted(confirmed):
            released = await engine.release(program)
            if isinstance(released, Ok) and released.ok_value > 0:
                self.leaks_released += 1
                self._parts.metrics.cache_tokens_released.add({"endpoint": name}, released.ok_value)

    async def _without_program(self, held: Iterable[str]) -> set[str]:
        """Return the programs that their partition's owner says are not live."""
        by_partition: dict[int, list[str]] = defaultdict(list)
        for program in held:
            number = partition_of(program, self._parts.settings.partitions.count)
            by_partition[number].append(program)
        leaked: set[str] = set()
        for number, programs in sorted(by_partition.items()):
            live = await self._live(LivePrograms(number, tuple(programs)))
            if live is not None:
                leaked |= set(programs) - live
        return leaked

    async def _live(self, question: LivePrograms) -> set[str] | None:
        here = await self._live_here(question)
        if here is not None:
            return here
        address = self._parts.directory.owner_address(question.partition)
        if address is None:
            return None
        answer = await self._client.request(address, question, timeout_s=ASK_TIMEOUT_S)
        if isinstance(answer, Err):
            return None
        return set(answer.ok_value.programs)

    async def _live_here(self, question: LivePrograms) -> set[str] | None:
        """Answer from the own state, once the second copy confirmed that it is the owner's."""
        log = self._parts.directory.log(question.partition)
        if log is None or isinstance(await log.append(), Err):
            return None
        programs = log.state.programs
        return {name for name in question.programs if name in programs and not programs[name].ended}

    async def _serve(self, question: LivePrograms, reply: Reply) -> None:
        live = await self._live_here(question)
        if live is None:
            detail = f"partition {question.partition} is not owned here"
            await reply.fail(Failure(ErrorKind.OWNER_UNAVAILABLE, detail))
            return
        await reply.send(LivePrograms(question.partition, tuple(sorted(live))))

    def _is_mine(self, name: str) -> bool:
        ranking = ranked(f"sweep/{name}", self._members.alive())
        return bool(ranking) and ranking[0].node == self._members.self_name

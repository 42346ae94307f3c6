"""Finds and releases engine caches that belong to no live program.

Program owners journal the caches that they have to release. The sweep finds those that this misses,
such as a cache built by a call whose journal entries were lost with both copies. Each engine is
swept by one node, chosen by rendezvous hashing. A cache is released only after two consecutive
sweeps found no live program for it.
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
from bramleylead.fleet._members import MemberList
from bramleylead.fleet._rendezvous import rank_members
from bramleylead.process._owner_dependencies import OwnerDependencies
from bramleylead.process.partitions._partition_hash import partition_of
from bramleylead.request import LivePrograms
from bramleylead.version import EndpointKind

SWEEP_INTERVAL_S = 30.0
QUERY_TIMEOUT_S = 3.0


@final
class CacheSweep:
    """Sweeps the engines that are assigned to this node."""

    def __init__(self, parts: OwnerDependencies, members: MemberList, client: PeerClient) -> None:
        self._parts = parts
        self._members = members
        self._client = client
        self._suspected_leaks: dict[str, set[str]] = {}
        self.leaks_released = 0

    def register(self, server: PeerServer) -> None:
        """Serve other nodes' queries for the live programs of partitions that this node owns."""
        server.handle(LivePrograms, self._serve)

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            for name, endpoint in sorted(self._parts.tickets.config.endpoints.items()):
                if endpoint.kind is EndpointKind.ENGINE and self._is_assigned_here(name):
                    await self._sweep(name)

    async def _sweep(self, name: str) -> None:
        endpoint = self._parts.tickets.config.endpoints.get(name)
        if endpoint is None:
            return
        engine = self._parts.backends.engine(name, endpoint)
        contents = await engine.cache_contents()
        if isinstance(contents, Err):
            return
        cached_programs = sorted({event.program for event in contents.ok_value.events})
        leaked = await self._find_leaked(cached_programs)
        confirmed = leaked & self._suspected_leaks.get(name, set())
        self._suspected_leaks[name] = leaked - confirmed
        for program in sorted(confirmed):
            released = await engine.release(program)
            if isinstance(released, Ok) and released.ok_value > 0:
                self.leaks_released += 1
                self._parts.metrics.cache_tokens_released.add({"endpoint": name}, released.ok_value)

    async def _find_leaked(self, cached_programs: Iterable[str]) -> set[str]:
        """Return the programs that are not live according to their partition's owner."""
        by_partition: dict[int, list[str]] = defaultdict(list)
        for program in cached_programs:
            number = partition_of(program, self._parts.settings.partitions.count)
            by_partition[number].append(program)
        leaked: set[str] = set()
        for number, programs in sorted(by_partition.items()):
            live = await self._query_live(LivePrograms(number, tuple(programs)))
            if live is not None:
                leaked |= set(programs) - live
        return leaked

    async def _query_live(self, query: LivePrograms) -> set[str] | None:
        local = await self._query_local_state(query)
        if local is not None:
            return local
        address = self._parts.directory.owner_address(query.partition)
        if address is None:
            return None
        answer = await self._client.request(address, query, timeout_s=QUERY_TIMEOUT_S)
        if isinstance(answer, Err):
            return None
        return set(answer.ok_value.programs)

    async def _query_local_state(self, query: LivePrograms) -> set[str] | None:
        """Query the local state after the second copy has confirmed this owner."""
        log = self._parts.directory.log(query.partition)
        if log is None or isinstance(await log.append(), Err):
            return None
        programs = log.state.programs
        return {name for name in query.programs if name in programs and not programs[name].ended}

    async def _serve(self, query: LivePrograms, reply: Reply) -> None:
        live = await self._query_local_state(query)
        if live is None:
            detail = f"this node does not own partition {query.partition}"
            await reply.fail(Failure(ErrorKind.OWNER_UNAVAILABLE, detail))
            return
        await reply.send(LivePrograms(query.partition, tuple(sorted(live))))

    def _is_assigned_here(self, name: str) -> bool:
        ranking = rank_members(f"sweep/{name}", self._members.alive())
        return bool(ranking) and ranking[0].node == self._members.self_name

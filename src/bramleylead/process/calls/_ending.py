"""Ends what must end: idle programs, sub-agents of ended ones, and the engine memory they hold.

An ended program's record is kept until every endpoint has confirmed the release of its cache, so a
release that got lost is sent again, by whichever node owns the partition then. A program's record
that could go while an endpoint still holds its cache would leak that memory;
:data:`Promise.ENGINE_MEMORY` is checked where records go.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Sequence
from typing import final

import anyio
from result import Err
from result import Ok

from bramleylead.errors import ErrorKind
from bramleylead.process._parts import OwnerParts
from bramleylead.process.calls._call_ends import interrupted_end
from bramleylead.process.calls._owner import ProgramOwner
from bramleylead.process.calls._router import ProgramRouter
from bramleylead.process.journal._entries import CacheHeld
from bramleylead.process.journal._entries import ProgramEnded
from bramleylead.process.journal._entries import ProgramForgotten
from bramleylead.process.journal._log import PartitionLog
from bramleylead.process.journal._state import CallStatus
from bramleylead.process.journal._state import ProgramState
from bramleylead.promises import Promise
from bramleylead.request import EndProgram
from bramleylead.version import EndpointKind

PASS_INTERVAL_S = 1.0
KEEP_ENDED_S = 600.0
"""How long an ended program answers repeated requests from its record."""
RERUN_WITHIN_S = 180.0
"""How long a call that was interrupted by a change of owner may be asked for again."""
RELEASES_AT_ONCE = 16

ENDED_STATES = frozenset({ErrorKind.UNKNOWN_PROGRAM, ErrorKind.PROGRAM_ENDED})


@final
class ProgramEnder:
    """Goes over the owned partitions once a second.

    :param owned: returns the partitions that this node owns.
    """

    def __init__(
        self,
        parts: OwnerParts,
        owner: ProgramOwner,
        router: ProgramRouter,
        owned: Callable[[], Sequence[PartitionLog]],
    ) -> None:
        self._parts = parts
        self._owner = owner
        self._router = router
        self._owned = owned
        self._children_ended: set[str] = set()
        self._releasing = anyio.CapacityLimiter(RELEASES_AT_ONCE)
        self._busy: set[str] = set()
        self.releases = 0
        self.releases_failed = 0

    async def run(self) -> None:
        """Make passes until cancelled."""
        while True:
            await anyio.sleep(PASS_INTERVAL_S)
            async with anyio.create_task_group() as tasks:
                for log in self._owned():
                    for program in list(log.state.programs.values()):
                        if self._needs_work(program) and program.program not in self._busy:
                            tasks.start_soon(self._settle, log, program)

    def _needs_work(self, program: ProgramState) -> bool:
        if program.ended:
            return self._ended_needs_work(program)
        now = self._parts.wall_clock()
        interrupted = self._interrupted(program)
        if interrupted and now - program.last_at_s > RERUN_WITHIN_S:
            return True
        return now - program.last_at_s > self._idle_end_s(program)

    def _ended_needs_work(self, program: ProgramState) -> bool:
        """Whether there is anything to end, release or forget; most ended programs only wait."""
        if program.caches or self._interrupted(program):
            return True
        return self._may_forget(program) or not self._all_children_ended(program)

    async def _settle(self, log: PartitionLog, program: ProgramState) -> None:
        self._busy.add(program.program)
        try:
            async with self._releasing:
                if program.ended:
                    await self._settle_ended(log, program)
                else:
                    await self._settle_idle(log, program)
        finally:
            self._busy.discard(program.program)

    async def _settle_idle(self, log: PartitionLog, program: ProgramState) -> None:
        """End a program whose caller is gone, and a call that nobody asked for again."""
        now = self._parts.wall_clock()
        for number in self._interrupted(program):
            await log.append(interrupted_end(program, number, now_s=now))
        idle_s = now - program.last_at_s
        if idle_s > self._idle_end_s(program) and not self._owner.is_running(program.program):
            await log.append(ProgramEnded(program.program, f"idle for {idle_s:.0f} s", now))

    async def _settle_ended(self, log: PartitionLog, program: ProgramState) -> None:
        if self._owner.is_running(program.program):
            return
        await self._end_children(program)
        for endpoint in list(program.caches):
            await self._release(log, program, endpoint)
        for number in self._interrupted(program):
            await log.append(interrupted_end(program, number, now_s=self._parts.wall_clock()))
        if self._may_forget(program):
            await self._forget(log, program)

    async def _end_children(self, program: ProgramState) -> None:
        for child in program.children:
            if child in self._children_ended:
                continue
            result = await self._router.view(EndProgram(program.branch, child))
            if isinstance(result, Ok) or result.err_value.kind in ENDED_STATES:
                self._children_ended.add(child)

    async def _release(self, log: PartitionLog, program: ProgramState, name: str) -> None:
        """Ask an endpoint to release a program's cache, and journal its confirmation."""
        endpoint = self._parts.tickets.config.endpoints.get(name)
        if endpoint is not None and endpoint.kind is EndpointKind.ENGINE:
            engine = self._parts.backends.engine(name, endpoint)
            self.releases += 1
            released = await engine.release(program.program)
            if isinstance(released, Err):
                self.releases_failed += 1
                return
            self._parts.metrics.cache_tokens_released.add({"endpoint": name}, released.ok_value)
        await log.append(CacheHeld(program.program, name, 0))

    def _may_forget(self, program: ProgramState) -> bool:
        kept_s = self._parts.wall_clock() - program.last_at_s
        ready = not program.caches and self._all_children_ended(program)
        return kept_s > KEEP_ENDED_S and ready

    def _all_children_ended(self, program: ProgramState) -> bool:
        return all(child in self._children_ended for child in program.children)

    async def _forget(self, log: PartitionLog, program: ProgramState) -> None:
        self._parts.promises.require(
            Promise.ENGINE_MEMORY,
            not program.caches,
            f"program {program.program} would be forgotten while {sorted(program.caches)} hold it",
        )
        forgotten = await log.append(ProgramForgotten(program.program))
        if isinstance(forgotten, Ok):
            self._children_ended.difference_update(program.children)

    def _interrupted(self, program: ProgramState) -> list[int]:
        """Numbers of calls that are intended in the journal and run nowhere."""
        if self._owner.is_running(program.program):
            return []
        return [
            record.number
            for record in program.calls.values()
            if record.status is CallStatus.INTENDED
        ]

    def _idle_end_s(self, program: ProgramState) -> float:
        kind = self._parts.tickets.config.program_kinds.get(program.kind)
        return KEEP_ENDED_S if kind is None else kind.idle_end_s

"""Garbage collection of idle and ended programs.

Ends idle programs and the sub-agents of ended programs, releases the engine caches of ended
programs, and finally removes their records.

An ended program's record is kept until every endpoint has confirmed the release of its cache, so
that the partition's current owner can retry a lost release. Removing the record while an endpoint
still holds a cache would leak that memory; :data:`Promise.ENGINE_MEMORY` is checked before a record
is removed.
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
from bramleylead.process.calls._outcome_entries import interrupted_entry
from bramleylead.process.calls._owner import ProgramOwner
from bramleylead.process.calls._router import ProgramRouter
from bramleylead.process.journal._entries import CacheHeld
from bramleylead.process.journal._entries import ProgramEnded
from bramleylead.process.journal._entries import ProgramForgotten
from bramleylead.process.journal._partition_log import PartitionLog
from bramleylead.process.journal._state import CallStatus
from bramleylead.process.journal._state import ProgramState
from bramleylead.promises import Promise
from bramleylead.request import EndProgram
from bramleylead.version import EndpointKind

PASS_INTERVAL_S = 1.0
ENDED_RETENTION_S = 600.0
"""How long the record of an ended program is kept to answer repeated requests."""
INTERRUPTED_RETRY_WINDOW_S = 180.0
"""How long a caller may retry a call that was interrupted by an owner change."""
MAX_CONCURRENT_CLEANUPS = 16

ALREADY_ENDED_ERRORS = frozenset({ErrorKind.UNKNOWN_PROGRAM, ErrorKind.PROGRAM_ENDED})


@final
class ProgramGarbageCollector:
    """Checks the programs of the owned partitions every ``PASS_INTERVAL_S`` seconds.

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
        self._owned_partitions = owned
        self._ended_children: set[str] = set()
        self._cleanup_limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CLEANUPS)
        self._in_progress: set[str] = set()
        self.releases = 0
        self.releases_failed = 0

    async def run(self) -> None:
        """Run collection passes until cancelled."""
        while True:
            await anyio.sleep(PASS_INTERVAL_S)
            async with anyio.create_task_group() as tasks:
                for log in self._owned_partitions():
                    for program in list(log.state.programs.values()):
                        if self._needs_work(program) and program.program not in self._in_progress:
                            tasks.start_soon(self._clean_up, log, program)

    def _needs_work(self, program: ProgramState) -> bool:
        if program.ended:
            return self._ended_needs_work(program)
        now = self._parts.wall_clock()
        interrupted = self._interrupted_calls(program)
        if interrupted and now - program.last_at_s > INTERRUPTED_RETRY_WINDOW_S:
            return True
        return now - program.last_at_s > self._idle_timeout_s(program)

    def _ended_needs_work(self, program: ProgramState) -> bool:
        """Whether there is anything to end, release or remove.

        Most ended programs are only kept until their retention time is over.
        """
        if program.caches or self._interrupted_calls(program):
            return True
        return self._can_forget(program) or not self._all_children_ended(program)

    async def _clean_up(self, log: PartitionLog, program: ProgramState) -> None:
        self._in_progress.add(program.program)
        try:
            async with self._cleanup_limiter:
                if program.ended:
                    await self._clean_up_ended(log, program)
                else:
                    await self._clean_up_open(log, program)
        finally:
            self._in_progress.discard(program.program)

    async def _clean_up_open(self, log: PartitionLog, program: ProgramState) -> None:
        """Finish interrupted calls that were not retried, and end the program if it is idle."""
        now = self._parts.wall_clock()
        for number in self._interrupted_calls(program):
            await log.append(interrupted_entry(program, number, now_s=now))
        idle_s = now - program.last_at_s
        if idle_s > self._idle_timeout_s(program) and not self._owner.is_running(program.program):
            await log.append(ProgramEnded(program.program, f"idle for {idle_s:.0f} s", now))

    async def _clean_up_ended(self, log: PartitionLog, program: ProgramState) -> None:
        if self._owner.is_running(program.program):
            return
        await self._end_children(program)
        for endpoint in list(program.caches):
            await self._release(log, program, endpoint)
        for number in self._interrupted_calls(program):
            await log.append(interrupted_entry(program, number, now_s=self._parts.wall_clock()))
        if self._can_forget(program):
            await self._forget(log, program)

    async def _end_children(self, program: ProgramState) -> None:
        for child in program.children:
            if child in self._ended_children:
                continue
            result = await self._router.execute(EndProgram(program.branch, child))
            if isinstance(result, Ok) or result.err_value.kind in ALREADY_ENDED_ERRORS:
                self._ended_children.add(child)

    async def _release(self, log: PartitionLog, program: ProgramState, name: str) -> None:
        """Ask an endpoint to release a program's cache, and journal the confirmed release."""
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

    def _can_forget(self, program: ProgramState) -> bool:
        ended_for_s = self._parts.wall_clock() - program.last_at_s
        nothing_left = not program.caches and self._all_children_ended(program)
        return ended_for_s > ENDED_RETENTION_S and nothing_left

    def _all_children_ended(self, program: ProgramState) -> bool:
        return all(child in self._ended_children for child in program.children)

    async def _forget(self, log: PartitionLog, program: ProgramState) -> None:
        self._parts.promises.require(
            Promise.ENGINE_MEMORY,
            not program.caches,
            f"program {program.program} would be removed while {sorted(program.caches)} cache it",
        )
        forgotten = await log.append(ProgramForgotten(program.program))
        if isinstance(forgotten, Ok):
            self._ended_children.difference_update(program.children)

    def _interrupted_calls(self, program: ProgramState) -> list[int]:
        """Return the numbers of calls that the journal shows as intended but that do not run."""
        if self._owner.is_running(program.program):
            return []
        return [
            record.number
            for record in program.calls.values()
            if record.status is CallStatus.INTENDED
        ]

    def _idle_timeout_s(self, program: ProgramState) -> float:
        kind = self._parts.tickets.config.program_kinds.get(program.kind)
        return ENDED_RETENTION_S if kind is None else kind.idle_end_s

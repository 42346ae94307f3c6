"""Tests of the garbage collection of programs, which starts a task only if there is work to do."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

import anyio
from result import Ok

from bramleylead.process.calls._garbage_collection import ENDED_RETENTION_S
from bramleylead.process.calls._garbage_collection import ProgramGarbageCollector
from bramleylead.process.journal._entries import CacheHeld
from bramleylead.process.journal._entries import CallIntended
from bramleylead.process.journal._entries import ChildOpened
from bramleylead.process.journal._entries import ProgramEnded
from bramleylead.request import CallKind
from testing.process.support import Bench
from testing.process.support import run_with_owner

WAIT_S = 5.0


class FakeRouter:
    """Accepts every request to end a child program."""

    def __init__(self) -> None:
        self.ended: list[str] = []

    async def execute(self, request: Any) -> Any:
        self.ended.append(request.program)
        return Ok(None)


async def run_passes(bench: Bench, *entries: Any, wait_s: float = WAIT_S) -> tuple[int, FakeRouter]:
    """Apply entries to an open program, end it, run collection passes and count the cleanups."""
    await bench.open()
    log, router = bench.directory.only, FakeRouter()
    await log.append(*entries, ProgramEnded("p1", "ended by its caller", anyio.current_time()))
    parts = bench.parts._replace(wall_clock=anyio.current_time)
    owner: Any = bench.owner
    collector = ProgramGarbageCollector(parts, owner, router, lambda: [log])  # type: ignore[arg-type]
    with mock.patch.object(
        ProgramGarbageCollector, "_clean_up", autospec=True, side_effect=_clean_up
    ) as cleanup_mock:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(collector.run)
            await anyio.sleep(wait_s)
            tasks.cancel_scope.cancel()
    return cleanup_mock.call_count, router


_clean_up = ProgramGarbageCollector._clean_up


class EndedProgramTest(unittest.TestCase):
    def test_no_task_without_work(self) -> None:
        """Regression: each ended program got a task per second for the ten minutes it is kept."""
        self.assertEqual(run_with_owner(run_passes)[0], 0)

    def test_cache_is_released(self) -> None:
        async def body(bench: Bench) -> Any:
            cleanups, _ = await run_passes(bench, CacheHeld("p1", "e1", 100))
            return cleanups, bench.backends.released, bench.directory.only.state.programs["p1"]

        cleanups, released, program = run_with_owner(body)
        self.assertEqual((cleanups, released, program.caches), (1, ["p1"], {}))

    def test_children_are_ended(self) -> None:
        async def body(bench: Bench) -> Any:
            return await run_passes(bench, ChildOpened("p1", "p2"))

        cleanups, router = run_with_owner(body)
        self.assertEqual((cleanups, router.ended), (1, ["p2"]))

    def test_interrupted_call_gets_unknown_outcome(self) -> None:
        async def body(bench: Bench) -> Any:
            entry = CallIntended(
                "p1", 1, "", "d", CallKind.TOOL, "issue", False, "fees", 5, (), 0.0
            )
            cleanups, _ = await run_passes(bench, entry)
            return cleanups, bench.directory.only.state.programs["p1"].calls[1].status.value

        self.assertEqual(run_with_owner(body), (1, "unknown"))

    def test_record_is_removed_after_retention_time(self) -> None:
        async def body(bench: Bench) -> Any:
            cleanups, _ = await run_passes(bench, wait_s=ENDED_RETENTION_S + WAIT_S)
            return cleanups, bench.directory.only.state.programs

        self.assertEqual(run_with_owner(body), (1, {}))

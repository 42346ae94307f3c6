"""The passes over programs: an ended one costs nothing until there is something to do."""

from __future__ import annotations

import unittest
from typing import Any
from unittest import mock

import anyio
from result import Ok

from bramleylead.process.calls._ending import KEEP_ENDED_S
from bramleylead.process.calls._ending import ProgramEnder
from bramleylead.process.journal._entries import CacheHeld
from bramleylead.process.journal._entries import CallIntended
from bramleylead.process.journal._entries import ChildOpened
from bramleylead.process.journal._entries import ProgramEnded
from bramleylead.request import CallKind
from testing.process.support import Bench
from testing.process.support import run_with_owner

WAIT_S = 5.0


class FakeRouter:
    """Takes every request to end a child."""

    def __init__(self) -> None:
        self.ended: list[str] = []

    async def view(self, request: Any) -> Any:
        self.ended.append(request.program)
        return Ok(None)


async def passes(bench: Bench, *entries: Any, wait_s: float = WAIT_S) -> tuple[int, FakeRouter]:
    """Apply entries to an open program, let passes go by, and count those that had work."""
    await bench.open()
    log, router = bench.directory.only, FakeRouter()
    await log.append(*entries, ProgramEnded("p1", "ended by its caller", anyio.current_time()))
    parts = bench.parts._replace(wall_clock=anyio.current_time)
    owner: Any = bench.owner
    ender = ProgramEnder(parts, owner, router, lambda: [log])  # type: ignore[arg-type]
    with mock.patch.object(ProgramEnder, "_settle", autospec=True, side_effect=_settle) as settled:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ender.run)
            await anyio.sleep(wait_s)
            tasks.cancel_scope.cancel()
    return settled.call_count, router


_settle = ProgramEnder._settle


class EndedProgramTest(unittest.TestCase):
    def test_one_with_nothing_to_do_gets_no_task(self) -> None:
        """Every ended program got a task a second for the ten minutes that it is kept."""
        self.assertEqual(run_with_owner(passes)[0], 0)

    def test_its_cache_is_released(self) -> None:
        async def body(bench: Bench) -> Any:
            settled, _ = await passes(bench, CacheHeld("p1", "e1", 100))
            return settled, bench.backends.released, bench.directory.only.state.programs["p1"]

        settled, released, program = run_with_owner(body)
        self.assertEqual((settled, released, program.caches), (1, ["p1"], {}))

    def test_its_children_are_ended(self) -> None:
        async def body(bench: Bench) -> Any:
            return await passes(bench, ChildOpened("p1", "p2"))

        settled, router = run_with_owner(body)
        self.assertEqual((settled, router.ended), (1, ["p2"]))

    def test_its_interrupted_call_gets_its_end(self) -> None:
        async def body(bench: Bench) -> Any:
            entry = CallIntended(
                "p1", 1, "", "d", CallKind.TOOL, "issue", False, "fees", 5, (), 0.0
            )
            settled, _ = await passes(bench, entry)
            return settled, bench.directory.only.state.programs["p1"].calls[1].status.value

        self.assertEqual(run_with_owner(body), (1, "unknown"))

    def test_it_is_forgotten_in_the_end(self) -> None:
        async def body(bench: Bench) -> Any:
            settled, _ = await passes(bench, wait_s=KEEP_ENDED_S + WAIT_S)
            return settled, bench.directory.only.state.programs

        self.assertEqual(run_with_owner(body), (1, {}))
